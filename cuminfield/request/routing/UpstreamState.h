#pragma once

#include "cuminfield/request/Upstream.h"
#include "cuminfield/request/capacity/CapacityView.h"
#include "cuminfield/request/routing/Circuit.h"
#include "cuminfield/request/routing/InFlightLimit.h"
#include "cuminfield/request/routing/LoadEstimate.h"
#include "cuminfield/request/routing/PeerComparison.h"
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
    , limit(aSettings.inFlight, aAnnouncement.slots)
    , circuit(aSettings.circuit)
  {
  }

  UpstreamAnnouncement announcement;
  RateEstimator rates;
  LoadEstimate load;
  InFlightLimit limit;
  PeerHealth health;
  Circuit circuit;
  bool live = true;                                         ///< Announced and not leaving.
  bool local = true;                                        ///< In the host's own region.
  bool takesLong = true;                                    ///< Takes requests with a long prefill.
  std::uint64_t hash = 0;                                   ///< Of its id; the same at every host.
  std::uint32_t grant = capacity::CapacityView::kUnlimited; ///< In-flight requests granted to us.
  std::uint64_t cacheSequence = 0;                          ///< Of the last cache event.
  double cacheTrust = 1;         ///< Share of the known prefix that is believed; falls with gaps.
  core::Duration gapTarget{ 0 }; ///< Tightest time between tokens asked of it.

  core::Instant pausedUntil{}; ///< It has refused work.
  core::Instant goneAt{};
};

} // namespace cuminfield::request::routing
