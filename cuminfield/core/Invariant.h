#pragma once

namespace cuminfield::core {

/// Reports a violated invariant on standard error and aborts the process, since continuing could
/// violate a guarantee given to a caller. Tests set a handler to check that planted faults are
/// detected.
[[noreturn]] void InvariantBroken(const char* aName, const char* aCondition, const char* aFile,
                                  int aLine);

/// Called instead of aborting the process if set; must not return.
using InvariantHandler = void (*)(const char* aName);
void SetInvariantHandler(InvariantHandler aHandler);

} // namespace cuminfield::core

/// Asserts an invariant in checked builds. The name is listed in docs/Proof.md.
#ifdef CUMINFIELD_CHECKED
#define CUMINFIELD_INVARIANT(aName, aCondition)                                                    \
  do {                                                                                             \
    if (!(aCondition)) {                                                                           \
      ::cuminfield::core::InvariantBroken(aName, #aCondition, __FILE__, __LINE__);                 \
    }                                                                                              \
  } while (false)
#else
#define CUMINFIELD_INVARIANT(aName, aCondition)                                                    \
  do {                                                                                             \
  } while (false)
#endif
