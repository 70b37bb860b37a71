#pragma once

#include "cuminfield/core/TimerService.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

namespace cuminfield::performance_test::log {

/// Minimal event loop in real time: runs timers and functions posted by other threads.
class RealTimeLoop : public core::TimerService
{
public:
  RealTimeLoop();

  core::Instant Now() const override { return mNow; }
  core::WallTime WallNow() const override;

  /// Queues a function to run on the loop. Thread-safe.
  void Post(std::function<void()> aFunction);

  /// Runs the loop until aEnd.
  void RunUntil(core::Instant aEnd);

  /// Reads the steady clock; Now() returns the start of the current loop iteration instead.
  static core::Instant ReadClock();

private:
  void RunPosted();
  void WaitForWork(core::Instant aEnd);

  core::Instant mNow;
  std::mutex mMutex;
  std::condition_variable mWakeCondition;
  std::vector<std::function<void()>> mPosted; ///< Guarded by mMutex.
};

} // namespace cuminfield::performance_test::log
