#include "cuminfield/version/moves/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::version::moves {

namespace {

constexpr double kMinRate = 1e-4;
constexpr double kMaxRate = 0.98;
constexpr int kMaxIterations = 30;
constexpr double kTolerance = 1e-8;

double ClampRate(double aRate)
{
  return std::clamp(aRate, kMinRate, kMaxRate);
}

/// First and second derivatives, with respect to aNull, of the Kullback-Leibler divergence of rate
/// aTrue from rate aNull.
double DivergenceSlope(double aTrue, double aNull)
{
  return (aNull - aTrue) / (aNull * (1.0 - aNull));
}

double DivergenceCurvature(double aTrue, double aNull)
{
  const double other = 1.0 - aNull;
  return aTrue / (aNull * aNull) + (1.0 - aTrue) / (other * other);
}

/// Log likelihood ratio of rate aNumerator over rate aDenominator.
double LogLikelihoodRatio(std::uint32_t aTotal, std::uint32_t aHits, double aNumerator,
                          double aDenominator)
{
  if (aTotal == 0) {
    return 0.0;
  }
  return aHits * std::log(aNumerator / aDenominator) +
         (aTotal - aHits) * std::log((1.0 - aNumerator) / (1.0 - aDenominator));
}

double LogSumExp(double aLeft, double aRight)
{
  const double high = std::max(aLeft, aRight);
  return high + std::log(std::exp(aLeft - high) + std::exp(aRight - high));
}

double MaxNewRate(const NullBound& aBound, double aOldRate)
{
  return ClampRate(aBound.ratio * aOldRate + aBound.margin);
}

/// Returns the old version's rate at the point of the null that is nearest to (aNewRate,
/// aBound.oldRate). The divergence is convex along the edge of the null. Its minimum is found by
/// Newton's method, with bisection for steps that would leave the bracket.
double NearestNullOldRate(const TwoSampleBlock& aBlock, const NullBound& aBound, double aNewRate)
{
  const double oldRate = ClampRate(aBound.oldRate);
  const double maxOldRate = (aNewRate - aBound.margin) / aBound.ratio;
  double low = oldRate;
  double high = std::max(low, std::min(aBound.oldCeiling, maxOldRate));
  const auto slope = [&](double aOld) {
    return aBlock.newTotal * aBound.ratio * DivergenceSlope(aNewRate, MaxNewRate(aBound, aOld)) +
           aBlock.oldTotal * DivergenceSlope(oldRate, aOld);
  };
  const auto curvature = [&](double aOld) {
    return aBlock.newTotal * aBound.ratio * aBound.ratio *
             DivergenceCurvature(aNewRate, MaxNewRate(aBound, aOld)) +
           aBlock.oldTotal * DivergenceCurvature(oldRate, aOld);
  };
  if (slope(high) <= 0.0) {
    return high;
  }
  double rate = low;
  for (int it = 0; it < kMaxIterations && high - low > kTolerance; ++it) {
    const double gradient = slope(rate);
    (gradient > 0.0 ? high : low) = rate;
    const double next = rate - gradient / curvature(rate);
    const bool isInside = next > low && next < high;
    const double step = isInside ? next - rate : 0.5 * (low + high) - rate;
    rate += step;
    if (std::abs(step) < kTolerance) {
      break;
    }
  }
  return rate;
}

} // namespace

SequentialTest::SequentialTest(const SequentialTestSettings& aSettings)
  : mSettings(aSettings)
{
  mLogEvidence.fill(std::log(mSettings.firstStartWeight));
}

void SequentialTest::AddStartTime()
{
  const double weight = std::log(NextStartWeight());
  for (double& it : mLogEvidence) {
    it = LogSumExp(it, weight);
  }
}

void SequentialTest::Update(const TwoSampleBlock& aBlock, const NullBound& aBound)
{
  if (aBlock.newTotal == 0) {
    return; // Without requests to the new version, the nearest null point is the alternative itself
            // and the factor is 1.
  }
  const double bound = MaxNewRate(aBound, ClampRate(aBound.oldRate));
  for (std::size_t it = 0; it < mLogEvidence.size(); ++it) {
    const double newRate = ClampRate(bound + (1.0 - bound) * mSettings.alternatives[it]);
    if (newRate > bound) {
      mLogEvidence[it] += LogBlockFactor(aBlock, aBound, newRate);
    }
  }
}

double SequentialTest::LogEvidence() const
{
  double sum = mLogEvidence[0];
  for (std::size_t it = 1; it < mLogEvidence.size(); ++it) {
    sum = LogSumExp(sum, mLogEvidence[it]);
  }
  return sum - std::log(static_cast<double>(mLogEvidence.size()));
}

double SequentialTest::NextStartWeight()
{
  // Each batch gets half of the remaining weight, so the weights of all start times sum to at most
  // 1.
  const std::uint32_t batch = mStartCount / mSettings.startsPerBatch;
  ++mStartCount;
  const double left = 1.0 - mSettings.firstStartWeight;
  return std::max(left * std::pow(0.5, batch + 1.0) / mSettings.startsPerBatch, 1e-300);
}

double LogBlockFactor(const TwoSampleBlock& aBlock, const NullBound& aBound, double aNewRate)
{
  const double nullOld = NearestNullOldRate(aBlock, aBound, aNewRate);
  const double nullNew = MaxNewRate(aBound, nullOld);
  return LogLikelihoodRatio(aBlock.newTotal, aBlock.newHits, aNewRate, nullNew) +
         LogLikelihoodRatio(aBlock.oldTotal, aBlock.oldHits, ClampRate(aBound.oldRate), nullOld);
}

} // namespace cuminfield::version::moves
