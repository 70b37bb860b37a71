#include "cuminfield/version/moves/MoveEvidence.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

namespace cuminfield::version::moves {

namespace {

const char* Title(Metric aMetric)
{
  switch (aMetric) {
    case Metric::Failures:
      return "failures";
    case Metric::FirstToken:
    case Metric::FirstTokenTail:
      return "slow first token";
    case Metric::Pace:
    case Metric::PaceTail:
      return "slow pace";
  }
  return "fault";
}

} // namespace

MoveEvidence::MoveEvidence(const MoveSubject& aSubject, const MoveEvidenceSettings& aSettings,
                           std::uint32_t aLife)
  : mSubject(aSubject)
  , mSettings(aSettings)
  , mErrorRate(aSettings.errorRate * std::pow(0.5, aLife + 1.0))
  , mAll(aSettings.route)
{
  for (const core::RouteId& it : aSubject.routes) {
    mRoutes.emplace(it, RouteEvidence(aSettings.route));
  }
}

void MoveEvidence::Take(const ObservationReport& aReport)
{
  const auto& tripped = aReport.tripped;
  if (std::find(tripped.begin(), tripped.end(), mSubject.move) != tripped.end()) {
    mTripped.insert(aReport.host);
  }
  for (const Observation& it : mBook.Take(aReport)) {
    if (it.service == mSubject.service) {
      Add(it);
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
  if (mRounds % mSettings.roundsPerStart == 0) {
    AddStarts();
  }
  mNearness = -1e9;
  Judge(mAll, "all routes together", mSettings.allRoutesBudget);
  const double budget = (1.0 - mSettings.allRoutesBudget) /
                        static_cast<double>(std::max<std::size_t>(1, mRoutes.size()));
  for (const auto& [route, evidence] : mRoutes) {
    Judge(evidence, "route " + route.Text(), budget);
  }
  JudgeTrips();
}

std::uint64_t MoveEvidence::NewRequests(const core::RouteId& aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  return found == mRoutes.end() ? 0 : found->second.NewRequests();
}

std::uint64_t MoveEvidence::OldRequests(const core::RouteId& aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  return found == mRoutes.end() ? 0 : found->second.OldRequests();
}

void MoveEvidence::Add(const Observation& aObservation)
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

void MoveEvidence::AddStarts()
{
  mAll.AddStart();
  for (auto& [route, evidence] : mRoutes) {
    evidence.AddStart();
  }
}

void MoveEvidence::Judge(const RouteEvidence& aEvidence, const std::string& aWhere, double aBudget)
{
  for (std::size_t it = 0; it < kMetrics; ++it) {
    const auto metric = static_cast<Metric>(it);
    const double part = metric == Metric::Failures
                          ? mSettings.failureBudget
                          : (1.0 - mSettings.failureBudget) / (kMetrics - 1);
    const double needed = -std::log(mErrorRate * aBudget * part);
    const double nearness = aEvidence.LogValue(metric) - needed;
    mNearness = std::max(mNearness, nearness);
    if (nearness >= 0.0 && !mFault) {
      mFault = fmt::format("{} of {} {} on {}: {}", Title(metric), mSubject.service.Text(),
                           mSubject.to.Text(), aWhere, aEvidence.Describe(metric));
    }
  }
}

void MoveEvidence::JudgeTrips()
{
  if (mTripped.size() >= mSettings.tripsForFault && !mFault) {
    mFault =
      fmt::format("{} hosts left {} {} by themselves, since most of its answers failed there",
                  mTripped.size(), mSubject.service.Text(), mSubject.to.Text());
  }
}

} // namespace cuminfield::version::moves
