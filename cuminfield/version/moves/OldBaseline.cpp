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
  const double requests = mCounts.RequestWeight();
  NullBound bound;
  bound.oldRate = (mCounts.FailureRate() * requests + kPriorFailures) / (requests + kPriorRequests);
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

LatencyBound OldBaseline::MakeLatencyBound(FractionAboveMethod aFractionAbove, double aQuantile,
                                           bool aHasControl) const
{
  std::size_t slowClass = 1;
  while (slowClass + 1 < kLatencyBounds.size() &&
         (mCounts.*aFractionAbove)(slowClass) > aQuantile) {
    ++slowClass;
  }
  const double fractionAbove = (mCounts.*aFractionAbove)(slowClass);
  const double fractionAboveLowerClass = (mCounts.*aFractionAbove)(slowClass - 1);
  LatencyBound result;
  result.latencyClass = slowClass;
  result.bound.oldRate = fractionAbove;
  result.bound.oldCeiling =
    RateCeiling(fractionAbove, mSettings.maxUncontrolledSlowRate, aHasControl);
  result.bound.ratio = 1.0;
  // A version slower by one whole class exceeds this class as often as the old one exceeds the
  // class below.
  result.bound.margin =
    std::max(mSettings.latencyClassMargin * (fractionAboveLowerClass - fractionAbove), 0.01);
  return result;
}

double OldBaseline::RateCeiling(double aUsualRate, double aMaxUncontrolledRate, bool aHasControl)
{
  if (aHasControl) {
    return kMaxRateCeiling; // The rate is limited by the old version's own requests in the block.
  }
  return std::min(kMaxRateCeiling, std::max(aMaxUncontrolledRate, 1.5 * aUsualRate));
}

} // namespace cuminfield::version::moves
