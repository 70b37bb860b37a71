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
  , mRetryBudget(aOptions.settings.retryBudget)
{
  mTickTimer = mTimers.ScheduleEvery(mSettings.tickPeriod, [this] { Tick(); });
}

bool TieredScheduler::ExpiresLater(const Expiry& aLeft, const Expiry& aRight)
{
  return aLeft.at > aRight.at;
}

void TieredScheduler::Submit(RequestSpec aSpec)
{
  const RequestIndex request = mRequests.Add(std::move(aSpec));
  RequestState& state = mRequests.At(request);
  state.workspaceIndex = InternWorkspace(state.spec.workspace);

  Enqueue(request);
  RunQueues();
}

std::uint32_t TieredScheduler::InternWorkspace(const core::WorkspaceId& aWorkspace)
{
  const auto existing = mWorkspaceIndices.find(aWorkspace);
  if (existing != mWorkspaceIndices.end()) {
    return existing->second;
  }
  const auto index = static_cast<std::uint32_t>(mWorkspaceIndices.size());
  mWorkspaceIndices[aWorkspace] = index;
  return index;
}

routing::PoolIndex TieredScheduler::ChoosePool(const RequestState& aState)
{
  const RequestSpec& spec = aState.spec;
  const core::VersionId version = mVersions.Choose(spec.service, spec.route, aState.versionPoint);
  const routing::PoolIndex pool = mFleet.FindOrAddPool(spec.service, version);
  while (mPoolQueues.size() <= pool) {
    mPoolQueues.emplace_back(mSettings.tierReserve);
    mDirtyPools.reserve(mPoolQueues.size());
  }
  return pool;
}

void TieredScheduler::Enqueue(RequestIndex aRequest)
{
  RequestState& state = mRequests.At(aRequest);
  state.pool = ChoosePool(state);
  state.phase = RequestPhase::Waiting;
  PoolQueues& queues = mPoolQueues[state.pool];
  const std::size_t tier = TierIndex(state.spec.tier);
  const auto cost =
    static_cast<double>((state.spec.promptTokens + state.spec.maxOutputTokens).value) + 1;
  queues.tierQueues[tier].Push(aRequest, state.workspaceIndex, cost, state.spec.weight);
  ++queues.waitingCount;
  queues.tierReserve.AddWaiting(tier, 1);
  ScheduleExpiry(aRequest);
  MarkDirty(state.pool);
}

void TieredScheduler::ScheduleExpiry(RequestIndex aRequest)
{
  RequestState& state = mRequests.At(aRequest);
  state.latestStart = LatestStart(state.spec, mFleet.PoolAt(state.pool));
  mExpiries.push_back(
    Expiry{ .at = state.latestStart, .request = aRequest, .generation = state.generation });
  std::push_heap(mExpiries.begin(), mExpiries.end(), ExpiresLater);
}

core::Instant TieredScheduler::LatestStart(const RequestSpec& aSpec,
                                           const routing::Pool& aPool) const
{
  if (aPool.IsEmpty()) {
    return aSpec.deadline;
  }
  const routing::RateEstimator& rates = mFleet.At(aPool.fastest).rates;
  return aSpec.deadline - rates.PredictFirstToken(mRouter.MinUncachedTokens(aSpec));
}

void TieredScheduler::MarkDirty(routing::PoolIndex aPool)
{
  if (!mPoolQueues[aPool].dirty) {
    mPoolQueues[aPool].dirty = true;
    mDirtyPools.push_back(aPool);
  }
}

void TieredScheduler::MarkAllDirty()
{
  for (routing::PoolIndex pool = 0; pool < mPoolQueues.size(); ++pool) {
    if (mPoolQueues[pool].waitingCount > 0) {
      MarkDirty(pool);
    }
  }
}

void TieredScheduler::RunQueues()
{
  // The listener may call back into the scheduler. The outer call processes the pools marked
  // meanwhile.
  if (mRunningQueues) {
    return;
  }
  mRunningQueues = true;
  while (!mDirtyPools.empty()) {
    const routing::PoolIndex pool = mDirtyPools.back();
    mDirtyPools.pop_back();
    mPoolQueues[pool].dirty = false;
    RunPoolQueues(pool);
  }
  mRunningQueues = false;
}

void TieredScheduler::RunPoolQueues(routing::PoolIndex aPool)
{
  if (mShutDown || mFleet.PoolAt(aPool).IsEmpty()) {
    ShedAllWaiting(aPool);
    return;
  }
  std::size_t tier = 0;
  while (tier < kTierCount) {
    tier = DispatchFront(aPool, tier) ? 0 : tier + 1;
  }
  ShedExcess(aPool);
}

bool TieredScheduler::DispatchFront(routing::PoolIndex aPool, std::size_t aTier)
{
  const RequestIndex request = mPoolQueues[aPool].tierQueues[aTier].Front();
  if (request == FairQueue::kNone) {
    return false;
  }
  if (RequeueIfVersionChanged(request)) {
    return true;
  }
  const RequestState& state = mRequests.At(request);
  const routing::Pool& pool = mFleet.PoolAt(aPool);
  const bool mayOverflow = MayOverflow(state, pool);
  const auto placement = mRouter.ChooseUpstream(pool, state.spec, mayOverflow, mTimers.Now());
  if (!placement) {
    return false;
  }
  // The router samples upstreams, so a request of a higher tier may have missed this upstream.
  const auto higher = FindPlaceableHigherTierRequest(aPool, aTier, placement->upstream);
  if (!higher) {
    Dispatch(request, *placement);
    return true;
  }
  if (!mFleet.At(placement->upstream).sameRegion) {
    return false;
  }
  const core::Tokens uncachedTokens =
    mRouter.UncachedTokens(placement->upstream, mRequests.At(*higher).spec);
  Dispatch(*higher, { .upstream = placement->upstream, .uncachedTokens = uncachedTokens });
  return true;
}

bool TieredScheduler::RequeueIfVersionChanged(RequestIndex aRequest)
{
  // The version shares may have changed while the request waited: a rolled back version gets no
  // requests.
  RequestState& state = mRequests.At(aRequest);
  if (ChoosePool(state) == state.pool) {
    return false;
  }
  RemoveFromQueue(aRequest, false);
  Enqueue(aRequest);
  return true;
}

bool TieredScheduler::MayOverflow(const RequestState& aState, const routing::Pool& aPool) const
{
  if (aPool.otherRegions.empty()) {
    return false;
  }
  if (aPool.sameRegion.empty()) {
    return true;
  }
  const core::Instant now = mTimers.Now();
  const core::Instant target = aState.spec.arrival + aState.spec.firstTokenTarget;
  const core::Duration elapsed = now - aState.spec.arrival;
  const auto targetMicros = static_cast<double>(aState.spec.firstTokenTarget.count());
  if (aState.spec.tier == 0 &&
      static_cast<double>(elapsed.count()) >= targetMicros * mSettings.overflowAfterShare) {
    return true;
  }
  const core::Duration drainTime =
    mPoolQueues[aState.pool].EstimateDrainTime(TierIndex(aState.spec.tier));
  const routing::RateEstimator& rates = mFleet.At(aPool.fastest).rates;
  const core::Duration firstToken = rates.PredictFirstToken(aState.spec.promptTokens);
  return now + drainTime + 2 * firstToken + mSettings.overflowMargin > target;
}

std::optional<RequestIndex> TieredScheduler::FindPlaceableHigherTierRequest(
  routing::PoolIndex aPool, std::size_t aTier, routing::UpstreamIndex aUpstream)
{
  for (std::size_t tier = 0; tier < aTier; ++tier) {
    const RequestIndex front = mPoolQueues[aPool].tierQueues[tier].Front();
    if (front == FairQueue::kNone) {
      continue;
    }
    const RequestSpec& spec = mRequests.At(front).spec;
    const core::Tokens uncachedTokens = mRouter.UncachedTokens(aUpstream, spec);
    if (mRouter.CanAccept(mFleet.PoolAt(aPool), aUpstream, spec, uncachedTokens, mTimers.Now())) {
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
                       !FindPlaceableHigherTierRequest(state.pool, tier, aPlacement.upstream));
  const core::Instant now = mTimers.Now();
  RemoveFromQueue(aRequest, true);
  mPoolQueues[state.pool].RecordDispatch(tier, now);
  if (state.attempts == 0) {
    mRetryBudget.RecordFirstAttempt();
  }
  ++state.attempts;
  routing::UpstreamState& upstream = mFleet.At(aPlacement.upstream);
  state.phase = RequestPhase::Dispatched;
  state.upstream = aPlacement.upstream;
  mPoolQueues[state.pool].tierReserve.AddInFlight(tier, 1);
  state.uncachedTokens = aPlacement.uncachedTokens;
  state.tokensAhead = mRouter.PrefillBacklog(upstream, now);
  state.dispatchedAt = now;
  upstream.load.RecordDispatch(state.uncachedTokens, now);
  const bool tighter = upstream.tokenIntervalTarget.count() == 0 ||
                       state.spec.tokenGapTarget < upstream.tokenIntervalTarget;
  if (tighter && state.spec.tokenGapTarget.count() > 0) {
    upstream.tokenIntervalTarget = state.spec.tokenGapTarget;
  }

  if (upstream.sameRegion) {
    mFleet.Prefixes().AddPrefix(state.spec.prefixHashes, state.upstream);
  }
  mDispatchingId = state.spec.id;
  mListener.OnDispatch(mDispatchingId, upstream.announcement);
}

void TieredScheduler::RemoveFromQueue(RequestIndex aRequest, bool aServed)
{
  const RequestState& state = mRequests.At(aRequest);
  PoolQueues& queues = mPoolQueues[state.pool];
  FairQueue& queue = queues.tierQueues[TierIndex(state.spec.tier)];
  if (aServed) {
    queue.Serve(aRequest);
  } else {
    queue.Remove(aRequest);
  }
  --queues.waitingCount;
  queues.tierReserve.AddWaiting(TierIndex(state.spec.tier), -1);
}

void TieredScheduler::ReleaseUpstreamLoad(RequestState& aState)
{
  mPoolQueues[aState.pool].tierReserve.AddInFlight(TierIndex(aState.spec.tier), -1);
  routing::UpstreamState& upstream = mFleet.At(aState.upstream);
  if (aState.phase == RequestPhase::Dispatched) {
    upstream.load.RecordPrefillEnd(aState.uncachedTokens, mTimers.Now());
  }
  upstream.load.RecordRequestEnd(mTimers.Now());
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
  RemoveFromQueue(request, false);
  RemoveRequest(request);
}

void TieredScheduler::OnFirstToken(const core::RequestId& aRequest)
{
  const RequestIndex request = mRequests.Find(aRequest);
  if (request == RequestTable::kNone || mRequests.At(request).phase != RequestPhase::Dispatched) {
    return;
  }
  RequestState& state = mRequests.At(request);
  routing::UpstreamState& upstream = mFleet.At(state.upstream);
  const core::Instant now = mTimers.Now();
  const core::Duration network =
    upstream.sameRegion ? core::Duration(0) : 2 * mSettings.router.interRegionDelay;
  const core::Duration elapsed = std::max(core::Duration(1), now - state.dispatchedAt - network);
  upstream.rates.ObserveFirstToken(state.tokensAhead + state.uncachedTokens, elapsed);
  if (state.spec.firstTokenTarget.count() > 0 && elapsed > state.spec.firstTokenTarget) {
    upstream.circuitBreaker.RecordFailure(now);
  }
  upstream.load.RecordPrefillEnd(state.uncachedTokens, now);
  state.phase = RequestPhase::Running;
  state.lastTokenAt = now;
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
  upstream.rates.ObserveTokenInterval(now - state.lastTokenAt, upstream.load.LocalInFlight());
  const double slots = std::max(1U, upstream.announcement.slots);
  const double fill = upstream.load.InFlight() / slots;
  mFleet.Detector().ObserveTokenInterval(upstream.health, now - state.lastTokenAt, fill,
                                         upstream.load.LocalInFlight());
  state.lastTokenAt = now;
}

void TieredScheduler::OnAttemptEnded(const core::RequestId& aRequest, AttemptOutcome aOutcome)
{
  const RequestIndex request = mRequests.Find(aRequest);
  if (request == RequestTable::kNone || mRequests.At(request).phase == RequestPhase::Waiting) {
    return;
  }
  RequestState& state = mRequests.At(request);
  ReleaseUpstreamLoad(state);
  UpdateUpstreamHealth(mFleet.At(state.upstream), aOutcome);
  MarkDirty(state.pool);
  if (HasNotRun(aOutcome)) {
    RetryOrShed(request);
  } else {
    RemoveRequest(request);
  }
  RunQueues();
}

void TieredScheduler::UpdateUpstreamHealth(routing::UpstreamState& aUpstream,
                                           AttemptOutcome aOutcome)
{
  if (aOutcome == AttemptOutcome::RejectedInput || aOutcome == AttemptOutcome::Cancelled) {
    return;
  }
  const core::Instant now = mTimers.Now();
  const bool failed = aOutcome != AttemptOutcome::Succeeded;
  mFleet.Detector().ObserveAttemptEnd(aUpstream.health, failed);
  if (failed) {
    aUpstream.circuitBreaker.RecordFailure(now);
  } else {
    aUpstream.circuitBreaker.RecordSuccess(now);
  }
  if (HasNotRun(aOutcome)) {
    aUpstream.backoffUntil = now + mSettings.router.rejectionBackoff;
  }
}

void TieredScheduler::RetryOrShed(RequestIndex aRequest)
{
  RequestState& state = mRequests.At(aRequest);
  if (!mRetryBudget.TryTakeRetry(state.attempts)) {
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
                       aReason != ShedReason::Overload ||
                         !mPoolQueues[state.pool].HasLowerTierWaiting(tier));
  CUMINFIELD_INVARIANT("admission.shed-deadline-out-of-reach",
                       aReason != ShedReason::Deadline || mTimers.Now() >= state.latestStart);
  if (state.phase == RequestPhase::Waiting) {
    RemoveFromQueue(aRequest, false);
  }
  if (aReason == ShedReason::Overload || aReason == ShedReason::Deadline) {
    ++mShedCounts[tier];
    mLastShedAt[tier] = mTimers.Now();
  }
  const core::Duration retryAfter =
    std::max(mSettings.minRetryAfter, mPoolQueues[state.pool].EstimateDrainTime(tier));
  const core::RequestId id = state.spec.id;
  RemoveRequest(aRequest);
  mListener.OnShed(id, aReason, retryAfter);
}

void TieredScheduler::ShedExcess(routing::PoolIndex aPool)
{
  while (mPoolQueues[aPool].waitingCount > mSettings.maxWaitingRequests) {
    const std::size_t tier = mPoolQueues[aPool].LowestWaitingTier();
    if (mCapacity != nullptr && !mCapacity->MayShed(static_cast<TierRank>(tier))) {
      return;
    }
    ShedRequest(mPoolQueues[aPool].tierQueues[tier].Newest(), ShedReason::Overload);
  }
}

void TieredScheduler::ShedAllWaiting(routing::PoolIndex aPool)
{
  const ShedReason reason = mShutDown ? ShedReason::Shutdown : ShedReason::NoUpstream;
  while (mPoolQueues[aPool].waitingCount > 0) {
    const std::size_t tier = mPoolQueues[aPool].LowestWaitingTier();
    const RequestIndex request = mPoolQueues[aPool].tierQueues[tier].Newest();
    if (mShutDown || !RequeueIfVersionChanged(request)) {
      ShedRequest(request, reason);
    }
  }
}

void TieredScheduler::RemoveRequest(RequestIndex aRequest)
{

  mRequests.Remove(aRequest);
}

void TieredScheduler::AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream)
{
  mFleet.AddOrUpdateUpstream(aUpstream);
  if (mCapacity != nullptr) {
    mFleet.UpdateGrants(*mCapacity);
  }
  MarkAllDirty();
  RunQueues();
}

void TieredScheduler::RemoveUpstream(const core::UpstreamId& aUpstream)
{
  mFleet.RemoveUpstream(aUpstream, mTimers.Now());
  MarkAllDirty();
  RunQueues();
}

void TieredScheduler::OnLoadReport(const LoadReport& aReport)
{
  mFleet.ApplyLoadReport(aReport, mTimers.Now());
}

void TieredScheduler::OnCacheEvent(const CacheEvent& aEvent)
{
  mFleet.ApplyCacheEvent(aEvent);
}

void TieredScheduler::Shutdown()
{
  mShutDown = true;
  MarkAllDirty();
  RunQueues();
}

void TieredScheduler::FillDemandReport(capacity::DemandReport& aReport) const
{
  for (routing::PoolIndex pool = 0; pool < mPoolQueues.size(); ++pool) {
    const core::ServiceId& service = mFleet.PoolAt(pool).service;
    auto it = std::find_if(
      aReport.demands.begin(), aReport.demands.end(),
      [&](const capacity::ServiceDemand& aDemand) { return aDemand.service == service; });
    if (it == aReport.demands.end()) {
      it = aReport.demands.insert(it, capacity::ServiceDemand{ .service = service });
    }
    for (std::size_t tier = 0; tier < kTierCount; ++tier) {
      it->byTier[tier] += mPoolQueues[pool].tierReserve.Demand(tier);
    }
  }
  mFleet.FillUpstreamUse(aReport);
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    aReport.shedding[tier] = mTimers.Now() - mLastShedAt[tier] < mSettings.sheddingHold;
  }
}

std::size_t TieredScheduler::WaitingCount() const
{
  std::size_t sum = 0;
  for (const PoolQueues& it : mPoolQueues) {
    sum += it.waitingCount;
  }
  return sum;
}

void TieredScheduler::Tick()
{
  if (mCapacity != nullptr && mCapacity->Epoch() != mCapacityEpoch) {
    mCapacityEpoch = mCapacity->Epoch();
    mFleet.UpdateGrants(*mCapacity);
  }
  mFleet.Tick(mTimers.Now());
  for (routing::PoolIndex pool = 0; pool < mPoolQueues.size(); ++pool) {
    mPoolQueues[pool].tierReserve.SampleDemand();
    mFleet.SetTierShares(
      pool, mPoolQueues[pool].tierReserve.ComputeShares(mFleet.EstimateCapacity(pool)));
  }
  ShedExpired();
  MarkAllDirty();
  RunQueues();
}

void TieredScheduler::ShedExpired()
{
  while (!mExpiries.empty() && mExpiries.front().at <= mTimers.Now()) {
    const Expiry expiry = mExpiries.front();
    std::pop_heap(mExpiries.begin(), mExpiries.end(), ExpiresLater);
    mExpiries.pop_back();
    const RequestState& state = mRequests.At(expiry.request);
    const bool waiting = state.phase == RequestPhase::Waiting;
    if (!waiting || state.generation != expiry.generation) {
      continue;
    }
    ShedRequest(expiry.request, ShedReason::Deadline);
  }
}

} // namespace cuminfield::request::admission
