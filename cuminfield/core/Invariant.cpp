#include "cuminfield/core/Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace cuminfield::core {

namespace {
InvariantHandler sInvariantHandler = nullptr;
} // namespace

void SetInvariantHandler(InvariantHandler aHandler)
{
  sInvariantHandler = aHandler;
}

void InvariantBroken(const char* aName, const char* aCondition, const char* aFile, int aLine)
{
  if (sInvariantHandler) {
    sInvariantHandler(aName);
  }
  std::fprintf(stderr, "invariant broken: %s: %s (%s:%d)\n", aName, aCondition, aFile, aLine);
  std::abort();
}

} // namespace cuminfield::core
