#include "cuminfield/version/moves/MovePlan.h"

#include <algorithm>

namespace cuminfield::version::moves {

MovePlan::MovePlan(const MovePlanSettings& aSettings, core::WallTime aBegun,
                   core::WallTime aFinishBy)
  : mSettings(aSettings)
  , mCanaryStart(aBegun)
  , mFinishBy(std::max(aFinishBy, aBegun + aSettings.minDuration))
{
}

StepAdvice MovePlan::Advise(std::uint32_t aStep, core::WallTime aReached, core::WallTime aNow,
                            std::uint64_t aSeen, std::uint64_t aSeenInAll, bool aSpread) const
{
  const double due = aStep < StepCount() ? mSettings.steps[aStep].due : mSettings.doneDue;
  const core::Duration stay = TimeAt(mSettings.minStepFraction) - mCanaryStart;
  if (aNow < TimeAt(due) || aNow < aReached + stay) {
    return StepAdvice::NotDue;
  }
  if (aSeen >= mSettings.minStepRequests && aSpread) {
    return StepAdvice::Proceed;
  }
  // The last steps have no grace period, since the time remaining until finish-by is shorter.
  const double grace = aStep + 1 >= StepCount() ? 0.0 : mSettings.graceFraction;
  if (aNow < TimeAt(due + grace)) {
    return StepAdvice::NeedsMoreRequests;
  }
  return aSeenInAll >= mSettings.minTotalRequests ? StepAdvice::Proceed
                                                  : StepAdvice::TooLittleTraffic;
}

core::WallTime MovePlan::TimeAt(double aPart) const
{
  const double span = static_cast<double>((mFinishBy - mCanaryStart).count());
  return mCanaryStart + core::Duration(static_cast<std::int64_t>(span * aPart));
}

} // namespace cuminfield::version::moves
