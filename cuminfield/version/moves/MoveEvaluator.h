#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/version/moves/MoveEvidence.h"
#include "cuminfield/version/moves/MoveState.h"

#include <optional>

namespace cuminfield::version::moves {

/// Tunables of MoveJudge.
struct MoveEvaluatorSettings
{
  /// How long the last known share is kept in force for the data centre while the director is
  /// silent; then its hosts go back to the old version.
  core::Duration maxCoordinatorSilence = std::chrono::seconds(60);
  MoveEvidenceSettings evidence;
};

/// Judges one move for one data centre, on the leader of that data centre's group: from its own
/// hosts' reports alone, so also while cut off from the rest, and from the reports of all hosts
/// that reach it, so also while there is no director. A bad verdict ends the move here at once and,
/// through the director and the other judges, everywhere. It never moves the share up.
class MoveEvaluator
{
public:
  /// aCommitted: what an earlier judge committed for this move, if one did.
  MoveEvaluator(const MoveSubject& aSubject, core::DataCentreId aDataCentre,
                core::TimerService& aTimers, const MoveEvaluatorSettings& aSettings,
                const std::optional<EvaluatorState>& aCommitted);

  /// A report of any host.
  void OnReport(const ObservationReport& aReport);

  /// The director's share for this data centre.
  void OnShareUpdate(const ShareUpdate& aUpdate);

  /// A verdict of the director or another judge.
  void OnVerdict(const MoveVerdict& aVerdict);

  /// Ends a round: judges what came since the last one.
  void EndRound();

  /// What has to be committed now, while it differs from what is.
  std::optional<EvaluatorState> Proposed() const;

  /// The group has committed this.
  void OnCommitted(const EvaluatorState& aState);

  /// The bad verdict, from the moment it is known; to be sent to all hosts, the director and the
  /// other judges every round, before and after it is committed.
  std::optional<MoveVerdict> Verdict() const;

  /// The share to repeat to the hosts of the data centre every round; absent when there is none,
  /// when it has been taken back, or when the director has been silent for too long.
  std::optional<ShareUpdate> ShareToRelay() const;

private:
  void Evaluate(const MoveEvidence& aEvidence, const std::string& aWhere);

  MoveSubject mSubject;
  core::DataCentreId mDataCentre;
  core::TimerService& mTimers;
  MoveEvaluatorSettings mSettings;
  std::optional<EvaluatorState> mCommitted;
  EvaluatorState mState; ///< As it should be.
  MoveEvidence mLocal;   ///< Hosts of this data centre.
  MoveEvidence mAll;     ///< All hosts that reach this judge.
  std::optional<ShareUpdate> mShareUpdate;
  core::Instant mShareUpdateReceivedAt{};
};

} // namespace cuminfield::version::moves
