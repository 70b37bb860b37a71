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
  std::uint32_t maxWaitingRequests = 20'000;
  /// Between two checks of deadlines.
  core::Duration tickPeriod{ 10'000 };
  /// A tier counts as being shed for this long after its last shed request.
  core::Duration sheddingHold{ 1'000'000 };
  /// Told to callers when nothing better is known.
  core::Duration minRetryAfter{ 1'000'000 };
  /// Share of its first-token target that a request of the highest tier waits for its own region;
  /// what is left must do for the way to another one. Lower tiers wait as long as they can.
  double overflowAfterShare = 0.25;
  /// Left for the network when a request is spilled at the last moment.
  core::Duration overflowMargin{ 50'000 };
  TierReserveSettings tierReserve;
  RetryBudgetSettings retryBudget;
  routing::RouterSettings router;
};

} // namespace cuminfield::request::admission
