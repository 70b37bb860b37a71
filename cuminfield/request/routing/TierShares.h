#pragma once

#include "cuminfield/request/Tiers.h"

#include <array>

namespace cuminfield::request::routing {

/// Share of an upstream's in-flight limit that each tier may fill, highest tier first.
struct TierShares
{
  std::array<double, kTierCount> shortPrefill{}; ///< Of upstreams that take no long requests.
  std::array<double, kTierCount> longPrefill{};  ///< Of those that do.

  /// Every tier may fill all.
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
  double shortPrefill = 0; ///< Within the slots of upstreams that take no long requests.
  double longPrefill = 0;  ///< Within the slots of those that do.
  double headroom = 0;     ///< Beyond the slots, for a time.
};

} // namespace cuminfield::request::routing
