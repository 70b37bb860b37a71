#include "cuminfield/request/placement/PlacementScheduler.h"

#include <algorithm>
#include <utility>

namespace cuminfield::request::placement {

namespace {

/// The sample point of the requests that a version move moves last.
constexpr double kLastSamplePoint = 0.999999;

} // namespace

PlacementScheduler::PlacementScheduler(const PlacementSchedulerOptions& aOptions)
  : mSettings(aOptions.settings)
  , mTimers(aOptions.timers)
  , mRandom(aOptions.random)
  , mListener(aOptions.listener)
  , mVersions(aOptions.versions)
  , mRegions(aOptions.regions)
  , mUpstreams(aOptions.settings.upstreamTable, aOptions.dataCentre, aOptions.random)
{
  mTickTimer = mTimers.ScheduleEvery(mSettings.tickInterval, [this] { Tick(); });
}

PlacementScheduler::ServiceState& PlacementScheduler::GetOrCreateService(const core::ServiceId& aId)
{
  const auto [it, isNew] = mServices.try_emplace(aId, mSettings);
  if (isNew) {
    it->second.isTight = mTightServices.contains(aId);
    it->second.queue.SetFairOrder(it->second.isTight);
  }
  return it->second;
}

void PlacementScheduler::SetTightServices(std::set<core::ServiceId> aServices)
{
  mTightServices = std::move(aServices);
  for (auto& [id, service] : mServices) {
    service.isTight = mTightServices.contains(id);
    service.queue.SetFairOrder(service.isTight);
  }
}

const PlacementScheduler::ServiceState* PlacementScheduler::FindTightService(
  const core::ServiceId& aId) const
{
  const auto it = mServices.find(aId);
  return it != mServices.end() && it->second.isTight ? &it->second : nullptr;
}

RequestTimes PlacementScheduler::TimesOf(const RequestSpec& aSpec,
                                         const ServiceState& aService) const
{
  const auto rank = aService.ranks.find(aSpec.tier);
  return { .target = aSpec.firstTokenTarget,
           .deadline = aSpec.deadline - aSpec.arrival,
           .serviceTime =
             rank == aService.ranks.end() ? core::Duration::zero() : rank->second.meanSlotTime };
}

core::Duration PlacementScheduler::MaxWait(const RequestSpec& aSpec) const
{
  if (const ServiceState* service = FindTightService(aSpec.service)) {
    return service->waitPolicy.MaxWait(TimesOf(aSpec, *service));
  }
  const core::Duration total = aSpec.deadline - aSpec.arrival;
  return std::min(core::Scaled(aSpec.firstTokenTarget, 1 + mSettings.extraWaitFactor), total);
}

core::Duration PlacementScheduler::PredictWait(const ServiceState& aService, TierRank aRank)
{
  // Slots freed per second by this host's requests of this or more urgent ranks.
  double slotsPerSecond = 0;
  for (const auto& [rank, state] : aService.ranks) {
    if (rank <= aRank && state.meanSlotTime.count() > 0) {
      slotsPerSecond += std::max(1U, state.inFlight) / core::Seconds(state.meanSlotTime);
    }
  }
  const auto requestsAhead = static_cast<double>(aService.queue.CountAhead(aRank));
  return slotsPerSecond > 0 ? core::FromSeconds(requestsAhead / slotsPerSecond)
                            : core::Duration::zero();
}

void PlacementScheduler::UpdateTypicalRequest(RankState& aRank, const RequestSpec& aSpec) const
{
  RequestSpec& typical = aRank.typicalRequest;
  if (typical.service != aSpec.service) {
    typical = aSpec;
    return;
  }
  const auto updateMean = [this](core::Tokens& aMean, core::Tokens aNew) {
    const double change = mSettings.rankLearningRate * static_cast<double>((aNew - aMean).value);
    aMean += core::Tokens{ static_cast<std::int64_t>(change) };
  };
  updateMean(typical.promptTokens, aSpec.promptTokens);
  updateMean(typical.maxOutputTokens, aSpec.maxOutputTokens);
  typical.arrival = aSpec.arrival;
  typical.deadline = aSpec.deadline;
  typical.tokenGapTarget = aSpec.tokenGapTarget;
  typical.tokensPerEvent = aSpec.tokensPerEvent;
  typical.needsEngine = aSpec.needsEngine;
}

void PlacementScheduler::UpdateRankRegions(RankState& aRank, const RequestSpec& aSpec) const
{
  if (const core::RegionSet* regions = RegionsOf(aSpec)) {
    aRank.regions.Add(*regions);
  } else {
    aRank.hasUnrestricted = true;
  }
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
    const bool isRestricted = !state.hasUnrestricted && !state.regions.IsEmpty();
    state.suitableSlots =
      mUpstreams.SuitableEngineSlots(typical, now, isRestricted ? &state.regions : nullptr);
    state.slotsCountedAt = now;
  }
}

std::uint32_t PlacementScheduler::DemandOf(const ServiceState& aService, TierRank aRank,
                                           const RankState& aState)
{
  return aState.inFlight + static_cast<std::uint32_t>(aService.queue.CountOfRank(aRank));
}

core::Duration PlacementScheduler::ComputeRetryAfter(const RequestSpec& aSpec,
                                                     const ServiceState& aService)
{
  const core::Duration remaining = std::max(aSpec.deadline - mTimers.Now(), core::Duration::zero());
  if (aService.isTight) {
    return aService.waitPolicy.RetryAfter(aSpec.tier, remaining, mRandom.Uniform());
  }
  const core::Duration maxDelay = core::Scaled(remaining, mSettings.retryAfterShare);
  const double minRatio = mSettings.minRetryAfterRatio;
  // Randomized, so that callers that were shed together don't retry together.
  const core::Duration delay =
    core::Scaled(maxDelay, minRatio + (1 - minRatio) * mRandom.Uniform());
  return std::clamp(delay, std::min(mSettings.minRetryAfter, maxDelay), mSettings.maxRetryAfter);
}

void PlacementScheduler::Submit(RequestSpec aSpec)
{
  const core::RequestId id = aSpec.id;
  RequestState& state = mRequests[id];
  state = RequestState();
  state.spec = std::move(aSpec);
  state.samplePoint = mRandom.Uniform();
  ServiceState& service = GetOrCreateService(state.spec.service);
  if (mQuarantine.IsQuarantined(state.spec)) {
    Shed(id, ShedReason::Quarantined);
    return;
  }
  UpdateTypicalRequest(service.ranks[state.spec.tier], state.spec);
  UpdateRankRegions(service.ranks[state.spec.tier], state.spec);
  if (const auto reason = WhyUnservable(state)) {
    Shed(id, *reason);
    return;
  }
  if (!state.spec.resumed && WaitsTooLong(state, service)) {
    RejectForWait(id, WaitRejectionCause::Predicted);
    return;
  }
  if (WaitsInVain(state)) {
    Shed(id, ShedReason::Overload);
    return;
  }
  const core::ServiceId serviceId = state.spec.service;
  Enqueue(state);
  DispatchQueued(serviceId);
}

bool PlacementScheduler::WaitsTooLong(const RequestState& aState,
                                      const ServiceState& aService) const
{
  const RequestSpec& spec = aState.spec;
  if (aService.isTight) {
    return core::Scaled(aService.waitPolicy.PredictWait(spec.tier),
                        aService.queue.PartUpTo(spec.tier, spec.workspace)) > MaxWait(spec);
  }
  return aService.queue.CountAhead(spec.tier) >= mSettings.minQueueForPrediction &&
         PredictWait(aService, spec.tier) > MaxWait(spec);
}

void PlacementScheduler::RejectForWait(const core::RequestId& aId, WaitRejectionCause aCause)
{
  const RequestSpec spec = mRequests.at(aId).spec;
  const ServiceState& service = GetOrCreateService(spec.service);
  WaitRejection rejection{ .cause = aCause,
                           .predictedWait = service.waitPolicy.PredictWait(spec.tier),
                           .maxWait = MaxWait(spec),
                           .waited = mTimers.Now() - spec.arrival,
                           .waiting = service.waitPolicy.WaitingUpTo(spec.tier) };
  rejection.retryAfter = Shed(aId, ShedReason::Overload);
  if (service.isTight) {
    mOnWaitRejected(spec, rejection);
  }
}

void PlacementScheduler::UpdateFloors(ServiceState& aService)
{
  const core::Duration elapsed =
    mTimers.Now() - std::exchange(aService.floorsUpdatedAt, mTimers.Now());
  for (auto& [rank, state] : aService.ranks) {
    const auto waiting = static_cast<double>(aService.queue.CountOfRank(rank));
    const double earned = aService.waitPolicy.FloorEarnedPerSecond(rank) *
                          aService.waitPolicy.LocalShare(rank, waiting) * core::Seconds(elapsed);
    state.floorCredit = std::min(state.floorCredit + earned, mSettings.maxFloorCredit);
  }
}

void PlacementScheduler::DispatchFloors(ServiceState& aService)
{
  for (auto& it : aService.ranks) {
    const TierRank rank = it.first;
    RankState& state = it.second;
    if (state.floorCredit < 1) {
      continue;
    }
    aService.queue.ServeRank(rank, mTimers.Now(), [&](const placement::QueuedRequest& aQueued) {
      const auto request = mRequests.find(aQueued.id);
      const bool isPlaced =
        state.floorCredit >= 1 &&
        TryDispatch(request->second, aService, UrgencyOf(aQueued, mTimers.Now()), SlotShare::Floor);
      aService.floorPlacements[rank] += isPlaced ? 1 : 0;
      return isPlaced;
    });
  }
}

std::map<std::pair<core::ServiceId, TierRank>, std::uint64_t> PlacementScheduler::FloorPlacements()
  const
{
  std::map<std::pair<core::ServiceId, TierRank>, std::uint64_t> placements;
  for (const auto& [id, service] : mServices) {
    for (const auto& [rank, n] : service.floorPlacements) {
      placements[{ id, rank }] = n;
    }
  }
  return placements;
}

void PlacementScheduler::RejectLate(ServiceState& aService)
{
  std::vector<core::RequestId> rejected;
  aService.queue.VisitLate(mTimers.Now(), [&](const placement::QueuedRequest& aQueued) {
    const RequestState& state = mRequests.at(aQueued.id);
    const core::Duration wait = aService.waitPolicy.PredictWait(state.spec.tier);
    const bool blocksOnTimeWork =
      aService.queue.OnTimeCount() > 0 && wait > aQueued.expiresAt - mTimers.Now();
    const bool waitsInVain = wait > state.spec.deadline - mTimers.Now();
    if (!state.spec.resumed && (waitsInVain || blocksOnTimeWork)) {
      rejected.push_back(aQueued.id);
    }
  });
  for (const core::RequestId& it : rejected) {
    // The listener may have withdrawn further requests.
    if (mRequests.contains(it)) {
      RejectForWait(it, WaitRejectionCause::Late);
    }
  }
}

void PlacementScheduler::Enqueue(RequestState& aState)
{
  const RequestSpec& spec = aState.spec;
  aState.isQueued = true;
  aState.hasFirstEvent = false;
  aState.hasBegun = false;
  placement::QueuedRequest queued{
    .id = spec.id,
    .rank = spec.tier,
    .isTopPriority = spec.tier <= GetOrCreateService(spec.service).ranks.begin()->first,
    .arrival = spec.arrival,
    .latestOnTimeDispatch = spec.arrival + spec.firstTokenTarget -
                            core::Scaled(mUpstreams.PredictIdleFirstEventLatency(spec),
                                         GetOrCreateService(spec.service).loadFactor),
    .expiresAt = QueueExpiryOf(spec),
    .workspace = spec.workspace,
    .cost = ServiceCost(spec)
  };
  if (spec.resumed) {
    // Its caller is already reading: goes ahead of all requests that haven't started.
    queued.rank = 0;
    queued.isTopPriority = true;
    queued.latestOnTimeDispatch = spec.deadline;
  }
  GetOrCreateService(spec.service).queue.Add(queued);
}

double PlacementScheduler::ServiceCost(const RequestSpec& aSpec) const
{
  const UpstreamTableSettings& speed = mSettings.upstreamTable;
  const double milliseconds =
    core::Milliseconds(mUpstreams.PredictIdleFirstEventLatency(aSpec)) +
    static_cast<double>(aSpec.maxOutputTokens.value) * speed.tokenIntervalMs;
  return milliseconds / std::max(1U, aSpec.weight);
}

core::Instant PlacementScheduler::QueueExpiryOf(const RequestSpec& aSpec) const
{
  return aSpec.resumed ? aSpec.deadline : aSpec.arrival + MaxWait(aSpec);
}

const core::RegionSet* PlacementScheduler::RegionsOf(const RequestSpec& aSpec) const
{
  return mRegions ? mRegions->AllowedRegions(aSpec) : nullptr;
}

core::VersionId PlacementScheduler::VersionOf(const RequestState& aState) const
{
  const RequestSpec& spec = aState.spec;
  core::VersionId version = mVersions.Choose(spec.service, spec.route, aState.samplePoint);
  const core::RegionSet* regions = RegionsOf(spec);
  const bool isRestricted = regions || !mUpstreams.Evacuated().empty();
  if (!isRestricted || mUpstreams.HasUpstream(spec.service, version, regions)) {
    return version;
  }
  // A new version may not have upstreams in every region yet, or only in an evacuated data centre:
  // its part of the requests goes to the version that serves the others, as long as a move leaves
  // it requests.
  return mVersions.Choose(spec.service, spec.route, kLastSamplePoint);
}

std::optional<ShedReason> PlacementScheduler::WhyUnservable(const RequestState& aState) const
{
  const core::RegionSet* regions = RegionsOf(aState.spec);
  if (!regions && mUpstreams.Evacuated().empty()) {
    return std::nullopt;
  }
  const core::VersionId version = VersionOf(aState);
  if (mUpstreams.HasUpstream(aState.spec.service, version, regions)) {
    return std::nullopt;
  }
  if (mUpstreams.HasUpstream(aState.spec.service, version, regions, true)) {
    return ShedReason::Evacuated;
  }
  return regions ? std::optional(ShedReason::NoUpstreamInRegions) : std::nullopt;
}

void PlacementScheduler::SetEvacuated(std::set<core::DataCentreId> aDataCentres)
{
  if (aDataCentres == mUpstreams.Evacuated()) {
    return;
  }
  const std::vector<UpstreamAnnouncement> released =
    mUpstreams.SetEvacuated(std::move(aDataCentres));
  for (const UpstreamAnnouncement& it : released) {
    mOnEvacuationEnded.emit(it);
  }
  ShedUnservable();
  for (auto& [id, service] : mServices) {
    for (auto& [rank, state] : service.ranks) {
      state.slotsCountedAt = {}; // Counted anew with the next request.
    }
    if (service.queue.Size() > 0) {
      DispatchQueued(id);
    }
  }
}

bool PlacementScheduler::MayServe(const RequestSpec& aSpec,
                                  const UpstreamAnnouncement& aUpstream) const
{
  const core::RegionSet* regions = RegionsOf(aSpec);
  return !regions || regions->Contains(aUpstream.region);
}

void PlacementScheduler::OnRegionsChanged()
{
  for (auto& [id, service] : mServices) {
    for (auto& [rank, state] : service.ranks) {
      state.regions = core::RegionSet();
      state.hasUnrestricted = false;
    }
  }
  ShedUnservable();
}

bool PlacementScheduler::WaitsInVain(const RequestState& aState) const
{
  const auto quietEnd = mUpstreams.EarliestQuietEnd(aState.spec.service, VersionOf(aState),
                                                    mTimers.Now(), RegionsOf(aState.spec));
  return quietEnd && *quietEnd >= QueueExpiryOf(aState.spec);
}

void PlacementScheduler::DispatchQueued(const core::ServiceId& aId)
{
  ServiceState& service = GetOrCreateService(aId);
  if (service.isTight) {
    DispatchFloors(service);
  }
  // A request that finds no slot doesn't block those behind it that need less.
  service.queue.ServeInOrder(mTimers.Now(), [&](const placement::QueuedRequest& aQueued) {
    const auto it = mRequests.find(aQueued.id);
    return TryDispatch(it->second, service, UrgencyOf(aQueued, mTimers.Now()));
  });
}

Urgency PlacementScheduler::UrgencyOf(const placement::QueuedRequest& aQueued, core::Instant aNow)
{
  if (aQueued.latestOnTimeDispatch <= aNow) {
    return Urgency::Late;
  }
  return aQueued.isTopPriority ? Urgency::Top : Urgency::Normal;
}

PlacementScheduler::RequestsByRank PlacementScheduler::LocalDemand() const
{
  RequestsByRank demand;
  for (const auto& [id, service] : mServices) {
    for (const auto& [rank, state] : service.ranks) {
      demand[{ id, rank }] = DemandOf(service, rank, state);
    }
  }
  return demand;
}

RankLoad PlacementScheduler::LoadOf(const ServiceState& aService, TierRank aRank,
                                    const RankState& aState) const
{
  return { .requests = static_cast<double>(DemandOf(aService, aRank, aState)),
           .waiting = static_cast<double>(aService.queue.CountOfRank(aRank)),
           .donePerSecond = aState.ended.PerSecond(mTimers.Now()) };
}

PlacementScheduler::LoadByRank PlacementScheduler::LocalLoad() const
{
  LoadByRank load;
  for (const auto& [id, service] : mServices) {
    if (!service.isTight) {
      continue;
    }
    for (const auto& [rank, state] : service.ranks) {
      load[{ id, rank }] = LoadOf(service, rank, state);
    }
  }
  return load;
}

bool PlacementScheduler::IsWithinShare(const RequestState& aState, const RankState& aRank,
                                       const DemandSummary& aDemand) const
{
  if (aRank.suitableSlots == 0) {
    return true; // Silent or unreachable upstreams may be probed.
  }
  // Ranks of which this host has had no request may use any slot.
  const double urgentSlots =
    aDemand.moreUrgentSlots == 0 ? aRank.suitableSlots : aDemand.moreUrgentSlots;
  const double available = std::max({ aDemand.suitableSlots * mSettings.sharedSlotRatio -
                                        aDemand.moreUrgent, // Left by more urgent ranks,
                                      aRank.suitableSlots - urgentSlots, // or unsuitable for them.
                                      aRank.suitableSlots * mSettings.minRankShare });
  // The request itself isn't in the queue now.
  const double rankDemand = aDemand.sameRank + 1;
  if (rankDemand <= available) {
    return true;
  }
  // A fractional slot is granted to that fraction of the requests.
  return aRank.inFlight + aState.samplePoint < available * (aDemand.localSameRank + 1) / rankDemand;
}

void PlacementScheduler::SetRemoteLoad(LoadByRank aRemoteLoad)
{
  mRemoteLoad = std::move(aRemoteLoad);
  mRemoteLoadAt = mTimers.Now();
}

void PlacementScheduler::UpdateWaitPolicy(const core::ServiceId& aId, ServiceState& aService)
{
  std::map<TierRank, RankLoad> load;
  const auto add = [&](TierRank aRank, const RankLoad& aLoad) {
    load[aRank].requests += aLoad.requests;
    load[aRank].waiting += aLoad.waiting;
    load[aRank].donePerSecond += aLoad.donePerSecond;
  };
  for (const auto& [rank, state] : aService.ranks) {
    add(rank, LoadOf(aService, rank, state));
  }
  if (mTimers.Now() - mRemoteLoadAt <= mSettings.maxLoadAge) {
    const auto first = mRemoteLoad.lower_bound({ aId, 0 });
    for (auto it = first; it != mRemoteLoad.end() && it->first.first == aId; ++it) {
      add(it->first.second, it->second);
    }
  }
  aService.waitPolicy.SetLoad(load, aService.freeSlots, mTimers.Now());
}

std::map<core::ServiceId, const WaitPolicy*> PlacementScheduler::WaitPolicies() const
{
  std::map<core::ServiceId, const WaitPolicy*> policies;
  for (const auto& [id, service] : mServices) {
    if (service.isTight) {
      policies[id] = &service.waitPolicy;
    }
  }
  return policies;
}

void PlacementScheduler::SetRemoteDemand(RequestsByRank aRemoteDemand)
{
  mRemoteDemand = std::move(aRemoteDemand);
  for (auto& [id, service] : mServices) {
    // Fractions of a slot accumulate over the rounds, but unused complete slots expire.
    const double allowance = FreeSlotAllowance(service, ComputeDemand(id, service, 0));
    service.slotCredit = std::clamp(allowance - service.slotsTaken, 0.0, 1.0);
    service.slotsTaken = 0;
    const UpstreamTable::PlainRoom plain = mUpstreams.FindPlainRoom(id, mTimers.Now());
    service.plainLimit = plain.limit;
    service.freeSlots = mUpstreams.FreeEngineSlots(id, mTimers.Now()) + plain.free;
    service.remoteInFlight = mUpstreams.RemoteInFlight(id);
  }
}

double PlacementScheduler::FreeSlotAllowance(const ServiceState& aService,
                                             const DemandSummary& aDemand) const
{
  // Shared in proportion to the backlogs. The request itself isn't in the queue now.
  const double localBacklog = static_cast<double>(aService.queue.Size()) + 1;
  const double remoteBacklog =
    std::max(0.0, aDemand.total - aDemand.local - aService.remoteInFlight);
  const double share = localBacklog / (localBacklog + remoteBacklog);
  return aService.slotCredit + aService.freeSlots * mSettings.freeSlotRatioPerRound * share;
}

PlacementScheduler::DemandSummary PlacementScheduler::ComputeDemand(const core::ServiceId& aId,
                                                                    const ServiceState& aService,
                                                                    TierRank aRank) const
{
  DemandSummary demand;
  const auto count = [&](TierRank aOf, double aRequests) {
    demand.total += aRequests;
    demand.moreUrgent += aOf < aRank ? aRequests : 0;
    demand.sameRank += aOf == aRank ? aRequests : 0;
  };
  for (const auto& [rank, state] : aService.ranks) {
    const double requests = DemandOf(aService, rank, state);
    count(rank, requests);
    demand.local += requests;
    demand.localSameRank += rank == aRank ? requests : 0;
    demand.suitableSlots = std::max(demand.suitableSlots, state.suitableSlots);
    demand.moreUrgentSlots =
      rank < aRank ? std::max(demand.moreUrgentSlots, state.suitableSlots) : demand.moreUrgentSlots;
  }
  const auto first = mRemoteDemand.lower_bound({ aId, 0 });
  for (auto it = first; it != mRemoteDemand.end() && it->first.first == aId; ++it) {
    count(it->first.second, it->second);
  }
  return demand;
}

bool PlacementScheduler::IsContended(const DemandSummary& aDemand) const
{
  // Without a usable engine there is nothing to share, and a request that probes one must be sent.
  return !mRemoteDemand.empty() && aDemand.suitableSlots > 0 &&
         aDemand.total > aDemand.suitableSlots * mSettings.contentionThreshold;
}

UpstreamEntry* PlacementScheduler::ChooseUpstream(const RequestState& aState,
                                                  ServiceState& aService, Urgency aUrgency,
                                                  SlotShare aShare)
{
  const RequestSpec& spec = aState.spec;
  const core::Instant now = mTimers.Now();
  const core::VersionId version = VersionOf(aState);
  const core::RegionSet* regions = RegionsOf(spec);
  const auto choose = [&](Urgency aChosenUrgency, UpstreamTable::SlotFilter aSlotFilter) {
    return mUpstreams.Choose(spec, version, aChosenUrgency, aSlotFilter, now, regions);
  };
  constexpr auto any = UpstreamTable::SlotFilter::Any;
  if (!spec.needsEngine) {
    return IsWithinPlainShare(aState, aService) ? TakeFreeSlot(aService, choose(aUrgency, any))
                                                : nullptr;
  }
  UpdateSuitableSlots(aService);
  const DemandSummary demand = ComputeDemand(spec.service, aService, spec.tier);
  const bool usesFloor = aShare == SlotShare::Floor;
  if (!spec.resumed && !usesFloor && !IsWithinShare(aState, aService.ranks.at(spec.tier), demand)) {
    return nullptr;
  }
  if (!IsContended(demand)) {
    return choose(aUrgency, any);
  }
  // Slots are already shared by rank, so none are reserved for more urgent requests. Late requests
  // get only spare slots.
  const Urgency urgency = aUrgency == Urgency::Late ? Urgency::Late : Urgency::Top;
  if (UpstreamEntry* freed = choose(urgency, UpstreamTable::SlotFilter::LocallyFreed)) {
    return freed;
  }
  if (aService.slotsTaken + 1 > FreeSlotAllowance(aService, demand) && !spec.resumed) {
    return nullptr;
  }
  return TakeFreeSlot(aService, choose(urgency, any));
}

UpstreamEntry* PlacementScheduler::TakeFreeSlot(ServiceState& aService, UpstreamEntry* aEntry)
{
  aService.slotsTaken += aEntry ? 1 : 0;
  return aEntry;
}

bool PlacementScheduler::IsWithinPlainShare(const RequestState& aState,
                                            const ServiceState& aService) const
{
  if (aService.plainLimit == 0 || mRemoteDemand.empty() || aState.spec.resumed) {
    return true;
  }
  const DemandSummary demand = ComputeDemand(aState.spec.service, aService, aState.spec.tier);
  return demand.total <= aService.plainLimit * mSettings.contentionThreshold ||
         aService.slotsTaken + 1 <= FreeSlotAllowance(aService, demand);
}

bool PlacementScheduler::TryDispatch(RequestState& aState, ServiceState& aService, Urgency aUrgency,
                                     SlotShare aShare)
{
  const RequestSpec& spec = aState.spec;
  UpstreamEntry* entry = ChooseUpstream(aState, aService, aUrgency, aShare);
  if (!entry) {
    return false;
  }
  // Read after the choice: what holds for an upstream then, such as the end of its cold time, must
  // not be undone by an earlier time.
  const core::Instant now = mTimers.Now();
  if (aState.attempts == 0) {
    aService.retryBudget.RecordFirstAttempt();
  }
  ++aState.attempts;
  RankState& rank = aService.ranks[spec.tier];
  ++rank.inFlight;
  rank.floorCredit = std::max(0.0, rank.floorCredit - 1);
  aState.isQueued = false;
  aState.hasFirstEvent = false;
  aState.hasBegun = false;
  aState.upstream = entry->upstream.id;
  aState.incarnation = entry->upstream.incarnation;
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
  RecordStart(it->second);
  if (UpstreamEntry* entry = mUpstreams.Find(it->second.upstream)) {
    mUpstreams.RecordActivity(*entry, mTimers.Now());
  }
}

void PlacementScheduler::RecordStart(RequestState& aState)
{
  if (!std::exchange(aState.hasBegun, true)) {
    mQuarantine.RecordStart(aState.spec);
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
  if (!HasNotRun(aOutcome)) {
    rank.ended.Record(mTimers.Now());
  }
  if (aOutcome == AttemptOutcome::Succeeded) {
    RecordStart(state);
    const core::Duration slotTime = mTimers.Now() - state.dispatchedAt;
    rank.meanSlotTime = rank.meanSlotTime.count() == 0
                          ? slotTime
                          : rank.meanSlotTime + core::Scaled(slotTime - rank.meanSlotTime,
                                                             mSettings.rankLearningRate);
  }
  if (UpstreamEntry* entry = mUpstreams.Find(state.upstream)) {
    mUpstreams.RecordAttemptEnd(*entry, state.spec, aOutcome, state.hasFirstEvent, mTimers.Now());
  }
  // A request that began at another upstream before is not the cause.
  if (aOutcome == AttemptOutcome::BrokenOff && !state.hasBegun && !state.spec.resumed) {
    mQuarantine.RecordBreakOff(
      state.spec,
      { .service = service, .upstream = state.upstream, .incarnation = state.incarnation },
      state.dispatchedAt);
  }
  if (!HasNotRun(aOutcome)) {
    mRequests.erase(it);
  } else if (mQuarantine.IsQuarantined(state.spec)) {
    Shed(aRequest, ShedReason::Quarantined);
  } else if (const auto reason = WhyUnservable(state)) {
    Shed(aRequest, *reason);
  } else if (!WaitsInVain(state) &&
             GetOrCreateService(service).retryBudget.TryTakeRetry(state.attempts)) {
    state.spec.avoidUpstream = state.upstream;
    Enqueue(state);
  } else {
    Shed(aRequest, ShedReason::Overload);
  }
  DispatchQueued(service);
}

bool PlacementScheduler::UpdateQuarantine(quarantine::QuarantineTable::State aState)
{
  if (!mQuarantine.Update(std::move(aState), mTimers.Now())) {
    return false;
  }
  ShedQueued(ShedReason::Quarantined, [this](const RequestState& aQueued) {
    return mQuarantine.IsQuarantined(aQueued.spec);
  });
  return true;
}

template<typename Predicate>
void PlacementScheduler::ShedQueued(ShedReason aReason, const Predicate& aPredicate)
{
  std::vector<core::RequestId> shed;
  for (const auto& [id, state] : mRequests) {
    if (state.isQueued && aPredicate(state)) {
      shed.push_back(id);
    }
  }
  for (const core::RequestId& it : shed) {
    Shed(it, aReason);
  }
}

void PlacementScheduler::ShedUnservable()
{
  std::vector<std::pair<core::RequestId, ShedReason>> shed;
  for (const auto& [id, state] : mRequests) {
    if (const auto reason = state.isQueued ? WhyUnservable(state) : std::nullopt) {
      shed.emplace_back(id, *reason);
    }
  }
  for (const auto& [id, reason] : shed) {
    Shed(id, reason);
  }
}

bool PlacementScheduler::OnUpstreamNotice(const UpstreamAnnouncement& aUpstream,
                                          const UpstreamNotice& aNotice)
{
  const bool isNews =
    mUpstreams.RecordNotice(aUpstream.id, aUpstream.incarnation, aNotice, mTimers.Now());
  if (isNews && aNotice.retryAfter) {
    ShedQueued(ShedReason::Overload,
               [this](const RequestState& aQueued) { return WaitsInVain(aQueued); });
  }
  if (isNews && aNotice.isLeaving) {
    RecheckQueued();
  }
  return isNews;
}

void PlacementScheduler::OnColdTime(const UpstreamAnnouncement& aUpstream, core::Duration aLeft,
                                    core::Instant aSentAt)
{
  mUpstreams.RecordColdTimeInResponse(aUpstream.id, aUpstream.incarnation, aLeft, aSentAt,
                                      mTimers.Now());
}

bool PlacementScheduler::TryTakeRetry(const core::ServiceId& aService, std::uint32_t aAttempts)
{
  return GetOrCreateService(aService).retryBudget.TryTakeRetry(aAttempts);
}

void PlacementScheduler::RecordTokenInterval(const core::UpstreamId& aUpstream,
                                             double aTokenIntervalMs)
{
  if (UpstreamEntry* entry = mUpstreams.Find(aUpstream)) {
    mUpstreams.RecordTokenInterval(*entry, aTokenIntervalMs, mTimers.Now());
  }
}

void PlacementScheduler::AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream)
{
  mUpstreams.AddOrUpdateUpstream(aUpstream, mTimers.Now());
  OnUpstreamUpdated(aUpstream.service);
}

void PlacementScheduler::OnUpstreamUpdated(const core::ServiceId& aService)
{
  RecheckQueued();
  DispatchQueued(aService);
}

void PlacementScheduler::RemoveUpstream(const core::UpstreamId& aUpstream)
{
  mUpstreams.RemoveUpstream(aUpstream, mTimers.Now());
  RecheckQueued();
}

void PlacementScheduler::OnLoadReport(const LoadReport& aReport)
{
  const core::Instant now = mTimers.Now();
  if (aReport.speedPercent) {
    mUpstreams.SetReportedSpeed(aReport.id, *aReport.speedPercent, now);
  }
  if (aReport.hasRequests) {
    mUpstreams.SetReportedLoad(aReport.id, aReport.running + aReport.waiting, now);
  }
}

core::Duration PlacementScheduler::Shed(const core::RequestId& aId, ShedReason aReason)
{
  const auto it = mRequests.find(aId);
  const RequestState state = std::move(it->second);
  mRequests.erase(it);
  ServiceState& service = GetOrCreateService(state.spec.service);
  service.queue.Remove(aId);
  if (aReason == ShedReason::Quarantined) {
    mListener.OnShed(aId, aReason, mSettings.quarantineRetryAfter);
    return mSettings.quarantineRetryAfter;
  }
  // Randomized, so that callers don't return together.
  const auto spread = [this] { return core::Scaled(mSettings.minRetryAfter, mRandom.Uniform()); };
  if (const auto reason = WhyUnservable(state)) {
    const core::Duration retryAfter = mSettings.registrationInterval + spread();
    mListener.OnShed(aId, *reason, retryAfter);
    return retryAfter;
  }
  const bool any = mUpstreams.HasUpstream(state.spec.service, VersionOf(state));
  core::Duration retryAfter = ComputeRetryAfter(state.spec, service);
  if (const auto opening = NextOpening(state)) {
    retryAfter = std::max(retryAfter, *opening - mTimers.Now() + spread());
  }
  mListener.OnShed(aId, any ? aReason : ShedReason::NoUpstream, retryAfter);
  return retryAfter;
}

std::optional<core::Instant> PlacementScheduler::NextOpening(const RequestState& aState) const
{
  const RequestSpec& spec = aState.spec;
  const core::VersionId version = VersionOf(aState);
  if (const core::RegionSet* regions = RegionsOf(spec)) {
    // Elsewhere it cannot go, so it had better return once an ejection ends, too.
    return mUpstreams.EarliestOpening(spec.service, version, mTimers.Now(), regions);
  }
  return mUpstreams.EarliestQuietEnd(spec.service, version, mTimers.Now());
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
  if (std::exchange(mIsRecheckDue, false)) {
    ShedUnservable();
  }
  for (auto& [id, service] : mServices) {
    if (service.isTight) {
      UpdateWaitPolicy(id, service);
      UpdateFloors(service);
    }
    if (service.queue.Size() == 0) {
      continue;
    }
    DispatchQueued(id);
    service.queue.RemoveExpired(mTimers.Now(), [this](const placement::QueuedRequest& aQueued) {
      RejectForWait(aQueued.id, WaitRejectionCause::Expired);
    });
    if (service.isTight) {
      RejectLate(service);
    }
  }
}

} // namespace cuminfield::request::placement
