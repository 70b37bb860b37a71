#pragma once

#include <string>

namespace cuminfield::test_framework::plain {

/// Returns the response body of the stand-in plain service: JSON with the method, the target and a
/// hash of the request body, so that a caller can detect a response to another request.
std::string MakePlainResponse(const std::string& aMethod, const std::string& aTarget,
                              const std::string& aBody);

} // namespace cuminfield::test_framework::plain
