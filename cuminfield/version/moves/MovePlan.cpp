#include "cuminfield/version/moves/MovePlan.h"

#include <algorithm>

namespace cuminfield::version::moves {

MovePlan::MovePlan(const MovePlanSettings& aSettings, core::WallTime aCanaryStart,
                   core::WallTime aFinishBy)
  : mSettings(aSettings)
  , mCanaryStart(aCanaryStart)
  , mFinishBy(std::max(aFinishBy, aCanaryStart + aSettings.minDuration))
{
}

StepAdvice MovePlan::Advise(std::uint32_t aStep, core::WallTime aReachedAt, core::WallTime aNow,
                            std::uint64_t aStepRequests, std::uint64_t aTotalRequests,
                            bool aCoversBusyRoutes) const
{
  const double due = aStep < StepCount() ? mSettings.steps[aStep].due : mSettings.doneDue;
  const core::Duration minDwellTime = TimeAt(mSettings.minStepFraction) - mCanaryStart;
  if (aNow < TimeAt(due) || aNow < aReachedAt + minDwellTime) {
    return StepAdvice::NotDue;
  }
  if (aStepRequests >= mSettings.minStepRequests && aCoversBusyRoutes) {
    return StepAdvice::Proceed;
  }
  // The last steps have no grace period, since the time remaining until finish-by is shorter.
  const double grace = aStep + 1 >= StepCount() ? 0.0 : mSettings.graceFraction;
  if (aNow < TimeAt(due + grace)) {
    return StepAdvice::NeedsMoreRequests;
  }
  return aTotalRequests >= mSettings.minTotalRequests ? StepAdvice::Proceed
                                                      : StepAdvice::TooLittleTraffic;
}

core::WallTime MovePlan::TimeAt(double aFraction) const
{
  const double span = static_cast<double>((mFinishBy - mCanaryStart).count());
  return mCanaryStart + core::Duration(static_cast<std::int64_t>(span * aFraction));
}

} // namespace cuminfield::version::moves
