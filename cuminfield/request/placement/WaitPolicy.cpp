#include "cuminfield/request/placement/WaitPolicy.h"

#include <algorithm>

namespace cuminfield::request::placement {

core::Duration WaitPolicy::MaxWait(const RequestTimes& aTimes) const
{
  const core::Duration wait =
    std::min(core::Scaled(aTimes.target, mSettings.maxWaitTargets),
             core::Scaled(aTimes.deadline, mSettings.maxWaitShare));
  // A late request leaves its caller the time to wait for Retry-After and to be served elsewhere.
  const core::Duration timeElsewhere =
    core::Scaled(aTimes.serviceTime, 1 / (1 - mSettings.retryAfterShare));
  return std::min(wait, std::max(aTimes.target, aTimes.deadline - timeElsewhere));
}

} // namespace cuminfield::request::placement
