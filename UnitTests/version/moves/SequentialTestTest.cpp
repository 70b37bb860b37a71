#include "cuminfield/version/moves/SequentialTest.h"
#include "cuminfield/core/Random.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

// Must be included last: its macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace cuminfield::version::moves;
using cuminfield::core::Random;

namespace {

std::uint32_t DrawHits(Random& aRandom, std::uint32_t aTotal, double aRate)
{
  std::uint32_t hits = 0;
  for (std::uint32_t it = 0; it < aTotal; ++it) {
    hits += aRandom.Chance(aRate);
  }
  return hits;
}

double BinomialWeight(std::uint32_t aTotal, std::uint32_t aHits, double aRate)
{
  const double logChoose =
    std::lgamma(aTotal + 1.0) - std::lgamma(aHits + 1.0) - std::lgamma(aTotal - aHits + 1.0);
  return std::exp(logChoose + aHits * std::log(aRate) + (aTotal - aHits) * std::log1p(-aRate));
}

/// Returns the expected factor of one block, summed over all outcomes.
double ExpectedFactor(TwoSampleBlock aBlock, const NullBound& aBound, double aAlternative,
                      double aNewRate, double aOldRate)
{
  double sum = 0.0;
  for (aBlock.newHits = 0; aBlock.newHits <= aBlock.newTotal; ++aBlock.newHits) {
    for (aBlock.oldHits = 0; aBlock.oldHits <= aBlock.oldTotal; ++aBlock.oldHits) {
      sum += BinomialWeight(aBlock.newTotal, aBlock.newHits, aNewRate) *
             BinomialWeight(aBlock.oldTotal, aBlock.oldHits, aOldRate) *
             std::exp(LogBlockFactor(aBlock, aBound, aAlternative));
    }
  }
  return sum;
}

} // namespace

TEST_GROUP(SequentialTest){};

TEST(SequentialTest, ExpectedBlockFactorIsAtMostOneWithinTheNull)
{
  rc::check([] {
    const auto percent = [](int aLow, int aHigh) { return *rc::gen::inRange(aLow, aHigh) / 100.0; };
    NullBound bound;
    bound.oldRate = percent(1, 40);
    bound.oldCeiling = bound.oldRate + percent(0, 30);
    bound.margin = percent(1, 15);
    const double oldRate = std::min(bound.oldCeiling, percent(1, 70));
    const double newRate = (oldRate + bound.margin) * percent(10, 101);
    const double edge = bound.oldRate + bound.margin;
    const double alternative = edge + (0.98 - edge) * percent(3, 90);
    TwoSampleBlock block;
    block.newTotal = *rc::gen::inRange(1u, 8u);
    block.oldTotal = *rc::gen::inRange(0u, 8u);
    RC_ASSERT(ExpectedFactor(block, bound, alternative, newRate, oldRate) < 1.0 + 1e-4);
  });
}

TEST(SequentialTest, ErrorRateHoldsUnderContinuousMonitoring)
{
  Random random(20261204);
  constexpr int kRuns = 300;
  constexpr double kErrorRate = 0.05;
  int alarms = 0;
  for (int run = 0; run < kRuns; ++run) {
    SequentialTest test;
    const NullBound bound{ .oldRate = 0.02, .oldCeiling = 0.03, .ratio = 1.0, .margin = 0.01 };
    double maxLogEvidence = -1e9;
    for (int it = 0; it < 400; ++it) {
      if (it % 40 == 39) {
        test.AddStartTime();
      }
      const TwoSampleBlock block{ .newTotal = 4,
                                  .newHits = DrawHits(random, 4, 0.03),
                                  .oldTotal = 20,
                                  .oldHits = DrawHits(random, 20, 0.02) };
      test.Update(block, bound);
      maxLogEvidence = std::max(maxLogEvidence, test.LogEvidence());
    }
    alarms += maxLogEvidence >= std::log(1.0 / kErrorRate);
  }
  CHECK(alarms <= kRuns * kErrorRate);
}

TEST(SequentialTest, DetectsAFewConsecutiveFailures)
{
  SequentialTest test;
  const NullBound bound{ .oldRate = 0.005, .oldCeiling = 0.012, .ratio = 1.25, .margin = 0.01 };
  for (int it = 0; it < 5; ++it) {
    test.Update({ .newTotal = 1, .newHits = 1, .oldTotal = 25, .oldHits = 0 }, bound);
  }
  CHECK(test.LogEvidence() > std::log(1e5));
}

TEST(SequentialTest, DetectsALateFault)
{
  Random random(7);
  SequentialTest test;
  const NullBound bound{ .oldRate = 0.005, .oldCeiling = 0.012, .ratio = 1.25, .margin = 0.01 };
  int detectedAt = 0;
  for (int it = 0; it < 3000 && test.LogEvidence() < std::log(1e5); ++it) {
    if (it % 40 == 39) {
      test.AddStartTime();
    }
    const double rate = it < 2000 ? 0.005 : 0.15;
    test.Update({ .newTotal = 5,
                  .newHits = DrawHits(random, 5, rate),
                  .oldTotal = 5,
                  .oldHits = DrawHits(random, 5, 0.005) },
                bound);
    detectedAt = it;
  }
  CHECK(detectedAt >= 2000);
  CHECK(detectedAt < 2100);
}

TEST(SequentialTest, IgnoresFaultsOfBothVersions)
{
  Random random(11);
  SequentialTest test;
  NullBound bound{ .oldRate = 0.005, .oldCeiling = 0.012, .ratio = 1.25, .margin = 0.01 };
  for (int it = 0; it < 200; ++it) {
    test.Update({ .newTotal = 2,
                  .newHits = DrawHits(random, 2, 0.3),
                  .oldTotal = 18,
                  .oldHits = DrawHits(random, 18, 0.3) },
                bound);
    CHECK(test.LogEvidence() < std::log(100));
  }
}
