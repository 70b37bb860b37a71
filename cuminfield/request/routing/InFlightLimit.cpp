#include "cuminfield/request/routing/InFlightLimit.h"

#include <algorithm>

namespace cuminfield::request::routing {

InFlightLimit::InFlightLimit(const InFlightLimitSettings& aSettings, std::uint32_t aSlots)
  : mSettings(aSettings)
  , mSlots(std::max(1.0, static_cast<double>(aSlots)))
  , mLimit(mSlots * aSettings.initialShare)
{
}

void InFlightLimit::Adjust(core::Duration aTokenInterval, core::Duration aTarget, double aInFlight,
                           core::Instant aNow)
{
  if (aTarget.count() <= 0 || aNow - mLastAdjustmentAt < mSettings.adjustPeriod) {
    return;
  }
  mLastAdjustmentAt = aNow;
  const auto maxInterval = static_cast<double>(aTarget.count()) * mSettings.targetShare;
  if (static_cast<double>(aTokenInterval.count()) > maxInterval) {
    mLimit *= mSettings.decreaseFactor;
  } else if (aInFlight > mLimit * mSettings.minUtilization) {
    mLimit += mSettings.increaseStep;
  }
  mLimit =
    std::clamp(mLimit, std::max(1.0, mSlots * mSettings.minShare), mSlots * mSettings.maxShare);
}

} // namespace cuminfield::request::routing
