#pragma once

#include "cuminfield/request/Tiers.h"

#include <array>

namespace cuminfield::request::routing {

/// Share of an upstream's in-flight limit that each tier may fill, highest tier first.
struct TierShares
{
  std::array<double, kTierCount> shortPrefill{}; ///< Upstreams that accept no long prefills.
  std::array<double, kTierCount> longPrefill{};  ///< Upstreams that accept long prefills.

  /// Lets every tier fill the complete limit.
  static TierShares Unrestricted()
  {
    TierShares shares;
    shares.shortPrefill.fill(1.0);
    shares.longPrefill.fill(1.0);
    return shares;
  }
};

/// Requests that one host can have in flight at the upstreams of its own region.
struct HostCapacity
{
  double shortPrefill = 0; ///< Slots of upstreams that accept no long prefills.
  double longPrefill = 0;  ///< Slots of upstreams that accept long prefills.
  double headroom = 0;     ///< Temporary capacity beyond the slots.
};

} // namespace cuminfield::request::routing
