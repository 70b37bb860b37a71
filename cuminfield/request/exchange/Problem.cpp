#include "cuminfield/request/exchange/Problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cuminfield::request::exchange {

std::string ToJson(const Problem& aProblem)
{
  const nlohmann::json body{ { "type", "about:blank" },
                             { "title", aProblem.title },
                             { "status", aProblem.status },
                             { "detail", aProblem.detail },
                             { "outcome", ToString(aProblem.outcome) } };
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

connection::HttpHeaders ToHeaders(const Problem& aProblem)
{
  connection::HttpHeaders headers;
  headers.push_back({ .name = std::string(connection::kContentTypeHeader),
                      .value = std::string(kProblemContentType) });
  headers.push_back(
    { .name = std::string(connection::kOutcomeHeader), .value = ToString(aProblem.outcome) });
  if (aProblem.retryAfter) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*aProblem.retryAfter).count();
    headers.push_back({ .name = std::string(connection::kRetryAfterHeader),
                        .value = std::to_string(std::max<std::int64_t>(seconds, 1)) });
  }
  return headers;
}

const char* ToString(Outcome aOutcome)
{
  return aOutcome == Outcome::NotRun ? "not-run" : "unknown";
}

} // namespace cuminfield::request::exchange
