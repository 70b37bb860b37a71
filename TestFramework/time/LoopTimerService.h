#pragma once

#include "cuminfield/core/EventLoop.h"

#include <sigc++/sigc++.h>

namespace cuminfield::test_framework::time {

/// The product's loop as stand-ins and drivers use it: runs for a while, stops on a signal.
class LoopTimerService : public core::EventLoop
{
public:
  LoopTimerService();

  /// Runs the loop for aDuration, unless Stop() ends it sooner.
  void RunFor(core::Duration aDuration);

  /// Calls aSlot on each SIGTERM and SIGINT from now on.
  void OnStopSignal(const sigc::slot<void()>& aSlot);
};

} // namespace cuminfield::test_framework::time
