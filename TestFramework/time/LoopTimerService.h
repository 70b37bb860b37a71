#pragma once

#include "cuminfield/core/EventLoop.h"

#include <sigc++/sigc++.h>

namespace cuminfield::test_framework::time {

/// Event loop for stand-ins and test drivers. Adds running for a limited time and stop signals.
class LoopTimerService : public core::EventLoop
{
public:
  LoopTimerService();

  /// Runs the loop for aDuration or until Stop() is called.
  void RunFor(core::Duration aDuration);

  /// Calls aSlot on each SIGTERM and SIGINT.
  void OnStopSignal(const sigc::slot<void()>& aSlot);
};

} // namespace cuminfield::test_framework::time
