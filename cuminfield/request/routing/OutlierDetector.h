#pragma once

#include "cuminfield/core/Units.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminfield::request::routing {

/// Steps of fullness, each a quarter of the slots, by which the usual pace is kept.
inline constexpr std::size_t kFillBuckets = 8;

/// Tunables of PeerComparison.
struct OutlierDetectorSettings
{
  double maxSlowdownRatio = 2.0; ///< Ejected at this many times its peers' median slowdown.
  double maxFailureShare = 0.5;  ///< Ejected at this share of failures among its answers.
  double maxEjectedShare = 0.34; ///< Share of a pool that may be ejected at once.
  std::uint32_t minSamples = 10; ///< Answers before an upstream is judged.
  core::Duration initialEjection{
    5'000'000
  };                                        ///< First ejection; doubles each time up to maxEject.
  core::Duration maxEjection{ 60'000'000 }; ///< Longest ejection.
  std::uint32_t maxProbationRequests = 2; ///< In flight at most while an upstream is on probation.
  core::Duration baselineTimeConstant{ 60'000'000 }; ///< Over which the usual pace is forgotten.
};

/// Health of one upstream, as PeerComparison keeps it.
struct UpstreamHealth
{
  double slowdown = 1; ///< Recent ratio of observed to usual times; 1 is as usual.
  /// Usual time between tokens in microseconds, by how full the upstream was.
  std::array<double, kFillBuckets> baselineIntervals{};
  double failureShare = 0; ///< Recent share of failed answers.
  std::uint32_t samples = 0;
  core::Instant ejectedUntil{};         ///< Ejected until then.
  core::Duration ejectionDuration{ 0 }; ///< Of the last ejection.
  bool ejected = false;
  bool onProbation = false; ///< Back after an ejection, with a few requests at a time.
};

/// Finds stragglers by comparison with their peers. Engines differ in speed by nature, so each is
/// measured against its own usual pace when it is as full, and the slowdowns are compared within
/// the pool: when all slow down together the load is the cause, and nobody is ejected. At most a
/// bounded share of a pool is ejected at once.
class OutlierDetector
{
public:
  explicit OutlierDetector(const OutlierDetectorSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// A token came this long after the last one, one of aStreams of this host, while the upstream
  /// was this full (1: all slots).
  void ObserveTokenInterval(UpstreamHealth& aHealth, core::Duration aGap, double aFill,
                            std::uint32_t aStreams) const;

  /// A try ended, with or without a fault of the upstream.
  void ObserveAttemptEnd(UpstreamHealth& aHealth, bool aFailed) const;

  /// Judges the peers of one pool; call it a few times a second.
  void Evaluate(std::vector<UpstreamHealth*>& aPeers, core::Instant aNow) const;

private:
  static void EndExpiredEjection(UpstreamHealth& aHealth, core::Instant aNow);
  bool IsStraggler(const UpstreamHealth& aHealth, double aMedian) const;
  void Eject(UpstreamHealth& aHealth, core::Instant aNow) const;

  OutlierDetectorSettings mSettings;
};

} // namespace cuminfield::request::routing
