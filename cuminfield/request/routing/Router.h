#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/Tiers.h"
#include "cuminfield/request/routing/Fleet.h"

#include <optional>

namespace cuminfield::request::routing {

/// Upstream chosen for a request.
struct Placement
{
  UpstreamIndex upstream = 0;
  core::Tokens uncachedTokens{ 0 }; ///< Prompt tokens predicted to miss the upstream's cache.
};

/// Chooses an upstream for a request. Among those that can accept the request, compares the
/// predicted cost of a few random candidates and of those that hold its prefix. Random sampling
/// keeps hosts with the same stale reports from choosing the same upstream (Mitzenmacher, The Power
/// of Two Choices in Randomized Load Balancing, 2001). A holder of the prefix is preferred only
/// while its load is bounded (Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing with Bounded
/// Loads, 2018).
class Router
{
public:
  Router(const RouterSettings& aSettings, Fleet& aFleet, core::Random& aRandom);

  /// Returns the upstream with the lowest predicted cost that can accept the request, if any.
  std::optional<Placement> ChooseUpstream(const Pool& aPool, const RequestSpec& aSpec,
                                          bool aAllowOtherRegions, core::Instant aNow);

  /// Returns true if the upstream can accept the request now: it has capacity for the tier, and the
  /// first token is predicted in time.
  bool CanAccept(const Pool& aPool, UpstreamIndex aUpstream, const RequestSpec& aSpec,
                 core::Tokens aUncached, core::Instant aNow) const;

  /// Prompt tokens predicted to miss the upstream's cache.
  core::Tokens UncachedTokens(UpstreamIndex aUpstream, const RequestSpec& aSpec) const;

  /// Prompt tokens to compute at the upstream that holds the longest prefix.
  core::Tokens MinUncachedTokens(const RequestSpec& aSpec) const;

  /// Predicts the time from a dispatch now to the first token, without the prediction error.
  core::Duration PredictFirstToken(const UpstreamState& aState, core::Tokens aUncached,
                                   core::Instant aNow) const;

  /// Estimated prompt tokens of all hosts that are queued at the upstream.
  core::Tokens PrefillBacklog(const UpstreamState& aState, core::Instant aNow) const;

private:
  struct BestPlacement
  {
    std::optional<Placement> placement;
    double cost = 0;
  };

  void ConsiderUpstreams(const Pool& aPool, const std::vector<UpstreamIndex>& aList,
                         const RequestSpec& aSpec, const PrefixHolders& aHolders,
                         core::Instant aNow, BestPlacement& aBest);
  void ConsiderUpstream(const Pool& aPool, UpstreamIndex aUpstream, const RequestSpec& aSpec,
                        core::Tokens aCached, core::Instant aNow, BestPlacement& aBest);
  core::Tokens UncachedTokensAt(const UpstreamState& aState, const RequestSpec& aSpec,
                                core::Tokens aCached) const;
  bool IsHealthy(const UpstreamState& aState, core::Instant aNow) const;
  bool HasCapacity(const Pool& aPool, const UpstreamState& aState, const RequestSpec& aSpec) const;
  bool MeetsTarget(const UpstreamState& aState, const RequestSpec& aSpec, core::Tokens aUncached,
                   core::Instant aNow) const;
  bool IsWithinPrefillBudget(const UpstreamState& aState, core::Tokens aUncached) const;
  double PredictCost(const UpstreamState& aState, const RequestSpec& aSpec, core::Tokens aUncached,
                     core::Instant aNow);

  RouterSettings mSettings;
  Fleet& mFleet;
  core::Random& mRandom;
};

} // namespace cuminfield::request::routing
