#include "cuminfield/request/routing/InFlightLimit.h"

#include <algorithm>

namespace cuminfield::request::routing {

InFlightLimit::InFlightLimit(const InFlightLimitSettings& aSettings, std::uint32_t aSlots)
  : mSettings(aSettings)
  , mSlots(std::max(1.0, static_cast<double>(aSlots)))
  , mLimit(mSlots * aSettings.start)
{
}

void InFlightLimit::Adjust(core::Duration aGap, core::Duration aTarget, double aInFlight,
                           core::Instant aNow)
{
  if (aTarget.count() <= 0 || aNow - mAdjusted < mSettings.period) {
    return;
  }
  mAdjusted = aNow;
  const auto allowed = static_cast<double>(aTarget.count()) * mSettings.safety;
  if (static_cast<double>(aGap.count()) > allowed) {
    mLimit *= mSettings.decrease;
  } else if (aInFlight > mLimit * mSettings.used) {
    mLimit += mSettings.increase;
  }
  mLimit = std::clamp(mLimit, std::max(1.0, mSlots * mSettings.least), mSlots * mSettings.most);
}

} // namespace cuminfield::request::routing
