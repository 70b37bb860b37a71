#pragma once

#include <rapidcheck.h>

#include <iostream>

namespace cuminfield::unit_tests::request {

/// Checks a property with a fixed seed, so that every run tests the same cases. aQuiet suppresses
/// the output for injected faults, where a failure is expected.
template<typename Testable>
bool PropertyHolds(Testable&& aProperty, std::uint64_t aSeed, int aCases, bool aQuiet = false)
{
  rc::detail::TestParams params;
  params.seed = aSeed;
  params.maxSuccess = aCases;
  params.maxSize = 100;
  params.disableShrinking = aQuiet;
  const auto result = rc::detail::checkTestable(std::forward<Testable>(aProperty),
                                                rc::detail::TestMetadata(), params);
  const bool held = result.template is<rc::detail::SuccessResult>();
  if (!held && !aQuiet) {
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << std::endl;
  }
  return held;
}

} // namespace cuminfield::unit_tests::request
