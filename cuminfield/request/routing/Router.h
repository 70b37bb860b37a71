#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/Tiers.h"
#include "cuminfield/request/routing/Fleet.h"

#include <optional>

namespace cuminfield::request::routing {

/// Where a request is to go.
struct Placement
{
  UpstreamIndex upstream = 0;
  core::Tokens uncachedTokens{ 0 }; ///< Prompt tokens that the upstream must probably compute.
};

/// Chooses an upstream for a request: a few random candidates and those that hold its prefix are
/// compared by predicted cost, among those that fit the request. Random choices keep hosts with
/// the same stale reports from picking the same upstream (Mitzenmacher, The Power of Two Choices
/// in Randomized Load Balancing, 2001); a holder of the prefix is preferred only while its load
/// is bounded (Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing with Bounded Loads, 2018).
class Router
{
public:
  Router(const RouterSettings& aSettings, Fleet& aFleet, core::Random& aRandom);

  /// The best upstream that fits the request, if there is one.
  std::optional<Placement> ChooseUpstream(const Pool& aPool, const RequestSpec& aSpec, bool aRemote,
                                          core::Instant aNow);

  /// Whether the upstream can take the request now: it has room for its tier, and the predicted
  /// first token is in time.
  bool CanAccept(const Pool& aPool, UpstreamIndex aUpstream, const RequestSpec& aSpec,
                 core::Tokens aUncached, core::Instant aNow) const;

  /// Prompt tokens that the upstream must probably compute.
  core::Tokens UncachedTokens(UpstreamIndex aUpstream, const RequestSpec& aSpec) const;

  /// Prompt tokens to compute at the upstream that holds the longest prefix.
  core::Tokens MinUncachedTokens(const RequestSpec& aSpec) const;

  /// Predicted time from a dispatch now to the first token, without its spread.
  core::Duration PredictFirstToken(const UpstreamState& aState, core::Tokens aUncached,
                                   core::Instant aNow) const;

  /// Prompt tokens that wait at the upstream, of all hosts, as estimated.
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
