#include "TestFramework/time/LoopTimerService.h"

#include <event2/event.h>

#include <algorithm>
#include <csignal>

namespace cuminfield::test_framework::time {

LoopTimerService::LoopTimerService()
  : mBase(event_base_new())
  , mTimer(event_new(mBase, -1, 0, &LoopTimerService::Fired, this))
{
  std::signal(SIGPIPE, SIG_IGN);
}

LoopTimerService::~LoopTimerService()
{
  for (event* it : { mTimer, mTerminate, mInterrupt }) {
    if (it != nullptr) {
      event_free(it);
    }
  }
  event_base_free(mBase);
}

core::Instant LoopTimerService::Now() const
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return core::Instant(std::chrono::duration_cast<core::Duration>(now));
}

core::WallTime LoopTimerService::WallNow() const
{
  return std::chrono::time_point_cast<core::Duration>(std::chrono::system_clock::now());
}

void LoopTimerService::Run()
{
  event_base_loop(mBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void LoopTimerService::RunFor(core::Duration aDuration)
{
  const core::TimerHandle end = After(aDuration, [this] { Stop(); });
  Run();
}

void LoopTimerService::Stop()
{
  event_base_loopbreak(mBase);
}

void LoopTimerService::OnStopSignal(sigc::slot<void()> aSlot)
{
  mStopSignal = std::move(aSlot);
  mTerminate = evsignal_new(mBase, SIGTERM, &LoopTimerService::Signalled, this);
  mInterrupt = evsignal_new(mBase, SIGINT, &LoopTimerService::Signalled, this);
  event_add(mTerminate, nullptr);
  event_add(mInterrupt, nullptr);
}

void LoopTimerService::Rearm()
{
  const auto due = NextDue();
  if (!due) {
    event_del(mTimer);
    return;
  }
  const core::Duration wait = std::max(*due - Now(), core::Duration(0));
  const timeval delay{ .tv_sec = wait.count() / 1'000'000, .tv_usec = wait.count() % 1'000'000 };
  event_add(mTimer, &delay);
}

void LoopTimerService::Fired(int /*aSocket*/, short /*aWhat*/, void* aSelf)
{
  auto* self = static_cast<LoopTimerService*>(aSelf);
  self->RunDue();
  self->Rearm();
}

void LoopTimerService::Signalled(int /*aSignal*/, short /*aWhat*/, void* aSelf)
{
  static_cast<LoopTimerService*>(aSelf)->mStopSignal();
}

} // namespace cuminfield::test_framework::time
