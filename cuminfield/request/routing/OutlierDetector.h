#pragma once

#include "cuminfield/core/Units.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminfield::request::routing {

/// Buckets of fill level for the baseline intervals; each covers a quarter of the slots.
inline constexpr std::size_t kFillBuckets = 8;

struct OutlierDetectorSettings
{
  double maxSlowdownRatio = 2.0; ///< Ejected above this multiple of the pool's median slowdown.
  double maxFailureShare = 0.5;  ///< Ejected above this fraction of failed attempts.
  double maxEjectedShare = 0.34; ///< Fraction of a pool that may be ejected at once.
  std::uint32_t minSamples = 10; ///< Observations before an upstream is evaluated.
  /// Duration of the first ejection; doubles with each further one.
  core::Duration initialEjection{ 5'000'000 };
  core::Duration maxEjection{ 60'000'000 }; ///< Upper bound of an ejection.
  std::uint32_t maxProbationRequests = 2;   ///< Requests in flight while on probation.
  /// Time constant of the decay of the baselines.
  core::Duration baselineTimeConstant{ 60'000'000 };
};

/// Health of one upstream, maintained by OutlierDetector.
struct UpstreamHealth
{
  double slowdown = 1; ///< Mean ratio of token interval to baseline; 1 is normal.
  /// Baseline token interval in microseconds, by fill level of the upstream.
  std::array<double, kFillBuckets> baselineIntervals{};
  double failureShare = 0; ///< Decaying fraction of failed attempts.
  std::uint32_t samples = 0;
  core::Instant ejectedUntil{};
  core::Duration ejectionDuration{ 0 }; ///< Duration of the last ejection.
  bool ejected = false;
  bool onProbation = false; ///< Restored after an ejection, with a limited number of requests.
};

/// Ejects stragglers by comparing the upstreams of a pool. Engines differ in speed, so each is
/// measured against its own baseline at the same fill level, and the slowdowns are compared within
/// the pool. If all upstreams slow down together, load is the cause and none is ejected. Only a
/// limited fraction of a pool is ejected at once.
class OutlierDetector
{
public:
  explicit OutlierDetector(const OutlierDetectorSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Records the interval between two tokens of a stream, with aStreams streams of this host at the
  /// upstream and a fill level of aFill (1: all slots in use).
  void ObserveTokenInterval(UpstreamHealth& aHealth, core::Duration aInterval, double aFill,
                            std::uint32_t aStreams) const;

  /// Records the end of an attempt. aFailed is true for a fault of the upstream.
  void ObserveAttemptEnd(UpstreamHealth& aHealth, bool aFailed) const;

  /// Evaluates the upstreams of one pool. Called a few times a second.
  void Evaluate(std::vector<UpstreamHealth*>& aPeers, core::Instant aNow) const;

private:
  static void EndExpiredEjection(UpstreamHealth& aHealth, core::Instant aNow);
  bool IsStraggler(const UpstreamHealth& aHealth, double aMedianSlowdown) const;
  void Eject(UpstreamHealth& aHealth, core::Instant aNow) const;

  OutlierDetectorSettings mSettings;
};

} // namespace cuminfield::request::routing
