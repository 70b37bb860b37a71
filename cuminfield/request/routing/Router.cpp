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
                                                bool aRemote, core::Instant aNow)
{
  const PrefixHolders holders = mFleet.Prefixes().FindHolders(aSpec.prefixHashes);
  BestPlacement best;
  ConsiderUpstreams(aPool, aPool.sameRegion, aSpec, holders, aNow, best);
  if (!best.placement && aRemote) {
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
    const UpstreamIndex it = aList[mRandom.Below(aList.size())];
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
  const double score = PredictCost(state, aSpec, uncached, aNow);
  if (!aBest.placement || score < aBest.cost) {
    aBest.placement = Placement{ .upstream = aUpstream, .uncachedTokens = uncached };
    aBest.cost = score;
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
  const double remote = tier == 0 ? mSettings.otherRegionTopTierShare : mSettings.otherRegionShare;
  const double share = aState.sameRegion ? shares[tier] : remote;
  const double slots = std::max(1U, aState.announcement.slots);
  // Only the highest tier may fill an upstream beyond its slots. Its bursts are over before the
  // token interval suffers, whereas long responses of lower tiers would remain.
  const double limit = tier == 0 ? aState.limit.Value() : std::min(aState.limit.Value(), slots);
  const double most = std::max(1.0, limit * share);
  if (aState.grantedSlots != capacity::CapacityView::kUnlimited) {
    // A grant counts announced slots; the capacity of a slot is learned from the token interval.
    const double granted = std::max(1.0, aState.grantedSlots * limit / slots * share);
    const bool room = aState.load.InFlight() + 1 <= most * mSettings.maxLoadWithGrant;
    return room && aState.grantedSlots > 0 && aState.load.LocalInFlight() + 1 <= granted;
  }
  return aState.load.InFlight() + 1 <= most;
}

bool Router::MeetsTarget(const UpstreamState& aState, const RequestSpec& aSpec,
                         core::Tokens aUncached, core::Instant aNow) const
{
  const core::Duration own = aState.rates.PredictPrefill(aUncached);
  if (aSpec.tier > 0 && own > mSettings.longPrefillThreshold && !aState.acceptsLongPrefill) {
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
  const core::Instant idle = aNow + aState.rates.PredictFirstToken(aUncached);
  return idle > target && predicted <= aSpec.deadline;
}

bool Router::IsWithinPrefillBudget(const UpstreamState& aState, core::Tokens aUncached) const
{
  if (aState.load.LocalPrefill().value == 0) {
    return true;
  }
  const bool shared = aState.grantedSlots != capacity::CapacityView::kUnlimited;
  const double slots = std::max(1U, aState.announcement.slots);
  const double alone = aState.sameRegion ? 1.0 : mSettings.otherRegionPrefillShare;
  const double part = shared ? std::min(1.0, aState.grantedSlots / slots) : alone;
  const core::Duration own = aState.rates.PredictPrefill(aState.load.LocalPrefill() + aUncached);
  return own <= core::Scaled(mSettings.prefillBudget, part);
}

core::Tokens Router::UncachedTokens(UpstreamIndex aUpstream, const RequestSpec& aSpec) const
{
  const PrefixHolders holders = mFleet.Prefixes().FindHolders(aSpec.prefixHashes);
  return UncachedTokensAt(mFleet.At(aUpstream), aSpec, holders.CachedTokens(aUpstream));
}

core::Tokens Router::MinUncachedTokens(const RequestSpec& aSpec) const
{
  const PrefixHolders holders = mFleet.Prefixes().FindHolders(aSpec.prefixHashes);
  core::Tokens most{ 0 };
  for (std::size_t n = 0; n < holders.count; ++n) {
    most = std::max(most, holders.holders[n].cachedTokens);
  }
  return std::max(core::Tokens{ 0 }, aSpec.promptTokens - most);
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
  const core::Tokens done =
    aState.rates.PredictPrefilledTokens(aNow - aState.load.LastPrefillProgress());
  const core::Tokens own = std::max(core::Tokens{ 0 }, aState.load.LocalPrefill() - done);
  return own + aState.load.RemotePrefill();
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
  const auto own = static_cast<double>(aState.rates.PredictFirstToken(aUncached).count());
  const auto queued =
    static_cast<double>(aState.rates.PredictPrefill(PrefillBacklog(aState, aNow)).count());
  const double fill = aState.load.InFlight() / std::max(1.0, aState.limit.Value());
  double score = own * mSettings.prefillWeight + queued;
  score += fill * static_cast<double>(mSettings.fullBatchCost.count());
  if (aState.acceptsLongPrefill &&
      aState.rates.PredictPrefill(aUncached) <= mSettings.longPrefillThreshold) {
    score += static_cast<double>(mSettings.longPrefillPenalty.count());
  }
  if (!aState.sameRegion) {
    const auto tokens = static_cast<double>((aSpec.promptTokens + aSpec.maxOutputTokens).value);
    score += tokens * mSettings.bytesPerToken * mSettings.microsPerInterRegionByte;
  }
  return score * (1 + mSettings.costJitter * mRandom.Uniform());
}

} // namespace cuminfield::request::routing
