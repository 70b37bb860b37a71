#pragma once

#include "cuminfield/version/moves/OldBaseline.h"

#include <array>
#include <string>

namespace cuminfield::version::moves {

/// What a new version is watched on.
enum class Metric
{
  Failures,
  FirstToken,     ///< Part of requests slower than the old version's upper quartile or so.
  FirstTokenTail, ///< Part of requests slower than nearly all of the old version's.
  TokenGap,
  TokenGapTail,
};

inline constexpr std::size_t kMetricCount = 5;

/// Tunables of RouteEvidence.
struct RouteEvidenceSettings
{
  OldBaselineSettings baseline;
  SequentialTestSettings test;
  double bulkQuantile = 0.30; ///< At most this part of the old version's requests counts as slow.
  double tailQuantile = 0.03; ///< The same for the tail.
  /// Rounds that requests of one version wait for some of the other to compare with.
  std::uint32_t maxBlockRounds = 8;
  double recentRequests = 200; ///< Requests that reason texts speak of.
};

/// The evidence on one route, or on all routes together: compares the new version block by block
/// with the old one as seen in the same few rounds.
class RouteEvidence
{
public:
  explicit RouteEvidence(const RouteEvidenceSettings& aSettings = {});

  /// Requests of this round. May be called any number of times in a round.
  void AddOld(const Observation& aOld);
  void AddNew(const Observation& aNew);

  /// Ends a round. The rounds since the last block become one block once they have requests to both
  /// versions, or are too many: it is judged against what was learned before it, then learned from.
  /// Where blocks end depends on counts alone, never on outcomes.
  void EndRound();

  /// Looks from now on also for faults that begin now.
  void AddStartTime();

  /// Natural logarithm of the evidence against the new version in one metric.
  double LogEvidence(Metric aMetric) const;

  /// Requests judged.
  std::uint64_t NewRequestCount() const { return mNewRequestCount; }
  std::uint64_t OldRequestCount() const { return mOldRequestCount; }

  /// For operators: how the versions compare in this metric.
  std::string Describe(Metric aMetric) const;

private:
  bool IsBlockComplete() const;
  void TestBlock();
  void TestLatency(Metric aMetric, const std::optional<LatencyBound>& aBound,
                   LatencyCounts Observation::*aCounts);
  SequentialTest& Test(Metric aMetric) { return mTests[static_cast<std::size_t>(aMetric)]; }

  RouteEvidenceSettings mSettings;
  OldBaseline mBaseline;
  std::array<SequentialTest, kMetricCount> mTests;
  Observation mOldBlock;          ///< This block.
  Observation mNewBlock;          ///< This block.
  std::uint32_t mBlockRounds = 0; ///< Of this block.
  DecayedCounts mRecentNew;       ///< For reason texts only.
  std::uint64_t mNewRequestCount = 0;
  std::uint64_t mOldRequestCount = 0;
};

} // namespace cuminfield::version::moves
