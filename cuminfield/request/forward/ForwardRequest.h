#pragma once

#include "cuminfield/connection/caller/CallerChannel.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminfield::request::forward {

/// A caller's request that is forwarded unchanged. Its content is opaque; the properties needed for
/// scheduling are given outside of it.
struct ForwardRequest
{
  RequestSpec spec;
  connection::caller::CallerRequest callerRequest;
  bool stream = false;            ///< The response is server-sent events.
  bool resumable = false;         ///< The stream may continue at another upstream.
  std::uint32_t maxAttempts = 1;  ///< Maximum number of attempts that may run.
  double quotaUnits = 0;          ///< Units charged to the workspace's quota.
  core::Instant callerDeadline{}; ///< When the caller stops waiting.
  core::Instant timeout{};        ///< When the final response is due.
};

/// A rejection or failure reported to the caller by this host.
struct ForwardFailure
{
  int status = 0;
  std::string reason; ///< One word, used in logs and the response body.
  std::optional<core::Duration> retryAfter;
};

} // namespace cuminfield::request::forward
