#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cuminfield::connection {

struct HttpHeader
{
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first field with this name, compared without case; empty if absent.
std::string_view FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";
inline constexpr std::string_view kHostHeader = "X-Host";
inline constexpr std::string_view kUpstreamHeader = "X-Upstream";
inline constexpr std::string_view kWorkspaceHeader = "X-Workspace";
inline constexpr std::string_view kTierHeader = "X-Tier";
inline constexpr std::string_view kOutcomeHeader = "X-Outcome";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kLastEventIdHeader = "Last-Event-ID";
inline constexpr std::string_view kContentTypeHeader = "Content-Type";
inline constexpr std::string_view kRetryAfterHeader = "Retry-After";

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusForbidden = 403;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusTooLarge = 413;
inline constexpr int kStatusMisdirected = 421;
inline constexpr int kStatusUnprocessable = 422;
inline constexpr int kStatusTooMany = 429;
inline constexpr int kStatusInternalError = 500;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

} // namespace cuminfield::connection
