#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/admission/RetryBudget.h"
#include "cuminfield/request/admission/TierReserve.h"
#include "cuminfield/request/routing/RouterSettings.h"

#include <cstdint>

namespace cuminfield::request::admission {

/// Tunables of TieredScheduler and of the classes that it is made of.
struct SchedulerSettings
{
  /// Requests that wait in one pool before the lowest tier is shed.
  std::uint32_t maxWaiting = 20'000;
  /// Between two checks of deadlines.
  core::Duration tick{ 10'000 };
  /// A tier counts as being shed for this long after its last shed request.
  core::Duration shedMemory{ 1'000'000 };
  /// Told to callers when nothing better is known.
  core::Duration retryAfter{ 1'000'000 };
  /// Share of its first-token target that a request of the highest tier waits for its own region;
  /// what is left must do for the way to another one. Lower tiers wait as long as they can.
  double spillAfter = 0.25;
  /// Left for the network when a request is spilled at the last moment.
  core::Duration spillMargin{ 50'000 };
  TierReserveSettings reserve;
  RetryBudgetSettings retry;
  routing::RouterSettings router;
};

} // namespace cuminfield::request::admission
