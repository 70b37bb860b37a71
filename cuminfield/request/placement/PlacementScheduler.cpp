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
  , mBoard(aOptions.settings.board, aOptions.dataCentre, aOptions.random)
{
  mTick = mTimers.Every(mSettings.tick, [this] { Tick(); });
}

PlacementScheduler::Service& PlacementScheduler::ServiceOf(const core::ServiceId& aId)
{
  return mServices.try_emplace(aId, mSettings.retry).first->second;
}

core::Duration PlacementScheduler::LongestWait(const RequestSpec& aSpec) const
{
  const core::Duration total = aSpec.deadline - aSpec.arrival;
  return std::min(core::Scaled(aSpec.firstTokenTarget, 1 + mSettings.lateTargets), total);
}

core::Duration PlacementScheduler::PredictedWait(const Service& aService, TierRank aRank)
{
  // Places that this host's requests of such ranks leave in a second.
  double freed = 0;
  for (const auto& [rank, state] : aService.ranks) {
    if (rank <= aRank && state.hold.count() > 0) {
      freed += std::max(1U, state.inFlight) / core::Seconds(state.hold);
    }
  }
  const auto ahead = static_cast<double>(aService.line.Ahead(aRank));
  return freed > 0 ? core::FromSeconds(ahead / freed) : core::Duration::zero();
}

void PlacementScheduler::LearnRank(Rank& aRank, const RequestSpec& aSpec) const
{
  RequestSpec& typical = aRank.typical;
  if (typical.service != aSpec.service) {
    typical = aSpec;
    return;
  }
  const auto learn = [this](core::Tokens& aMean, core::Tokens aNew) {
    const double change = mSettings.learnRank * static_cast<double>((aNew - aMean).value);
    aMean += core::Tokens{ static_cast<std::int64_t>(change) };
  };
  learn(typical.prompt, aSpec.prompt);
  learn(typical.maxAnswer, aSpec.maxAnswer);
  typical.arrival = aSpec.arrival;
  typical.deadline = aSpec.deadline;
  typical.tokenGapTarget = aSpec.tokenGapTarget;
  typical.eventTokens = aSpec.eventTokens;
  typical.engine = aSpec.engine;
}

void PlacementScheduler::CountPlaces(Service& aService)
{
  const core::Instant now = mTimers.Now();
  for (auto& [rank, state] : aService.ranks) {
    if (state.placesAt != core::Instant() && now - state.placesAt < mSettings.countPlaces) {
      continue;
    }
    RequestSpec typical = state.typical;
    typical.deadline = now + (typical.deadline - typical.arrival);
    state.places = mBoard.EnginePlaces(typical, now);
    state.placesAt = now;
  }
}

std::uint32_t PlacementScheduler::WantedBy(const Service& aService, TierRank aRank,
                                           const Rank& aState)
{
  return aState.inFlight + static_cast<std::uint32_t>(aService.line.SizeOf(aRank));
}

core::Duration PlacementScheduler::RetryAfter(const RequestSpec& aSpec)
{
  const core::Duration left = std::max(aSpec.deadline - mTimers.Now(), core::Duration::zero());
  const core::Duration heeded = core::Scaled(left, mSettings.retryAfterShare);
  const double least = mSettings.retryAfterLeast;
  // Spread, so that those turned away together do not come back together.
  const core::Duration spread = core::Scaled(heeded, least + (1 - least) * mRandom.Uniform());
  return std::clamp(spread, std::min(mSettings.minRetryAfter, heeded), mSettings.maxRetryAfter);
}

void PlacementScheduler::Submit(RequestSpec aSpec)
{
  const core::RequestId id = aSpec.id;
  State& state = mRequests[id];
  state = State();
  state.spec = std::move(aSpec);
  state.point = mRandom.Uniform();
  Service& service = ServiceOf(state.spec.service);
  LearnRank(service.ranks[state.spec.tier], state.spec);
  const bool crowded = service.line.Ahead(state.spec.tier) >= mSettings.crowd &&
                       PredictedWait(service, state.spec.tier) > LongestWait(state.spec);
  if (crowded && !state.spec.resumed) {
    Shed(id, ShedReason::Overload);
    return;
  }
  const core::ServiceId serviceId = state.spec.service;
  Enqueue(state);
  Run(serviceId);
}

void PlacementScheduler::Enqueue(State& aState)
{
  const RequestSpec& spec = aState.spec;
  aState.waiting = true;
  aState.began = false;
  placement::Waiting waiting{ .id = spec.id,
                              .rank = spec.tier,
                              .top = spec.tier <= ServiceOf(spec.service).ranks.begin()->first,
                              .arrival = spec.arrival,
                              .onTimeUntil = spec.arrival + spec.firstTokenTarget -
                                             core::Scaled(mBoard.FirstIdle(spec),
                                                          ServiceOf(spec.service).loadFactor),
                              .waitsUntil = spec.arrival + LongestWait(spec) };
  if (spec.resumed) {
    // Its caller has begun to read: it goes before all that have not.
    waiting.rank = 0;
    waiting.top = true;
    waiting.onTimeUntil = spec.deadline;
    waiting.waitsUntil = spec.deadline;
  }
  ServiceOf(spec.service).line.Add(waiting);
}

void PlacementScheduler::Run(const core::ServiceId& aId)
{
  Service& service = ServiceOf(aId);
  // One that finds no place does not hold up those behind it that need less.
  service.line.ForEach(mTimers.Now(), [&](const placement::Waiting& aWaiting) {
    const auto it = mRequests.find(aWaiting.id);
    return Place(it->second, service, PressureOf(aWaiting, mTimers.Now()));
  });
}

Pressure PlacementScheduler::PressureOf(const placement::Waiting& aWaiting, core::Instant aNow)
{
  if (aWaiting.onTimeUntil <= aNow) {
    return Pressure::Late;
  }
  return aWaiting.top ? Pressure::Top : Pressure::Lower;
}

PlacementScheduler::RequestsByRank PlacementScheduler::Wanted() const
{
  RequestsByRank wanted;
  for (const auto& [id, service] : mServices) {
    for (const auto& [rank, state] : service.ranks) {
      wanted[{ id, rank }] = WantedBy(service, rank, state);
    }
  }
  return wanted;
}

bool PlacementScheduler::HasShare(const State& aState, const Rank& aRank, const Crowd& aCrowd) const
{
  if (aRank.places == 0) {
    return true; // What is silent or cannot be reached may be probed.
  }
  // Ranks of which this host has seen no request may use any place.
  const double placesBefore = aCrowd.placesBefore == 0 ? aRank.places : aCrowd.placesBefore;
  const double left =
    std::max({ aCrowd.places * mSettings.sharedFill - aCrowd.before, // What they leave,
               aRank.places - placesBefore,                          // or cannot use.
               aRank.places * mSettings.leastShare });
  // The request itself is in no line now.
  const double wanted = aCrowd.ofRank + 1;
  if (wanted <= left) {
    return true;
  }
  // A part of a place is one for that part of the requests.
  return aRank.inFlight + aState.point < left * (aCrowd.ownOfRank + 1) / wanted;
}

void PlacementScheduler::SetOthersWanted(RequestsByRank aWanted)
{
  mOthersWanted = std::move(aWanted);
  for (auto& [id, service] : mServices) {
    // Parts of a place add up; a place that was not needed is not kept.
    const double part = PartOfFree(service, CrowdOf(id, service, 0));
    service.partLeft = std::clamp(part - service.taken, 0.0, 1.0);
    service.taken = 0;
    service.free = mBoard.FreeEnginePlaces(id, mTimers.Now());
    service.othersInFlight = mBoard.OthersInFlight(id);
  }
}

double PlacementScheduler::PartOfFree(const Service& aService, const Crowd& aCrowd) const
{
  // Shared by what waits. One that asks is in no line now.
  const double own = static_cast<double>(aService.line.Size()) + 1;
  const double others = std::max(0.0, aCrowd.all - aCrowd.own - aService.othersInFlight);
  const double share = own / (own + others);
  return aService.partLeft + aService.free * mSettings.takenEachRound * share;
}

PlacementScheduler::Crowd PlacementScheduler::CrowdOf(const core::ServiceId& aId,
                                                      const Service& aService, TierRank aRank) const
{
  Crowd crowd;
  const auto count = [&](TierRank aOf, double aRequests) {
    crowd.all += aRequests;
    crowd.before += aOf < aRank ? aRequests : 0;
    crowd.ofRank += aOf == aRank ? aRequests : 0;
  };
  for (const auto& [rank, state] : aService.ranks) {
    const double wanted = WantedBy(aService, rank, state);
    count(rank, wanted);
    crowd.own += wanted;
    crowd.ownOfRank += rank == aRank ? wanted : 0;
    crowd.places = std::max(crowd.places, state.places);
    crowd.placesBefore =
      rank < aRank ? std::max(crowd.placesBefore, state.places) : crowd.placesBefore;
  }
  const auto first = mOthersWanted.lower_bound({ aId, 0 });
  for (auto it = first; it != mOthersWanted.end() && it->first.first == aId; ++it) {
    count(it->first.second, it->second);
  }
  return crowd;
}

bool PlacementScheduler::IsCrowded(const Crowd& aCrowd) const
{
  return !mOthersWanted.empty() && aCrowd.all > aCrowd.places * mSettings.crowdedFrom;
}

BoardEntry* PlacementScheduler::Choose(const State& aState, Service& aService, Pressure aPressure)
{
  const RequestSpec& spec = aState.spec;
  const core::Instant now = mTimers.Now();
  const core::VersionId version = mVersions.Choose(spec.service, spec.route, aState.point);
  const auto choose = [&](Pressure aHow, UpstreamBoard::Free aFree) {
    return mBoard.Choose(spec, version, aHow, aFree, now);
  };
  if (!spec.engine) {
    return choose(aPressure, UpstreamBoard::Free::Any);
  }
  CountPlaces(aService);
  const Crowd crowd = CrowdOf(spec.service, aService, spec.tier);
  if (!spec.resumed && !HasShare(aState, aService.ranks.at(spec.tier), crowd)) {
    return nullptr;
  }
  if (!IsCrowded(crowd)) {
    return choose(aPressure, UpstreamBoard::Free::Any);
  }
  // The places are shared out by rank: none is kept back for the more urgent besides. Those that
  // are late get what is spare.
  const Pressure pressure = aPressure == Pressure::Late ? Pressure::Late : Pressure::Top;
  if (BoardEntry* own = choose(pressure, UpstreamBoard::Free::Own)) {
    return own;
  }
  if (aService.taken + 1 > PartOfFree(aService, crowd) && !spec.resumed) {
    return nullptr;
  }
  BoardEntry* entry = choose(pressure, UpstreamBoard::Free::Any);
  if (entry) {
    aService.taken += 1;
  }
  return entry;
}

bool PlacementScheduler::Place(State& aState, Service& aService, Pressure aPressure)
{
  const RequestSpec& spec = aState.spec;
  const core::Instant now = mTimers.Now();
  BoardEntry* entry = Choose(aState, aService, aPressure);
  if (!entry) {
    return false;
  }
  if (aState.tries == 0) {
    aService.retries.FirstTry();
  }
  ++aState.tries;
  ++aService.ranks[spec.tier].inFlight;
  aState.waiting = false;
  aState.began = false;
  aState.upstream = entry->upstream.id;
  aState.sentAt = now;
  aState.predicted = mBoard.FirstAtUsualSpeed(*entry, spec);
  mBoard.Dispatched(*entry, spec, now);
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
  ServiceOf(it->second.spec.service).line.Remove(aRequest);
  mRequests.erase(it);
}

void PlacementScheduler::FirstToken(const core::RequestId& aRequest)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end() || it->second.waiting || it->second.began) {
    return;
  }
  State& state = it->second;
  BoardEntry* entry = mBoard.Find(state.upstream);
  if (!entry) {
    return;
  }
  state.began = true;
  const core::Instant now = mTimers.Now();
  mBoard.FirstCame(*entry, state.spec, now - state.sentAt, state.predicted, now);
  Service& service = ServiceOf(state.spec.service);
  const auto idle = static_cast<double>(mBoard.FirstIdle(state.spec).count());
  const double factor = static_cast<double>((now - state.sentAt).count()) / std::max(1.0, idle);
  service.loadFactor +=
    mSettings.learnLoad * (std::clamp(factor, 1.0, mSettings.maxLoadFactor) - service.loadFactor);
}

void PlacementScheduler::Token(const core::RequestId& aRequest)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end()) {
    return;
  }
  if (BoardEntry* entry = mBoard.Find(it->second.upstream)) {
    mBoard.Heard(*entry, mTimers.Now());
  }
}

void PlacementScheduler::Finished(const core::RequestId& aRequest, TryOutcome aOutcome)
{
  const auto it = mRequests.find(aRequest);
  if (it == mRequests.end()) {
    return;
  }
  State& state = it->second;
  const core::ServiceId service = state.spec.service;
  Rank& rank = ServiceOf(service).ranks[state.spec.tier];
  if (rank.inFlight > 0) {
    --rank.inFlight;
  }
  if (aOutcome == TryOutcome::Succeeded) {
    const core::Duration held = mTimers.Now() - state.sentAt;
    rank.hold = rank.hold.count() == 0
                  ? held
                  : rank.hold + core::Scaled(held - rank.hold, mSettings.learnRank);
  }
  if (BoardEntry* entry = mBoard.Find(state.upstream)) {
    mBoard.Ended(*entry, state.spec, aOutcome, state.began, mTimers.Now());
  }
  if (!NothingRan(aOutcome)) {
    mRequests.erase(it);
  } else if (ServiceOf(service).retries.Take(state.tries)) {
    state.spec.avoid = state.upstream;
    Enqueue(state);
  } else {
    Shed(aRequest, ShedReason::Overload);
  }
  Run(service);
}

bool PlacementScheduler::TakeRetry(const core::ServiceId& aService, std::uint32_t aTries)
{
  return ServiceOf(aService).retries.Take(aTries);
}

void PlacementScheduler::Paced(const core::UpstreamId& aUpstream, double aTokenMs)
{
  if (BoardEntry* entry = mBoard.Find(aUpstream)) {
    mBoard.Paced(*entry, aTokenMs, mTimers.Now());
  }
}

void PlacementScheduler::UpstreamUp(const UpstreamAnnouncement& aUpstream)
{
  mBoard.Up(aUpstream);
  Run(aUpstream.service);
}

void PlacementScheduler::UpstreamGone(const core::UpstreamId& aUpstream)
{
  mBoard.Gone(aUpstream);
}

void PlacementScheduler::Load(const LoadReport& aReport)
{
  mBoard.SetLoad(aReport.id, aReport.running + aReport.waiting, mTimers.Now());
}

void PlacementScheduler::Shed(const core::RequestId& aId, ShedReason aReason)
{
  const auto it = mRequests.find(aId);
  const State state = std::move(it->second);
  mRequests.erase(it);
  Service& service = ServiceOf(state.spec.service);
  service.line.Remove(aId);
  const core::VersionId version =
    mVersions.Choose(state.spec.service, state.spec.route, state.point);
  const bool any = mBoard.Any(state.spec.service, version);
  mListener.OnShed(aId, any ? aReason : ShedReason::NoUpstream, RetryAfter(state.spec));
}

std::size_t PlacementScheduler::Waiting() const
{
  std::size_t n = 0;
  for (const auto& [id, service] : mServices) {
    n += service.line.Size();
  }
  return n;
}

void PlacementScheduler::Tick()
{
  for (auto& [id, service] : mServices) {
    if (service.line.Size() == 0) {
      continue;
    }
    Run(id);
    service.line.RemoveExpired(mTimers.Now(), [this](const placement::Waiting& aWaiting) {
      Shed(aWaiting.id, ShedReason::Overload);
    });
  }
}

} // namespace cuminfield::request::placement
