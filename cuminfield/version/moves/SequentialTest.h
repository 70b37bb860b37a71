#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cuminfield::version::moves {

/// Requests to both versions in the same short period, and how many of them were hits (failed, or
/// slower than a bound).
struct TwoSampleBlock
{
  std::uint32_t newTotal = 0;
  std::uint32_t newHits = 0;
  std::uint32_t oldTotal = 0;
  std::uint32_t oldHits = 0;
};

/// Null hypothesis (the new version is not bad): its hit rate is at most `ratio * old + margin`,
/// where the old version's current rate is at most `oldCeiling`. Fixed before the outcomes of the
/// block are looked at.
struct NullBound
{
  double oldRate = 0.01;    ///< Estimate of the old version's current rate.
  double oldCeiling = 0.02; ///< At least oldRate.
  double ratio = 1.0;
  double margin = 0.01;
};

/// Settings of SequentialTest.
struct SequentialTestSettings
{
  /// Alternative rates, as fractions of the distance from the null bound to 1. The last one detects
  /// severe faults after a few failures in a row.
  std::array<double, 4> alternatives{ 0.03, 0.10, 0.30, 0.87 };
  /// Fraction of the error budget for faults present from the start; the rest is for later ones.
  double firstStartWeight = 0.5;
  /// Number of later start times in a batch. The first batch gets half of that rest; each further
  /// batch gets half of what then remains.
  std::uint32_t startsPerBatch = 200;
};

/// Always-valid test of whether the new version's hit rate exceeds its bound. Its value is an
/// e-process: for any rates within the null bound, however they change and however often the value
/// is checked, the probability that it ever reaches 1/a is at most a (Ville 1939; Wald 1945 and
/// Robbins 1970 for the mixture of likelihood ratios; Howard et al. 2021 and Johari et al. 2022 for
/// continuous monitoring). A block's factor is the likelihood ratio against the nearest point of
/// the convex null (Turner, Ly and Gruenwald 2024, "Generic E-variables for exact sequential
/// k-sample tests"). A weighted sum over start times detects faults that begin late (Shin, Ramdas
/// and Rinaldo 2024, "E-detectors").
class SequentialTest
{
public:
  explicit SequentialTest(const SequentialTestSettings& aSettings = {});

  /// Adds the current time as a possible start of a fault. The times of these calls must not depend
  /// on outcomes.
  void AddStartTime();

  /// Adds one block.
  void Update(const TwoSampleBlock& aBlock, const NullBound& aBound);

  /// Natural logarithm of the current evidence against the new version.
  double LogEvidence() const;

private:
  double NextStartWeight();

  SequentialTestSettings mSettings;
  std::array<double, 4> mLogEvidence{}; ///< Per alternative, over all start times.
  std::uint32_t mStartCount = 0;
};

/// Natural logarithm of one block's factor for the alternative that the new version's rate is
/// aNewRate, which must be above the bound at aBound.oldRate.
double LogBlockFactor(const TwoSampleBlock& aBlock, const NullBound& aBound, double aNewRate);

} // namespace cuminfield::version::moves
