#include "TestFramework/time/ManualTimerService.h"

namespace cuminfield::test_framework::time {

ManualTimerService::ManualTimerService(core::Duration aStart)
  : mNow(aStart)
  , mWall(aStart)
{
}

void ManualTimerService::Advance(core::Duration aDuration)
{
  const core::Instant end = mNow + aDuration;
  while (Step(end)) {
  }
  MoveTo(end);
}

bool ManualTimerService::Step(core::Instant aLimit)
{
  const auto due = NextDueTime();
  if (!due || *due > aLimit) {
    return false;
  }
  MoveTo(std::max(*due, mNow));
  RunDueTimers();
  return true;
}

void ManualTimerService::MoveTo(core::Instant aInstant)
{
  mWall += aInstant - mNow;
  mNow = aInstant;
}

} // namespace cuminfield::test_framework::time
