#pragma once

#include "cuminfield/request/Upstream.h"
#include "cuminfield/request/capacity/CapacityView.h"
#include "cuminfield/request/routing/CircuitBreaker.h"
#include "cuminfield/request/routing/InFlightLimit.h"
#include "cuminfield/request/routing/LoadEstimate.h"
#include "cuminfield/request/routing/OutlierDetector.h"
#include "cuminfield/request/routing/RateEstimator.h"
#include "cuminfield/request/routing/RouterSettings.h"

#include <cstdint>

namespace cuminfield::request::routing {

/// Small integer that stands for one upstream inside one process.
using UpstreamIndex = std::uint16_t;

/// All that a host knows of one upstream.
struct UpstreamState
{
  UpstreamState(const UpstreamAnnouncement& aAnnouncement, const RouterSettings& aSettings)
    : announcement(aAnnouncement)
    , rates(aSettings.rates)
    , limit(aSettings.inFlightLimit, aAnnouncement.slots)
    , circuitBreaker(aSettings.circuitBreaker)
  {
  }

  UpstreamAnnouncement announcement;
  RateEstimator rates;
  LoadEstimate load;
  InFlightLimit limit;
  UpstreamHealth health;
  CircuitBreaker circuitBreaker;
  bool live = true;               ///< Announced and not leaving.
  bool sameRegion = true;         ///< In the host's own region.
  bool acceptsLongPrefill = true; ///< Takes requests with a long prefill.
  std::uint64_t idHash = 0;       ///< Of its id; the same at every host.
  std::uint32_t grantedSlots =
    capacity::CapacityView::kUnlimited; ///< In-flight requests granted to us.
  std::uint64_t lastCacheSequence = 0;  ///< Of the last cache event.
  double cacheConfidence = 1; ///< Share of the known prefix that is believed; falls with gaps.
  core::Duration tokenIntervalTarget{ 0 }; ///< Tightest time between tokens asked of it.

  core::Instant backoffUntil{}; ///< It has refused work.
  core::Instant removedAt{};
};

} // namespace cuminfield::request::routing
