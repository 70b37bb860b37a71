#pragma once

#include "cuminfield/core/Units.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cuminfield::core {

/// Owns one timer; destroying the handle or assigning to it cancels the timer.
class TimerHandle
{
public:
  TimerHandle() = default;
  explicit TimerHandle(std::shared_ptr<bool> aActive)
    : mActive(std::move(aActive))
  {
  }
  ~TimerHandle() { Cancel(); }
  TimerHandle(TimerHandle&&) = default;
  TimerHandle& operator=(TimerHandle&& aOther) noexcept
  {
    Cancel();
    mActive = std::move(aOther.mActive);
    return *this;
  }
  TimerHandle(const TimerHandle&) = delete;
  TimerHandle& operator=(const TimerHandle&) = delete;

  /// Cancels the timer; its slot is not called again.
  void Cancel()
  {
    if (mActive) {
      *mActive = false;
      mActive.reset();
    }
  }

  /// True until the timer is cancelled or, if it is not periodic, has fired.
  bool IsActive() const { return mActive && *mActive; }

private:
  std::shared_ptr<bool> mActive;
};

/// Clock and timers of the process. Slots run on the loop, ordered by due time and then by the
/// order in which they were scheduled. A subclass supplies the time and calls RunDueTimers(). Must
/// be used on the loop's thread only; there are no locks.
class TimerService
{
public:
  virtual ~TimerService() = default;

  /// Returns the monotonic time, fixed while one event is handled.
  virtual Instant Now() const = 0;

  /// Returns the wall clock time, which may jump.
  virtual WallTime WallNow() const = 0;

  /// Calls aSlot once after aDelay.
  [[nodiscard]] TimerHandle ScheduleAfter(Duration aDelay, sigc::slot<void()> aSlot);

  /// Calls aSlot every aPeriod (positive), first after one period. Missed periods are skipped.
  [[nodiscard]] TimerHandle ScheduleEvery(Duration aPeriod, sigc::slot<void()> aSlot);

protected:
  /// Runs all timers that are due at Now().
  void RunDueTimers();

  /// Returns the due time of the next timer, if any.
  std::optional<Instant> NextDueTime();

  /// Called when the earliest due time may have changed.
  virtual void Rearm() {}

private:
  struct Timer
  {
    Instant due;
    std::uint64_t sequence = 0;
    Duration period{ 0 }; ///< Zero if not periodic.
    sigc::slot<void()> slot;
    std::shared_ptr<bool> active;
  };

  TimerHandle AddTimer(Duration aDelay, Duration aPeriod, sigc::slot<void()> aSlot);
  void PushTimer(Timer aTimer);
  Timer PopTimer();
  void RemoveCancelledTimers();
  static bool IsLater(const Timer& aLeft, const Timer& aRight);

  std::vector<Timer> mTimers; ///< Binary heap, earliest first.
  std::uint64_t mNextSequence = 0;
};

} // namespace cuminfield::core
