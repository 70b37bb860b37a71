#include "cuminfield/version/moves/MovePlan.h"

#include <algorithm>

namespace cuminfield::version::moves {

MovePlan::MovePlan(const MovePlanSettings& aSettings, core::WallTime aBegun,
                   core::WallTime aFinishBy)
  : mSettings(aSettings)
  , mBegun(aBegun)
  , mFinishBy(std::max(aFinishBy, aBegun + aSettings.shortest))
{
}

StepAdvice MovePlan::Advise(std::uint32_t aStep, core::WallTime aReached, core::WallTime aNow,
                            std::uint64_t aSeen, std::uint64_t aSeenInAll, bool aSpread) const
{
  const double due = aStep < Steps() ? mSettings.steps[aStep].due : mSettings.doneDue;
  const core::Duration stay = At(mSettings.leastStay) - mBegun;
  if (aNow < At(due) || aNow < aReached + stay) {
    return StepAdvice::Wait;
  }
  if (aSeen >= mSettings.stepRequests && aSpread) {
    return StepAdvice::Go;
  }
  // The last steps have no grace to give: what is left up to finish-by is shorter than it.
  const double grace = aStep + 1 >= Steps() ? 0.0 : mSettings.grace;
  if (aNow < At(due + grace)) {
    return StepAdvice::Evidence;
  }
  return aSeenInAll >= mSettings.fewestRequests ? StepAdvice::Go : StepAdvice::TooFew;
}

core::WallTime MovePlan::At(double aPart) const
{
  const double span = static_cast<double>((mFinishBy - mBegun).count());
  return mBegun + core::Duration(static_cast<std::int64_t>(span * aPart));
}

} // namespace cuminfield::version::moves
