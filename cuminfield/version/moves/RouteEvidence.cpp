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
  mOld.Add(aOld);
}

void RouteEvidence::AddNew(const Observation& aNew)
{
  mNew.Add(aNew);
}

void RouteEvidence::EndRound()
{
  ++mRounds;
  if (!BlockIsWhole()) {
    return;
  }
  mRounds = 0;
  if (mNew.Requests() > 0) {
    TestBlock();
    mRecentNew.Add(mNew);
  }
  mNewRequests += mNew.Requests();
  mOldRequests += mOld.Requests();
  if (mOld.Requests() > 0) {
    mBaseline.Add(mOld);
  }
  mOld = Observation{};
  mNew = Observation{};
}

void RouteEvidence::AddStart()
{
  for (SequentialTest& it : mTests) {
    it.AddStart();
  }
}

double RouteEvidence::LogValue(Metric aMetric) const
{
  return mTests[static_cast<std::size_t>(aMetric)].LogValue();
}

std::string RouteEvidence::Describe(Metric aMetric) const
{
  if (aMetric == Metric::Failures) {
    return fmt::format("lately {:.1f}% of its requests failed, of the old version's {:.1f}%",
                       100.0 * mRecentNew.FailureRate(), 100.0 * mBaseline.FailureRate());
  }
  const bool isPace = aMetric == Metric::Pace || aMetric == Metric::PaceTail;
  const bool isTail = aMetric == Metric::FirstTokenTail || aMetric == Metric::PaceTail;
  const double quantile = isTail ? mSettings.tailQuantile : mSettings.bulkQuantile;
  const auto bound =
    isPace ? mBaseline.TokenGapBound(quantile, true) : mBaseline.FirstTokenBound(quantile, true);
  if (!bound) {
    return "slower than the old version";
  }
  const std::size_t slow = bound->latencyClass;
  const double above = isPace ? mRecentNew.TokenGapsAbove(slow) : mRecentNew.FirstTokensAbove(slow);
  const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(kLatencyBounds[slow]);
  return fmt::format("lately {:.1f}% of its requests had {} above {} ms, of the old version's "
                     "{:.1f}%",
                     100.0 * above, isPace ? "a token gap" : "a scaled time to first token",
                     limit.count(), 100.0 * bound->bound.oldRate);
}

bool RouteEvidence::BlockIsWhole() const
{
  const bool hasBoth = mNew.Requests() > 0 && mOld.Requests() > 0;
  return hasBoth || mRounds >= mSettings.longestBlock;
}

void RouteEvidence::TestBlock()
{
  const bool hasControl = mOld.Requests() > 0;
  const TwoSampleBlock failures{ .newTotal = mNew.Requests(),
                                 .newHits = mNew.failed,
                                 .oldTotal = mOld.Requests(),
                                 .oldHits = mOld.failed };
  const double bulk = mSettings.bulkQuantile;
  const double tail = mSettings.tailQuantile;
  Test(Metric::Failures).Update(failures, mBaseline.FailureBound(hasControl));
  TestLatency(Metric::FirstToken, mBaseline.FirstTokenBound(bulk, hasControl),
              &Observation::firstToken);
  TestLatency(Metric::FirstTokenTail, mBaseline.FirstTokenBound(tail, hasControl),
              &Observation::firstToken);
  TestLatency(Metric::Pace, mBaseline.TokenGapBound(bulk, hasControl), &Observation::tokenGap);
  TestLatency(Metric::PaceTail, mBaseline.TokenGapBound(tail, hasControl), &Observation::tokenGap);
}

void RouteEvidence::TestLatency(Metric aMetric, const std::optional<LatencyBound>& aBound,
                                LatencyCounts Observation::*aCounts)
{
  if (!aBound) {
    return;
  }
  const std::size_t slow = aBound->latencyClass;
  const TwoSampleBlock block{ .newTotal = CountAll(mNew.*aCounts),
                              .newHits = CountAbove(mNew.*aCounts, slow),
                              .oldTotal = CountAll(mOld.*aCounts),
                              .oldHits = CountAbove(mOld.*aCounts, slow) };
  Test(aMetric).Update(block, aBound->bound);
}

} // namespace cuminfield::version::moves
