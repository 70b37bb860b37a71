#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/admission/RetryBudget.h"
#include "cuminfield/request/admission/TierReserve.h"
#include "cuminfield/request/routing/RouterSettings.h"

#include <cstdint>

namespace cuminfield::request::admission {

/// Settings of TieredScheduler and its components.
struct SchedulerSettings
{
  /// Waiting requests per pool above which the lowest tier is shed.
  std::uint32_t maxWaitingRequests = 20'000;
  core::Duration tickPeriod{ 10'000 };
  /// A tier is reported as shedding for this long after its last shed request.
  core::Duration sheddingHold{ 1'000'000 };
  /// Lower bound of the retry delay sent to callers.
  core::Duration minRetryAfter{ 1'000'000 };
  /// Fraction of the first-token target that a request of the highest tier waits for its own
  /// region. The remaining time must suffice to reach another region. Lower tiers wait as long as
  /// possible.
  double overflowAfterShare = 0.25;
  /// Time reserved for the network when a request overflows to another region at the last moment.
  core::Duration overflowMargin{ 50'000 };
  TierReserveSettings tierReserve;
  RetryBudgetSettings retryBudget;
  routing::RouterSettings router;
};

} // namespace cuminfield::request::admission
