#include "cuminfield/version/moves/MoveJudge.h"

#include "cuminfield/core/Invariant.h"

namespace cuminfield::version::moves {

namespace {

JudgeState NextState(const MoveSubject& aSubject, const std::optional<JudgeState>& aCommitted)
{
  JudgeState state = aCommitted.value_or(JudgeState{});
  state.move = aSubject.move;
  if (aCommitted) {
    ++state.life;
  }
  return state;
}

} // namespace

MoveJudge::MoveJudge(const MoveSubject& aSubject, core::DataCentreId aDataCentre,
                     core::TimerService& aTimers, const MoveJudgeSettings& aSettings,
                     const std::optional<JudgeState>& aCommitted)
  : mSubject(aSubject)
  , mDataCentre(std::move(aDataCentre))
  , mTimers(aTimers)
  , mSettings(aSettings)
  , mCommitted(aCommitted)
  , mState(NextState(aSubject, aCommitted))
  , mEvidence(aSubject, aSettings.evidence, mState.life)
{
}

void MoveJudge::OnReport(const ObservationReport& aReport)
{
  if (aReport.dataCentre == mDataCentre) {
    mEvidence.Take(aReport);
  }
}

void MoveJudge::OnShares(const ShareUpdate& aUpdate)
{
  const bool isMine = aUpdate.move == mSubject.move && aUpdate.dataCentre == mDataCentre;
  if (!isMine || (mShares && aUpdate.revision < mShares->revision)) {
    return;
  }
  mShares = aUpdate;
  mSharesHeard = mTimers.Now();
}

void MoveJudge::OnVerdict(const MoveVerdict& aVerdict)
{
  if (aVerdict.move == mSubject.move && aVerdict.bad && !mState.bad) {
    mState.bad = true;
    mState.reason = aVerdict.reason;
  }
}

void MoveJudge::EndRound()
{
  mEvidence.EndRound();
  const bool isDone = mShares && mShares->phase == MovePhase::Done;
  if (mState.bad || isDone || !mEvidence.Fault()) {
    return; // A move that is done stays done: its old version may be gone.
  }
  mState.bad = true;
  mState.reason = *mEvidence.Fault() + " (seen in " + mDataCentre.Text() + ")";
}

std::optional<JudgeState> MoveJudge::Proposed() const
{
  if (mCommitted == mState) {
    return std::nullopt;
  }
  return mState;
}

void MoveJudge::Committed(const JudgeState& aState)
{
  CUMINFIELD_INVARIANT("moves.verdict-final", !mCommitted || !mCommitted->bad || aState.bad);
  mCommitted = aState;
  if (aState.bad && !mState.bad) {
    mState.bad = true;
    mState.reason = aState.reason;
  }
}

std::optional<MoveVerdict> MoveJudge::Verdict() const
{
  if (!mState.bad) {
    return std::nullopt;
  }
  return MoveVerdict{
    .move = mSubject.move, .judge = mDataCentre, .bad = true, .reason = mState.reason
  };
}

std::optional<ShareUpdate> MoveJudge::Relay() const
{
  if (!mShares || mState.bad) {
    return std::nullopt;
  }
  const bool isSilent = mTimers.Now() - mSharesHeard > mSettings.holdWhileCutOff;
  if (isSilent && mShares->phase != MovePhase::Done) {
    return std::nullopt;
  }
  return mShares;
}

} // namespace cuminfield::version::moves
