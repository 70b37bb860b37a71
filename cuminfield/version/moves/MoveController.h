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

/// Tunables of MoveController.
struct MoveControllerSettings
{
  MovePlanSettings plan;
  MoveEvidenceSettings evidence;
  double maxCanaryShare = 0.05; ///< Largest share of an unproved version.
  double canaryRequestsPerSecond =
    2.0; ///< Requests a second that a host may send to an unproved version.
  /// The share does not grow while evidence is this near to a fault (natural logarithm).
  double suspicionMargin = 5.0;
  std::uint32_t maxConcurrentLoads = 1; ///< Upstreams that load at once in a data centre: the
                                        ///< weight store is rate-limited.
  /// How long a data centre without a ready upstream can hold up the canary of the others.
  core::Duration maxLoadingTime = std::chrono::seconds(60);
  /// Part of the traffic of a route from which on it must have been seen before a step.
  double busyRouteFraction = 0.02;
  std::uint64_t minBusyRouteRequests =
    10; ///< Requests to the new version demanded on such a route.
};

/// Directs one move, on the leader of the documents group: raises the share by steps while all
/// evidence speaks for the new version, ends the move everywhere when any speaks against it.
/// Every change is proposed first and takes effect once committed; only taking back takes effect
/// before, since that is safe on its own. A new leader goes on from what was committed.
/// Free of I/O; owned by the loop's thread.
class MoveController
{
public:
  /// aCommitted: what an earlier director committed for this move, if one did.
  MoveController(const document::MoveSettings& aMove, std::vector<core::RouteId> aRoutes,
                 core::TimerService& aTimers, const MoveControllerSettings& aSettings,
                 const std::optional<MoveState>& aCommitted);

  /// The move as a newer document states it: by hand undone, or with another set time.
  void SetMove(const document::MoveSettings& aMove) { mMove = aMove; }

  /// A host's report, of any data centre.
  void OnReport(const ObservationReport& aReport) { mEvidence.AddReport(aReport); }

  /// A judge's verdict. Bad ones end the move unless it is done.
  void OnVerdict(const MoveVerdict& aVerdict);

  /// How many upstreams of either version a data centre has now.
  void OnUpstreamCounts(const UpstreamCounts& aCounts);

  /// Ends a round: judges what came since the last one and decides what to propose.
  void EndRound();

  /// What has to be committed now, if anything. Stays the same until committed or the next round.
  const std::optional<MoveState>& Proposed() const { return mProposed; }

  /// The documents group has committed this.
  void OnCommitted(const MoveState& aState);

  /// The move as committed.
  const MoveState& State() const { return mState; }

  /// Shares to send to the hosts and judges of every data centre each round.
  std::vector<ShareUpdate> Shares() const;

  /// The verdict once there is one; to be sent to all hosts and judges every round. A bad one is
  /// known before it is committed.
  std::optional<MoveVerdict> Verdict() const;

  /// How many upstreams of the two versions each data centre should have now.
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
  void AddCapacityTarget(const UpstreamCounts& aCounts, std::vector<CapacityTarget>& aOrders) const;

  document::MoveSettings mMove;
  std::vector<core::RouteId> mRoutes;
  core::TimerService& mTimers;
  MoveControllerSettings mSettings;
  MoveState mState;                   ///< As committed.
  std::optional<MoveState> mProposed; ///< Next state, waiting to be committed.
  std::uint32_t mIncarnation;         ///< Of this director.
  MoveEvidence mEvidence;
  std::optional<std::string> mRollBackReason; ///< Reason of a bad verdict, committed or not.
  std::map<core::DataCentreId, UpstreamCounts> mUpstreamCounts;
  core::WallTime mStepReachedAt{};          ///< When this director saw the present step begin.
  std::uint64_t mRequestsBeforeStep = 0;    ///< Requests that this director had judged by then.
  std::uint64_t mRequestsBeforeIncarnation; ///< Requests that earlier directors had judged.
};

} // namespace cuminfield::version::moves
