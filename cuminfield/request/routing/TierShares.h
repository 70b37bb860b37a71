#pragma once

#include "cuminfield/request/Tiers.h"

#include <array>

namespace cuminfield::request::routing {

/// Share of an upstream's in-flight limit that each tier may fill, highest tier first.
struct TierShares
{
  std::array<double, kTierCount> quick{}; ///< Of upstreams that take no long requests.
  std::array<double, kTierCount> slow{};  ///< Of those that do.

  /// Every tier may fill all.
  static TierShares Full()
  {
    TierShares shares;
    shares.quick.fill(1.0);
    shares.slow.fill(1.0);
    return shares;
  }
};

/// Requests that one host can have in flight at the upstreams of its own region.
struct OwnCapacity
{
  double quick = 0;    ///< Within the slots of upstreams that take no long requests.
  double slow = 0;     ///< Within the slots of those that do.
  double headroom = 0; ///< Beyond the slots, for a time.
};

} // namespace cuminfield::request::routing
