#include "cuminfield/core/EventLoop.h"

#include "cuminfield/core/Timeval.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <algorithm>
#include <stdexcept>

namespace cuminfield::core {

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

void EventLoop::Post(std::function<void()> aTask)
{
  {
    const std::lock_guard lock(mPostMutex);
    mPostedTasks.push_back(std::move(aTask));
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

void EventLoop::RunPostedTasks()
{
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard lock(mPostMutex);
    tasks.swap(mPostedTasks);
  }
  for (const auto& it : tasks) {
    it();
  }
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
