#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cuminfield::version::moves {

/// Requests of both versions seen in the same short time, and how many of them were hits (failed,
/// or slower than some bound).
struct TwoSampleBlock
{
  std::uint32_t newTotal = 0;
  std::uint32_t newHits = 0;
  std::uint32_t oldTotal = 0;
  std::uint32_t oldHits = 0;
};

/// What a new version that is not bad may do: its hit rate is at most `ratio * old + margin`, where
/// the old version's present rate is at most `oldCeiling`. Chosen before the block's outcomes are
/// looked at.
struct NullBound
{
  double oldRate = 0.01;    ///< Best guess of the old version's rate now.
  double oldCeiling = 0.02; ///< At least oldRate.
  double ratio = 1.0;
  double margin = 0.01;
};

/// Tunables of SequentialTest.
struct SequentialTestSettings
{
  /// Rates to look for: these parts of the way from the null bound to 1. The last is the fast path
  /// for glaring faults: a few failures in a row decide.
  std::array<double, 4> alternatives{ 0.03, 0.10, 0.30, 0.87 };
  /// Part of the error budget for faults present from the start; the rest is for later ones.
  double firstStartWeight = 0.5;
  /// Later starts that share half of the rest; each following batch of as many shares half of what
  /// is left.
  std::uint32_t startsPerBatch = 200;
};

/// Always-valid test of whether the new version's hit rate exceeds its bound. Its value is an
/// e-process: whatever the rates within the null bound, however they change and however often one
/// looks, the chance that it ever reaches 1/a is at most a (Ville 1939; Wald 1945 and Robbins 1970
/// for the mixture of likelihood ratios; Howard et al. 2021, Johari et al. 2022 for continuous
/// watching). A block's factor is the likelihood ratio against the nearest point of the convex null
/// (Turner, Ly and Gruenwald 2024, "Generic E-variables for exact sequential k-sample tests").
/// A weighted sum over starting times finds faults that begin late (Shin, Ramdas and Rinaldo 2024,
/// "E-detectors").
class SequentialTest
{
public:
  explicit SequentialTest(const SequentialTestSettings& aSettings = {});

  /// Looks from now on also for a fault that begins now. To be called at times that do not depend
  /// on outcomes.
  void AddStartTime();

  /// Takes in one block.
  void Update(const TwoSampleBlock& aBlock, const NullBound& aBound);

  /// Natural logarithm of the evidence against the new version now.
  double LogEvidence() const;

private:
  double NextStartWeight();

  SequentialTestSettings mSettings;
  std::array<double, 4> mLogEvidence{}; ///< Per alternative, over all starting times.
  std::uint32_t mStartCount = 0;
};

/// Natural logarithm of one block's factor for the alternative that the new version's rate is
/// aNewRate, which lies above the bound at aBound.oldRate.
double LogBlockFactor(const TwoSampleBlock& aBlock, const NullBound& aBound, double aNewRate);

} // namespace cuminfield::version::moves
