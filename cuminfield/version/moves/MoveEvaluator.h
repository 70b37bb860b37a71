#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/version/moves/MoveEvidence.h"
#include "cuminfield/version/moves/MoveState.h"

#include <optional>

namespace cuminfield::version::moves {

/// Settings of MoveEvaluator.
struct MoveEvaluatorSettings
{
  /// How long the last share stays in force in the data centre while the coordinator sends nothing.
  /// After that, its hosts return to the old version.
  core::Duration maxCoordinatorSilence = std::chrono::seconds(60);
  MoveEvidenceSettings evidence;
};

/// Evaluates one move on the leader of a data centre's group. It evaluates the reports of its own
/// hosts separately, which also works during a network partition, and the reports of all hosts that
/// reach it, which also works without a coordinator. A bad verdict ends the move here at once, and
/// everywhere through the coordinator and the other evaluators. It never raises the share.
class MoveEvaluator
{
public:
  /// aCommitted: state committed for this move by an earlier evaluator, if any.
  MoveEvaluator(const MoveSubject& aSubject, core::DataCentreId aDataCentre,
                core::TimerService& aTimers, const MoveEvaluatorSettings& aSettings,
                const std::optional<EvaluatorState>& aCommitted);

  /// Handles the report of any host.
  void OnReport(const ObservationReport& aReport);

  /// Handles the coordinator's share for this data centre.
  void OnShareUpdate(const ShareUpdate& aUpdate);

  /// Handles a verdict of the coordinator or of another evaluator.
  void OnVerdict(const MoveVerdict& aVerdict);

  /// Ends a round: evaluates the reports received since the last one.
  void EndRound();

  /// The state to be committed, if it differs from the committed one.
  std::optional<EvaluatorState> Proposed() const;

  /// Handles the commit of aState by the group.
  void OnCommitted(const EvaluatorState& aState);

  /// Returns the bad verdict as soon as there is one, committed or not. It is sent to all hosts,
  /// the coordinator and the other evaluators every round.
  std::optional<MoveVerdict> Verdict() const;

  /// Returns the share that is repeated to the hosts of the data centre every round. Absent if
  /// there is none, if the move was rolled back, or if the coordinator has sent nothing for too
  /// long.
  std::optional<ShareUpdate> ShareToRelay() const;

private:
  void Evaluate(const MoveEvidence& aEvidence, const std::string& aScope);

  MoveSubject mSubject;
  core::DataCentreId mDataCentre;
  core::TimerService& mTimers;
  MoveEvaluatorSettings mSettings;
  std::optional<EvaluatorState> mCommitted;
  EvaluatorState mState; ///< Current state, possibly not committed yet.
  MoveEvidence mLocal;   ///< From the hosts of this data centre.
  MoveEvidence mAll;     ///< From all hosts that reach this evaluator.
  std::optional<ShareUpdate> mShareUpdate;
  core::Instant mShareUpdateReceivedAt{};
};

} // namespace cuminfield::version::moves
