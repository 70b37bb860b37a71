#include "cuminfield/request/placement/PlacementScheduler.h"

#include <algorithm>
#include <utility>

namespace cuminfield::request::placement {

PlacementScheduler::PlacementScheduler(const PlacementSchedulerOptions& aOptions)
  : mSettings(aOptions.settings)
  , mTimers(aOptions.timers)
  , mRandom(aOptions.random)
  , mListener(aOptions.listener)
  , mVersions(aOptions.versions)
  , mUpstreams(aOptions.settings.upstreamTable, aOptions.dataCentre, aOptions.random)
{
  mTickTimer = mTimers.Every(mSettings.tickInterval, [this] { Tick(); });
}

PlacementScheduler::ServiceState& PlacementScheduler::GetOrCreateService(const core::ServiceId& aId)
{
  return mServices.try_emplace(aId, mSettings.retryBudget).first->second;
}

core::Duration PlacementScheduler::MaxWait(const RequestSpec& aSpec) const
{
  const core::Duration total = aSpec.deadline - aSpec.arrival;
  return std::min(core::Scaled(aSpec.firstTokenTarget, 1 + mSettings.extraWaitFactor), total);
}

core::Duration PlacementScheduler::PredictWait(const ServiceState& aService, TierRank aRank)
{
  // Places that this host's requests of such ranks leave in a second.
  double freed = 0;
  for (const auto& [rank, state] : aService.ranks) {
    if (rank <= aRank && state.meanSlotTime.count() > 0) {
      freed += std::max(1U, state.inFlight) / core::Seconds(state.meanSlotTime);
    }
  }
  const auto ahead = static_cast<double>(aService.queue.CountAhead(aRank));
  return freed > 0 ? core::FromSeconds(ahead / freed) : core::Duration::zero();
}

void PlacementScheduler::UpdateTypicalRequest(RankState& aRank, const RequestSpec& aSpec) const
{
  RequestSpec& typical = aRank.typicalRequest;
  if (typical.service != aSpec.service) {
    typical = aSpec;
    return;
  }
  const auto learn = [this](core::Tokens& aMean, core::Tokens aNew) {
    const double change = mSettings.rankLearningRate * static_cast<double>((aNew - aMean).value);
    aMean += core::Tokens{ static_cast<std::int64_t>(change) };
  };
  learn(typical.promptTokens, aSpec.promptTokens);
  learn(typical.maxOutputTokens, aSpec.maxOutputTokens);
  typical.arrival = aSpec.arrival;
  typical.deadline = aSpec.deadline;
  typical.tokenGapTarget = aSpec.tokenGapTarget;
  typical.tokensPerEvent = aSpec.tokensPerEvent;
  typical.needsEngine = aSpec.needsEngine;
}

void PlacementScheduler::UpdateSuitableSlots(ServiceState& aService)
{
  const core::Instant now = mTimers.Now();
  for (auto& [rank, state] : aService.ranks) {
    if (state.slotsCountedAt != core::Instant() &&
        now - state.slotsCountedAt < mSettings.slotCountInterval) {
      continue;
    }
    RequestSpec typical = state.typicalRequest;
    typical.deadline = now + (typical.deadline - typical.arrival);
    state.suitableSlots = mUpstreams.SuitableEngineSlots(typical, now);
    state.slotsCountedAt = now;
  }
}

std::uint32_t PlacementScheduler::DemandOf(const ServiceState& aService, TierRank aRank,
                                           const RankState& aState)
{
  return aState.inFlight + static_cast<std::uint32_t>(aService.queue.CountOfRank(aRank));
}

core::Duration PlacementScheduler::ComputeRetryAfter(const RequestSpec& aSpec)
{
  const core::Duration left = std::max(aSpec.deadline - mTimers.Now(), core::Duration::zero());
  const core::Duration heeded = core::Scaled(left, mSettings.retryAfterShare);
  const double least = mSettings.minRetryAfterRatio;
  // Spread, so that those turned away together do not come back together.
  const core::Duration spread = core::Scaled(heeded, least + (1 - least) * mRandom.Uniform());
  return std::clamp(spread, std::min(mSettings.minRetryAfter, heeded), mSettings.maxRetryAfter);
}

void PlacementScheduler::Submit(RequestSpec aSpec)
{
  const core::RequestId id = aSpec.id;
  RequestState& state = mRequests[id];
  state = RequestState();
  state.spec = std::move(aSpec);
  state.samplePoint = mRandom.Uniform();
  ServiceState& service = GetOrCreateService(state.spec.service);
  UpdateTypicalRequest(service.ranks[state.spec.tier], state.spec);
  const bool crowded =
    service.queue.CountAhead(state.spec.tier) >= mSettings.minQueueForPrediction &&
    PredictWait(service, state.spec.tier) > MaxWait(state.spec);
  if (crowded && !state.spec.resumed) {
    Shed(id, ShedReason::Overload);
    return;
  }
  const core::ServiceId serviceId = state.spec.service;
  Enqueue(state);
  DispatchQueued(serviceId);
}

void PlacementScheduler::Enqueue(RequestState& aState)
{
  const RequestSpec& spec = aState.spec;
  aState.isQueued = true;
  aState.hasFirstEvent = false;
  placement::QueuedRequest waiting{
    .id = spec.id,
    .rank = spec.tier,
    .isTopPriority = spec.tier <= GetOrCreateService(spec.service).ranks.begin()->first,
    .arrival = spec.arrival,
    .latestOnTimeDispatch = spec.arrival + spec.firstTokenTarget -
                            core::Scaled(mUpstreams.PredictIdleFirstEventLatency(spec),
                                         GetOrCreateService(spec.service).loadFactor),
    .expiresAt = spec.arrival + MaxWait(spec)
  };
  if (spec.resumed) {
    // Its caller has begun to read: it goes before all that have not.
    waiting.rank = 0;
    waiting.isTopPriority = true;
    waiting.latestOnTimeDispatch = spec.deadline;
    waiting.expiresAt = spec.deadline;
  }
  GetOrCreateService(spec.service).queue.Add(waiting);
}

void PlacementScheduler::DispatchQueued(const core::ServiceId& aId)
{
  ServiceState& service = GetOrCreateService(aId);
  // One that finds no place does not hold up those behind it that need less.
  service.queue.ServeInOrder(mTimers.Now(), [&](const placement::QueuedRequest& aWaiting) {
    const auto it = mRequests.find(aWaiting.id);
    return TryDispatch(it->second, service, UrgencyOf(aWaiting, mTimers.Now()));
  });
}

Urgency PlacementScheduler::UrgencyOf(const placement::QueuedRequest& aWaiting, core::Instant aNow)
{
  if (aWaiting.latestOnTimeDispatch <= aNow) {
    return Urgency::Late;
  }
  return aWaiting.isTopPriority ? Urgency::Top : Urgency::Normal;
}

PlacementScheduler::RequestsByRank PlacementScheduler::LocalDemand() const
{
  RequestsByRank wanted;
  for (const auto& [id, service] : mServices) {
    for (const auto& [rank, state] : service.ranks) {
      wanted[{ id, rank }] = DemandOf(service, rank, state);
    }
  }
  return wanted;
}

bool PlacementScheduler::IsWithinShare(const RequestState& aState, const RankState& aRank,
                                       const DemandSummary& aCrowd) const
{
  if (aRank.suitableSlots == 0) {
    return true; // What is silent or cannot be reached may be probed.
  }
  // Ranks of which this host has seen no request may use any place.
  const double placesBefore =
    aCrowd.moreUrgentSlots == 0 ? aRank.suitableSlots : aCrowd.moreUrgentSlots;
  const double left = std::max(
    { aCrowd.suitableSlots * mSettings.sharedSlotRatio - aCrowd.moreUrgent, // What they leave,
      aRank.suitableSlots - placesBefore,                                   // or cannot use.
      aRank.suitableSlots * mSettings.minRankShare });
  // The request itself is in no line now.
  const double wanted = aCrowd.sameRank + 1;
  if (wanted <= left) {
    return true;
  }
  // A part of a place is one for that part of the requests.
  return aRank.inFlight + aState.samplePoint < left * (aCrowd.localSameRank + 1) / wanted;
}

void PlacementScheduler::SetRemoteDemand(RequestsByRank aWanted)
{
  mRemoteDemand = std::move(aWanted);
  for (auto& [id, service] : mServices) {
    // Parts of a place add up; a place that was not needed is not kept.
    const double part = FreeSlotAllowance(service, ComputeDemand(id, service, 0));
    service.slotCredit = std::clamp(part - service.slotsTaken, 0.0, 1.0);
    service.slotsTaken = 0;
    service.freeSlots = mUpstreams.FreeEngineSlots(id, mTimers.Now());
    service.remoteInFlight = mUpstreams.RemoteInFlight(id);
  }
}

double PlacementScheduler::FreeSlotAllowance(const ServiceState& aService,
                                             const DemandSummary& aCrowd) const
{
  // Shared by what waits. One that asks is in no line now.
  const double own = static_cast<double>(aService.queue.Size()) + 1;
  const double others = std::max(0.0, aCrowd.total - aCrowd.local - aService.remoteInFlight);
  const double share = own / (own + others);
  return aService.slotCredit + aService.freeSlots * mSettings.freeSlotRatioPerRound * share;
}

PlacementScheduler::DemandSummary PlacementScheduler::ComputeDemand(const core::ServiceId& aId,
                                                                    const ServiceState& aService,
                                                                    TierRank aRank) const
{
  DemandSummary crowd;
  const auto count = [&](TierRank aOf, double aRequests) {
    crowd.total += aRequests;
    crowd.moreUrgent += aOf < aRank ? aRequests : 0;
    crowd.sameRank += aOf == aRank ? aRequests : 0;
  };
  for (const auto& [rank, state] : aService.ranks) {
    const double wanted = DemandOf(aService, rank, state);
    count(rank, wanted);
    crowd.local += wanted;
    crowd.localSameRank += rank == aRank ? wanted : 0;
    crowd.suitableSlots = std::max(crowd.suitableSlots, state.suitableSlots);
    crowd.moreUrgentSlots =
      rank < aRank ? std::max(crowd.moreUrgentSlots, state.suitableSlots) : crowd.moreUrgentSlots;
  }
  const auto first = mRemoteDemand.lower_bound({ aId, 0 });
  for (auto it = first; it != mRemoteDemand.end() && it->first.first == aId; ++it) {
    count(it->first.second, it->second);
  }
  return crowd;
}

bool PlacementScheduler::IsContended(const DemandSummary& aCrowd) const
{
  return !mRemoteDemand.empty() &&
         aCrowd.total > aCrowd.suitableSlots * mSettings.contentionThreshold;
}

UpstreamEntry* PlacementScheduler::ChooseUpstream(const RequestState& aState,
                                                  ServiceState& aService, Urgency aPressure)
{
  const RequestSpec& spec = aState.spec;
  const core::Instant now = mTimers.Now();
  const core::VersionId version = mVersions.Choose(spec.service, spec.route, aState.samplePoint);
  const auto choose = [&](Urgency aHow, UpstreamTable::SlotFilter aFree) {
    return mUpstreams.Choose(spec, version, aHow, aFree, now);
  };
  if (!spec.needsEngine) {
    return choose(aPressure, UpstreamTable::SlotFilter::Any);
  }
  UpdateSuitableSlots(aService);
  const DemandSummary crowd = ComputeDemand(spec.service, aService, spec.tier);
  if (!spec.resumed && !IsWithinShare(aState, aService.ranks.at(spec.tier), crowd)) {
    return nullptr;
  }
  if (!IsContended(crowd)) {
    return choose(aPressure, UpstreamTable::SlotFilter::Any);
  }
  // The places are shared out by rank: none is kept back for the more urgent besides. Those that
  // are late get what is spare.
  const Urgency pressure = aPressure == Urgency::Late ? Urgency::Late : Urgency::Top;
  if (UpstreamEntry* own = choose(pressure, UpstreamTable::SlotFilter::LocallyFreed)) {
    return own;
  }
  if (aService.slotsTaken + 1 > FreeSlotAllowance(aService, crowd) && !spec.resumed) {
    return nullptr;
  }
  UpstreamEntry* entry = choose(pressure, UpstreamTable::SlotFilter::Any);
  if (entry) {
    aService.slotsTaken += 1;
  }
  return entry;
}

bool PlacementScheduler::TryDispatch(RequestState& aState, ServiceState& aService,
                                     Urgency aPressure)
{
  const RequestSpec& spec = aState.spec;
  const core::Instant now = mTimers.Now();
  UpstreamEntry* entry = ChooseUpstream(aState, aService, aPressure);
  if (!entry) {
    return false;
  }
  if (aState.attempts == 0) {
    aService.retryBudget.RecordFirstAttempt();
  }
  ++aState.attempts;
  ++aService.ranks[spec.tier].inFlight;
  aState.isQueued = false;
  aState.hasFirstEvent = false;
  aState.upstream = entry->upstream.id;
  aState.dispatchedAt = now;
  aState.predictedFirstEventLatency = mUpstreams.PredictNominalFirstEventLatency(*entry, spec);
  mUpstreams.RecordDispatch(*entry, spec, now);
  const core::RequestId id = spec.id;
  const UpstreamAnnouncement upstream = entry->upstream;
  mListener.OnDispatch(id, upstream);
  return true;
}

void PlacementScheduler::Withdraw(const core::RequestId& aRequest)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end()) {
    return;
  }
  GetOrCreateService(it->second.spec.service).queue.Remove(aRequest);
  mRequests.erase(it);
}

void PlacementScheduler::OnFirstToken(const core::RequestId& aRequest)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end() || it->second.isQueued || it->second.hasFirstEvent) {
    return;
  }
  RequestState& state = it->second;
  UpstreamEntry* entry = mUpstreams.Find(state.upstream);
  if (!entry) {
    return;
  }
  state.hasFirstEvent = true;
  const core::Instant now = mTimers.Now();
  mUpstreams.RecordFirstEvent(*entry, state.spec, now - state.dispatchedAt,
                              state.predictedFirstEventLatency, now);
  ServiceState& service = GetOrCreateService(state.spec.service);
  const auto idle =
    static_cast<double>(mUpstreams.PredictIdleFirstEventLatency(state.spec).count());
  const double factor =
    static_cast<double>((now - state.dispatchedAt).count()) / std::max(1.0, idle);
  service.loadFactor += mSettings.loadLearningRate *
                        (std::clamp(factor, 1.0, mSettings.maxLoadFactor) - service.loadFactor);
}

void PlacementScheduler::OnToken(const core::RequestId& aRequest)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end()) {
    return;
  }
  if (UpstreamEntry* entry = mUpstreams.Find(it->second.upstream)) {
    mUpstreams.RecordActivity(*entry, mTimers.Now());
  }
}

void PlacementScheduler::OnAttemptEnded(const core::RequestId& aRequest, AttemptOutcome aOutcome)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end()) {
    return;
  }
  RequestState& state = it->second;
  const core::ServiceId service = state.spec.service;
  RankState& rank = GetOrCreateService(service).ranks[state.spec.tier];
  if (rank.inFlight > 0) {
    --rank.inFlight;
  }
  if (aOutcome == AttemptOutcome::Succeeded) {
    const core::Duration held = mTimers.Now() - state.dispatchedAt;
    rank.meanSlotTime =
      rank.meanSlotTime.count() == 0
        ? held
        : rank.meanSlotTime + core::Scaled(held - rank.meanSlotTime, mSettings.rankLearningRate);
  }
  if (UpstreamEntry* entry = mUpstreams.Find(state.upstream)) {
    mUpstreams.RecordAttemptEnd(*entry, state.spec, aOutcome, state.hasFirstEvent, mTimers.Now());
  }
  if (!HasNotRun(aOutcome)) {
    mRequests.erase(it);
  } else if (GetOrCreateService(service).retryBudget.TryTakeRetry(state.attempts)) {
    state.spec.avoidUpstream = state.upstream;
    Enqueue(state);
  } else {
    Shed(aRequest, ShedReason::Overload);
  }
  DispatchQueued(service);
}

bool PlacementScheduler::TakeRetry(const core::ServiceId& aService, std::uint32_t aTries)
{
  return GetOrCreateService(aService).retryBudget.TryTakeRetry(aTries);
}

void PlacementScheduler::RecordTokenInterval(const core::UpstreamId& aUpstream, double aTokenMs)
{
  if (UpstreamEntry* entry = mUpstreams.Find(aUpstream)) {
    mUpstreams.RecordTokenInterval(*entry, aTokenMs, mTimers.Now());
  }
}

void PlacementScheduler::AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream)
{
  mUpstreams.AddOrUpdateUpstream(aUpstream);
  DispatchQueued(aUpstream.service);
}

void PlacementScheduler::RemoveUpstream(const core::UpstreamId& aUpstream)
{
  mUpstreams.RemoveUpstream(aUpstream);
}

void PlacementScheduler::OnLoadReport(const LoadReport& aReport)
{
  mUpstreams.SetReportedLoad(aReport.id, aReport.running + aReport.waiting, mTimers.Now());
}

void PlacementScheduler::Shed(const core::RequestId& aId, ShedReason aReason)
{
  const auto it = mRequests.find(aId);
  const RequestState state = std::move(it->second);
  mRequests.erase(it);
  ServiceState& service = GetOrCreateService(state.spec.service);
  service.queue.Remove(aId);
  const core::VersionId version =
    mVersions.Choose(state.spec.service, state.spec.route, state.samplePoint);
  const bool any = mUpstreams.HasUpstream(state.spec.service, version);
  mListener.OnShed(aId, any ? aReason : ShedReason::NoUpstream, ComputeRetryAfter(state.spec));
}

std::size_t PlacementScheduler::QueueSize() const
{
  std::size_t n = 0;
  for (const auto& [id, service] : mServices) {
    n += service.queue.Size();
  }
  return n;
}

void PlacementScheduler::Tick()
{
  for (auto& [id, service] : mServices) {
    if (service.queue.Size() == 0) {
      continue;
    }
    DispatchQueued(id);
    service.queue.RemoveExpired(mTimers.Now(), [this](const placement::QueuedRequest& aWaiting) {
      Shed(aWaiting.id, ShedReason::Overload);
    });
  }
}

} // namespace cuminfield::request::placement
