#pragma once

#include "cuminfield/version/moves/OldBaseline.h"

#include <array>
#include <string>

namespace cuminfield::version::moves {

/// Metrics by which the new version is compared with the old one.
enum class Metric
{
  Failures,
  FirstToken,     ///< Fraction of requests slower than about the upper quartile of the old version.
  FirstTokenTail, ///< Fraction of requests slower than almost all requests of the old version.
  TokenGap,
  TokenGapTail,
};

inline constexpr std::size_t kMetricCount = 5;

/// Settings of RouteEvidence.
struct RouteEvidenceSettings
{
  OldBaselineSettings baseline;
  SequentialTestSettings test;
  /// Maximum fraction of the old version's requests that counts as slow.
  double bulkQuantile = 0.30;
  double tailQuantile = 0.03; ///< The same for the tail metrics.
  /// Maximum number of rounds to wait for requests to the other version.
  std::uint32_t maxBlockRounds = 8;
  double recentRequests = 200; ///< Requests that the reason texts are based on.
};

/// Evidence on one route or on all routes together. Compares the new version with the old one block
/// by block; a block covers the requests of a few rounds.
class RouteEvidence
{
public:
  explicit RouteEvidence(const RouteEvidenceSettings& aSettings = {});

  /// Adds requests of the current round. May be called any number of times per round.
  void AddOld(const Observation& aOld);
  void AddNew(const Observation& aNew);

  /// Ends a round. The rounds since the last block form a block once they contain requests to both
  /// versions, or are too many. The block is tested against the baseline from before it and then
  /// added to the baseline. Block boundaries depend only on counts, never on outcomes.
  void EndRound();

  /// Adds the current time as a possible start of a fault.
  void AddStartTime();

  /// Natural logarithm of the evidence against the new version in one metric.
  double LogEvidence(Metric aMetric) const;

  /// Evaluated requests.
  std::uint64_t NewRequestCount() const { return mNewRequestCount; }
  std::uint64_t OldRequestCount() const { return mOldRequestCount; }

  /// Describes for operators how the versions compare in this metric.
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
  Observation mOldBlock;
  Observation mNewBlock;
  std::uint32_t mBlockRounds = 0;
  DecayedCounts mRecentNew; ///< For reason texts only.
  std::uint64_t mNewRequestCount = 0;
  std::uint64_t mOldRequestCount = 0;
};

} // namespace cuminfield::version::moves
