#pragma once

#include "cuminfield/core/TimerService.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

namespace cuminfield::performance_test::log {

/// The least of a loop on real time: timers, and functions that other threads post.
class RealLoop : public core::TimerService
{
public:
  RealLoop();

  core::Instant Now() const override { return mNow; }
  core::WallTime WallNow() const override;

  /// Runs a function on the loop soon; from any thread.
  void Post(std::function<void()> aFunction);

  /// Runs until this time.
  void RunUntil(core::Instant aEnd);

  /// The time now, not that of the event being handled.
  static core::Instant ReadClock();

private:
  void RunPosted();
  void Wait(core::Instant aEnd);

  core::Instant mNow;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::vector<std::function<void()>> mPosted; ///< Guarded by mMutex.
};

} // namespace cuminfield::performance_test::log
