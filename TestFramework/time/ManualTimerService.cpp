#include "TestFramework/time/ManualTimerService.h"

namespace cuminfield::test_framework::time {

ManualTimerService::ManualTimerService(core::Duration aStart)
  : mNow(aStart)
  , mWallNow(aStart)
{
}

void ManualTimerService::Advance(core::Duration aDuration)
{
  const core::Instant end = mNow + aDuration;
  while (RunNextTimer(end)) {
  }
  SetNow(end);
}

bool ManualTimerService::RunNextTimer(core::Instant aLimit)
{
  const auto due = NextDueTime();
  if (!due || *due > aLimit) {
    return false;
  }
  SetNow(std::max(*due, mNow));
  RunDueTimers();
  return true;
}

void ManualTimerService::SetNow(core::Instant aInstant)
{
  mWallNow += aInstant - mNow;
  mNow = aInstant;
}

} // namespace cuminfield::test_framework::time
