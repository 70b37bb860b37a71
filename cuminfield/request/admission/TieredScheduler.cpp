#include "cuminfield/request/admission/TieredScheduler.h"

#include "cuminfield/core/Invariant.h"

#include <algorithm>

namespace cuminfield::request::admission {

TieredScheduler::TieredScheduler(const TieredSchedulerOptions& aOptions)
  : mSettings(aOptions.settings)
  , mTimers(aOptions.timers)
  , mListener(aOptions.listener)
  , mVersions(aOptions.versions)
  , mCapacity(aOptions.capacity)
  , mFleet(aOptions.settings.router, aOptions.region, aOptions.dataCentre)
  , mRouter(aOptions.settings.router, mFleet, aOptions.random)
  , mRetries(aOptions.settings.retry)
{
  mTick = mTimers.Every(mSettings.tick, [this] { Tick(); });
}

bool TieredScheduler::LaterExpiry(const Expiry& aLeft, const Expiry& aRight)
{
  return aLeft.at > aRight.at;
}

void TieredScheduler::Submit(RequestSpec aSpec)
{
  const RequestIndex request = mRequests.Add(std::move(aSpec));
  RequestState& state = mRequests.At(request);
  state.workspace = InternWorkspace(state.spec.workspace);

  Enqueue(request);
  RunQueues();
}

std::uint32_t TieredScheduler::InternWorkspace(const core::WorkspaceId& aWorkspace)
{
  const auto known = mWorkspaces.find(aWorkspace);
  if (known != mWorkspaces.end()) {
    return known->second;
  }
  const auto index = static_cast<std::uint32_t>(mWorkspaces.size());
  mWorkspaces[aWorkspace] = index;
  return index;
}

routing::PoolIndex TieredScheduler::ChoosePool(const RequestState& aState)
{
  const RequestSpec& spec = aState.spec;
  const core::VersionId version = mVersions.Choose(spec.service, spec.route, aState.point);
  const routing::PoolIndex pool = mFleet.PoolOf(spec.service, version);
  while (mQueues.size() <= pool) {
    mQueues.emplace_back(mSettings.reserve);
    mDirty.reserve(mQueues.size());
  }
  return pool;
}

void TieredScheduler::Enqueue(RequestIndex aRequest)
{
  RequestState& state = mRequests.At(aRequest);
  state.pool = ChoosePool(state);
  state.phase = RequestPhase::Waiting;
  PoolQueues& queues = mQueues[state.pool];
  const std::size_t tier = TierIndex(state.spec.tier);
  const auto cost =
    static_cast<double>((state.spec.promptTokens + state.spec.maxOutputTokens).value) + 1;
  queues.tiers[tier].Push(aRequest, state.workspace, cost, state.spec.weight);
  ++queues.waiting;
  queues.reserve.Wait(tier, 1);
  ArmExpiry(aRequest);
  MarkDirty(state.pool);
}

void TieredScheduler::ArmExpiry(RequestIndex aRequest)
{
  RequestState& state = mRequests.At(aRequest);
  state.lastStart = LastStart(state.spec, mFleet.PoolAt(state.pool));
  mExpiries.push_back(
    Expiry{ .at = state.lastStart, .request = aRequest, .generation = state.generation });
  std::push_heap(mExpiries.begin(), mExpiries.end(), LaterExpiry);
}

core::Instant TieredScheduler::LastStart(const RequestSpec& aSpec, const routing::Pool& aPool) const
{
  if (aPool.Empty()) {
    return aSpec.deadline;
  }
  const routing::RateEstimator& rates = mFleet.At(aPool.fastest).rates;
  return aSpec.deadline - rates.FirstToken(mRouter.LeastUncached(aSpec));
}

void TieredScheduler::MarkDirty(routing::PoolIndex aPool)
{
  if (!mQueues[aPool].dirty) {
    mQueues[aPool].dirty = true;
    mDirty.push_back(aPool);
  }
}

void TieredScheduler::MarkAllDirty()
{
  for (routing::PoolIndex pool = 0; pool < mQueues.size(); ++pool) {
    if (mQueues[pool].waiting > 0) {
      MarkDirty(pool);
    }
  }
}

void TieredScheduler::RunQueues()
{
  // The listener may call back from inside a decision; the outer run takes care of what follows.
  if (mRunning) {
    return;
  }
  mRunning = true;
  while (!mDirty.empty()) {
    const routing::PoolIndex pool = mDirty.back();
    mDirty.pop_back();
    mQueues[pool].dirty = false;
    RunPool(pool);
  }
  mRunning = false;
}

void TieredScheduler::RunPool(routing::PoolIndex aPool)
{
  if (mStopped || mFleet.PoolAt(aPool).Empty()) {
    ShedStranded(aPool);
    return;
  }
  std::size_t tier = 0;
  while (tier < kTierCount) {
    tier = DispatchFront(aPool, tier) ? 0 : tier + 1;
  }
  ShedOverflow(aPool);
}

bool TieredScheduler::DispatchFront(routing::PoolIndex aPool, std::size_t aTier)
{
  const RequestIndex request = mQueues[aPool].tiers[aTier].Front();
  if (request == FairQueue::kNone) {
    return false;
  }
  if (FollowVersion(request)) {
    return true;
  }
  const RequestState& state = mRequests.At(request);
  const routing::Pool& pool = mFleet.PoolAt(aPool);
  const bool spill = MaySpill(state, pool);
  const auto placement = mRouter.Choose(pool, state.spec, spill, mTimers.Now());
  if (!placement) {
    return false;
  }
  // The choice samples upstreams, so a higher tier may have missed the one that was found here.
  const auto higher = HigherThatFits(aPool, aTier, placement->upstream);
  if (!higher) {
    Dispatch(request, *placement);
    return true;
  }
  if (!mFleet.At(placement->upstream).local) {
    return false;
  }
  const core::Tokens uncached = mRouter.Uncached(placement->upstream, mRequests.At(*higher).spec);
  Dispatch(*higher, { .upstream = placement->upstream, .uncached = uncached });
  return true;
}

bool TieredScheduler::FollowVersion(RequestIndex aRequest)
{
  // The shares may have moved while the request waited: a version that was taken back gets none.
  RequestState& state = mRequests.At(aRequest);
  if (ChoosePool(state) == state.pool) {
    return false;
  }
  TakeFromQueue(aRequest, false);
  Enqueue(aRequest);
  return true;
}

bool TieredScheduler::MaySpill(const RequestState& aState, const routing::Pool& aPool) const
{
  if (aPool.remote.empty()) {
    return false;
  }
  if (aPool.local.empty()) {
    return true;
  }
  const core::Instant now = mTimers.Now();
  const core::Instant target = aState.spec.arrival + aState.spec.firstTokenTarget;
  const core::Duration waited = now - aState.spec.arrival;
  const auto patience = static_cast<double>(aState.spec.firstTokenTarget.count());
  if (aState.spec.tier == 0 &&
      static_cast<double>(waited.count()) >= patience * mSettings.spillAfter) {
    return true;
  }
  const core::Duration wait = mQueues[aState.pool].Drain(TierIndex(aState.spec.tier));
  const routing::RateEstimator& rates = mFleet.At(aPool.fastest).rates;
  const core::Duration serve = rates.FirstToken(aState.spec.promptTokens);
  return now + wait + 2 * serve + mSettings.spillMargin > target;
}

std::optional<RequestIndex> TieredScheduler::HigherThatFits(routing::PoolIndex aPool,
                                                            std::size_t aTier,
                                                            routing::UpstreamIndex aUpstream)
{
  for (std::size_t tier = 0; tier < aTier; ++tier) {
    const RequestIndex front = mQueues[aPool].tiers[tier].Front();
    if (front == FairQueue::kNone) {
      continue;
    }
    const RequestSpec& spec = mRequests.At(front).spec;
    const core::Tokens uncached = mRouter.Uncached(aUpstream, spec);
    if (mRouter.Fits(mFleet.PoolAt(aPool), aUpstream, spec, uncached, mTimers.Now())) {
      return front;
    }
  }
  return std::nullopt;
}

void TieredScheduler::Dispatch(RequestIndex aRequest, const routing::Placement& aPlacement)
{
  RequestState& state = mRequests.At(aRequest);
  const std::size_t tier = TierIndex(state.spec.tier);
  CUMINFIELD_INVARIANT("admission.no-tier-inversion",
                       !HigherThatFits(state.pool, tier, aPlacement.upstream));
  const core::Instant now = mTimers.Now();
  TakeFromQueue(aRequest, true);
  mQueues[state.pool].NoteDispatch(tier, now);
  if (state.tries == 0) {
    mRetries.FirstTry();
  }
  ++state.tries;
  routing::UpstreamState& upstream = mFleet.At(aPlacement.upstream);
  state.phase = RequestPhase::Sent;
  state.upstream = aPlacement.upstream;
  mQueues[state.pool].reserve.Run(tier, 1);
  state.uncached = aPlacement.uncached;
  state.ahead = mRouter.Backlog(upstream, now);
  state.sentAt = now;
  upstream.load.Dispatched(state.uncached, now);
  const bool tighter =
    upstream.gapTarget.count() == 0 || state.spec.tokenGapTarget < upstream.gapTarget;
  if (tighter && state.spec.tokenGapTarget.count() > 0) {
    upstream.gapTarget = state.spec.tokenGapTarget;
  }

  if (upstream.local) {
    mFleet.Prefixes().AddPrefix(state.spec.prefixHashes, state.upstream);
  }
  mSending = state.spec.id;
  mListener.OnDispatch(mSending, upstream.announcement);
}

void TieredScheduler::TakeFromQueue(RequestIndex aRequest, bool aServed)
{
  const RequestState& state = mRequests.At(aRequest);
  PoolQueues& queues = mQueues[state.pool];
  FairQueue& queue = queues.tiers[TierIndex(state.spec.tier)];
  if (aServed) {
    queue.Serve(aRequest);
  } else {
    queue.Remove(aRequest);
  }
  --queues.waiting;
  queues.reserve.Wait(TierIndex(state.spec.tier), -1);
}

void TieredScheduler::TakeFromUpstream(RequestState& aState)
{
  mQueues[aState.pool].reserve.Run(TierIndex(aState.spec.tier), -1);
  routing::UpstreamState& upstream = mFleet.At(aState.upstream);
  if (aState.phase == RequestPhase::Sent) {
    upstream.load.Prefilled(aState.uncached, mTimers.Now());
  }
  upstream.load.Ended(mTimers.Now());
}

void TieredScheduler::Withdraw(const core::RequestId& aRequest)
{
  const RequestIndex request = mRequests.Find(aRequest);
  if (request == RequestTable::kNone) {
    return;
  }
  if (mRequests.At(request).phase != RequestPhase::Waiting) {
    OnAttemptEnded(aRequest, AttemptOutcome::Cancelled);
    return;
  }
  TakeFromQueue(request, false);
  Forget(request);
}

void TieredScheduler::OnFirstToken(const core::RequestId& aRequest)
{
  const RequestIndex request = mRequests.Find(aRequest);
  if (request == RequestTable::kNone || mRequests.At(request).phase != RequestPhase::Sent) {
    return;
  }
  RequestState& state = mRequests.At(request);
  routing::UpstreamState& upstream = mFleet.At(state.upstream);
  const core::Instant now = mTimers.Now();
  const core::Duration network =
    upstream.local ? core::Duration(0) : 2 * mSettings.router.regionDelay;
  const core::Duration elapsed = std::max(core::Duration(1), now - state.sentAt - network);
  upstream.rates.ObserveFirstToken(state.ahead + state.uncached, elapsed);
  if (state.spec.firstTokenTarget.count() > 0 && elapsed > state.spec.firstTokenTarget) {
    upstream.circuit.Failed(now);
  }
  upstream.load.Prefilled(state.uncached, now);
  state.phase = RequestPhase::Running;
  state.lastToken = now;
  MarkDirty(state.pool);
  RunQueues();
}

void TieredScheduler::OnToken(const core::RequestId& aRequest)
{
  const RequestIndex request = mRequests.Find(aRequest);
  if (request == RequestTable::kNone || mRequests.At(request).phase != RequestPhase::Running) {
    return;
  }
  RequestState& state = mRequests.At(request);
  routing::UpstreamState& upstream = mFleet.At(state.upstream);
  const core::Instant now = mTimers.Now();
  upstream.rates.ObserveGap(now - state.lastToken, upstream.load.Own());
  const double slots = std::max(1U, upstream.announcement.slots);
  const double fill = upstream.load.InFlight() / slots;
  mFleet.Peers().ObserveGap(upstream.health, now - state.lastToken, fill, upstream.load.Own());
  state.lastToken = now;
}

void TieredScheduler::OnAttemptEnded(const core::RequestId& aRequest, AttemptOutcome aOutcome)
{
  const RequestIndex request = mRequests.Find(aRequest);
  if (request == RequestTable::kNone || mRequests.At(request).phase == RequestPhase::Waiting) {
    return;
  }
  RequestState& state = mRequests.At(request);
  TakeFromUpstream(state);
  ObserveOutcome(mFleet.At(state.upstream), aOutcome);
  MarkDirty(state.pool);
  if (HasNotRun(aOutcome)) {
    TryAgain(request);
  } else {
    Forget(request);
  }
  RunQueues();
}

void TieredScheduler::ObserveOutcome(routing::UpstreamState& aUpstream, AttemptOutcome aOutcome)
{
  if (aOutcome == AttemptOutcome::RejectedInput || aOutcome == AttemptOutcome::Cancelled) {
    return;
  }
  const core::Instant now = mTimers.Now();
  const bool failed = aOutcome != AttemptOutcome::Succeeded;
  mFleet.Peers().ObserveEnd(aUpstream.health, failed);
  if (failed) {
    aUpstream.circuit.Failed(now);
  } else {
    aUpstream.circuit.Succeeded(now);
  }
  if (HasNotRun(aOutcome)) {
    aUpstream.pausedUntil = now + mSettings.router.refusalPause;
  }
}

void TieredScheduler::TryAgain(RequestIndex aRequest)
{
  RequestState& state = mRequests.At(aRequest);
  if (!mRetries.Take(state.tries)) {
    ShedRequest(aRequest, ShedReason::NoUpstream);
    return;
  }
  ++state.generation;
  Enqueue(aRequest);
}

void TieredScheduler::ShedRequest(RequestIndex aRequest, ShedReason aReason)
{
  const RequestState& state = mRequests.At(aRequest);
  const std::size_t tier = TierIndex(state.spec.tier);
  CUMINFIELD_INVARIANT("admission.shed-lowest-first",
                       aReason != ShedReason::Overload || !mQueues[state.pool].AnyBelow(tier));
  CUMINFIELD_INVARIANT("admission.shed-deadline-out-of-reach",
                       aReason != ShedReason::Deadline || mTimers.Now() >= state.lastStart);
  if (state.phase == RequestPhase::Waiting) {
    TakeFromQueue(aRequest, false);
  }
  if (aReason == ShedReason::Overload || aReason == ShedReason::Deadline) {
    ++mShed[tier];
    mShedAt[tier] = mTimers.Now();
  }
  const core::Duration retry = std::max(mSettings.retryAfter, mQueues[state.pool].Drain(tier));
  const core::RequestId id = state.spec.id;
  Forget(aRequest);
  mListener.OnShed(id, aReason, retry);
}

void TieredScheduler::ShedOverflow(routing::PoolIndex aPool)
{
  while (mQueues[aPool].waiting > mSettings.maxWaiting) {
    const std::size_t tier = mQueues[aPool].Lowest();
    if (mCapacity != nullptr && !mCapacity->MayShed(static_cast<TierRank>(tier))) {
      return;
    }
    ShedRequest(mQueues[aPool].tiers[tier].Newest(), ShedReason::Overload);
  }
}

void TieredScheduler::ShedStranded(routing::PoolIndex aPool)
{
  const ShedReason reason = mStopped ? ShedReason::Shutdown : ShedReason::NoUpstream;
  while (mQueues[aPool].waiting > 0) {
    const std::size_t tier = mQueues[aPool].Lowest();
    const RequestIndex request = mQueues[aPool].tiers[tier].Newest();
    if (mStopped || !FollowVersion(request)) {
      ShedRequest(request, reason);
    }
  }
}

void TieredScheduler::Forget(RequestIndex aRequest)
{

  mRequests.Remove(aRequest);
}

void TieredScheduler::AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream)
{
  mFleet.Up(aUpstream);
  if (mCapacity != nullptr) {
    mFleet.Grants(*mCapacity);
  }
  MarkAllDirty();
  RunQueues();
}

void TieredScheduler::RemoveUpstream(const core::UpstreamId& aUpstream)
{
  mFleet.Gone(aUpstream, mTimers.Now());
  MarkAllDirty();
  RunQueues();
}

void TieredScheduler::OnLoadReport(const LoadReport& aReport)
{
  mFleet.Load(aReport, mTimers.Now());
}

void TieredScheduler::OnCacheEvent(const CacheEvent& aEvent)
{
  mFleet.Cache(aEvent);
}

void TieredScheduler::Shutdown()
{
  mStopped = true;
  MarkAllDirty();
  RunQueues();
}

void TieredScheduler::Describe(capacity::DemandReport& aReport) const
{
  for (routing::PoolIndex pool = 0; pool < mQueues.size(); ++pool) {
    const core::ServiceId& service = mFleet.PoolAt(pool).service;
    auto it = std::find_if(
      aReport.demands.begin(), aReport.demands.end(),
      [&](const capacity::ServiceDemand& aDemand) { return aDemand.service == service; });
    if (it == aReport.demands.end()) {
      it = aReport.demands.insert(it, capacity::ServiceDemand{ .service = service });
    }
    for (std::size_t tier = 0; tier < kTierCount; ++tier) {
      it->byTier[tier] += mQueues[pool].reserve.Demand(tier);
    }
  }
  mFleet.DescribeUse(aReport);
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    aReport.shedding[tier] = mTimers.Now() - mShedAt[tier] < mSettings.shedMemory;
  }
}

std::size_t TieredScheduler::Waiting() const
{
  std::size_t sum = 0;
  for (const PoolQueues& it : mQueues) {
    sum += it.waiting;
  }
  return sum;
}

void TieredScheduler::Tick()
{
  if (mCapacity != nullptr && mCapacity->Epoch() != mEpoch) {
    mEpoch = mCapacity->Epoch();
    mFleet.Grants(*mCapacity);
  }
  mFleet.Tick(mTimers.Now());
  for (routing::PoolIndex pool = 0; pool < mQueues.size(); ++pool) {
    mQueues[pool].reserve.Update();
    mFleet.ShareOut(pool, mQueues[pool].reserve.Shares(mFleet.Capacity(pool)));
  }
  ShedExpired();
  MarkAllDirty();
  RunQueues();
}

void TieredScheduler::ShedExpired()
{
  while (!mExpiries.empty() && mExpiries.front().at <= mTimers.Now()) {
    const Expiry expiry = mExpiries.front();
    std::pop_heap(mExpiries.begin(), mExpiries.end(), LaterExpiry);
    mExpiries.pop_back();
    const RequestState& state = mRequests.At(expiry.request);
    const bool waits = state.phase == RequestPhase::Waiting;
    if (!waits || state.generation != expiry.generation) {
      continue;
    }
    ShedRequest(expiry.request, ShedReason::Deadline);
  }
}

} // namespace cuminfield::request::admission
