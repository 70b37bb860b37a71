#pragma once

#include "cuminfield/core/TimerService.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace cuminfield::core {

/// Order in which posted tasks run.
enum class TaskPriority
{
  Normal,
  High, ///< Runs before all tasks of normal priority.
};

/// The event loop of the process, based on libevent, with its timer service. Other threads (gRPC,
/// disk) reach the loop only through Post(); all other methods must run on the loop's thread.
class EventLoop : public TimerService
{
public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Instant Now() const override;
  WallTime WallNow() const override;

  /// Returns the libevent base, for adapters that read and write sockets.
  event_base* EventBase() const { return mEventBase; }

  /// Runs until Stop().
  void Run();

  /// Makes Run() return after the current event callback.
  void Stop();

  /// Queues a task for the loop. Thread-safe; tasks of one priority run in the order of the calls.
  /// A long queue of tasks does not delay timers and sockets until its end. mPostMutex guards the
  /// queues.
  void Post(std::function<void()> aTask, TaskPriority aPriority = TaskPriority::Normal);

  /// Calls aSlot on the loop whenever the process receives this signal.
  void AddSignalHandler(int aSignal, std::function<void()> aSlot);

protected:
  void Rearm() override;

private:
  struct SignalHandler
  {
    event* signalEvent = nullptr;
    std::function<void()> slot;
  };

  void RunPostedTasks();
  std::function<void()> TakePostedTask();
  static void OnTimer(int aSocket, short aWhat, void* aSelf);
  static void OnPosted(int aSocket, short aWhat, void* aSelf);
  static void OnSignalEvent(int aSignal, short aWhat, void* aWatch);

  event_base* mEventBase = nullptr;
  event* mTimerEvent = nullptr;
  event* mPostedEvent = nullptr;
  std::mutex mPostMutex;
  std::deque<std::function<void()>> mPostedTasks;
  std::deque<std::function<void()>> mPostedHighTasks;
  std::vector<std::unique_ptr<SignalHandler>> mSignalHandlers;
};

} // namespace cuminfield::core
