#pragma once

#include "cuminfield/connection/caller/CallerChannel.h"
#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/claims/ClaimStorage.h"

#include <cstdint>
#include <optional>

namespace cuminfield::request::exchange {

/// A caller's request, parsed and validated against the document in force.
struct IncomingRequest
{
  RequestSpec spec;
  connection::caller::CallerRequest raw;
  std::optional<claims::ClaimKey> claim; ///< Present if the caller sent an idempotency key.
  std::uint64_t digest = 0;              ///< Detects that a key is reused for a different request.
  bool engine = false;                   ///< Served by a model engine.
  bool stream = false;                   ///< The caller wants the response as server-sent events.
  /// Number of stream events that the caller already has.
  std::optional<std::uint64_t> resumeOffset;
};

} // namespace cuminfield::request::exchange
