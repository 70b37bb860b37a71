#include "cuminfield/version/moves/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::version::moves {

namespace {

constexpr double kSmallestRate = 1e-4;
constexpr double kLargestRate = 0.98;
constexpr int kBisections = 18;

double Bounded(double aRate)
{
  return std::clamp(aRate, kSmallestRate, kLargestRate);
}

/// Derivative by aNull of the Kullback-Leibler divergence of rate aTrue from rate aNull.
double Slope(double aTrue, double aNull)
{
  return (aNull - aTrue) / (aNull * (1.0 - aNull));
}

/// Log likelihood ratio of rates aTop over aBottom.
double LogRatio(std::uint32_t aTotal, std::uint32_t aHits, double aTop, double aBottom)
{
  if (aTotal == 0) {
    return 0.0;
  }
  return aHits * std::log(aTop / aBottom) +
         (aTotal - aHits) * std::log((1.0 - aTop) / (1.0 - aBottom));
}

double LogSum(double aLeft, double aRight)
{
  const double high = std::max(aLeft, aRight);
  return high + std::log(std::exp(aLeft - high) + std::exp(aRight - high));
}

double NewBound(const NullBound& aBound, double aOldRate)
{
  return Bounded(aBound.ratio * aOldRate + aBound.margin);
}

/// The old version's rate at the point of the null nearest to (aNewRate, aBound.oldRate): the
/// divergence is convex along the null's edge, so its minimum is found by bisection.
double NearestOldRate(const TwoSampleBlock& aBlock, const NullBound& aBound, double aNewRate)
{
  const double oldRate = Bounded(aBound.oldRate);
  double low = oldRate;
  double high =
    std::max(low, std::min(aBound.oldCeiling, (aNewRate - aBound.margin) / aBound.ratio));
  const auto rising = [&](double aOld) {
    const double bound = NewBound(aBound, aOld);
    return aBlock.newTotal * aBound.ratio * Slope(aNewRate, bound) +
             aBlock.oldTotal * Slope(oldRate, aOld) >
           0.0;
  };
  if (!rising(high)) {
    return high;
  }
  for (int it = 0; it < kBisections; ++it) {
    const double middle = 0.5 * (low + high);
    (rising(middle) ? high : low) = middle;
  }
  return 0.5 * (low + high);
}

} // namespace

SequentialTest::SequentialTest(const SequentialTestSettings& aSettings)
  : mSettings(aSettings)
{
  mLogValues.fill(std::log(mSettings.firstStartWeight));
}

void SequentialTest::AddStart()
{
  const double weight = std::log(NextStartWeight());
  for (double& it : mLogValues) {
    it = LogSum(it, weight);
  }
}

void SequentialTest::Update(const TwoSampleBlock& aBlock, const NullBound& aBound)
{
  if (aBlock.newTotal == 0) {
    return; // Without the new version the nearest null point is the alternative itself: factor 1.
  }
  const double bound = NewBound(aBound, Bounded(aBound.oldRate));
  for (std::size_t it = 0; it < mLogValues.size(); ++it) {
    const double newRate = Bounded(bound + (1.0 - bound) * mSettings.alternatives[it]);
    if (newRate > bound) {
      mLogValues[it] += LogBlockFactor(aBlock, aBound, newRate);
    }
  }
}

double SequentialTest::LogValue() const
{
  double sum = mLogValues[0];
  for (std::size_t it = 1; it < mLogValues.size(); ++it) {
    sum = LogSum(sum, mLogValues[it]);
  }
  return sum - std::log(static_cast<double>(mLogValues.size()));
}

double SequentialTest::NextStartWeight()
{
  // Half of what is left for each batch: the weights of all starts sum to at most 1.
  const std::uint32_t batch = mStarts / mSettings.startsInBatch;
  ++mStarts;
  const double left = 1.0 - mSettings.firstStartWeight;
  return std::max(left * std::pow(0.5, batch + 1.0) / mSettings.startsInBatch, 1e-300);
}

double LogBlockFactor(const TwoSampleBlock& aBlock, const NullBound& aBound, double aNewRate)
{
  const double nullOld = NearestOldRate(aBlock, aBound, aNewRate);
  const double nullNew = NewBound(aBound, nullOld);
  return LogRatio(aBlock.newTotal, aBlock.newHits, aNewRate, nullNew) +
         LogRatio(aBlock.oldTotal, aBlock.oldHits, Bounded(aBound.oldRate), nullOld);
}

} // namespace cuminfield::version::moves
