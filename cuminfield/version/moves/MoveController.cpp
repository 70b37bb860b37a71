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

MoveState FirstState(const document::MoveSettings& aMove)
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
  , mState(aCommitted.value_or(FirstState(aMove)))
  , mLife(aCommitted ? aCommitted->life + 1 : 0)
  , mEvidence(MakeSubject(aMove, mRoutes), aSettings.evidence, mLife)
  , mReached(aTimers.WallNow())
  , mSeenByOthers(mState.requestsSeen)
{
  if (IsTakenBack(mState.phase)) {
    mBad = mState.reason;
  }
}

void MoveController::OnVerdict(const MoveVerdict& aVerdict)
{
  const bool counts = aVerdict.move == mMove.id && aVerdict.bad;
  if (counts && !mBad && mState.phase != MovePhase::Done) {
    mBad = aVerdict.reason;
  }
}

void MoveController::OnUpstreams(const UpstreamCounts& aCounts)
{
  mCounts[aCounts.dataCentre] = aCounts;
}

void MoveController::EndRound()
{
  mEvidence.EndRound();
  if (mState.phase != MovePhase::Done && !mBad) {
    mBad = TakenBackBecause();
  }
  MoveState next = mState;
  BeginLife(next);
  Decide(next);
  if (next == mState) {
    mProposed.reset();
    return;
  }
  next.requestsSeen = mSeenByOthers + mEvidence.NewRequests();
  next.revision = mState.revision + 1;
  mProposed = next;
}

void MoveController::Committed(const MoveState& aState)
{
  CUMINFIELD_INVARIANT("moves.verdict-final",
                       !IsTakenBack(mState.phase) || IsTakenBack(aState.phase));
  CUMINFIELD_INVARIANT("moves.verdict-final",
                       mState.phase != MovePhase::Done || aState.phase == MovePhase::Done);
  CUMINFIELD_INVARIANT("moves.canary-bounded", aState.phase == MovePhase::Advancing ||
                                                 aState.phase == MovePhase::Done ||
                                                 aState.share <= mSettings.canaryCeiling);
  const bool isNewStep = aState.step != mState.step || aState.phase != mState.phase;
  mState = aState;
  mProposed.reset();
  if (isNewStep) {
    mReached = mTimers.WallNow();
    mSeenBefore = mEvidence.NewRequests();
  }
  if (IsTakenBack(mState.phase) && !mBad) {
    mBad = mState.reason;
  }
}

std::vector<ShareUpdate> MoveController::Shares() const
{
  std::vector<ShareUpdate> updates;
  for (const auto& [dataCentre, counts] : mCounts) {
    ShareUpdate update;
    update.move = mMove.id;
    update.service = mMove.service;
    update.from = mMove.from;
    update.to = mMove.to;
    update.dataCentre = dataCentre;
    update.revision = mState.revision;
    update.phase = mState.phase;
    update.share = ShareIn(counts);
    update.ratePerSecond = mState.phase == MovePhase::Canary ? mSettings.unprovedRate : 0.0;
    CUMINFIELD_INVARIANT("moves.canary-bounded", mState.phase != MovePhase::Canary ||
                                                   update.share <= mSettings.canaryCeiling);
    updates.push_back(std::move(update));
  }
  return updates;
}

std::optional<MoveVerdict> MoveController::Verdict() const
{
  MoveVerdict verdict;
  verdict.move = mMove.id;
  if (mBad) {
    verdict.bad = true;
    verdict.reason = *mBad;
    return verdict;
  }
  if (mState.phase == MovePhase::Done) {
    verdict.reason = mState.reason;
    return verdict;
  }
  return std::nullopt;
}

std::vector<LoadOrder> MoveController::Orders() const
{
  std::vector<LoadOrder> orders;
  for (const auto& [dataCentre, counts] : mCounts) {
    AddOrders(counts, orders);
  }
  return orders;
}

void MoveController::Decide(MoveState& aNext)
{
  if (mBad) {
    DecideUndo(aNext);
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
    case MovePhase::Undoing:
    case MovePhase::Undone:
      break;
  }
}

void MoveController::DecideUndo(MoveState& aNext) const
{
  const bool isGone =
    !mCounts.empty() && std::all_of(mCounts.begin(), mCounts.end(),
                                    [](const auto& aIt) { return aIt.second.newReady == 0; });
  const bool isOver =
    mState.phase == MovePhase::Undone || (mState.phase == MovePhase::Undoing && isGone);
  aNext.phase = isOver ? MovePhase::Undone : MovePhase::Undoing;
  aNext.share = 0.0;
  aNext.reason = *mBad;
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
  aNext.begun = now;
  aNext.share = std::min(mMove.canaryPercent / 100.0, mSettings.canaryCeiling);
  aNext.reason = "the new version is being proved";
}

void MoveController::DecideStep(MoveState& aNext)
{
  const MovePlan plan(mSettings.plan, mState.begun, mMove.finishBy);
  const std::uint64_t seen = mEvidence.NewRequests() - mSeenBefore;
  const std::uint64_t seenInAll = mSeenByOthers + mEvidence.NewRequests();
  const StepAdvice advice =
    plan.Advise(mState.step, mReached, mTimers.WallNow(), seen, seenInAll, IsSpread());
  switch (advice) {
    case StepAdvice::Wait:
      return;
    case StepAdvice::Evidence:
      aNext.reason = "waiting: more requests to be seen at this share";
      return;
    case StepAdvice::TooFew:
      aNext.reason = "waiting: too little traffic to tell; the share stays where it is";
      return;
    case StepAdvice::Go:
      break;
  }
  if (mEvidence.Nearness() > -mSettings.suspicion) {
    aNext.reason = "waiting: signs of a fault that are not certain yet";
    return;
  }
  TakeStep(aNext);
}

void MoveController::TakeStep(MoveState& aNext) const
{
  const MovePlan plan(mSettings.plan, mState.begun, mMove.finishBy);
  const bool isLast = mState.step >= plan.Steps();
  const double share = isLast ? 1.0 : plan.Share(mState.step + 1);
  if (!HasRoom(share)) {
    aNext.reason = "waiting: too few upstreams of the new version are ready";
    return;
  }
  if (isLast) {
    aNext.phase = MovePhase::Done;
    aNext.reason = fmt::format("done: {} requests seen, nothing against {}",
                               mSeenByOthers + mEvidence.NewRequests(), mMove.to.Text());
    return;
  }
  aNext.phase = MovePhase::Advancing;
  aNext.step = mState.step + 1;
  aNext.share = share;
  aNext.reason =
    fmt::format("step {} of {}: {:.0f}% of requests", aNext.step, plan.Steps(), 100.0 * share);
}

void MoveController::BeginLife(MoveState& aNext) const
{
  if (!IsFinal(mState.phase)) {
    aNext.life = mLife;
  }
}

bool MoveController::IsReadyForCanary() const
{
  bool all = !mCounts.empty();
  bool any = false;
  for (const auto& [dataCentre, counts] : mCounts) {
    all = all && counts.newReady > 0;
    any = any || counts.newReady > 0;
  }
  return all || (any && mTimers.WallNow() > mReached + mSettings.longestLoading);
}

bool MoveController::HasRoom(double aShare) const
{
  std::uint32_t ready = 0;
  std::uint32_t needed = 0;
  for (const auto& [dataCentre, counts] : mCounts) {
    // A data centre that has not loaded yet gets no share, but must not be left without upstreams.
    if (counts.newReady > 0 || aShare >= 1.0) {
      ready += counts.newReady;
      needed += RoundUp(aShare * Wanted(counts));
    }
  }
  return ready >= needed && ready > 0;
}

bool MoveController::IsSpread() const
{
  std::uint64_t old = 0;
  for (const core::RouteId& it : mRoutes) {
    old += mEvidence.OldRequests(it);
  }
  const double busy = mSettings.busyRoute * static_cast<double>(old);
  return std::all_of(mRoutes.begin(), mRoutes.end(), [&](const core::RouteId& aRoute) {
    return static_cast<double>(mEvidence.OldRequests(aRoute)) < busy ||
           mEvidence.NewRequests(aRoute) >= mSettings.busyRouteRequests;
  });
}

std::optional<std::string> MoveController::TakenBackBecause() const
{
  if (mMove.undo) {
    return "undone by hand (undo = yes)";
  }
  return mEvidence.Fault();
}

std::uint32_t MoveController::Wanted(const UpstreamCounts& aCounts) const
{
  return std::max<std::uint32_t>(1, aCounts.oldReady);
}

double MoveController::ShareIn(const UpstreamCounts& aCounts) const
{
  if (mBad || aCounts.newReady == 0) {
    return 0.0;
  }
  // More than the ready upstreams can carry would make the new version look slow.
  const double room = static_cast<double>(aCounts.newReady) / Wanted(aCounts);
  return std::min(mState.share, std::min(1.0, room));
}

void MoveController::AddOrders(const UpstreamCounts& aCounts, std::vector<LoadOrder>& aOrders) const
{
  LoadOrder order;
  order.dataCentre = aCounts.dataCentre;
  order.service = mMove.service;
  if (mBad) {
    order.version = mMove.to;
    order.upstreams = 0;
    aOrders.push_back(order);
    return;
  }
  if (mState.phase == MovePhase::Done) {
    order.version = mMove.from;
    order.upstreams = 0;
    aOrders.push_back(order);
    return;
  }
  if (mState.phase == MovePhase::Waiting) {
    return;
  }
  const MovePlan plan(mSettings.plan, mState.begun, mMove.finishBy);
  const std::uint32_t nextStep = std::min(mState.step + 1, plan.Steps());
  const bool isLoading = mState.phase == MovePhase::Loading;
  const double nextShare = isLoading ? mSettings.canaryCeiling : plan.Share(nextStep);
  const std::uint32_t needed = std::max(1U, RoundUp(nextShare * Wanted(aCounts)));
  order.version = mMove.to;
  order.upstreams =
    std::max(aCounts.newReady, std::min(needed, aCounts.newReady + mSettings.loadsAtOnce));
  aOrders.push_back(order);
}

} // namespace cuminfield::version::moves
