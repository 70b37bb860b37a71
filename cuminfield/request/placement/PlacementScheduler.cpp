#include "cuminfield/request/placement/PlacementScheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfield::request::placement {

namespace {

core::Duration Scaled(core::Duration aDuration, double aFactor)
{
  return core::Duration(
    static_cast<std::int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

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
  return std::min(Scaled(aSpec.firstTokenTarget, 1 + mSettings.lateTargets), total);
}

core::Duration PlacementScheduler::PredictedWait(const Service& aService, std::uint32_t aRank) const
{
  const auto ahead = static_cast<double>(aService.line.Ahead(aRank));
  const core::Duration passed = mTimers.Now() - aService.rateAt;
  const double fade = std::exp(-std::chrono::duration<double>(passed).count() /
                               std::chrono::duration<double>(mSettings.rateWindow).count());
  const double rate = std::max(aService.rate * fade, 0.5);
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(ahead / rate));
}

core::Duration PlacementScheduler::RetryAfter(const RequestSpec& aSpec)
{
  const core::Duration left = std::max(aSpec.deadline - mTimers.Now(), core::Duration::zero());
  const core::Duration heeded = Scaled(left, mSettings.retryAfterShare);
  const double least = mSettings.retryAfterLeast;
  // Spread, so that those turned away together do not come back together.
  const core::Duration spread = Scaled(heeded, least + (1 - least) * mRandom.Uniform());
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
  service.topRank = std::min(service.topRank, state.spec.tier);
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
                              .top = spec.tier <= ServiceOf(spec.service).topRank,
                              .arrival = spec.arrival,
                              .onTimeUntil =
                                spec.arrival + spec.firstTokenTarget -
                                Scaled(mBoard.FirstIdle(spec), ServiceOf(spec.service).loadFactor),
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

std::map<core::ServiceId, std::uint32_t> PlacementScheduler::Wanted() const
{
  std::map<core::ServiceId, std::uint32_t> wanted;
  for (const auto& [id, service] : mServices) {
    wanted[id] = service.inFlight + static_cast<std::uint32_t>(service.line.Size());
  }
  return wanted;
}

bool PlacementScheduler::HasShare(const core::ServiceId& aId, const Service& aService) const
{
  const auto it = mOthersWanted.find(aId);
  if (it == mOthersWanted.end()) {
    return true;
  }
  const double places = mBoard.EnginePlaces(aId);
  const double own = aService.inFlight + static_cast<double>(aService.line.Size()) + 1;
  const double all = own + it->second;
  if (places == 0 || all < places * mSettings.crowdedFrom) {
    return true;
  }
  return aService.inFlight < std::max(1.0, places * mSettings.crowdedFill * own / all);
}

bool PlacementScheduler::Place(State& aState, Service& aService, Pressure aPressure)
{
  const RequestSpec& spec = aState.spec;
  const core::Instant now = mTimers.Now();
  if (aPressure != Pressure::Top && !HasShare(spec.service, aService)) {
    return false;
  }
  const core::VersionId version = mVersions.Choose(spec.service, spec.route, aState.point);
  BoardEntry* entry = mBoard.Choose(spec, version, aPressure, now);
  if (!entry) {
    return false;
  }
  const core::Duration passed = now - aService.rateAt;
  const double window = std::chrono::duration<double>(mSettings.rateWindow).count();
  aService.rate =
    aService.rate * std::exp(-std::chrono::duration<double>(passed).count() / window) + 1 / window;
  aService.rateAt = now;
  if (aState.tries == 0) {
    aService.retries.FirstTry();
  }
  ++aState.tries;
  ++aService.inFlight;
  aState.waiting = false;
  aState.began = false;
  aState.upstream = entry->upstream.id;
  aState.sentAt = now;
  aState.predicted = mBoard.First(*entry, spec);
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
  if (std::uint32_t& inFlight = ServiceOf(service).inFlight; inFlight > 0) {
    --inFlight;
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
    mBoard.Paced(*entry, aTokenMs);
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
  mBoard.SetTold(aReport.id, aReport.running + aReport.waiting, mTimers.Now());
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
