#include "cuminfield/request/admission/TierReserve.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::admission {

void TierReserve::SampleDemand()
{
  mEndsPerTick += mSettings.releaseRateWeight * (mEndedThisTick - mEndsPerTick);
  mEndedThisTick = 0;
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    const double demand = mWaiting[tier] + mInFlight[tier];
    const double weight =
      demand > mDecayingPeak[tier] ? mSettings.riseWeight : mSettings.fallWeight;
    mDecayingPeak[tier] += weight * (demand - mDecayingPeak[tier]);
  }
}

double TierReserve::PeakDemand(std::size_t aTier) const
{
  return mDecayingPeak[aTier] + mSettings.peakDeviations * std::sqrt(mDecayingPeak[aTier]);
}

std::uint32_t TierReserve::Demand(std::size_t aTier) const
{
  const double current = mWaiting[aTier] + mInFlight[aTier];
  return static_cast<std::uint32_t>(std::ceil(std::max(current, PeakDemand(aTier))));
}

double TierReserve::MissingSlots(std::size_t aTier) const
{
  return std::max(0.0, PeakDemand(aTier) - mInFlight[aTier]);
}

routing::TierShares TierReserve::ComputeShares(const routing::HostCapacity& aCapacity) const
{
  routing::TierShares shares = routing::TierShares::Unrestricted();
  const double freeSlots = mEndsPerTick * mSettings.releaseTicks + aCapacity.headroom;
  double needed = 0;
  for (std::size_t tier = 1; tier < kTierCount; ++tier) {
    needed += MissingSlots(tier - 1);
    const double reserved = std::max(0.0, needed - freeSlots);
    const double reservedLong = std::max(0.0, reserved - aCapacity.shortPrefill);
    shares.shortPrefill[tier] =
      ShareAfterReserve(reserved, aCapacity.shortPrefill, shares.shortPrefill[tier - 1]);
    shares.longPrefill[tier] =
      ShareAfterReserve(reservedLong, aCapacity.longPrefill, shares.longPrefill[tier - 1]);
  }
  return shares;
}

double TierReserve::ShareAfterReserve(double aReserved, double aCapacity,
                                      double aHigherTierShare) const
{
  const double share = 1.0 - aReserved / std::max(1.0, aCapacity);
  return std::clamp(share, aHigherTierShare * mSettings.minShareOfHigherTier, aHigherTierShare);
}

} // namespace cuminfield::request::admission
