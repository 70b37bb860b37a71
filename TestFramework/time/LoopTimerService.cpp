#include "TestFramework/time/LoopTimerService.h"

#include <csignal>

namespace cuminfield::test_framework::time {

LoopTimerService::LoopTimerService()
{
  std::signal(SIGPIPE, SIG_IGN);
}

void LoopTimerService::RunFor(core::Duration aDuration)
{
  const core::TimerHandle end = ScheduleAfter(aDuration, [this] { Stop(); });
  Run();
}

void LoopTimerService::OnStopSignal(const sigc::slot<void()>& aSlot)
{
  AddSignalHandler(SIGTERM, aSlot);
  AddSignalHandler(SIGINT, aSlot);
}

} // namespace cuminfield::test_framework::time
