#pragma once

#include "cuminfield/connection/Http.h"
#include "cuminfield/core/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace cuminfield::request::exchange {

/// Content type of a problem's body.
inline constexpr std::string_view kProblemContentType = "application/problem+json";

/// What a failed request may be said to have done.
enum class Outcome
{
  NotRun,  ///< Proved: nothing of it ran, and sending it again is safe.
  Unknown, ///< It may have run; only asking again with the same key is safe.
};

/// A failure as the caller reads it: problem+json (RFC 9457) with the field `outcome`.
struct Problem
{
  int status = connection::kStatusInternalError;
  std::string title{};  ///< The kind of failure, the same for all its occurrences.
  std::string detail{}; ///< This occurrence; ends with the remedy.
  Outcome outcome = Outcome::Unknown;
  std::optional<core::Duration> retryAfter{};
};

/// The problem's body.
std::string ToJson(const Problem& aProblem);

/// The problem's headers, Retry-After (whole seconds, at least 1) among them where it has one.
connection::HttpHeaders ToHeaders(const Problem& aProblem);

/// `not-run` or `unknown`.
const char* ToString(Outcome aOutcome);

} // namespace cuminfield::request::exchange
