#include "PerformanceTest/log/RealLoop.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cuminfield::performance_test::log {

RealLoop::RealLoop()
  : mNow(ReadClock())
{
}

core::Instant RealLoop::ReadClock()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return core::Instant(std::chrono::duration_cast<core::Duration>(now));
}

core::WallTime RealLoop::WallNow() const
{
  return std::chrono::time_point_cast<core::Duration>(std::chrono::system_clock::now());
}

void RealLoop::Post(std::function<void()> aFunction)
{
  {
    const std::lock_guard lock(mMutex);
    mPosted.push_back(std::move(aFunction));
  }
  mWake.notify_one();
}

void RealLoop::RunUntil(core::Instant aEnd)
{
  while (ReadClock() < aEnd) {
    mNow = ReadClock();
    RunPosted();
    RunDueTimers();
    Wait(aEnd);
  }
}

void RealLoop::RunPosted()
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

void RealLoop::Wait(core::Instant aEnd)
{
  const core::Instant due = std::min(NextDueTime().value_or(aEnd), aEnd);
  const core::Duration remaining = due - ReadClock();
  std::unique_lock lock(mMutex);
  if (mPosted.empty() && remaining > core::Duration::zero()) {
    mWake.wait_for(lock, remaining, [this] { return !mPosted.empty(); });
  }
}

} // namespace cuminfield::performance_test::log
