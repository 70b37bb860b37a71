#pragma once

#include "cuminfield/core/TimerService.h"

namespace cuminfield::test_framework::time {

/// Timer service with virtual time for tests and simulations. Time advances only on request.
class ManualTimerService : public core::TimerService
{
public:
  /// Both the monotonic and the wall clock start at aStart.
  explicit ManualTimerService(core::Duration aStart = std::chrono::seconds(1'000));

  core::Instant Now() const override { return mNow; }
  core::WallTime WallNow() const override { return mWallNow; }

  /// Advances both clocks by aDuration and runs each timer at its due time.
  void Advance(core::Duration aDuration);

  /// Advances to the next due time and runs its timers. Returns false if none is due by aLimit.
  bool RunNextTimer(core::Instant aLimit);

  /// Advances both clocks without running timers, like a process that does not run for a while. Due
  /// timers run late, with the next Advance().
  void Stall(core::Duration aDuration) { SetNow(mNow + aDuration); }

  /// Changes only the wall clock, like an operator who sets the system time.
  void StepWallClock(core::Duration aDuration) { mWallNow += aDuration; }

private:
  void SetNow(core::Instant aInstant);

  core::Instant mNow;
  core::WallTime mWallNow;
};

} // namespace cuminfield::test_framework::time
