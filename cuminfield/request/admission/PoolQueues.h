#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/Tiers.h"
#include "cuminfield/request/admission/FairQueue.h"
#include "cuminfield/request/admission/TierReserve.h"
#include "cuminfield/request/routing/RouterSettings.h"

#include <array>

namespace cuminfield::request::admission {

/// Waiting requests of one pool, with a fair queue per tier, and their dispatch rate.
struct PoolQueues
{
  explicit PoolQueues(const TierReserveSettings& aReserve)
    : tierReserve(aReserve)
  {
  }

  std::array<FairQueue, kTierCount> tierQueues;
  /// Mean time between dispatches in microseconds.
  std::array<double, kTierCount> dispatchInterval{};
  std::array<core::Instant, kTierCount> lastDispatch{};
  TierReserve tierReserve;      ///< Capacity reserved for higher tiers.
  std::size_t waitingCount = 0; ///< Over all tiers.
  bool dirty = false;           ///< The queues must be run.

  bool HasLowerTierWaiting(std::size_t aTier) const;

  /// Returns the lowest tier with a waiting request. Valid only while a request waits.
  std::size_t LowestWaitingTier() const;

  void RecordDispatch(std::size_t aTier, core::Instant aNow);

  /// Predicts the time until the last waiting request of the tier is dispatched.
  core::Duration EstimateDrainTime(std::size_t aTier) const;
};

} // namespace cuminfield::request::admission
