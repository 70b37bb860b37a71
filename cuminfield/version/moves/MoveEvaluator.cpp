#include "cuminfield/version/moves/MoveEvaluator.h"

#include "cuminfield/core/Invariant.h"

namespace cuminfield::version::moves {

namespace {

EvaluatorState NextIncarnation(const MoveSubject& aSubject,
                               const std::optional<EvaluatorState>& aCommitted)
{
  EvaluatorState state = aCommitted.value_or(EvaluatorState{});
  state.move = aSubject.move;
  if (aCommitted) {
    ++state.incarnation;
  }
  return state;
}

} // namespace

MoveEvaluator::MoveEvaluator(const MoveSubject& aSubject, core::DataCentreId aDataCentre,
                             core::TimerService& aTimers, const MoveEvaluatorSettings& aSettings,
                             const std::optional<EvaluatorState>& aCommitted)
  : mSubject(aSubject)
  , mDataCentre(std::move(aDataCentre))
  , mTimers(aTimers)
  , mSettings(aSettings)
  , mCommitted(aCommitted)
  , mState(NextIncarnation(aSubject, aCommitted))
  , mLocal(aSubject, aSettings.evidence, mState.incarnation)
  , mAll(aSubject, aSettings.evidence, mState.incarnation)
{
}

void MoveEvaluator::OnReport(const ObservationReport& aReport)
{
  if (aReport.dataCentre == mDataCentre) {
    mLocal.AddReport(aReport);
  }
  mAll.AddReport(aReport);
}

void MoveEvaluator::OnShareUpdate(const ShareUpdate& aUpdate)
{
  const bool isForThisDataCentre =
    aUpdate.move == mSubject.move && aUpdate.dataCentre == mDataCentre;
  if (!isForThisDataCentre || (mShareUpdate && aUpdate.revision < mShareUpdate->revision)) {
    return;
  }
  mShareUpdate = aUpdate;
  mShareUpdateReceivedAt = mTimers.Now();
}

void MoveEvaluator::OnVerdict(const MoveVerdict& aVerdict)
{
  if (aVerdict.move == mSubject.move && aVerdict.bad && !mState.bad) {
    mState.bad = true;
    mState.reason = aVerdict.reason;
  }
}

void MoveEvaluator::EndRound()
{
  mLocal.EndRound();
  mAll.EndRound();
  Evaluate(mLocal, mDataCentre.Text() + " alone");
  Evaluate(mAll, "all data centres");
}

std::optional<EvaluatorState> MoveEvaluator::Proposed() const
{
  if (mCommitted == mState) {
    return std::nullopt;
  }
  return mState;
}

void MoveEvaluator::OnCommitted(const EvaluatorState& aState)
{
  CUMINFIELD_INVARIANT("moves.verdict-final", !mCommitted || !mCommitted->bad || aState.bad);
  mCommitted = aState;
  if (aState.bad && !mState.bad) {
    mState.bad = true;
    mState.reason = aState.reason;
  }
}

std::optional<MoveVerdict> MoveEvaluator::Verdict() const
{
  if (!mState.bad) {
    return std::nullopt;
  }
  return MoveVerdict{
    .move = mSubject.move, .evaluator = mDataCentre, .bad = true, .reason = mState.reason
  };
}

std::optional<ShareUpdate> MoveEvaluator::ShareToRelay() const
{
  if (!mShareUpdate || mState.bad) {
    return std::nullopt;
  }
  const bool isSilent = mTimers.Now() - mShareUpdateReceivedAt > mSettings.maxCoordinatorSilence;
  if (isSilent && mShareUpdate->phase != MovePhase::Done) {
    return std::nullopt;
  }
  return mShareUpdate;
}

void MoveEvaluator::Evaluate(const MoveEvidence& aEvidence, const std::string& aScope)
{
  const bool isDone = mShareUpdate && mShareUpdate->phase == MovePhase::Done;
  if (mState.bad || isDone || !aEvidence.Fault()) {
    return; // A completed move cannot be rolled back: the old version may be gone.
  }
  mState.bad = true;
  mState.reason = *aEvidence.Fault() + " (seen from " + mDataCentre.Text() + " in " + aScope + ")";
}

} // namespace cuminfield::version::moves
