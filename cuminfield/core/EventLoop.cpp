#include "cuminfield/core/EventLoop.h"

#include "cuminfield/core/Timeval.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <algorithm>
#include <stdexcept>

namespace cuminfield::core {

namespace {

/// Posted tasks that run before timers and sockets get a turn: a control host that falls behind
/// must still send the heartbeats of its log.
constexpr std::size_t kMaxTasksPerTurn = 32;

} // namespace

EventLoop::EventLoop()
{
  evthread_use_pthreads();
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  mEventBase = event_base_new_with_config(config);
  event_config_free(config);
  if (!mEventBase) {
    throw std::runtime_error("cannot create an event base; raise the limit of open files");
  }
  mTimerEvent = event_new(mEventBase, -1, 0, OnTimer, this);
  mPostedEvent = event_new(mEventBase, -1, EV_PERSIST, OnPosted, this);
}

EventLoop::~EventLoop()
{
  for (const auto& it : mSignalHandlers) {
    event_free(it->signalEvent);
  }
  event_free(mPostedEvent);
  event_free(mTimerEvent);
  event_base_free(mEventBase);
}

Instant EventLoop::Now() const
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(now));
}

WallTime EventLoop::WallNow() const
{
  return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

void EventLoop::Run()
{
  event_base_loop(mEventBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::Stop()
{
  event_base_loopbreak(mEventBase);
}

void EventLoop::Post(std::function<void()> aTask, TaskPriority aPriority)
{
  {
    const std::lock_guard lock(mPostMutex);
    (aPriority == TaskPriority::High ? mPostedHighTasks : mPostedTasks).push_back(std::move(aTask));
  }
  event_active(mPostedEvent, EV_READ, 0);
}

void EventLoop::AddSignalHandler(int aSignal, std::function<void()> aSlot)
{
  auto signal = std::make_unique<SignalHandler>();
  signal->slot = std::move(aSlot);
  signal->signalEvent = evsignal_new(mEventBase, aSignal, OnSignalEvent, signal.get());
  event_add(signal->signalEvent, nullptr);
  mSignalHandlers.push_back(std::move(signal));
}

void EventLoop::Rearm()
{
  const auto due = NextDueTime();
  if (!due) {
    event_del(mTimerEvent);
    return;
  }
  const Duration delay = std::max(*due - Now(), Duration::zero());
  const timeval wait = ToTimeval(delay);
  event_add(mTimerEvent, &wait);
}

std::function<void()> EventLoop::TakePostedTask()
{
  const std::lock_guard lock(mPostMutex);
  std::deque<std::function<void()>>& queue =
    mPostedHighTasks.empty() ? mPostedTasks : mPostedHighTasks;
  if (queue.empty()) {
    return nullptr;
  }
  std::function<void()> task = std::move(queue.front());
  queue.pop_front();
  return task;
}

void EventLoop::RunPostedTasks()
{
  for (std::size_t i = 0; i < kMaxTasksPerTurn; ++i) {
    const std::function<void()> task = TakePostedTask();
    if (!task) {
      return;
    }
    task();
  }
  event_active(mPostedEvent, EV_READ, 0);
}

void EventLoop::OnTimer(int, short, void* aSelf)
{
  auto* self = static_cast<EventLoop*>(aSelf);
  self->RunDueTimers();
  self->Rearm();
}

void EventLoop::OnPosted(int, short, void* aSelf)
{
  static_cast<EventLoop*>(aSelf)->RunPostedTasks();
}

void EventLoop::OnSignalEvent(int, short, void* aWatch)
{
  static_cast<SignalHandler*>(aWatch)->slot();
}

} // namespace cuminfield::core
