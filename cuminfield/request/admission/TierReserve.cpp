#include "cuminfield/request/admission/TierReserve.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::admission {

void TierReserve::Update()
{
  for (std::size_t tier = 0; tier < routing::kTiers; ++tier) {
    const double demand = mWaiting[tier] + mRunning[tier];
    const double weight = demand > mPeak[tier] ? mSettings.rise : mSettings.fall;
    mPeak[tier] += weight * (demand - mPeak[tier]);
  }
}

double TierReserve::Missing(std::size_t aTier) const
{
  const double wanted = mPeak[aTier] + mSettings.deviations * std::sqrt(mPeak[aTier]);
  return std::max(0.0, wanted - mRunning[aTier]);
}

std::array<double, routing::kTiers> TierReserve::Shares(double aCapacity) const
{
  std::array<double, routing::kTiers> shares{};
  double reserved = 0;
  double share = 1.0;
  for (std::size_t tier = 0; tier < routing::kTiers; ++tier) {
    const double left = 1.0 - reserved / std::max(1.0, aCapacity);
    share = std::clamp(left, share * mSettings.leastShare, share);
    shares[tier] = share;
    reserved += Missing(tier);
  }
  return shares;
}

} // namespace cuminfield::request::admission
