#pragma once

#include "cuminfield/connection/Http.h"
#include "cuminfield/core/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace cuminfield::request::exchange {

/// Content type of a problem body.
inline constexpr std::string_view kProblemContentType = "application/problem+json";

/// What is known about the execution of a failed request.
enum class Outcome
{
  NotRun,  ///< Provably nothing ran; the request can safely be sent again.
  Unknown, ///< The request may have run; only a retry with the same key is safe.
};

/// An error response to a caller: problem+json (RFC 9457) with the additional field `outcome`.
struct Problem
{
  int status = connection::kStatusInternalError;
  std::string title{};  ///< Kind of failure, the same for all its occurrences.
  std::string detail{}; ///< This occurrence; ends with the remedy.
  Outcome outcome = Outcome::Unknown;
  std::optional<core::Duration> retryAfter{};
};

/// Returns the response body.
std::string ToJson(const Problem& aProblem);

/// Returns the response headers. Retry-After, if present, is in whole seconds and at least 1.
connection::HttpHeaders ToHeaders(const Problem& aProblem);

/// Returns `not-run` or `unknown`.
const char* ToString(Outcome aOutcome);

} // namespace cuminfield::request::exchange
