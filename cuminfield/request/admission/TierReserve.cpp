#include "cuminfield/request/admission/TierReserve.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::admission {

void TierReserve::Update()
{
  mEndRate += mSettings.churnWeight * (mEnded - mEndRate);
  mEnded = 0;
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    const double demand = mWaiting[tier] + mRunning[tier];
    const double weight = demand > mPeak[tier] ? mSettings.rise : mSettings.fall;
    mPeak[tier] += weight * (demand - mPeak[tier]);
  }
}

double TierReserve::Wanted(std::size_t aTier) const
{
  return mPeak[aTier] + mSettings.deviations * std::sqrt(mPeak[aTier]);
}

std::uint32_t TierReserve::Demand(std::size_t aTier) const
{
  const double now = mWaiting[aTier] + mRunning[aTier];
  return static_cast<std::uint32_t>(std::ceil(std::max(now, Wanted(aTier))));
}

double TierReserve::Missing(std::size_t aTier) const
{
  return std::max(0.0, Wanted(aTier) - mRunning[aTier]);
}

routing::TierShares TierReserve::Shares(const routing::OwnCapacity& aCapacity) const
{
  routing::TierShares shares = routing::TierShares::Full();
  const double free = mEndRate * mSettings.churn + aCapacity.headroom;
  double reserved = 0;
  for (std::size_t tier = 1; tier < kTierCount; ++tier) {
    reserved += Missing(tier - 1);
    const double kept = std::max(0.0, reserved - free);
    const double rest = std::max(0.0, kept - aCapacity.quick);
    shares.quick[tier] = Share(kept, aCapacity.quick, shares.quick[tier - 1]);
    shares.slow[tier] = Share(rest, aCapacity.slow, shares.slow[tier - 1]);
  }
  return shares;
}

double TierReserve::Share(double aKept, double aCapacity, double aHigher) const
{
  const double left = 1.0 - aKept / std::max(1.0, aCapacity);
  return std::clamp(left, aHigher * mSettings.leastShare, aHigher);
}

} // namespace cuminfield::request::admission
