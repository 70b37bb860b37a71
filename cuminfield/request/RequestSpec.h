#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <vector>

namespace cuminfield::request {

/// Rank of a tier; 0 is the highest.
using TierRank = std::uint32_t;

/// Hash of one block of a prompt's prefix, chained: equal hashes mean equal prefixes up to there.
using PrefixHash = std::uint64_t;

/// What the decisions need to know of a request. Made once when its head and body have been read.
struct RequestSpec
{
  core::RequestId id;
  core::WorkspaceId workspace;
  std::uint32_t weight = 1; ///< The workspace's share inside the tier.
  TierRank tier = 0;
  core::ServiceId service;
  core::RouteId route;
  core::Instant arrival{};
  core::Instant deadline{};             ///< Not begun by then: shed.
  core::Duration firstTokenTarget{ 0 }; ///< From arrival.
  core::Duration tokenGapTarget{ 0 };
  core::Tokens promptTokens{ 0 };       ///< Estimated length of the prompt.
  core::Tokens maxOutputTokens{ 0 };    ///< Upper bound the caller gave; 0 for plain calls.
  std::vector<PrefixHash> prefixHashes; ///< One per block of kPrefixBlock tokens of the prompt.
  bool retryable = true;                ///< Idempotent: may be sent again after a failure.
  bool needsEngine = false;             ///< Goes to a model engine.
  std::uint32_t tokensPerEvent = 1;     ///< Tokens in one event of its answer.
  bool resumed = false; ///< The rest of a stream that broke off: its caller has begun to read.
  core::UpstreamId avoidUpstream{}; ///< Where it failed before; used only if there is no other.
};

/// Tokens that one PrefixHash covers.
inline constexpr core::Tokens kPrefixBlockTokens{ 64 };

} // namespace cuminfield::request
