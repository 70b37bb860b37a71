#include "PerformanceTest/log/RealTimeLoop.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cuminfield::performance_test::log {

RealTimeLoop::RealTimeLoop()
  : mNow(ReadClock())
{
}

core::Instant RealTimeLoop::ReadClock()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return core::Instant(std::chrono::duration_cast<core::Duration>(now));
}

core::WallTime RealTimeLoop::WallNow() const
{
  return std::chrono::time_point_cast<core::Duration>(std::chrono::system_clock::now());
}

void RealTimeLoop::Post(std::function<void()> aFunction)
{
  {
    const std::lock_guard lock(mMutex);
    mPosted.push_back(std::move(aFunction));
  }
  mWakeCondition.notify_one();
}

void RealTimeLoop::RunUntil(core::Instant aEnd)
{
  while (ReadClock() < aEnd) {
    mNow = ReadClock();
    RunPosted();
    RunDueTimers();
    WaitForWork(aEnd);
  }
}

void RealTimeLoop::RunPosted()
{
  std::vector<std::function<void()>> posted;
  {
    const std::lock_guard lock(mMutex);
    posted.swap(mPosted);
  }
  for (const auto& it : posted) {
    it();
  }
}

void RealTimeLoop::WaitForWork(core::Instant aEnd)
{
  const core::Instant due = std::min(NextDueTime().value_or(aEnd), aEnd);
  const core::Duration remaining = due - ReadClock();
  std::unique_lock lock(mMutex);
  if (mPosted.empty() && remaining > core::Duration::zero()) {
    mWakeCondition.wait_for(lock, remaining, [this] { return !mPosted.empty(); });
  }
}

} // namespace cuminfield::performance_test::log
