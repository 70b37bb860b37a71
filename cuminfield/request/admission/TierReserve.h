#pragma once

#include "cuminfield/request/routing/RouterSettings.h"

#include <array>
#include <cstddef>

namespace cuminfield::request::admission {

/// Tunables of TierReserve.
struct TierReserveSettings
{
  double rise = 0.05;      ///< Weight of a higher demand, each tick.
  double fall = 0.0005;    ///< Weight of a lower demand, each tick.
  double deviations = 1.0; ///< Square roots of the demand that are kept besides it.
  double leastShare = 0.3; ///< A lower tier may always fill this share of what a higher one may.
};

/// Room in the upstreams that lower tiers leave for the higher ones of one pool. A request of a
/// low tier holds its place for many seconds, so a burst of a high tier finds room only where it
/// was kept: as much as that tier used at its recent peak, less what it uses now. Between bursts
/// the demand is that of a Poisson process, whose deviation is the square root of its mean.
class TierReserve
{
public:
  explicit TierReserve(const TierReserveSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Requests of a tier began (1) or ceased (-1) to wait.
  void Wait(std::size_t aTier, int aChange) { mWaiting[aTier] += aChange; }

  /// Requests of a tier began (1) or ceased (-1) to be in flight.
  void Run(std::size_t aTier, int aChange) { mRunning[aTier] += aChange; }

  /// Takes a sample of the demand; call it every tick.
  void Update();

  /// The share of its upstreams' limits that each tier may fill, of a capacity of so many requests.
  std::array<double, routing::kTiers> Shares(double aCapacity) const;

private:
  double Missing(std::size_t aTier) const;

  TierReserveSettings mSettings;
  std::array<int, routing::kTiers> mWaiting{};
  std::array<int, routing::kTiers> mRunning{};
  std::array<double, routing::kTiers> mPeak{}; ///< Rises fast and falls slowly.
};

} // namespace cuminfield::request::admission
