#pragma once

#include "cuminfield/request/Tiers.h"
#include "cuminfield/request/routing/TierShares.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cuminfield::request::admission {

struct TierReserveSettings
{
  double riseWeight = 0.05;    ///< Weight of a sample above the peak.
  double fallWeight = 0.0001;  ///< Weight of a sample below the peak.
  double peakDeviations = 1.0; ///< Reserve above the peak, in standard deviations of the demand.
  double releaseTicks = 20; ///< Slots expected to be released within this many ticks count as free.
  double releaseRateWeight = 0.005; ///< Weight of the newest tick in the release rate.
  /// Lower bound of a tier's share, as a fraction of the next higher tier's.
  double minShareOfHigherTier = 0.3;
};

/// Reserves upstream capacity of one pool for higher tiers. A request of a low tier holds its slot
/// for many seconds, so a burst of a high tier finds capacity only if some is reserved: the tier's
/// demand at its recent peak, minus the slots it uses now and those that are released while one of
/// its requests can wait. Between bursts, demand is modelled as a Poisson process, whose standard
/// deviation is the square root of its mean.
class TierReserve
{
public:
  explicit TierReserve(const TierReserveSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Requests of a tier started (1) or stopped (-1) waiting.
  void AddWaiting(std::size_t aTier, int aChange) { mWaiting[aTier] += aChange; }

  /// Requests of a tier started (1) or stopped (-1) being in flight.
  void AddInFlight(std::size_t aTier, int aChange)
  {
    mInFlight[aTier] += aChange;
    mEndedThisTick += aChange < 0 ? 1 : 0;
  }

  /// Slots that a tier needs: requests waiting or in flight, or the recent peak if higher.
  std::uint32_t Demand(std::size_t aTier) const;

  /// Updates the decaying peaks and the release rate. Called every tick.
  void SampleDemand();

  /// Computes the share of the upstreams' limits that each tier may fill. Only the highest tier
  /// uses the headroom of aCapacity. Capacity is reserved first in upstreams that accept no long
  /// prefills: behind a long prefill, a reserved slot is of no use to a short request.
  routing::TierShares ComputeShares(const routing::HostCapacity& aCapacity) const;

private:
  double PeakDemand(std::size_t aTier) const;
  double MissingSlots(std::size_t aTier) const;
  double ShareAfterReserve(double aReserved, double aCapacity, double aHigherTierShare) const;

  TierReserveSettings mSettings;
  std::array<int, kTierCount> mWaiting{};
  std::array<int, kTierCount> mInFlight{};
  int mEndedThisTick = 0;
  double mEndsPerTick = 0;                        ///< Mean number of requests that end in a tick.
  std::array<double, kTierCount> mDecayingPeak{}; ///< Rises fast and decays slowly.
};

} // namespace cuminfield::request::admission
