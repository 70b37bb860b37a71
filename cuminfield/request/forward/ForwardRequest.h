#pragma once

#include "cuminfield/connection/caller/CallerChannel.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminfield::request::forward {

/// A caller's request that goes to an upstream as it is: its content is opaque, and what the
/// decisions need was told beside it.
struct ForwardRequest
{
  RequestSpec spec;
  connection::caller::CallerRequest callerRequest;
  bool stream = false;            ///< Answered by server-sent events.
  bool resumable = false;         ///< The stream may go on at another upstream.
  std::uint32_t maxAttempts = 1;  ///< Upstreams that may run it.
  double quotaUnits = 0;          ///< What it counts against its workspace's quota.
  core::Instant callerDeadline{}; ///< When its caller stops waiting.
  core::Instant timeout{};        ///< It gets its final answer by then.
};

/// A refusal or failure of ours.
struct ForwardFailure
{
  int status = 0;
  std::string reason; ///< One word for logs and the answer's body.
  std::optional<core::Duration> retryAfter;
};

} // namespace cuminfield::request::forward
