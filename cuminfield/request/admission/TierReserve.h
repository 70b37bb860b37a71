#pragma once

#include "cuminfield/request/Tiers.h"
#include "cuminfield/request/routing/TierShares.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cuminfield::request::admission {

/// Tunables of TierReserve.
struct TierReserveSettings
{
  double rise = 0.05;         ///< Weight of a higher demand, each tick.
  double fall = 0.0001;       ///< Weight of a lower demand, each tick.
  double deviations = 1.0;    ///< Square roots of the demand that are kept besides it.
  double churn = 20;          ///< Ticks in which a place that is about to be free counts as free.
  double churnWeight = 0.005; ///< Of the newest tick in the mean rate of places getting free.
  double leastShare = 0.3;    ///< A lower tier may always fill this share of what a higher one may.
};

/// Room in the upstreams that lower tiers leave for the higher ones of one pool. A request of a
/// low tier holds its place for many seconds, so a burst of a high tier finds room only where it
/// was kept: as much as that tier used at its recent peak, less what it uses now and what gets
/// free by itself while one of its requests can wait. Between bursts
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
  void Run(std::size_t aTier, int aChange)
  {
    mRunning[aTier] += aChange;
    mEnded += aChange < 0 ? 1 : 0;
  }

  /// Room that a tier needs: what waits or is in flight, or more if its recent peak was higher.
  std::uint32_t Demand(std::size_t aTier) const;

  /// Takes a sample of the demand; call it every tick.
  void Update();

  /// The share of its upstreams' limits that each tier may fill, of a capacity of so many requests
  /// with so many more for the highest tier. Room is kept in the upstreams without long requests
  /// first: behind a long prefill it is of no use to a quick request.
  routing::TierShares Shares(const routing::OwnCapacity& aCapacity) const;

private:
  double Wanted(std::size_t aTier) const;
  double Missing(std::size_t aTier) const;
  double Share(double aKept, double aCapacity, double aHigher) const;

  TierReserveSettings mSettings;
  std::array<int, kTierCount> mWaiting{};
  std::array<int, kTierCount> mRunning{};
  int mEnded = 0;                         ///< Since the last tick.
  double mEndRate = 0;                    ///< Ends a tick, averaged.
  std::array<double, kTierCount> mPeak{}; ///< Rises fast and falls slowly.
};

} // namespace cuminfield::request::admission
