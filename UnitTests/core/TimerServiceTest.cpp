#include "TestFramework/time/ManualTimerService.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using cuminfield::core::TimerHandle;
using cuminfield::test_framework::time::ManualTimerService;

TEST_GROUP(TimerService){};

TEST(TimerService, RunsTimersInOrderOfDueTime)
{
  ManualTimerService timers;
  std::string order;
  const TimerHandle late = timers.ScheduleAfter(20ms, [&] { order += "b"; });
  const TimerHandle early = timers.ScheduleAfter(10ms, [&] { order += "a"; });
  timers.Advance(15ms);
  STRCMP_EQUAL("a", order.c_str());
  timers.Advance(5ms);
  STRCMP_EQUAL("ab", order.c_str());
}

TEST(TimerService, CancelledTimerDoesNotRun)
{
  ManualTimerService timers;
  int count = 0;
  TimerHandle handle = timers.ScheduleEvery(10ms, [&] { ++count; });
  timers.Advance(35ms);
  handle.Cancel();
  timers.Advance(100ms);
  LONGS_EQUAL(3, count);
}

TEST(TimerService, TimerMayCancelItself)
{
  ManualTimerService timers;
  int count = 0;
  TimerHandle handle;
  handle = timers.ScheduleEvery(10ms, [&] {
    ++count;
    handle.Cancel();
  });
  timers.Advance(100ms);
  LONGS_EQUAL(1, count);
}

TEST(TimerService, ZeroDelayTimerDoesNotStarveTheLoop)
{
  ManualTimerService timers;
  int count = 0;
  TimerHandle handle;
  std::function<void()> reschedule = [&] {
    if (++count < 1000) {
      handle = timers.ScheduleAfter(0ms, [&] { reschedule(); });
    }
  };
  handle = timers.ScheduleAfter(0ms, [&] { reschedule(); });
  CHECK(timers.RunNextTimer(timers.Now()));
  LONGS_EQUAL(1, count);
}
