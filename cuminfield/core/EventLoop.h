#pragma once

#include "cuminfield/core/TimerService.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace cuminfield::core {

/// The process's one loop: libevent's event base, the timer service over it, and the only door
/// through which other threads (gRPC's, the disk's) reach the loop. All methods but Post() belong
/// to the loop's thread.
class EventLoop : public TimerService
{
public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Instant Now() const override;
  WallTime WallNow() const override;

  /// The event base, for adapters that read and write sockets.
  event_base* Base() const { return mBase; }

  /// Runs until Stop().
  void Run();

  /// Lets Run() return after the events at hand.
  void Stop();

  /// Calls aWork on the loop soon. Safe from any thread; order is kept. mPosted is guarded by
  /// mPostMutex.
  void Post(std::function<void()> aWork);

  /// Calls aSlot on the loop whenever the process gets this signal.
  void OnSignal(int aSignal, std::function<void()> aSlot);

protected:
  void Rearm() override;

private:
  struct SignalWatch
  {
    event* watch = nullptr;
    std::function<void()> slot;
  };

  void RunPosted();
  static void OnTimer(int aSocket, short aWhat, void* aSelf);
  static void OnPosted(int aSocket, short aWhat, void* aSelf);
  static void OnSignalEvent(int aSignal, short aWhat, void* aWatch);

  event_base* mBase = nullptr;
  event* mTimer = nullptr;
  event* mPostedEvent = nullptr;
  std::mutex mPostMutex;
  std::vector<std::function<void()>> mPosted;
  std::vector<std::unique_ptr<SignalWatch>> mSignals;
};

} // namespace cuminfield::core
