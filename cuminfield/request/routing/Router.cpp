#include "cuminfield/request/routing/Router.h"

#include <algorithm>

namespace cuminfield::request::routing {

namespace {

constexpr double kMicrosPerSecond = 1e6;

} // namespace

Router::Router(const RouterSettings& aSettings, Fleet& aFleet, core::Random& aRandom)
  : mSettings(aSettings)
  , mFleet(aFleet)
  , mRandom(aRandom)
{
}

std::optional<Placement> Router::ChooseUpstream(const Pool& aPool, const RequestSpec& aSpec,
                                                bool aAllowOtherRegions, core::Instant aNow)
{
  const PrefixHolders holders = mFleet.Prefixes().FindHolders(aSpec.prefixHashes);
  BestPlacement best;
  ConsiderUpstreams(aPool, aPool.sameRegion, aSpec, holders, aNow, best);
  if (!best.placement && aAllowOtherRegions) {
    ConsiderUpstreams(aPool, aPool.otherRegions, aSpec, holders, aNow, best);
  }
  return best.placement;
}

void Router::ConsiderUpstreams(const Pool& aPool, const std::vector<UpstreamIndex>& aList,
                               const RequestSpec& aSpec, const PrefixHolders& aHolders,
                               core::Instant aNow, BestPlacement& aBest)
{
  if (aList.size() <= mSettings.sampledUpstreams) {
    for (const UpstreamIndex it : aList) {
      ConsiderUpstream(aPool, it, aSpec, aHolders.CachedTokens(it), aNow, aBest);
    }
    return;
  }
  for (std::size_t n = 0; n < aHolders.count; ++n) {
    const PrefixHolder& it = aHolders.holders[n];
    if (std::binary_search(aList.begin(), aList.end(), it.upstream)) {
      ConsiderUpstream(aPool, it.upstream, aSpec, it.cachedTokens, aNow, aBest);
    }
  }
  for (std::uint32_t n = 0; n < mSettings.sampledUpstreams; ++n) {
    const UpstreamIndex it = aList[mRandom.UniformBelow(aList.size())];
    ConsiderUpstream(aPool, it, aSpec, aHolders.CachedTokens(it), aNow, aBest);
  }
}

void Router::ConsiderUpstream(const Pool& aPool, UpstreamIndex aUpstream, const RequestSpec& aSpec,
                              core::Tokens aCached, core::Instant aNow, BestPlacement& aBest)
{
  const UpstreamState& state = mFleet.At(aUpstream);
  const core::Tokens uncached = UncachedTokensAt(state, aSpec, aCached);
  if (!CanAccept(aPool, aUpstream, aSpec, uncached, aNow)) {
    return;
  }
  const double cost = PredictCost(state, aSpec, uncached, aNow);
  if (!aBest.placement || cost < aBest.cost) {
    aBest.placement = Placement{ .upstream = aUpstream, .uncachedTokens = uncached };
    aBest.cost = cost;
  }
}

bool Router::CanAccept(const Pool& aPool, UpstreamIndex aUpstream, const RequestSpec& aSpec,
                       core::Tokens aUncached, core::Instant aNow) const
{
  const UpstreamState& state = mFleet.At(aUpstream);
  return state.live && IsHealthy(state, aNow) && HasCapacity(aPool, state, aSpec) &&
         MeetsTarget(state, aSpec, aUncached, aNow);
}

bool Router::IsHealthy(const UpstreamState& aState, core::Instant aNow) const
{
  if (aNow < aState.backoffUntil) {
    return false;
  }
  if (mSettings.healthPolicy == HealthPolicy::CircuitBreaker) {
    return aState.circuitBreaker.AllowsRequest(aNow, aState.load.LocalInFlight());
  }
  if (aState.health.ejected) {
    return false;
  }
  return !aState.health.onProbation ||
         aState.load.LocalInFlight() < mSettings.outlierDetector.maxProbationRequests;
}

bool Router::HasCapacity(const Pool& aPool, const UpstreamState& aState,
                         const RequestSpec& aSpec) const
{
  const std::size_t tier = std::min<std::size_t>(aSpec.tier, kTierCount - 1);
  // The shares reserved by another region for its own higher tiers are unknown, so a fixed share is
  // used.
  const auto& shares =
    aState.acceptsLongPrefill ? aPool.tierShares.longPrefill : aPool.tierShares.shortPrefill;
  const double otherRegionShare =
    tier == 0 ? mSettings.otherRegionTopTierShare : mSettings.otherRegionShare;
  const double tierShare = aState.sameRegion ? shares[tier] : otherRegionShare;
  const double slots = std::max(1U, aState.announcement.slots);
  // Only the highest tier may fill an upstream beyond its slots. Its bursts are over before the
  // token interval suffers, whereas long responses of lower tiers would remain.
  const double limit = tier == 0 ? aState.limit.Value() : std::min(aState.limit.Value(), slots);
  const double maxInFlight = std::max(1.0, limit * tierShare);
  if (aState.grantedSlots != capacity::CapacityView::kUnlimited) {
    // A grant counts announced slots; the capacity of a slot is learned from the token interval.
    const double maxLocalInFlight = std::max(1.0, aState.grantedSlots * limit / slots * tierShare);
    const bool hasRoom = aState.load.InFlight() + 1 <= maxInFlight * mSettings.maxLoadWithGrant;
    return hasRoom && aState.grantedSlots > 0 &&
           aState.load.LocalInFlight() + 1 <= maxLocalInFlight;
  }
  return aState.load.InFlight() + 1 <= maxInFlight;
}

bool Router::MeetsTarget(const UpstreamState& aState, const RequestSpec& aSpec,
                         core::Tokens aUncached, core::Instant aNow) const
{
  const core::Duration prefill = aState.rates.PredictPrefill(aUncached);
  if (aSpec.tier > 0 && prefill > mSettings.longPrefillThreshold && !aState.acceptsLongPrefill) {
    return false;
  }
  const core::Duration backlog = aState.rates.PredictPrefill(PrefillBacklog(aState, aNow));
  if (aSpec.tier > 0 && backlog > mSettings.maxLowerTierBacklog) {
    return false;
  }
  if (!IsWithinPrefillBudget(aState, aUncached)) {
    return false;
  }
  if (aState.rates.SampleCount() < mSettings.minRateSamples && aState.load.LocalInFlight() == 0) {
    return true;
  }
  const double age = static_cast<double>(aState.load.ReportAge(aNow).count()) / kMicrosPerSecond;
  const double ageSpread = aState.load.HasReport() ? age * mSettings.reportAgeErrorPerSecond : 0;
  const double spread =
    mSettings.predictionErrorWeight * aState.rates.PredictionError() + ageSpread;
  const core::Instant predicted =
    aNow + core::Scaled(PredictFirstToken(aState, aUncached, aNow), 1 + spread);
  const core::Instant target = aSpec.arrival + aSpec.firstTokenTarget;
  if (predicted <= target) {
    return true;
  }
  // Past its target, a request still runs if its deadline permits, but it does not queue at an
  // upstream if even an idle upstream would miss the target.
  const core::Instant idleFirstToken = aNow + aState.rates.PredictFirstToken(aUncached);
  return idleFirstToken > target && predicted <= aSpec.deadline;
}

bool Router::IsWithinPrefillBudget(const UpstreamState& aState, core::Tokens aUncached) const
{
  if (aState.load.LocalPrefill().value == 0) {
    return true;
  }
  const bool hasGrant = aState.grantedSlots != capacity::CapacityView::kUnlimited;
  const double slots = std::max(1U, aState.announcement.slots);
  const double shareWithoutGrant = aState.sameRegion ? 1.0 : mSettings.otherRegionPrefillShare;
  const double share = hasGrant ? std::min(1.0, aState.grantedSlots / slots) : shareWithoutGrant;
  const core::Duration prefill =
    aState.rates.PredictPrefill(aState.load.LocalPrefill() + aUncached);
  return prefill <= core::Scaled(mSettings.prefillBudget, share);
}

core::Tokens Router::UncachedTokens(UpstreamIndex aUpstream, const RequestSpec& aSpec) const
{
  const PrefixHolders holders = mFleet.Prefixes().FindHolders(aSpec.prefixHashes);
  return UncachedTokensAt(mFleet.At(aUpstream), aSpec, holders.CachedTokens(aUpstream));
}

core::Tokens Router::MinUncachedTokens(const RequestSpec& aSpec) const
{
  const PrefixHolders holders = mFleet.Prefixes().FindHolders(aSpec.prefixHashes);
  core::Tokens maxCached{ 0 };
  for (std::size_t n = 0; n < holders.count; ++n) {
    maxCached = std::max(maxCached, holders.holders[n].cachedTokens);
  }
  return std::max(core::Tokens{ 0 }, aSpec.promptTokens - maxCached);
}

core::Tokens Router::UncachedTokensAt(const UpstreamState& aState, const RequestSpec& aSpec,
                                      core::Tokens aCached) const
{
  const auto cached = static_cast<double>(aCached.value) * aState.cacheConfidence;
  return std::max(core::Tokens{ 0 },
                  aSpec.promptTokens - core::Tokens{ static_cast<std::int64_t>(cached) });
}

core::Tokens Router::PrefillBacklog(const UpstreamState& aState, core::Instant aNow) const
{
  // Prefill progresses between the first tokens that show it.
  const core::Tokens computed =
    aState.rates.PredictPrefilledTokens(aNow - aState.load.LastPrefillProgress());
  const core::Tokens local = std::max(core::Tokens{ 0 }, aState.load.LocalPrefill() - computed);
  return local + aState.load.RemotePrefill();
}

core::Duration Router::PredictFirstToken(const UpstreamState& aState, core::Tokens aUncached,
                                         core::Instant aNow) const
{
  const core::Duration time =
    aState.rates.PredictFirstToken(aUncached + PrefillBacklog(aState, aNow));
  return aState.sameRegion ? time : time + 2 * mSettings.interRegionDelay;
}

double Router::PredictCost(const UpstreamState& aState, const RequestSpec& aSpec,
                           core::Tokens aUncached, core::Instant aNow)
{
  const auto firstToken = static_cast<double>(aState.rates.PredictFirstToken(aUncached).count());
  const auto queueing =
    static_cast<double>(aState.rates.PredictPrefill(PrefillBacklog(aState, aNow)).count());
  const double fillLevel = aState.load.InFlight() / std::max(1.0, aState.limit.Value());
  double cost = firstToken * mSettings.prefillWeight + queueing;
  cost += fillLevel * static_cast<double>(mSettings.fullBatchCost.count());
  if (aState.acceptsLongPrefill &&
      aState.rates.PredictPrefill(aUncached) <= mSettings.longPrefillThreshold) {
    cost += static_cast<double>(mSettings.longPrefillPenalty.count());
  }
  if (!aState.sameRegion) {
    const auto tokens = static_cast<double>((aSpec.promptTokens + aSpec.maxOutputTokens).value);
    cost += tokens * mSettings.bytesPerToken * mSettings.microsPerInterRegionByte;
  }
  return cost * (1 + mSettings.costJitter * mRandom.Uniform());
}

} // namespace cuminfield::request::routing
