#pragma once

namespace cuminfield::core {

/// Writes the broken invariant to standard error and ends the process: going on could make a
/// promise to a caller untrue. Tests replace the handler to see planted faults caught.
[[noreturn]] void InvariantBroken(const char* aName, const char* aCondition, const char* aFile,
                                  int aLine);

/// Called in place of ending the process when set; must not return.
using InvariantHandler = void (*)(const char* aName);
void SetInvariantHandler(InvariantHandler aHandler);

} // namespace cuminfield::core

/// Asserts a named invariant of docs/Proof.md in checked builds. The name is the one of that page.
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
