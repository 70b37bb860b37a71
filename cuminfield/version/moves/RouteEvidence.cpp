#include "cuminfield/version/moves/RouteEvidence.h"

#include <spdlog/fmt/fmt.h>

namespace cuminfield::version::moves {

namespace {

std::uint32_t CountAbove(const LatencyCounts& aCounts, std::size_t aClass)
{
  std::uint32_t sum = 0;
  for (std::size_t it = aClass + 1; it < aCounts.size(); ++it) {
    sum += aCounts[it];
  }
  return sum;
}

std::uint32_t CountAll(const LatencyCounts& aCounts)
{
  std::uint32_t sum = 0;
  for (const std::uint32_t it : aCounts) {
    sum += it;
  }
  return sum;
}

} // namespace

RouteEvidence::RouteEvidence(const RouteEvidenceSettings& aSettings)
  : mSettings(aSettings)
  , mBaseline(aSettings.baseline)
  , mRecentNew(aSettings.recentRequests)
{
  mTests.fill(SequentialTest(aSettings.test));
}

void RouteEvidence::AddOld(const Observation& aOld)
{
  mOldBlock.Add(aOld);
}

void RouteEvidence::AddNew(const Observation& aNew)
{
  mNewBlock.Add(aNew);
}

void RouteEvidence::EndRound()
{
  ++mBlockRounds;
  if (!IsBlockComplete()) {
    return;
  }
  mBlockRounds = 0;
  if (mNewBlock.RequestCount() > 0) {
    TestBlock();
    mRecentNew.Add(mNewBlock);
  }
  mNewRequestCount += mNewBlock.RequestCount();
  mOldRequestCount += mOldBlock.RequestCount();
  if (mOldBlock.RequestCount() > 0) {
    mBaseline.Add(mOldBlock);
  }
  mOldBlock = Observation{};
  mNewBlock = Observation{};
}

void RouteEvidence::AddStartTime()
{
  for (SequentialTest& it : mTests) {
    it.AddStartTime();
  }
}

double RouteEvidence::LogEvidence(Metric aMetric) const
{
  return mTests[static_cast<std::size_t>(aMetric)].LogEvidence();
}

std::string RouteEvidence::Describe(Metric aMetric) const
{
  if (aMetric == Metric::Failures) {
    return fmt::format("lately {:.1f}% of its requests failed, of the old version's {:.1f}%",
                       100.0 * mRecentNew.FailureRate(), 100.0 * mBaseline.FailureRate());
  }
  const bool isTokenGap = aMetric == Metric::TokenGap || aMetric == Metric::TokenGapTail;
  const bool isTail = aMetric == Metric::FirstTokenTail || aMetric == Metric::TokenGapTail;
  const double quantile = isTail ? mSettings.tailQuantile : mSettings.bulkQuantile;
  const auto bound = isTokenGap ? mBaseline.TokenGapBound(quantile, true)
                                : mBaseline.FirstTokenBound(quantile, true);
  if (!bound) {
    return "slower than the old version";
  }
  const std::size_t slowClass = bound->latencyClass;
  const double fractionAbove = isTokenGap ? mRecentNew.TokenGapFractionAbove(slowClass)
                                          : mRecentNew.FirstTokenFractionAbove(slowClass);
  const auto limit =
    std::chrono::duration_cast<std::chrono::milliseconds>(kLatencyBounds[slowClass]);
  return fmt::format("lately {:.1f}% of its requests had {} above {} ms, of the old version's "
                     "{:.1f}%",
                     100.0 * fractionAbove,
                     isTokenGap ? "a token gap" : "a scaled time to first token", limit.count(),
                     100.0 * bound->bound.oldRate);
}

bool RouteEvidence::IsBlockComplete() const
{
  const bool hasBoth = mNewBlock.RequestCount() > 0 && mOldBlock.RequestCount() > 0;
  return hasBoth || mBlockRounds >= mSettings.maxBlockRounds;
}

void RouteEvidence::TestBlock()
{
  const bool hasControl = mOldBlock.RequestCount() > 0;
  const TwoSampleBlock failures{ .newTotal = mNewBlock.RequestCount(),
                                 .newHits = mNewBlock.failed,
                                 .oldTotal = mOldBlock.RequestCount(),
                                 .oldHits = mOldBlock.failed };
  const double bulk = mSettings.bulkQuantile;
  const double tail = mSettings.tailQuantile;
  Test(Metric::Failures).Update(failures, mBaseline.FailureBound(hasControl));
  TestLatency(Metric::FirstToken, mBaseline.FirstTokenBound(bulk, hasControl),
              &Observation::firstToken);
  TestLatency(Metric::FirstTokenTail, mBaseline.FirstTokenBound(tail, hasControl),
              &Observation::firstToken);
  TestLatency(Metric::TokenGap, mBaseline.TokenGapBound(bulk, hasControl), &Observation::tokenGap);
  TestLatency(Metric::TokenGapTail, mBaseline.TokenGapBound(tail, hasControl),
              &Observation::tokenGap);
}

void RouteEvidence::TestLatency(Metric aMetric, const std::optional<LatencyBound>& aBound,
                                LatencyCounts Observation::*aCounts)
{
  if (!aBound) {
    return;
  }
  const std::size_t slowClass = aBound->latencyClass;
  const TwoSampleBlock block{ .newTotal = CountAll(mNewBlock.*aCounts),
                              .newHits = CountAbove(mNewBlock.*aCounts, slowClass),
                              .oldTotal = CountAll(mOldBlock.*aCounts),
                              .oldHits = CountAbove(mOldBlock.*aCounts, slowClass) };
  Test(aMetric).Update(block, aBound->bound);
}

} // namespace cuminfield::version::moves
