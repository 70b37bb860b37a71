#pragma once

#include "cuminfield/core/Units.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cuminfield::core {

/// Keeps one timer subscription alive; destroying or resetting it cancels the timer.
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

  /// Cancels the timer; its slot is not called any more.
  void Cancel()
  {
    if (mActive) {
      *mActive = false;
      mActive.reset();
    }
  }

  /// True until cancelled or, for a single shot, until it has fired.
  bool Active() const { return mActive && *mActive; }

private:
  std::shared_ptr<bool> mActive;
};

/// The process's one source of time, to which parts subscribe. Slots run on the loop, in order of
/// their due time and, among equals, of subscription. A subclass supplies the time and calls
/// RunDue(). Owned by the loop's thread; no locks.
class TimerService
{
public:
  virtual ~TimerService() = default;

  /// Monotonic time, fixed while one event is handled.
  virtual Instant Now() const = 0;

  /// Civil time; may step.
  virtual WallTime WallNow() const = 0;

  /// Calls aSlot once, aDelay from now.
  [[nodiscard]] TimerHandle After(Duration aDelay, sigc::slot<void()> aSlot);

  /// Calls aSlot every aPeriod (positive), first after one period. A late call is not made up for.
  [[nodiscard]] TimerHandle Every(Duration aPeriod, sigc::slot<void()> aSlot);

protected:
  /// Runs every slot that is due at Now().
  void RunDue();

  /// When the next timer is due, if there is one.
  std::optional<Instant> NextDue();

  /// Called after the earliest due time may have moved forward.
  virtual void Rearm() {}

private:
  struct Timer
  {
    Instant due;
    std::uint64_t sequence = 0;
    Duration period{ 0 }; ///< Zero for a single shot.
    sigc::slot<void()> slot;
    std::shared_ptr<bool> active;
  };

  TimerHandle Add(Duration aDelay, Duration aPeriod, sigc::slot<void()> aSlot);
  void Push(Timer aTimer);
  Timer Pop();
  void DropCancelled();
  static bool Later(const Timer& aLeft, const Timer& aRight);

  std::vector<Timer> mHeap; ///< Binary heap, earliest first.
  std::uint64_t mNextSequence = 0;
};

} // namespace cuminfield::core
