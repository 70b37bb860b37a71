#include "cuminfield/version/moves/MoveEvidence.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

namespace cuminfield::version::moves {

namespace {

const char* MetricTitle(Metric aMetric)
{
  switch (aMetric) {
    case Metric::Failures:
      return "failures";
    case Metric::FirstToken:
    case Metric::FirstTokenTail:
      return "slow first token";
    case Metric::TokenGap:
    case Metric::TokenGapTail:
      return "slow pace";
  }
  return "fault";
}

} // namespace

MoveEvidence::MoveEvidence(const MoveSubject& aSubject, const MoveEvidenceSettings& aSettings,
                           std::uint32_t aIncarnation)
  : mSubject(aSubject)
  , mSettings(aSettings)
  , mErrorRate(aSettings.errorRate * std::pow(0.5, aIncarnation + 1.0))
  , mAll(aSettings.route)
{
  for (const core::RouteId& it : aSubject.routes) {
    mRoutes.emplace(it, RouteEvidence(aSettings.route));
  }
}

void MoveEvidence::AddReport(const ObservationReport& aReport)
{
  const auto& trippedMoves = aReport.trippedMoves;
  if (std::find(trippedMoves.begin(), trippedMoves.end(), mSubject.move) != trippedMoves.end()) {
    mTrippedHosts.insert(aReport.host);
  }
  for (const Observation& it : mDeltaTracker.AddReport(aReport)) {
    if (it.service == mSubject.service) {
      AddObservation(it);
    }
  }
}

void MoveEvidence::EndRound()
{
  mAll.EndRound();
  for (auto& [route, evidence] : mRoutes) {
    evidence.EndRound();
  }
  ++mRounds;
  if (mRounds % mSettings.roundsBetweenStarts == 0) {
    AddStartTimes();
  }
  mLogEvidenceRatio = -1e9;
  Evaluate(mAll, "all routes together", mSettings.allRoutesBudget);
  const double budget = (1.0 - mSettings.allRoutesBudget) /
                        static_cast<double>(std::max<std::size_t>(1, mRoutes.size()));
  for (const auto& [route, evidence] : mRoutes) {
    Evaluate(evidence, "route " + route.Text(), budget);
  }
  EvaluateTrippedHosts();
}

std::uint64_t MoveEvidence::NewRequestCount(const core::RouteId& aRoute) const
{
  const auto it = mRoutes.find(aRoute);
  return it == mRoutes.end() ? 0 : it->second.NewRequestCount();
}

std::uint64_t MoveEvidence::OldRequestCount(const core::RouteId& aRoute) const
{
  const auto it = mRoutes.find(aRoute);
  return it == mRoutes.end() ? 0 : it->second.OldRequestCount();
}

void MoveEvidence::AddObservation(const Observation& aObservation)
{
  const auto route = mRoutes.find(aObservation.route);
  if (aObservation.version == mSubject.to) {
    mAll.AddNew(aObservation);
    if (route != mRoutes.end()) {
      route->second.AddNew(aObservation);
    }
  } else if (aObservation.version == mSubject.from) {
    mAll.AddOld(aObservation);
    if (route != mRoutes.end()) {
      route->second.AddOld(aObservation);
    }
  }
}

void MoveEvidence::AddStartTimes()
{
  mAll.AddStartTime();
  for (auto& [route, evidence] : mRoutes) {
    evidence.AddStartTime();
  }
}

void MoveEvidence::Evaluate(const RouteEvidence& aEvidence, const std::string& aScope,
                            double aBudget)
{
  for (std::size_t it = 0; it < kMetricCount; ++it) {
    const auto metric = static_cast<Metric>(it);
    const double fraction = metric == Metric::Failures
                              ? mSettings.failureBudget
                              : (1.0 - mSettings.failureBudget) / (kMetricCount - 1);
    const double requiredLogEvidence = -std::log(mErrorRate * aBudget * fraction);
    const double logRatio = aEvidence.LogEvidence(metric) - requiredLogEvidence;
    mLogEvidenceRatio = std::max(mLogEvidenceRatio, logRatio);
    if (logRatio >= 0.0 && !mFault) {
      mFault = fmt::format("{} of {} {} on {}: {}", MetricTitle(metric), mSubject.service.Text(),
                           mSubject.to.Text(), aScope, aEvidence.Describe(metric));
    }
  }
}

void MoveEvidence::EvaluateTrippedHosts()
{
  if (mTrippedHosts.size() >= mSettings.trippedHostsForFault && !mFault) {
    mFault =
      fmt::format("{} hosts left {} {} by themselves, since most of its answers failed there",
                  mTrippedHosts.size(), mSubject.service.Text(), mSubject.to.Text());
  }
}

} // namespace cuminfield::version::moves
