#include "cuminfield/request/placement/WaitPolicy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfield::request::placement {

core::Duration WaitPolicy::MaxWait(const RequestTimes& aTimes) const
{
  const core::Duration wait = std::min(core::Scaled(aTimes.target, mSettings.maxWaitTargets),
                                       core::Scaled(aTimes.deadline, mSettings.maxWaitShare));
  // A late request leaves its caller the time to wait for Retry-After and to be served elsewhere.
  const core::Duration timeElsewhere =
    core::Scaled(aTimes.serviceTime, 1 / (1 - mSettings.retryAfterShare));
  return std::min(wait, std::max(aTimes.target, aTimes.deadline - timeElsewhere));
}

void WaitPolicy::SetLoad(const std::map<TierRank, RankLoad>& aLoad, double aFreeSlots,
                         core::Instant aNow)
{
  const core::Duration elapsed = aNow - std::exchange(mUpdatedAt, aNow);
  const auto weight = [&](core::Duration aTimeConstant) {
    return 1 - std::exp(-core::Seconds(elapsed) / core::Seconds(aTimeConstant));
  };
  const double slow = weight(mSettings.slotTimeSmoothing);
  const double fast = weight(mSettings.rateSmoothing);
  const double drain = weight(mSettings.drainSmoothing);
  mFreeSlots = aFreeSlots;
  for (auto& [rank, state] : mRanks) {
    state.load = {};
  }
  for (const auto& [rank, load] : aLoad) {
    mRanks[rank].load = load;
  }
  for (auto& [rank, state] : mRanks) {
    const RankLoad& load = state.load;
    state.inFlight += slow * (load.requests - load.waiting - state.inFlight);
    state.endedPerSecond += slow * (load.donePerSecond - state.endedPerSecond);
    state.recentPerSecond += fast * (load.donePerSecond - state.recentPerSecond);
    state.waitingBefore += drain * (load.waiting - state.waitingBefore);
    if (state.endedPerSecond >= mSettings.minRateForSlotTime) {
      state.slotSeconds = state.inFlight / state.endedPerSecond;
    }
  }
}

core::Duration WaitPolicy::PredictWait(TierRank aRank) const
{
  const auto own = mRanks.find(aRank);
  if (own == mRanks.end()) {
    return core::Duration::zero();
  }
  double waiting = 0;
  double slotSecondsAhead = 0;
  double slots = mFreeSlots;
  for (const auto& [rank, state] : mRanks) {
    if (rank <= aRank) {
      waiting += state.load.waiting;
      slotSecondsAhead += state.load.waiting * state.slotSeconds;
    }
    if (rank >= aRank) {
      slots += state.load.requests - state.load.waiting;
    }
  }
  if (waiting <= mFreeSlots) {
    return core::Duration::zero();
  }
  double seconds = slotSecondsAhead / std::max(1.0, slots);
  const double ownRate = std::max(own->second.recentPerSecond, FloorPerSecond(aRank));
  if (ownRate > 0) {
    seconds = std::min(seconds, own->second.load.waiting / ownRate);
  }
  return core::FromSeconds(seconds * (waiting - mFreeSlots) / waiting);
}

core::Duration WaitPolicy::RetryAfter(TierRank aRank, core::Duration aRemaining,
                                      double aPoint) const
{
  const core::Duration longest =
    core::Scaled(std::max(aRemaining, core::Duration::zero()), mSettings.retryAfterShare);
  // A backlog that lasts longer: the latest time at which the caller still comes back.
  const core::Duration latest = core::Scaled(longest, 1 - mSettings.retryAfterSpread * aPoint);
  const core::Duration drained =
    core::Scaled(std::min(TimeToDrain(aRank).value_or(longest), longest),
                 1 + mSettings.retryAfterSpread * aPoint);
  return std::max(std::min(drained, latest), std::min(mSettings.minRetryAfter, longest));
}

std::vector<TierRank> WaitPolicy::Ranks() const
{
  std::vector<TierRank> ranks;
  for (const auto& [rank, state] : mRanks) {
    ranks.push_back(rank);
  }
  return ranks;
}

std::optional<core::Duration> WaitPolicy::TimeToDrain(TierRank aRank) const
{
  double waiting = 0;
  double before = 0;
  for (const auto& [rank, state] : mRanks) {
    waiting += rank <= aRank ? state.load.waiting : 0;
    before += rank <= aRank ? state.waitingBefore : 0;
  }
  if (waiting > 0 && waiting >= before) {
    return std::nullopt;
  }
  // An exponential mean lags behind a steady change by its time constant.
  const double perSecond = (before - waiting) / core::Seconds(mSettings.drainSmoothing);
  return waiting > 0 ? core::FromSeconds(waiting / perSecond) : core::Duration::zero();
}

double WaitPolicy::FloorPerSecond(TierRank aRank) const
{
  const auto it = mRanks.find(aRank);
  if (it == mRanks.begin() || it == mRanks.end() || it->second.slotSeconds <= 0) {
    return 0;
  }
  double slots = mFreeSlots;
  for (const auto& [rank, state] : mRanks) {
    slots += state.load.requests - state.load.waiting;
  }
  return mSettings.floorShare * slots / it->second.slotSeconds;
}

double WaitPolicy::FloorEarnedPerSecond(TierRank aRank) const
{
  const double floor = FloorPerSecond(aRank);
  if (floor <= 0) {
    return 0;
  }
  // Fades out up to twice the floor, so that a rank near its floor is not switched on and off.
  return floor * std::clamp(2 - mRanks.at(aRank).recentPerSecond / floor, 0.0, 1.0);
}

double WaitPolicy::LocalShare(TierRank aRank, double aLocal) const
{
  const auto it = mRanks.find(aRank);
  const double waiting = it == mRanks.end() ? 0 : it->second.load.waiting;
  return aLocal / std::max({ 1.0, aLocal, waiting });
}

double WaitPolicy::WaitingUpTo(TierRank aRank) const
{
  double waiting = 0;
  for (const auto& [rank, state] : mRanks) {
    waiting += rank <= aRank ? state.load.waiting : 0;
  }
  return waiting;
}

} // namespace cuminfield::request::placement
