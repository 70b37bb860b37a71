#include "cuminfield/version/moves/OldBaseline.h"

#include <algorithm>

namespace cuminfield::version::moves {

namespace {

/// Pseudo-counts (prior) for a route without observations.
constexpr double kPriorRequests = 30.0;
constexpr double kPriorFailures = 0.3;

constexpr double kMaxRateCeiling = 0.95;

} // namespace

OldBaseline::OldBaseline(const OldBaselineSettings& aSettings)
  : mSettings(aSettings)
  , mCounts(aSettings.baselineRequests)
{
}

void OldBaseline::Add(const Observation& aOld)
{
  mCounts.Add(aOld);
}

NullBound OldBaseline::FailureBound(bool aHasControl) const
{
  const double n = mCounts.RequestWeight();
  NullBound bound;
  bound.oldRate = (mCounts.FailureRate() * n + kPriorFailures) / (n + kPriorRequests);
  bound.oldCeiling = RateCeiling(bound.oldRate, mSettings.maxUncontrolledFailureRate, aHasControl);
  bound.ratio = mSettings.failureRatio;
  bound.margin = mSettings.failureMargin;
  return bound;
}

std::optional<LatencyBound> OldBaseline::FirstTokenBound(double aQuantile, bool aHasControl) const
{
  if (mCounts.FirstTokenWeight() < mSettings.minLatencies) {
    return std::nullopt;
  }
  return MakeLatencyBound(&DecayedCounts::FirstTokenFractionAbove, aQuantile, aHasControl);
}

std::optional<LatencyBound> OldBaseline::TokenGapBound(double aQuantile, bool aHasControl) const
{
  if (mCounts.TokenGapWeight() < mSettings.minLatencies) {
    return std::nullopt;
  }
  return MakeLatencyBound(&DecayedCounts::TokenGapFractionAbove, aQuantile, aHasControl);
}

LatencyBound OldBaseline::MakeLatencyBound(FractionAboveMethod aAbove, double aQuantile,
                                           bool aHasControl) const
{
  std::size_t slow = 1;
  while (slow + 1 < kLatencyBounds.size() && (mCounts.*aAbove)(slow) > aQuantile) {
    ++slow;
  }
  const double above = (mCounts.*aAbove)(slow);
  const double aboveOneLess = (mCounts.*aAbove)(slow - 1);
  LatencyBound result;
  result.latencyClass = slow;
  result.bound.oldRate = above;
  result.bound.oldCeiling = RateCeiling(above, mSettings.maxUncontrolledSlowRate, aHasControl);
  result.bound.ratio = 1.0;
  // A version slower by one whole class exceeds this class as often as the old one exceeds the
  // class below.
  result.bound.margin = std::max(mSettings.latencyClassMargin * (aboveOneLess - above), 0.01);
  return result;
}

double OldBaseline::RateCeiling(double aUsual, double aUncontrolled, bool aHasControl)
{
  if (aHasControl) {
    return kMaxRateCeiling; // The rate is limited by the old version's own requests in the block.
  }
  return std::min(kMaxRateCeiling, std::max(aUncontrolled, 1.5 * aUsual));
}

} // namespace cuminfield::version::moves
