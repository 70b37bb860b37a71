#include "cuminfield/process/cluster/RoundPacer.h"

#include <algorithm>

namespace cuminfield::process::cluster {

namespace {

/// Timers fire slightly early or late relative to the last round.
constexpr core::Duration kTimerTolerance = std::chrono::milliseconds(5);

} // namespace

core::Duration RoundPacer::Interval(bool aHasBacklog) const
{
  const core::Duration wanted = aHasBacklog ? mSettings.backlogInterval : mSettings.idleInterval;
  const core::Duration affordable = core::Scaled(mMeanDuration, 1 / mSettings.maxLoad);
  return std::min(std::max(wanted, affordable), mSettings.maxInterval);
}

bool RoundPacer::IsDue(core::Instant aNow, bool aHasBacklog) const
{
  return aNow - mLastStart + kTimerTolerance >= Interval(aHasBacklog);
}

void RoundPacer::OnRoundSent(core::Instant aStart, core::Instant aEnd)
{
  mLastStart = aStart;
  mMeanDuration += core::Scaled(aEnd - aStart - mMeanDuration, mSettings.learningRate);
}

} // namespace cuminfield::process::cluster
