#pragma once

#include "cuminfield/version/moves/ReportDeltaTracker.h"
#include "cuminfield/version/moves/RouteEvidence.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminfield::version::moves {

/// The versions of a service that a move compares, and the routes on which it does so.
struct MoveSubject
{
  core::MoveId move{};
  core::ServiceId service{};
  core::VersionId from{};
  core::VersionId to{};
  std::vector<core::RouteId> routes{}; ///< Routes of the service in the document.
};

/// Settings of MoveEvidence.
struct MoveEvidenceSettings
{
  /// Probability of rolling back a version that is within the bounds, over the whole move.
  double errorRate = 0.0001;
  /// Fraction of the error rate for all routes together; the rest is split evenly over the routes.
  double allRoutesBudget = 0.5;
  /// Fraction for failures; the rest is split over the latency metrics.
  double failureBudget = 0.4;
  /// Rounds between the start times from which a fault may date.
  std::uint32_t roundsBetweenStarts = 40;
  /// Hosts that must have left the move on their own (HostCircuitBreaker) to count as a fault.
  std::uint32_t trippedHostsForFault = 2;
  RouteEvidenceSettings route;
};

/// All evidence on one move. Merges the hosts' reports, tests each route and all routes together,
/// and decides once per round whether the new version is bad.
class MoveEvidence
{
public:
  /// aIncarnation: number of earlier evaluators of this move. Each uses half of the remaining error
  /// budget, so that leader failures do not increase the total error rate.
  MoveEvidence(const MoveSubject& aSubject, const MoveEvidenceSettings& aSettings,
               std::uint32_t aIncarnation);

  /// Adds a host's report. Reports may be lost, duplicated or reordered.
  void AddReport(const ObservationReport& aReport);

  /// Ends a round: evaluates the reports added since the last one.
  void EndRound();

  /// Reason why the new version is bad, for operators. Never reset once set.
  const std::optional<std::string>& Fault() const { return mFault; }

  /// Distance of the strongest evidence from a fault: natural logarithm of the evidence divided by
  /// the required evidence. 0 or more means a fault.
  double LogEvidenceRatio() const { return mLogEvidenceRatio; }

  /// Evaluated requests to the new version on all routes.
  std::uint64_t NewRequestCount() const { return mAll.NewRequestCount(); }

  /// Evaluated requests to the new and to the old version on one route.
  std::uint64_t NewRequestCount(const core::RouteId& aRoute) const;
  std::uint64_t OldRequestCount(const core::RouteId& aRoute) const;

private:
  void AddObservation(const Observation& aObservation);
  void AddStartTimes();
  void Evaluate(const RouteEvidence& aEvidence, const std::string& aScope, double aBudget);
  void EvaluateTrippedHosts();

  MoveSubject mSubject;
  MoveEvidenceSettings mSettings;
  double mErrorRate; ///< For this incarnation.
  ReportDeltaTracker mDeltaTracker;
  RouteEvidence mAll;
  std::map<core::RouteId, RouteEvidence> mRoutes;
  std::set<core::HostId> mTrippedHosts;
  std::uint32_t mRounds = 0;
  double mLogEvidenceRatio = -1e9;
  std::optional<std::string> mFault;
};

} // namespace cuminfield::version::moves
