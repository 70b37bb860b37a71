#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/RegionSet.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace cuminfield::request {

/// Rank of a tier; 0 is the most urgent.
using TierRank = std::uint32_t;

/// Chained hash of one block of a prompt: equal hashes mean equal prefixes up to and including it.
using PrefixHash = std::uint64_t;

/// The properties of a request that scheduling depends on. Built once its head and body are read.
struct RequestSpec
{
  core::RequestId id;
  core::WorkspaceId workspace;
  std::uint32_t weight = 1; ///< Relative share of the workspace within its tier.
  TierRank tier = 0;
  core::ServiceId service;
  core::RouteId route;
  core::Instant arrival{};
  core::Instant deadline{};             ///< Shed if it has not started by then.
  core::Duration firstTokenTarget{ 0 }; ///< Measured from arrival.
  core::Duration tokenGapTarget{ 0 };
  core::Tokens promptTokens{ 0 };       ///< Estimated length of the prompt.
  core::Tokens maxOutputTokens{ 0 };    ///< Limit set by the caller; 0 for plain calls.
  std::vector<PrefixHash> prefixHashes; ///< One per kPrefixBlockTokens tokens of the prompt.
  /// Parts of the prompt that other prompts may share, in order; without the last part, which
  /// belongs to the request or its session.
  std::vector<core::PromptPartId> sharedParts{};
  core::PromptPartId ownPart{};     ///< The last part of the prompt; empty if it is not known.
  bool retryable = true;            ///< Idempotent: may be resent after a failure.
  bool needsEngine = false;         ///< Served by a model engine.
  std::uint32_t tokensPerEvent = 1; ///< Tokens in one event of the response.
  bool resumed = false; ///< Rest of an interrupted stream that its caller is already reading.
  core::UpstreamId avoidUpstream{}; ///< Where it failed; used only if there is no other.
  /// The regions in which it might be served when it arrived; null: any. Applies once its route is
  /// gone; until then a RegionPolicy tells what is in force.
  std::shared_ptr<const core::RegionSet> regionsAtArrival{};
};

/// Number of tokens covered by one PrefixHash.
inline constexpr core::Tokens kPrefixBlockTokens{ 64 };

} // namespace cuminfield::request
