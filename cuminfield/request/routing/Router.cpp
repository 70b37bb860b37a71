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

std::optional<Placement> Router::Choose(const Pool& aPool, const RequestSpec& aSpec, bool aRemote,
                                        core::Instant aNow)
{
  const PrefixHolders holders = mFleet.Prefixes().Find(aSpec.prefixHashes);
  Best best;
  ScanList(aPool, aPool.local, aSpec, holders, aNow, best);
  if (!best.placement && aRemote) {
    ScanList(aPool, aPool.remote, aSpec, holders, aNow, best);
  }
  return best.placement;
}

void Router::ScanList(const Pool& aPool, const std::vector<UpstreamIndex>& aList,
                      const RequestSpec& aSpec, const PrefixHolders& aHolders, core::Instant aNow,
                      Best& aBest)
{
  if (aList.size() <= mSettings.choices) {
    for (const UpstreamIndex it : aList) {
      Consider(aPool, it, aSpec, aHolders.Cached(it), aNow, aBest);
    }
    return;
  }
  for (std::size_t n = 0; n < aHolders.count; ++n) {
    const PrefixHolder& it = aHolders.holders[n];
    if (std::binary_search(aList.begin(), aList.end(), it.upstream)) {
      Consider(aPool, it.upstream, aSpec, it.cached, aNow, aBest);
    }
  }
  for (std::uint32_t n = 0; n < mSettings.choices; ++n) {
    const UpstreamIndex it = aList[mRandom.Below(aList.size())];
    Consider(aPool, it, aSpec, aHolders.Cached(it), aNow, aBest);
  }
}

void Router::Consider(const Pool& aPool, UpstreamIndex aUpstream, const RequestSpec& aSpec,
                      core::Tokens aCached, core::Instant aNow, Best& aBest)
{
  const UpstreamState& state = mFleet.At(aUpstream);
  const core::Tokens uncached = UncachedAt(state, aSpec, aCached);
  if (!Fits(aPool, aUpstream, aSpec, uncached, aNow)) {
    return;
  }
  const double score = Score(state, aSpec, uncached, aNow);
  if (!aBest.placement || score < aBest.score) {
    aBest.placement = Placement{ .upstream = aUpstream, .uncached = uncached };
    aBest.score = score;
  }
}

bool Router::Fits(const Pool& aPool, UpstreamIndex aUpstream, const RequestSpec& aSpec,
                  core::Tokens aUncached, core::Instant aNow) const
{
  const UpstreamState& state = mFleet.At(aUpstream);
  return state.live && Healthy(state, aNow) && HasRoom(aPool, state, aSpec) &&
         InTime(state, aSpec, aUncached, aNow);
}

bool Router::Healthy(const UpstreamState& aState, core::Instant aNow) const
{
  if (aNow < aState.pausedUntil) {
    return false;
  }
  if (mSettings.health == HealthPolicy::Circuit) {
    return aState.circuit.Allows(aNow, aState.load.Own());
  }
  if (aState.health.ejected) {
    return false;
  }
  return !aState.health.probation || aState.load.Own() < mSettings.peers.probes;
}

bool Router::HasRoom(const Pool& aPool, const UpstreamState& aState, const RequestSpec& aSpec) const
{
  const std::size_t tier = std::min<std::size_t>(aSpec.tier, kTierCount - 1);
  // What another region keeps for its own higher tiers is not known here; a fixed part stands in.
  const auto& shares = aState.takesLong ? aPool.shares.slow : aPool.shares.quick;
  const double remote = tier == 0 ? mSettings.remoteTopShare : mSettings.remoteShare;
  const double share = aState.local ? shares[tier] : remote;
  const double slots = std::max(1U, aState.announcement.slots);
  // Only the highest tier may fill an upstream beyond its slots: its bursts pass before the pace
  // suffers, where the long answers of lower tiers would stay.
  const double limit = tier == 0 ? aState.limit.Value() : std::min(aState.limit.Value(), slots);
  const double most = std::max(1.0, limit * share);
  if (aState.grant != capacity::CapacityView::kUnlimited) {
    // A grant is in announced slots; what a slot is worth is learned from the pace of tokens.
    const double granted = std::max(1.0, aState.grant * limit / slots * share);
    const bool room = aState.load.InFlight() + 1 <= most * mSettings.overGrant;
    return room && aState.grant > 0 && aState.load.Own() + 1 <= granted;
  }
  return aState.load.InFlight() + 1 <= most;
}

bool Router::InTime(const UpstreamState& aState, const RequestSpec& aSpec, core::Tokens aUncached,
                    core::Instant aNow) const
{
  const core::Duration own = aState.rates.Prefill(aUncached);
  if (aSpec.tier > 0 && own > mSettings.longPrefill && !aState.takesLong) {
    return false;
  }
  const core::Duration backlog = aState.rates.Prefill(Backlog(aState, aNow));
  if (aSpec.tier > 0 && backlog > mSettings.lowerBacklog) {
    return false;
  }
  if (!InPrefillBudget(aState, aUncached)) {
    return false;
  }
  if (aState.rates.Samples() < mSettings.trustedSamples && aState.load.Own() == 0) {
    return true;
  }
  const double age = static_cast<double>(aState.load.Age(aNow).count()) / kMicrosPerSecond;
  const double ageSpread = aState.load.HasReport() ? age * mSettings.agePerSecond : 0;
  const double spread = mSettings.spreadWeight * aState.rates.Spread() + ageSpread;
  const core::Instant predicted =
    aNow + core::Scaled(FirstToken(aState, aUncached, aNow), 1 + spread);
  const core::Instant target = aSpec.arrival + aSpec.firstTokenTarget;
  if (predicted <= target) {
    return true;
  }
  // Past its target a request still runs if that is what its deadline allows, but it does not
  // queue at an upstream for the sake of a target that an idle one would also miss.
  const core::Instant idle = aNow + aState.rates.FirstToken(aUncached);
  return idle > target && predicted <= aSpec.deadline;
}

bool Router::InPrefillBudget(const UpstreamState& aState, core::Tokens aUncached) const
{
  if (aState.load.OwnPrefill().value == 0) {
    return true;
  }
  const bool shared = aState.grant != capacity::CapacityView::kUnlimited;
  const double slots = std::max(1U, aState.announcement.slots);
  const double alone = aState.local ? 1.0 : mSettings.remotePrefill;
  const double part = shared ? std::min(1.0, aState.grant / slots) : alone;
  const core::Duration own = aState.rates.Prefill(aState.load.OwnPrefill() + aUncached);
  return own <= core::Scaled(mSettings.prefillBudget, part);
}

core::Tokens Router::Uncached(UpstreamIndex aUpstream, const RequestSpec& aSpec) const
{
  const PrefixHolders holders = mFleet.Prefixes().Find(aSpec.prefixHashes);
  return UncachedAt(mFleet.At(aUpstream), aSpec, holders.Cached(aUpstream));
}

core::Tokens Router::LeastUncached(const RequestSpec& aSpec) const
{
  const PrefixHolders holders = mFleet.Prefixes().Find(aSpec.prefixHashes);
  core::Tokens most{ 0 };
  for (std::size_t n = 0; n < holders.count; ++n) {
    most = std::max(most, holders.holders[n].cached);
  }
  return std::max(core::Tokens{ 0 }, aSpec.promptTokens - most);
}

core::Tokens Router::UncachedAt(const UpstreamState& aState, const RequestSpec& aSpec,
                                core::Tokens aCached) const
{
  const auto cached = static_cast<double>(aCached.value) * aState.cacheTrust;
  return std::max(core::Tokens{ 0 },
                  aSpec.promptTokens - core::Tokens{ static_cast<std::int64_t>(cached) });
}

core::Tokens Router::Backlog(const UpstreamState& aState, core::Instant aNow) const
{
  // Prefill goes on between the first tokens that show it.
  const core::Tokens done = aState.rates.Progress(aNow - aState.load.LastProgress());
  const core::Tokens own = std::max(core::Tokens{ 0 }, aState.load.OwnPrefill() - done);
  return own + aState.load.OthersPrefill();
}

core::Duration Router::FirstToken(const UpstreamState& aState, core::Tokens aUncached,
                                  core::Instant aNow) const
{
  const core::Duration time = aState.rates.FirstToken(aUncached + Backlog(aState, aNow));
  return aState.local ? time : time + 2 * mSettings.regionDelay;
}

double Router::Score(const UpstreamState& aState, const RequestSpec& aSpec, core::Tokens aUncached,
                     core::Instant aNow)
{
  const auto own = static_cast<double>(aState.rates.FirstToken(aUncached).count());
  const auto queued = static_cast<double>(aState.rates.Prefill(Backlog(aState, aNow)).count());
  const double fill = aState.load.InFlight() / std::max(1.0, aState.limit.Value());
  double score = own * mSettings.prefillWeight + queued;
  score += fill * static_cast<double>(mSettings.batchWeight.count());
  if (aState.takesLong && aState.rates.Prefill(aUncached) <= mSettings.longPrefill) {
    score += static_cast<double>(mSettings.longPenalty.count());
  }
  if (!aState.local) {
    const auto tokens = static_cast<double>((aSpec.promptTokens + aSpec.maxOutputTokens).value);
    score += tokens * mSettings.bytesPerToken * mSettings.microsPerRegionByte;
  }
  return score * (1 + mSettings.jitter * mRandom.Uniform());
}

} // namespace cuminfield::request::routing
