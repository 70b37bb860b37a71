#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/version/moves/MoveEvidence.h"
#include "cuminfield/version/moves/MoveState.h"

#include <optional>

namespace cuminfield::version::moves {

/// Tunables of MoveJudge.
struct MoveJudgeSettings
{
  /// How long the last known share is kept in force for the data centre while the director is
  /// silent; then its hosts go back to the old version.
  core::Duration holdWhileCutOff = std::chrono::seconds(60);
  MoveEvidenceSettings evidence;
};

/// Judges one move for one data centre, on the leader of that data centre's group: from its own
/// hosts' reports alone, so also while cut off from the rest. A bad verdict ends the move here at
/// once and, through the director, everywhere. It never moves the share up.
class MoveJudge
{
public:
  /// aCommitted: what an earlier judge committed for this move, if one did.
  MoveJudge(const MoveSubject& aSubject, core::DataCentreId aDataCentre,
            core::TimerService& aTimers, const MoveJudgeSettings& aSettings,
            const std::optional<JudgeState>& aCommitted);

  /// A report of a host; those of other data centres are ignored.
  void OnReport(const ObservationReport& aReport);

  /// The director's share for this data centre.
  void OnShares(const ShareUpdate& aUpdate);

  /// A verdict of the director or another judge.
  void OnVerdict(const MoveVerdict& aVerdict);

  /// Ends a round: judges what came since the last one.
  void EndRound();

  /// What has to be committed now, while it differs from what is.
  std::optional<JudgeState> Proposed() const;

  /// The group has committed this.
  void Committed(const JudgeState& aState);

  /// The bad verdict, from the moment it is known; to be sent to the hosts of the data centre, the
  /// director and the other judges every round, before and after it is committed.
  std::optional<MoveVerdict> Verdict() const;

  /// The share to repeat to the hosts of the data centre every round; absent when there is none,
  /// when it has been taken back, or when the director has been silent for too long.
  std::optional<ShareUpdate> Relay() const;

private:
  MoveSubject mSubject;
  core::DataCentreId mDataCentre;
  core::TimerService& mTimers;
  MoveJudgeSettings mSettings;
  std::optional<JudgeState> mCommitted;
  JudgeState mState; ///< As it should be.
  MoveEvidence mEvidence;
  std::optional<ShareUpdate> mShares;
  core::Instant mSharesHeard{};
};

} // namespace cuminfield::version::moves
