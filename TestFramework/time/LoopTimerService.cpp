#include "TestFramework/time/LoopTimerService.h"

#include <csignal>

namespace cuminfield::test_framework::time {

LoopTimerService::LoopTimerService()
{
  std::signal(SIGPIPE, SIG_IGN);
}

void LoopTimerService::RunFor(core::Duration aDuration)
{
  const core::TimerHandle end = After(aDuration, [this] { Stop(); });
  Run();
}

void LoopTimerService::OnStopSignal(const sigc::slot<void()>& aSlot)
{
  OnSignal(SIGTERM, aSlot);
  OnSignal(SIGINT, aSlot);
}

} // namespace cuminfield::test_framework::time
