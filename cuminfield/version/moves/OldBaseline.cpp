#include "cuminfield/version/moves/OldBaseline.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::version::moves {

namespace {

/// Pseudo-counts that stand for a route on which nothing has been seen yet.
constexpr double kPriorRequests = 30.0;
constexpr double kPriorFailures = 0.3;

double StandardError(double aRate, double aRequests)
{
  const double rate = std::clamp(aRate, 0.005, 0.995);
  return std::sqrt(rate * (1.0 - rate) / std::max(aRequests, 1.0));
}

} // namespace

OldBaseline::OldBaseline(const OldBaselineSettings& aSettings)
  : mSettings(aSettings)
  , mLong(aSettings.longMemory)
  , mShort(aSettings.shortMemory)
{
}

void OldBaseline::Add(const Observation& aOld)
{
  mLong.Add(aOld);
  mShort.Add(aOld);
}

NullBound OldBaseline::FailureBound() const
{
  const double n = mLong.Requests();
  NullBound bound;
  bound.oldRate = (mLong.FailureRate() * n + kPriorFailures) / (n + kPriorRequests);
  bound.oldCeiling = Ceiling(bound.oldRate, mShort.FailureRate(), mSettings.failureSlack);
  bound.ratio = mSettings.failureRatio;
  bound.margin = mSettings.failureMargin;
  return bound;
}

std::optional<LatencyBound> OldBaseline::FirstTokenBound(double aQuantile) const
{
  if (mLong.FirstTokens() < mSettings.fewestLatencies) {
    return std::nullopt;
  }
  return MakeLatencyBound(&DecayedCounts::FirstTokensAbove, aQuantile);
}

std::optional<LatencyBound> OldBaseline::TokenGapBound(double aQuantile) const
{
  if (mLong.TokenGaps() < mSettings.fewestLatencies) {
    return std::nullopt;
  }
  return MakeLatencyBound(&DecayedCounts::TokenGapsAbove, aQuantile);
}

LatencyBound OldBaseline::MakeLatencyBound(AboveMethod aAbove, double aQuantile) const
{
  std::size_t slow = 1;
  while (slow + 1 < kLatencyBounds.size() && (mLong.*aAbove)(slow) > aQuantile) {
    ++slow;
  }
  const double above = (mLong.*aAbove)(slow);
  const double aboveOneLess = (mLong.*aAbove)(slow - 1);
  LatencyBound result;
  result.latencyClass = slow;
  result.bound.oldRate = above;
  result.bound.oldCeiling = Ceiling(above, (mShort.*aAbove)(slow), mSettings.latencySlack);
  result.bound.ratio = 1.0;
  // A version slower by a whole class exceeds this class as often as the old one the class below.
  result.bound.margin = std::max(mSettings.slowClasses * (aboveOneLess - above), 0.01);
  return result;
}

double OldBaseline::Ceiling(double aUsual, double aNow, double aSlack) const
{
  const double usual =
    mSettings.failureRatio * aUsual + aSlack + 2.0 * StandardError(aUsual, mLong.Requests());
  const double noise = mSettings.unusual * StandardError(aUsual, mShort.Requests());
  if (aNow <= aUsual + noise) {
    return std::min(usual, 0.95);
  }
  // The old version is in trouble too: leave room for it to get worse before the next round.
  const double now = 1.5 * aNow + 0.05;
  return std::min(std::max(usual, now), 0.95);
}

} // namespace cuminfield::version::moves
