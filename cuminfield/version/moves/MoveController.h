#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/version/document/Document.h"
#include "cuminfield/version/moves/MoveEvidence.h"
#include "cuminfield/version/moves/MovePlan.h"
#include "cuminfield/version/moves/MoveState.h"

#include <map>
#include <optional>
#include <vector>

namespace cuminfield::version::moves {

/// Upstreams of a move's two versions in one data centre.
struct UpstreamCounts
{
  core::DataCentreId dataCentre;
  std::uint32_t oldReady = 0;
  std::uint32_t newReady = 0;
};

/// Settings of MoveController.
struct MoveControllerSettings
{
  MovePlanSettings plan;
  MoveEvidenceSettings evidence;
  double maxCanaryShare = 0.05; ///< Maximum share during the canary.
  /// Maximum request rate of each host to the new version during the canary.
  double canaryRequestsPerSecond = 2.0;
  /// The share does not grow while the evidence is within this distance of a fault (natural
  /// logarithm).
  double suspicionMargin = 5.0;
  /// Upstreams that load at the same time in a data centre; the weight store is rate-limited.
  std::uint32_t maxConcurrentLoads = 1;
  /// Time after which data centres without a ready upstream no longer delay the canary of the
  /// others.
  core::Duration maxLoadingTime = std::chrono::seconds(60);
  /// Routes with at least this fraction of the traffic must have been observed before a step.
  double busyRouteFraction = 0.02;
  /// Requests to the new version required on such a route.
  std::uint64_t minBusyRouteRequests = 10;
};

/// Coordinates one move on the leader of the documents group. Raises the share in steps while all
/// evidence supports the new version, and ends the move everywhere as soon as any evidence is
/// against it. Changes are proposed first and take effect once committed, except for a rollback,
/// which takes effect at once because it is always safe. A new leader continues from the committed
/// state. Does no I/O; owned by the loop's thread.
class MoveController
{
public:
  /// aCommitted: state committed for this move by an earlier coordinator, if any.
  MoveController(const document::MoveSettings& aMove, std::vector<core::RouteId> aRoutes,
                 core::TimerService& aTimers, const MoveControllerSettings& aSettings,
                 const std::optional<MoveState>& aCommitted);

  /// Updates the move from a newer document, which may roll it back or change its times.
  void SetMove(const document::MoveSettings& aMove) { mMove = aMove; }

  /// Handles the report of a host in any data centre.
  void OnReport(const ObservationReport& aReport) { mEvidence.AddReport(aReport); }

  /// Handles an evaluator's verdict. A bad verdict ends the move unless it is done.
  void OnVerdict(const MoveVerdict& aVerdict);

  /// Handles the current numbers of upstreams of both versions in a data centre.
  void OnUpstreamCounts(const UpstreamCounts& aCounts);

  /// Ends a round: evaluates the reports received since the last round and decides what to propose.
  void EndRound();

  /// The state to be committed now, if any. Unchanged until it is committed or the next round ends.
  const std::optional<MoveState>& Proposed() const { return mProposed; }

  /// Handles the commit of aState by the documents group.
  void OnCommitted(const MoveState& aState);

  /// The committed state.
  const MoveState& State() const { return mState; }

  /// Returns the share updates that are sent to the hosts and evaluators of each data centre every
  /// round.
  std::vector<ShareUpdate> Shares() const;

  /// Returns the verdict, if any, which is sent to all hosts and evaluators every round. A bad
  /// verdict is returned even before it is committed.
  std::optional<MoveVerdict> Verdict() const;

  /// Returns how many upstreams of either version each data centre should have now.
  std::vector<CapacityTarget> CapacityTargets() const;

private:
  void Decide(MoveState& aNext);
  void DecideRollBack(MoveState& aNext) const;
  void DecideBeforeCanary(MoveState& aNext);
  void DecideStep(MoveState& aNext);
  void TakeStep(MoveState& aNext) const;
  void SetIncarnation(MoveState& aNext) const;
  bool IsReadyForCanary() const;
  bool HasCapacity(double aShare) const;
  bool CoversBusyRoutes() const;
  std::optional<std::string> FindRollBackReason() const;
  std::uint32_t FullCapacity(const UpstreamCounts& aCounts) const;
  double ShareFor(const UpstreamCounts& aCounts) const;
  void AddCapacityTarget(const UpstreamCounts& aCounts,
                         std::vector<CapacityTarget>& aTargets) const;

  document::MoveSettings mMove;
  std::vector<core::RouteId> mRoutes;
  core::TimerService& mTimers;
  MoveControllerSettings mSettings;
  MoveState mState;                   ///< As committed.
  std::optional<MoveState> mProposed; ///< Next state, not committed yet.
  std::uint32_t mIncarnation;
  MoveEvidence mEvidence;
  std::optional<std::string> mRollBackReason; ///< Reason of a bad verdict, committed or not.
  std::map<core::DataCentreId, UpstreamCounts> mUpstreamCounts;
  core::WallTime mStepReachedAt{}; ///< Time at which this coordinator saw the current step begin.
  std::uint64_t mRequestsBeforeStep = 0; ///< Requests that this coordinator had evaluated by then.
  std::uint64_t mRequestsBeforeIncarnation; ///< Requests that earlier coordinators had evaluated.
};

} // namespace cuminfield::version::moves
