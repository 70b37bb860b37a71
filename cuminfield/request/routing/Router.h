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
  core::Tokens uncached{ 0 }; ///< Prompt tokens that the upstream must probably compute.
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
  std::optional<Placement> Choose(const Pool& aPool, const RequestSpec& aSpec, bool aRemote,
                                  core::Instant aNow);

  /// Whether the upstream can take the request now: it has room for its tier, and the predicted
  /// first token is in time.
  bool Fits(const Pool& aPool, UpstreamIndex aUpstream, const RequestSpec& aSpec,
            core::Tokens aUncached, core::Instant aNow) const;

  /// Prompt tokens that the upstream must probably compute.
  core::Tokens Uncached(UpstreamIndex aUpstream, const RequestSpec& aSpec) const;

  /// Prompt tokens to compute at the upstream that holds the longest prefix.
  core::Tokens LeastUncached(const RequestSpec& aSpec) const;

  /// Predicted time from a dispatch now to the first token, without its spread.
  core::Duration FirstToken(const UpstreamState& aState, core::Tokens aUncached,
                            core::Instant aNow) const;

  /// Prompt tokens that wait at the upstream, of all hosts, as estimated.
  core::Tokens Backlog(const UpstreamState& aState, core::Instant aNow) const;

private:
  struct Best
  {
    std::optional<Placement> placement;
    double score = 0;
  };

  void ScanList(const Pool& aPool, const std::vector<UpstreamIndex>& aList,
                const RequestSpec& aSpec, const PrefixHolders& aHolders, core::Instant aNow,
                Best& aBest);
  void Consider(const Pool& aPool, UpstreamIndex aUpstream, const RequestSpec& aSpec,
                core::Tokens aCached, core::Instant aNow, Best& aBest);
  core::Tokens UncachedAt(const UpstreamState& aState, const RequestSpec& aSpec,
                          core::Tokens aCached) const;
  bool Healthy(const UpstreamState& aState, core::Instant aNow) const;
  bool HasRoom(const Pool& aPool, const UpstreamState& aState, const RequestSpec& aSpec) const;
  bool InTime(const UpstreamState& aState, const RequestSpec& aSpec, core::Tokens aUncached,
              core::Instant aNow) const;
  bool InPrefillBudget(const UpstreamState& aState, core::Tokens aUncached) const;
  double Score(const UpstreamState& aState, const RequestSpec& aSpec, core::Tokens aUncached,
               core::Instant aNow);

  RouterSettings mSettings;
  Fleet& mFleet;
  core::Random& mRandom;
};

} // namespace cuminfield::request::routing
