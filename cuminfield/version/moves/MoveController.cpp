#include "cuminfield/version/moves/MoveController.h"

#include "cuminfield/core/Invariant.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

namespace cuminfield::version::moves {

namespace {

MoveSubject MakeSubject(const document::MoveSettings& aMove,
                        const std::vector<core::RouteId>& aRoutes)
{
  return { .move = aMove.id,
           .service = aMove.service,
           .from = aMove.from,
           .to = aMove.to,
           .routes = aRoutes };
}

MoveState InitialState(const document::MoveSettings& aMove)
{
  MoveState state;
  state.move = aMove.id;
  return state;
}

std::uint32_t RoundUp(double aCount)
{
  return static_cast<std::uint32_t>(std::ceil(aCount - 1e-9));
}

} // namespace

MoveController::MoveController(const document::MoveSettings& aMove,
                               std::vector<core::RouteId> aRoutes, core::TimerService& aTimers,
                               const MoveControllerSettings& aSettings,
                               const std::optional<MoveState>& aCommitted)
  : mMove(aMove)
  , mRoutes(std::move(aRoutes))
  , mTimers(aTimers)
  , mSettings(aSettings)
  , mState(aCommitted.value_or(InitialState(aMove)))
  , mIncarnation(aCommitted ? aCommitted->incarnation + 1 : 0)
  , mEvidence(MakeSubject(aMove, mRoutes), aSettings.evidence, mIncarnation)
  , mStepReachedAt(aTimers.WallNow())
  , mRequestsBeforeIncarnation(mState.evaluatedRequests)
{
  if (IsRollBack(mState.phase)) {
    mRollBackReason = mState.reason;
  }
}

void MoveController::OnVerdict(const MoveVerdict& aVerdict)
{
  const bool isBadVerdict = aVerdict.move == mMove.id && aVerdict.bad;
  if (isBadVerdict && !mRollBackReason && mState.phase != MovePhase::Done) {
    mRollBackReason = aVerdict.reason;
  }
}

void MoveController::OnUpstreamCounts(const UpstreamCounts& aCounts)
{
  mUpstreamCounts[aCounts.dataCentre] = aCounts;
}

void MoveController::EndRound()
{
  mEvidence.EndRound();
  if (mState.phase != MovePhase::Done && !mRollBackReason) {
    mRollBackReason = FindRollBackReason();
  }
  MoveState next = mState;
  SetIncarnation(next);
  Decide(next);
  if (next == mState) {
    mProposed.reset();
    return;
  }
  next.evaluatedRequests = mRequestsBeforeIncarnation + mEvidence.NewRequestCount();
  next.revision = mState.revision + 1;
  mProposed = next;
}

void MoveController::OnCommitted(const MoveState& aState)
{
  CUMINFIELD_INVARIANT("moves.verdict-final",
                       !IsRollBack(mState.phase) || IsRollBack(aState.phase));
  CUMINFIELD_INVARIANT("moves.verdict-final",
                       mState.phase != MovePhase::Done || aState.phase == MovePhase::Done);
  CUMINFIELD_INVARIANT("moves.canary-bounded", aState.phase == MovePhase::Advancing ||
                                                 aState.phase == MovePhase::Done ||
                                                 aState.share <= mSettings.maxCanaryShare);
  const bool isNewStep = aState.step != mState.step || aState.phase != mState.phase;
  mState = aState;
  mProposed.reset();
  if (isNewStep) {
    mStepReachedAt = mTimers.WallNow();
    mRequestsBeforeStep = mEvidence.NewRequestCount();
  }
  if (IsRollBack(mState.phase) && !mRollBackReason) {
    mRollBackReason = mState.reason;
  }
}

std::vector<ShareUpdate> MoveController::Shares() const
{
  std::vector<ShareUpdate> updates;
  for (const auto& [dataCentre, counts] : mUpstreamCounts) {
    ShareUpdate update;
    update.move = mMove.id;
    update.service = mMove.service;
    update.from = mMove.from;
    update.to = mMove.to;
    update.dataCentre = dataCentre;
    update.revision = mState.revision;
    update.phase = mState.phase;
    update.share = ShareFor(counts);
    update.maxRequestsPerSecond =
      mState.phase == MovePhase::Canary ? mSettings.canaryRequestsPerSecond : 0.0;
    CUMINFIELD_INVARIANT("moves.canary-bounded", mState.phase != MovePhase::Canary ||
                                                   update.share <= mSettings.maxCanaryShare);
    updates.push_back(std::move(update));
  }
  return updates;
}

std::optional<MoveVerdict> MoveController::Verdict() const
{
  MoveVerdict verdict;
  verdict.move = mMove.id;
  if (mRollBackReason) {
    verdict.bad = true;
    verdict.reason = *mRollBackReason;
    return verdict;
  }
  if (mState.phase == MovePhase::Done) {
    verdict.reason = mState.reason;
    return verdict;
  }
  return std::nullopt;
}

std::vector<CapacityTarget> MoveController::CapacityTargets() const
{
  std::vector<CapacityTarget> targets;
  for (const auto& [dataCentre, counts] : mUpstreamCounts) {
    AddCapacityTarget(counts, targets);
  }
  return targets;
}

void MoveController::Decide(MoveState& aNext)
{
  if (mRollBackReason) {
    DecideRollBack(aNext);
    return;
  }
  switch (mState.phase) {
    case MovePhase::Waiting:
    case MovePhase::Loading:
      DecideBeforeCanary(aNext);
      break;
    case MovePhase::Canary:
    case MovePhase::Advancing:
      DecideStep(aNext);
      break;
    case MovePhase::Done:
    case MovePhase::RollingBack:
    case MovePhase::RolledBack:
      break;
  }
}

void MoveController::DecideRollBack(MoveState& aNext) const
{
  const bool isUnloaded = !mUpstreamCounts.empty() &&
                          std::all_of(mUpstreamCounts.begin(), mUpstreamCounts.end(),
                                      [](const auto& aIt) { return aIt.second.newReady == 0; });
  const bool isComplete =
    mState.phase == MovePhase::RolledBack || (mState.phase == MovePhase::RollingBack && isUnloaded);
  aNext.phase = isComplete ? MovePhase::RolledBack : MovePhase::RollingBack;
  aNext.share = 0.0;
  aNext.reason = *mRollBackReason;
}

void MoveController::DecideBeforeCanary(MoveState& aNext)
{
  const core::WallTime now = mTimers.WallNow();
  if (mState.phase == MovePhase::Waiting) {
    if (mMove.start && now < *mMove.start) {
      return;
    }
    aNext.phase = MovePhase::Loading;
    aNext.reason = "upstreams of the new version are loading";
    return;
  }
  if (!IsReadyForCanary()) {
    return;
  }
  aNext.phase = MovePhase::Canary;
  aNext.canaryStart = now;
  aNext.share = std::min(mMove.canaryPercent / 100.0, mSettings.maxCanaryShare);
  aNext.reason = "the new version is being proved";
}

void MoveController::DecideStep(MoveState& aNext)
{
  const MovePlan plan(mSettings.plan, mState.canaryStart, mMove.finishBy);
  const std::uint64_t stepRequests = mEvidence.NewRequestCount() - mRequestsBeforeStep;
  const std::uint64_t totalRequests = mRequestsBeforeIncarnation + mEvidence.NewRequestCount();
  const StepAdvice advice = plan.Advise(mState.step, mStepReachedAt, mTimers.WallNow(),
                                        stepRequests, totalRequests, CoversBusyRoutes());
  switch (advice) {
    case StepAdvice::NotDue:
      return;
    case StepAdvice::NeedsMoreRequests:
      aNext.reason = "waiting: more requests to be seen at this share";
      return;
    case StepAdvice::TooLittleTraffic:
      aNext.reason = "waiting: too little traffic to tell; the share stays where it is";
      return;
    case StepAdvice::Proceed:
      break;
  }
  if (mEvidence.LogEvidenceRatio() > -mSettings.suspicionMargin) {
    aNext.reason = "waiting: signs of a fault that are not certain yet";
    return;
  }
  TakeStep(aNext);
}

void MoveController::TakeStep(MoveState& aNext) const
{
  const MovePlan plan(mSettings.plan, mState.canaryStart, mMove.finishBy);
  const bool isLast = mState.step >= plan.StepCount();
  const double share = isLast ? 1.0 : plan.Share(mState.step + 1);
  if (!HasCapacity(share)) {
    aNext.reason = "waiting: too few upstreams of the new version are ready";
    return;
  }
  if (isLast) {
    aNext.phase = MovePhase::Done;
    aNext.reason =
      fmt::format("done: {} requests seen, nothing against {}",
                  mRequestsBeforeIncarnation + mEvidence.NewRequestCount(), mMove.to.Text());
    return;
  }
  aNext.phase = MovePhase::Advancing;
  aNext.step = mState.step + 1;
  aNext.share = share;
  aNext.reason =
    fmt::format("step {} of {}: {:.0f}% of requests", aNext.step, plan.StepCount(), 100.0 * share);
}

void MoveController::SetIncarnation(MoveState& aNext) const
{
  if (!IsFinal(mState.phase)) {
    aNext.incarnation = mIncarnation;
  }
}

bool MoveController::IsReadyForCanary() const
{
  bool allReady = !mUpstreamCounts.empty();
  bool anyReady = false;
  for (const auto& [dataCentre, counts] : mUpstreamCounts) {
    allReady = allReady && counts.newReady > 0;
    anyReady = anyReady || counts.newReady > 0;
  }
  return allReady || (anyReady && mTimers.WallNow() > mStepReachedAt + mSettings.maxLoadingTime);
}

bool MoveController::HasCapacity(double aShare) const
{
  std::uint32_t ready = 0;
  std::uint32_t needed = 0;
  for (const auto& [dataCentre, counts] : mUpstreamCounts) {
    // A data centre without a loaded upstream gets no share, but must have upstreams before the
    // last step.
    if (counts.newReady > 0 || aShare >= 1.0) {
      ready += counts.newReady;
      needed += RoundUp(aShare * FullCapacity(counts));
    }
  }
  return ready >= needed && ready > 0;
}

bool MoveController::CoversBusyRoutes() const
{
  std::uint64_t totalOldRequests = 0;
  for (const core::RouteId& it : mRoutes) {
    totalOldRequests += mEvidence.OldRequestCount(it);
  }
  const double busyThreshold = mSettings.busyRouteFraction * static_cast<double>(totalOldRequests);
  return std::all_of(mRoutes.begin(), mRoutes.end(), [&](const core::RouteId& aRoute) {
    return static_cast<double>(mEvidence.OldRequestCount(aRoute)) < busyThreshold ||
           mEvidence.NewRequestCount(aRoute) >= mSettings.minBusyRouteRequests;
  });
}

std::optional<std::string> MoveController::FindRollBackReason() const
{
  if (mMove.rollBack) {
    return "undone by hand (undo = yes)";
  }
  return mEvidence.Fault();
}

std::uint32_t MoveController::FullCapacity(const UpstreamCounts& aCounts) const
{
  return std::max<std::uint32_t>(1, aCounts.oldReady);
}

double MoveController::ShareFor(const UpstreamCounts& aCounts) const
{
  if (mRollBackReason || aCounts.newReady == 0) {
    return 0.0;
  }
  // A share above the capacity of the ready upstreams would make the new version look slow.
  const double capacity = static_cast<double>(aCounts.newReady) / FullCapacity(aCounts);
  return std::min(mState.share, std::min(1.0, capacity));
}

void MoveController::AddCapacityTarget(const UpstreamCounts& aCounts,
                                       std::vector<CapacityTarget>& aTargets) const
{
  CapacityTarget target;
  target.dataCentre = aCounts.dataCentre;
  target.service = mMove.service;
  if (mRollBackReason) {
    target.version = mMove.to;
    target.upstreams = 0;
    aTargets.push_back(target);
    return;
  }
  if (mState.phase == MovePhase::Done) {
    target.version = mMove.from;
    target.upstreams = 0;
    aTargets.push_back(target);
    return;
  }
  if (mState.phase == MovePhase::Waiting) {
    return;
  }
  const MovePlan plan(mSettings.plan, mState.canaryStart, mMove.finishBy);
  const std::uint32_t nextStep = std::min(mState.step + 1, plan.StepCount());
  const bool isLoading = mState.phase == MovePhase::Loading;
  const double nextShare = isLoading ? mSettings.maxCanaryShare : plan.Share(nextStep);
  const std::uint32_t needed = std::max(1U, RoundUp(nextShare * FullCapacity(aCounts)));
  target.version = mMove.to;
  target.upstreams =
    std::max(aCounts.newReady, std::min(needed, aCounts.newReady + mSettings.maxConcurrentLoads));
  aTargets.push_back(target);
}

} // namespace cuminfield::version::moves
