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
  double riseWeight = 0.05;    ///< Weight of a higher demand, each tick.
  double fallWeight = 0.0001;  ///< Weight of a lower demand, each tick.
  double peakDeviations = 1.0; ///< Square roots of the demand that are kept besides it.
  double releaseTicks = 20;    ///< Ticks in which a place that is about to be free counts as free.
  double releaseRateWeight = 0.005; ///< Of the newest tick in the mean rate of places getting free.
  double minShareOfHigherTier =
    0.3; ///< A lower tier may always fill this share of what a higher one may.
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
  void AddWaiting(std::size_t aTier, int aChange) { mWaiting[aTier] += aChange; }

  /// Requests of a tier began (1) or ceased (-1) to be in flight.
  void AddInFlight(std::size_t aTier, int aChange)
  {
    mInFlight[aTier] += aChange;
    mEndedThisTick += aChange < 0 ? 1 : 0;
  }

  /// Room that a tier needs: what waits or is in flight, or more if its recent peak was higher.
  std::uint32_t Demand(std::size_t aTier) const;

  /// Takes a sample of the demand; call it every tick.
  void SampleDemand();

  /// The share of its upstreams' limits that each tier may fill, of a capacity of so many requests
  /// with so many more for the highest tier. Room is kept in the upstreams without long requests
  /// first: behind a long prefill it is of no use to a quick request.
  routing::TierShares ComputeShares(const routing::HostCapacity& aCapacity) const;

private:
  double PeakDemand(std::size_t aTier) const;
  double MissingSlots(std::size_t aTier) const;
  double ShareAfterReserve(double aKept, double aCapacity, double aHigher) const;

  TierReserveSettings mSettings;
  std::array<int, kTierCount> mWaiting{};
  std::array<int, kTierCount> mInFlight{};
  int mEndedThisTick = 0;                         ///< Since the last tick.
  double mEndsPerTick = 0;                        ///< Ends a tick, averaged.
  std::array<double, kTierCount> mDecayingPeak{}; ///< Rises fast and falls slowly.
};

} // namespace cuminfield::request::admission
