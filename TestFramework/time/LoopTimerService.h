#pragma once

#include "cuminfield/core/TimerService.h"

struct event;
struct event_base;

namespace cuminfield::test_framework::time {

/// Real time for stand-ins and drivers: owns the process's one event loop and runs timers on it.
class LoopTimerService : public core::TimerService
{
public:
  LoopTimerService();
  ~LoopTimerService() override;
  LoopTimerService(const LoopTimerService&) = delete;
  LoopTimerService& operator=(const LoopTimerService&) = delete;

  core::Instant Now() const override;
  core::WallTime WallNow() const override;

  /// The loop, for sockets.
  event_base* Base() const { return mBase; }

  /// Runs the loop until Stop().
  void Run();

  /// Runs the loop for aDuration, unless Stop() ends it sooner.
  void RunFor(core::Duration aDuration);

  /// Ends Run() after the event at hand.
  void Stop();

  /// Calls aSlot on each SIGTERM and SIGINT from now on.
  void OnStopSignal(sigc::slot<void()> aSlot);

protected:
  void Rearm() override;

private:
  static void Fired(int aSocket, short aWhat, void* aSelf);
  static void Signalled(int aSignal, short aWhat, void* aSelf);

  event_base* mBase;
  event* mTimer;
  event* mTerminate = nullptr;
  event* mInterrupt = nullptr;
  sigc::slot<void()> mStopSignal;
};

} // namespace cuminfield::test_framework::time
