#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/Tiers.h"
#include "cuminfield/request/admission/FairQueue.h"
#include "cuminfield/request/admission/TierReserve.h"
#include "cuminfield/request/routing/RouterSettings.h"

#include <array>

namespace cuminfield::request::admission {

/// The waiting requests of one pool, a fair queue for each tier, and the pace they leave at.
struct PoolQueues
{
  explicit PoolQueues(const TierReserveSettings& aReserve)
    : tierReserve(aReserve)
  {
  }

  std::array<FairQueue, kTierCount> tierQueues;
  std::array<double, kTierCount> dispatchInterval{}; ///< Microseconds between dispatches, averaged.
  std::array<core::Instant, kTierCount> lastDispatch{};
  TierReserve tierReserve;      ///< Room kept for higher tiers.
  std::size_t waitingCount = 0; ///< Over all tiers.
  bool dirty = false;           ///< Waits for a run of the queues.

  /// True if a request of a lower tier waits.
  bool HasLowerTierWaiting(std::size_t aTier) const;

  /// The lowest tier with a waiting request; meaningful only when some request waits.
  std::size_t LowestWaitingTier() const;

  /// Notes that a request of the tier was dispatched.
  void RecordDispatch(std::size_t aTier, core::Instant aNow);

  /// Predicted time until the last of those who wait in a tier is dispatched.
  core::Duration EstimateDrainTime(std::size_t aTier) const;
};

} // namespace cuminfield::request::admission
