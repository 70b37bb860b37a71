#include "cuminfield/request/admission/TierReserve.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::admission {

void TierReserve::Update()
{
  mEndRate += mSettings.churnWeight * (mEnded - mEndRate);
  mEnded = 0;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
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

std::array<double, kTiers> TierReserve::Shares(double aCapacity, double aHeadroom) const
{
  std::array<double, kTiers> shares{};
  double reserved = 0;
  double share = 1.0;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    const double kept = std::max(0.0, reserved - mEndRate * mSettings.churn - aHeadroom);
    const double left = 1.0 - kept / std::max(1.0, aCapacity);
    share = std::clamp(left, share * mSettings.leastShare, share);
    shares[tier] = share;
    reserved += Missing(tier);
  }
  return shares;
}

} // namespace cuminfield::request::admission
