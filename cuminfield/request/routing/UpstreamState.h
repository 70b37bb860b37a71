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

/// Index of an upstream inside this process.
using UpstreamIndex = std::uint16_t;

/// State of one upstream as known to this host.
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
  bool live = true;               ///< Announced and not removed.
  bool sameRegion = true;         ///< In the host's own region.
  bool acceptsLongPrefill = true; ///< Accepts requests with a long prefill.
  std::uint64_t idHash = 0;       ///< Hash of the id, equal on all hosts.
  /// Requests that this host may have in flight.
  std::uint32_t grantedSlots = capacity::CapacityView::kUnlimited;
  std::uint64_t lastCacheSequence = 0;
  /// Fraction of the indexed prefix expected to be cached; reduced by lost cache events.
  double cacheConfidence = 1;
  core::Duration tokenIntervalTarget{ 0 }; ///< Shortest target of the requests sent to it.

  core::Instant backoffUntil{}; ///< No requests until then, after it rejected one.
  core::Instant removedAt{};
};

} // namespace cuminfield::request::routing
