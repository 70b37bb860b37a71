#include "cuminfield/core/EventLoop.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>

using namespace std::chrono_literals;
using namespace cuminfield;

TEST_GROUP(EventLoop){};

TEST(EventLoop, HighPriorityTasksRunFirst)
{
  core::EventLoop loop;
  std::string order;
  for (int i = 0; i < 3; ++i) {
    loop.Post([&] { order += "n"; });
  }
  loop.Post([&] { order += "h"; }, core::TaskPriority::High);
  loop.Post([&] { loop.Stop(); });
  loop.Run();
  STRCMP_EQUAL("hnnn", order.c_str());
}

/// A control host that received more reports than it can handle must still run its timers. Before,
/// the loop ran all posted tasks in one turn.
TEST(EventLoop, TimersRunWhileTasksKeepComing)
{
  core::EventLoop loop;
  std::size_t tasks = 0;
  std::function<void()> repost = [&] {
    ++tasks;
    loop.Post(repost);
    loop.Post(repost);
    if (tasks > 100'000) {
      loop.Stop();
    }
  };
  loop.Post(repost);
  bool timerRan = false;
  const core::TimerHandle timer = loop.ScheduleAfter(0ms, [&] {
    timerRan = true;
    loop.Stop();
  });
  loop.Run();
  CHECK(timerRan);
  CHECK(tasks <= 200);
}
