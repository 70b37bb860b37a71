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
  /// Told to callers when nothing better is known.
  core::Duration retryAfter{ 1'000'000 };
  /// Left for the network when a request is spilled at the last moment.
  core::Duration spillMargin{ 50'000 };
  TierReserveSettings reserve;
  RetryBudgetSettings retry;
  routing::RouterSettings router;
};

} // namespace cuminfield::request::admission
