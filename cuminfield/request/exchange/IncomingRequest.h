#pragma once

#include "cuminfield/connection/caller/CallerChannel.h"
#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/claims/ClaimStorage.h"

#include <cstdint>
#include <optional>

namespace cuminfield::request::exchange {

/// A caller's request, read and checked against the document in force.
struct IncomingRequest
{
  RequestSpec spec;
  connection::caller::CallerRequest raw;
  std::optional<claims::ClaimKey> claim;     ///< Where the caller gave an idempotency key.
  std::uint64_t digest = 0;                  ///< Tells different requests under one key apart.
  bool engine = false;                       ///< Goes to a model engine.
  bool stream = false;                       ///< The answer is wanted as server-sent events.
  std::optional<std::uint64_t> resumeOffset; ///< Events of the stream that the caller has.
};

} // namespace cuminfield::request::exchange
