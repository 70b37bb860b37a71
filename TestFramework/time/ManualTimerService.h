#pragma once

#include "cuminfield/core/TimerService.h"

namespace cuminfield::test_framework::time {

/// Virtual time for tests and measurements: moves only when told to, and runs timers on the way.
class ManualTimerService : public core::TimerService
{
public:
  /// Starts at aStart in both monotonic and civil time.
  explicit ManualTimerService(core::Duration aStart = std::chrono::seconds(1'000));

  core::Instant Now() const override { return mNow; }
  core::WallTime WallNow() const override { return mWall; }

  /// Moves time forward by aDuration, running each timer at its due time.
  void Advance(core::Duration aDuration);

  /// Runs the next timer, moving time to it; false when there is none up to aLimit.
  bool Step(core::Instant aLimit);

  /// Steps civil time alone, as an operator who sets the clock.
  void StepWall(core::Duration aDuration) { mWall += aDuration; }

private:
  void MoveTo(core::Instant aInstant);

  core::Instant mNow;
  core::WallTime mWall;
};

} // namespace cuminfield::test_framework::time
