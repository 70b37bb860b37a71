#pragma once

#include <string>

namespace cuminfield::test_framework::plain {

/// What the stand-in plain service answers to a call, so that a caller can check that it got its
/// own answer: JSON with the method, the target and a hash of the body.
std::string PlainAnswer(const std::string& aMethod, const std::string& aTarget,
                        const std::string& aBody);

} // namespace cuminfield::test_framework::plain
