#pragma once

#include "cuminfield/version/moves/ReportDeltaTracker.h"
#include "cuminfield/version/moves/RouteEvidence.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminfield::version::moves {

/// Which versions of which service are compared, and on which routes.
struct MoveSubject
{
  core::MoveId move{};
  core::ServiceId service{};
  core::VersionId from{};
  core::VersionId to{};
  std::vector<core::RouteId> routes{}; ///< Of the service, from the document.
};

/// Tunables of MoveEvidence.
struct MoveEvidenceSettings
{
  /// Chance to take back a version that is within the bounds, over the whole move.
  double errorRate = 0.0001;
  double allRoutesBudget = 0.5; ///< Part of it for all routes together; the rest is split evenly.
  double failureBudget = 0.4;   ///< Part for failures; the rest is split over the latency metrics.
  std::uint32_t roundsBetweenStarts = 40; ///< Rounds after which a later fault is looked for anew.
  std::uint32_t trippedHostsForFault = 2; ///< Hosts that must have left by themselves (HostTrip).
  RouteEvidenceSettings route;
};

/// All evidence on one move: merges hosts' reports, tests every route and all together, and says
/// when the new version is bad. Decided once per round, from what had come until then.
class MoveEvidence
{
public:
  /// aLife: how many judges of this move came before; each spends half of what is left of the
  /// error budget, so that the deaths of leaders do not add to it.
  MoveEvidence(const MoveSubject& aSubject, const MoveEvidenceSettings& aSettings,
               std::uint32_t aLife);

  /// Takes in a host's report. Reports may be lost, doubled or reordered.
  void AddReport(const ObservationReport& aReport);

  /// Ends a round: judges what the reports since the last one added.
  void EndRound();

  /// For operators: why the new version is bad. Once set it stays.
  const std::optional<std::string>& Fault() const { return mFault; }

  /// How near the strongest evidence is to a fault: natural logarithm of evidence over what is
  /// needed; a fault from 0 on.
  double LogEvidenceRatio() const { return mLogEvidenceRatio; }

  /// Requests judged, on all routes together.
  std::uint64_t NewRequestCount() const { return mAll.NewRequestCount(); }

  /// Requests to the new version judged on a route, and to the old one.
  std::uint64_t NewRequestCount(const core::RouteId& aRoute) const;
  std::uint64_t OldRequestCount(const core::RouteId& aRoute) const;

private:
  void AddObservation(const Observation& aObservation);
  void AddStartTimes();
  void Evaluate(const RouteEvidence& aEvidence, const std::string& aWhere, double aBudget);
  void EvaluateTrippedHosts();

  MoveSubject mSubject;
  MoveEvidenceSettings mSettings;
  double mErrorRate; ///< Of this life.
  ReportDeltaTracker mDeltaTracker;
  RouteEvidence mAll;
  std::map<core::RouteId, RouteEvidence> mRoutes;
  std::set<core::HostId> mTrippedHosts;
  std::uint32_t mRounds = 0;
  double mLogEvidenceRatio = -1e9;
  std::optional<std::string> mFault;
};

} // namespace cuminfield::version::moves
