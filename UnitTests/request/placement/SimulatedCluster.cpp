#include "UnitTests/request/placement/SimulatedCluster.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cuminfield::unit_tests {

using namespace request;
using namespace std::chrono_literals;

namespace {

const core::ServiceId kService("s");
constexpr core::Duration kStep = 5ms;
constexpr core::Duration kSampleInterval = 20ms;
constexpr core::Duration kTarget = 400ms;
constexpr core::Duration kCallerDeadline = 15s;

/// Speed of a fast engine at a full batch. The time between tokens includes that for the prompts of
/// other requests.
constexpr double kPromptTokensPerMs = 83;
constexpr double kTokenIntervalMs = 3.4;

/// Limit of a response relative to its mean length.
constexpr double kOutputLimitFactor = 1.43;

/// Observations are exchanged with one in this many reports.
constexpr std::size_t kReportsPerObserved = 4;

/// Callers obey Retry-After up to this part of their remaining time.
constexpr double kMaxRetryAfterShare = 1.0 / 3;

/// Callers notice a longer queue: three slots become free in about 350 ms.
constexpr std::size_t kLongQueue = 3;

class AnyVersionChooser : public VersionChooser
{
public:
  core::VersionId Choose(const core::ServiceId&, const core::RouteId&, double) const override
  {
    return {};
  }
};

const AnyVersionChooser kAnyVersionChooser;

void AddLoad(placement::RankLoad& aSum, const placement::RankLoad& aLoad, double aFactor)
{
  aSum.requests += aFactor * aLoad.requests;
  aSum.waiting += aFactor * aLoad.waiting;
  aSum.donePerSecond += aFactor * aLoad.donePerSecond;
}

void AddObservations(placement::UpstreamObservations& aSum,
                     const placement::UpstreamObservations& aObservations, double aFactor)
{
  aSum.attemptCount += aFactor * aObservations.attemptCount;
  aSum.failureCount += aFactor * aObservations.failureCount;
  aSum.tokenIntervalCount += aFactor * aObservations.tokenIntervalCount;
  aSum.tokenIntervalSumMs += aFactor * aObservations.tokenIntervalSumMs;
  aSum.firstEventCount += aFactor * aObservations.firstEventCount;
  aSum.firstEventFactorSum += aFactor * aObservations.firstEventFactorSum;
}

} // namespace

class SimulatedCluster::Host : public SchedulerListener
{
public:
  Host(SimulatedCluster& aCluster, std::uint64_t aSeed)
    : random(aSeed)
    , scheduler({ .settings = aCluster.mOptions.placement,
                  .timers = aCluster.mTimers,
                  .random = random,
                  .listener = *this,
                  .versions = kAnyVersionChooser,
                  .dataCentre = core::DataCentreId("here") })
    , mCluster(aCluster)
  {
  }

  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override
  {
    mCluster.DeliverToEngine(*this, aUpstream.id.Text(), aRequest);
  }

  void OnShed(const core::RequestId& aRequest, ShedReason, core::Duration aRetryAfter) override
  {
    const RequestSpec spec = specs.at(aRequest);
    specs.erase(aRequest);
    mCluster.OnShed(*this, spec, aRetryAfter);
  }

  /// The figures that this host reports to the others.
  struct HostReport
  {
    std::map<std::string, std::uint32_t> inFlight;
    std::map<std::string, std::uint32_t> speeds;
    placement::PlacementScheduler::RequestsByRank demand;
    placement::PlacementScheduler::LoadByRank load;
  };

  HostReport MakeReport()
  {
    HostReport report{
      .inFlight = {}, .speeds = {}, .demand = scheduler.LocalDemand(), .load = scheduler.LocalLoad()
    };
    for (auto& [id, entry] : scheduler.Upstreams().Entries()) {
      report.inFlight[id.Text()] = entry.localInFlight;
      const auto speed = scheduler.Upstreams().TakeSpeedReport(entry, mCluster.mTimers.Now());
      if (speed) {
        report.speeds[id.Text()] = *speed;
      }
    }
    return report;
  }

  std::map<core::RequestId, RequestSpec> specs;
  std::set<core::RequestId> dispatched;
  std::deque<HostReport> reports;
  core::Random random;
  placement::PlacementScheduler scheduler;

private:
  SimulatedCluster& mCluster;
};

SimulatedCluster::SimulatedCluster(const Options& aOptions)
  : mOptions(aOptions)
{
  for (std::size_t n = 0; n < mOptions.engines; ++n) {
    mEngines["engine-" + std::to_string(n)].slowness =
      n < mOptions.slowEngines ? mOptions.slowFactor : 1;
  }
  for (std::size_t n = 0; n < mOptions.hosts; ++n) {
    mHosts.push_back(std::make_unique<Host>(*this, 100 + n));
    if (mOptions.isTight) {
      mHosts.back()->scheduler.SetTightServices({ kService });
    }
    for (const auto& [id, engine] : mEngines) {
      UpstreamAnnouncement upstream;
      upstream.id = core::UpstreamId(id);
      upstream.incarnation = core::Incarnation(1);
      upstream.service = kService;
      upstream.dataCentre = core::DataCentreId("here");
      upstream.slots = mOptions.slots;
      upstream.isEngine = mOptions.areEngines;
      mHosts.back()->scheduler.AddOrUpdateUpstream(upstream);
    }
  }
  mStepTimer = mTimers.ScheduleEvery(kStep, [this] { AdvanceStep(); });
  mReportTimer = mTimers.ScheduleEvery(mOptions.reportInterval, [this] { ExchangeReports(); });
  mSampleTimer = mTimers.ScheduleEvery(kSampleInterval, [this] { SampleEngines(); });
}

SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::RunFor(core::Duration aDuration)
{
  mTimers.Advance(aDuration);
}

bool SimulatedCluster::IsFull(const Engine& aEngine) const
{
  return !mOptions.areEngines && aEngine.running >= mOptions.slots &&
         aEngine.queue.size() >= mOptions.plainQueueLimit;
}

void SimulatedCluster::AdvanceStep()
{
  for (const auto& [host, request] : std::exchange(mRefusals, {})) {
    host->scheduler.OnAttemptEnded(request, AttemptOutcome::Refused);
  }
  ChangeSpeeds();
  DeliverFirstEvents();
  FinishDueRequests();
  RemoveExpired();
  SubmitReturningCallers();
  SubmitArrivals();
}

const SimulatedCluster::RankProfile* SimulatedCluster::ProfileOf(TierRank aRank) const
{
  const auto it = mOptions.profiles.find(aRank);
  return it == mOptions.profiles.end() ? nullptr : &it->second;
}

template<typename Change>
void SimulatedCluster::CountOutcome(const RequestSpec& aSpec, const Change& aChange)
{
  aChange(mOutcomes[aSpec.tier]);
  aChange(mWorkspaceOutcomes[aSpec.workspace]);
}

void SimulatedCluster::Submit(Host& aHost, const RequestSpec& aSpec)
{
  aHost.specs[aSpec.id] = aSpec;
  if (ProfileOf(aSpec.tier)) {
    mDeadlines.emplace(aSpec.deadline, std::pair(&aHost, aSpec.id));
  }
  aHost.scheduler.Submit(aSpec);
}

void SimulatedCluster::OnShed(Host& aHost, const RequestSpec& aSpec, core::Duration aRetryAfter)
{
  const core::Duration remaining = aSpec.deadline - mTimers.Now();
  if (!mOptions.callersReturn || mFirstArrivals.contains(aSpec.id) || remaining <= kStep) {
    CountOutcome(aSpec, [](RankOutcome& aOutcome) { ++aOutcome.shed; });
    return;
  }
  const bool isLate = remaining + 2 * kSampleInterval < (aSpec.deadline - aSpec.arrival) / 2;
  CountOutcome(aSpec, [&](RankOutcome& aOutcome) {
    ++aOutcome.returned;
    aOutcome.rejectedLate += isLate ? 1 : 0;
  });
  const core::Duration wait = std::min(aRetryAfter, core::Scaled(remaining, kMaxRetryAfterShare));
  mReturning.emplace(mTimers.Now() + wait, ReturningCaller{ .spec = aSpec, .rejectedBy = &aHost });
}

void SimulatedCluster::SubmitReturningCallers()
{
  while (!mReturning.empty() && mReturning.begin()->first <= mTimers.Now()) {
    ReturningCaller caller = mReturning.begin()->second;
    mReturning.erase(mReturning.begin());
    caller.spec.id = core::RequestId("r" + std::to_string(++mRequests));
    mFirstArrivals[caller.spec.id] = caller.spec.arrival;
    caller.spec.arrival = mTimers.Now();
    Host* host = caller.rejectedBy;
    while (host == caller.rejectedBy) {
      host = mHosts[mRandom.UniformBelow(mHosts.size())].get();
    }
    Submit(*host, caller.spec);
  }
}

void SimulatedCluster::RemoveExpired()
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= mTimers.Now()) {
    const auto [host, request] = mDeadlines.begin()->second;
    mDeadlines.erase(mDeadlines.begin());
    const auto it = host->specs.find(request);
    // Dispatched requests are counted when they start.
    if (it == host->specs.end() || host->dispatched.contains(request)) {
      continue;
    }
    const RequestSpec spec = it->second;
    host->specs.erase(it);
    host->scheduler.Withdraw(request);
    CountOutcome(spec, [](RankOutcome& aOutcome) { ++aOutcome.expired; });
  }
}

void SimulatedCluster::ChangeSpeeds()
{
  if (mOptions.meanSpeedTime.count() == 0) {
    return;
  }
  for (auto& [id, engine] : mEngines) {
    if (mSpeedRandom.Chance(core::Seconds(kStep) / core::Seconds(mOptions.meanSpeedTime))) {
      engine.speedPercent = mSpeedRandom.Chance(mOptions.slowRatio) ? mOptions.slowPercent : 100;
    }
  }
}

void SimulatedCluster::ReportLoad(const std::string& aEngine, Host& aHost)
{
  if (mOptions.meanSpeedTime.count() == 0) {
    return;
  }
  const Engine& engine = mEngines.at(aEngine);
  LoadReport report{ .id = core::UpstreamId(aEngine),
                     .incarnation = core::Incarnation(1),
                     .running = static_cast<std::uint32_t>(engine.running),
                     .waiting = static_cast<std::uint32_t>(engine.queue.size()) };
  if (mOptions.reportsSpeed) {
    report.speedPercent = engine.speedPercent;
  }
  aHost.scheduler.OnLoadReport(report);
}

void SimulatedCluster::DeliverFirstEvents()
{
  while (!mFirstEvents.empty() && mFirstEvents.begin()->first <= mTimers.Now()) {
    const RunningRequest begun = mFirstEvents.begin()->second;
    mFirstEvents.erase(mFirstEvents.begin());
    const RequestSpec& spec = begun.host->specs.at(begun.request);
    RankOutcome& outcome = mOutcomes[spec.tier];
    outcome.firstEventMsSum += core::Milliseconds(mTimers.Now() - spec.arrival);
    ReportLoad(begun.engine, *begun.host);
    begun.host->scheduler.OnFirstToken(begun.request);
  }
}

void SimulatedCluster::SubmitArrivals()
{
  for (const auto& [key, perSecond] : mLoad) {
    const auto& [rank, workspace] = key;
    double due = perSecond * core::Seconds(kStep);
    while (due > 0 && (due >= 1 || mRandom.Chance(due))) {
      due -= 1;
      RequestSpec spec;
      spec.id = core::RequestId("r" + std::to_string(++mRequests));
      spec.service = kService;
      spec.tier = rank;
      spec.arrival = mTimers.Now();
      spec.deadline = mTimers.Now() + kCallerDeadline;
      spec.firstTokenTarget = kTarget;
      spec.promptTokens.value = 600;
      spec.maxOutputTokens.value = 250;
      spec.needsEngine = mOptions.areEngines;
      spec.workspace = core::WorkspaceId(workspace);
      if (const RankProfile* profile = ProfileOf(rank)) {
        spec.deadline = spec.arrival + profile->deadline;
        spec.firstTokenTarget = profile->target;
        spec.promptTokens.value = static_cast<std::int64_t>(profile->promptTokens);
        spec.maxOutputTokens.value =
          static_cast<std::int64_t>(profile->outputTokens * kOutputLimitFactor);
      }
      Host& host = *mHosts[mRandom.UniformBelow(mHosts.size())];
      CountOutcome(spec, [](RankOutcome& aOutcome) { ++aOutcome.submitted; });
      Submit(host, spec);
    }
  }
}

void SimulatedCluster::DeliverToEngine(Host& aHost, const std::string& aEngine,
                                       const core::RequestId& aRequest)
{
  Engine& engine = mEngines.at(aEngine);
  aHost.dispatched.insert(aRequest);
  if (IsFull(engine)) {
    ++mOutcomes[aHost.specs.at(aRequest).tier].refusals;
    // Reported later, since the scheduler is in the middle of dispatching.
    mRefusals.emplace_back(&aHost, aRequest);
    aHost.dispatched.erase(aRequest);
    return;
  }
  if (engine.running >= mOptions.slots) {
    engine.queue.emplace_back(&aHost, aRequest);
    return;
  }
  StartRequest(aEngine, aHost, aRequest);
}

void SimulatedCluster::StartRequest(const std::string& aEngine, Host& aHost,
                                    const core::RequestId& aRequest)
{
  ++mEngines.at(aEngine).running;
  const core::Instant now = mTimers.Now();
  const RequestSpec& spec = aHost.specs.at(aRequest);
  if (ProfileOf(spec.tier)) {
    const core::Duration serviceTime = StartProfiled(aEngine, spec);
    const core::Duration prefill =
      core::FromMilliseconds(static_cast<double>(spec.promptTokens.value) / kPromptTokensPerMs *
                             mEngines.at(aEngine).slowness);
    mFirstTokens.emplace(now + prefill, std::pair(&aHost, aRequest));
    mRunning.emplace(now + serviceTime,
                     RunningRequest{ .engine = aEngine, .host = &aHost, .request = aRequest });
    return;
  }
  RankOutcome& outcome = mOutcomes[spec.tier];
  ++(now - spec.arrival <= kTarget ? outcome.inTime : outcome.late);
  const double serviceMs = mRandom.Exponential(core::Milliseconds(mOptions.meanServiceTime));
  const RunningRequest running{ .engine = aEngine, .host = &aHost, .request = aRequest };
  const double slowness = mEngines.at(aEngine).speedPercent / 100.0;
  const core::Instant firstEventAt = now + core::Scaled(mOptions.firstEventTime, slowness);
  // Plain upstreams answer at the end. A stream lasts longer than a momentary speed.
  const core::Instant end =
    firstEventAt + core::FromMilliseconds(serviceMs * (mOptions.areEngines ? 1 : slowness));
  if (mOptions.meanSpeedTime.count() > 0) {
    // Not in this step, whose first events have been delivered.
    const core::Instant nextStep = now + kStep;
    mRunning.emplace(std::max(end, nextStep), running);
    mFirstEvents.emplace(std::max(mOptions.areEngines ? firstEventAt : end, nextStep), running);
    return;
  }
  mRunning.emplace(end, running);
  aHost.scheduler.OnFirstToken(aRequest);
}

core::Duration SimulatedCluster::StartProfiled(const std::string& aEngine, const RequestSpec& aSpec)
{
  const RankProfile& profile = *ProfileOf(aSpec.tier);
  const double slowness = mEngines.at(aEngine).slowness;
  const double prefillMs = profile.promptTokens / kPromptTokensPerMs * slowness;
  const double decodeMs =
    profile.outputTokens * (0.6 + 0.8 * mRandom.Uniform()) * kTokenIntervalMs * slowness;
  const auto first = mFirstArrivals.find(aSpec.id);
  const core::Instant arrival = first == mFirstArrivals.end() ? aSpec.arrival : first->second;
  const core::Instant firstToken = mTimers.Now() + core::FromMilliseconds(prefillMs);
  const core::Duration total = core::FromMilliseconds(prefillMs + decodeMs);
  CountOutcome(aSpec, [&](RankOutcome& aOutcome) {
    const bool isComplete = mTimers.Now() + total <= aSpec.deadline;
    const bool isInTime = firstToken - arrival <= profile.target;
    ++(!isComplete ? aOutcome.expired : isInTime ? aOutcome.inTime : aOutcome.late);
  });
  return total;
}

void SimulatedCluster::FinishDueRequests()
{
  while (!mFirstTokens.empty() && mFirstTokens.begin()->first <= mTimers.Now()) {
    const auto [host, request] = mFirstTokens.begin()->second;
    mFirstTokens.erase(mFirstTokens.begin());
    host->scheduler.OnFirstToken(request);
  }
  while (!mRunning.empty() && mRunning.begin()->first <= mTimers.Now()) {
    const RunningRequest ended = mRunning.begin()->second;
    mRunning.erase(mRunning.begin());
    Engine& engine = mEngines.at(ended.engine);
    --engine.running;
    if (!engine.queue.empty()) {
      const auto [host, request] = engine.queue.front();
      engine.queue.pop_front();
      StartRequest(ended.engine, *host, request);
    }
    ended.host->specs.erase(ended.request);
    ended.host->dispatched.erase(ended.request);
    ended.host->scheduler.OnAttemptEnded(ended.request, AttemptOutcome::Succeeded);
  }
}

void SimulatedCluster::ExchangeReports()
{
  for (const auto& [ends, it] : mRunning) {
    it.host->scheduler.OnToken(it.request);
    if (!mOptions.profiles.empty()) {
      it.host->scheduler.RecordTokenInterval(core::UpstreamId(it.engine),
                                             kTokenIntervalMs * mEngines.at(it.engine).slowness);
    }
  }
  if (!mOptions.profiles.empty() && ++mExchanges % kReportsPerObserved == 0) {
    ExchangeObservations();
  }
  std::map<std::string, std::uint32_t> inFlight;
  std::map<std::string, std::pair<std::uint64_t, std::uint32_t>> speeds; ///< Sum and number.
  placement::PlacementScheduler::RequestsByRank demand;
  placement::PlacementScheduler::LoadByRank load;
  for (auto& host : mHosts) {
    host->reports.push_back(host->MakeReport());
    if (host->reports.size() > mOptions.reportDelayRounds + 1) {
      host->reports.pop_front();
    }
    for (const auto& [id, n] : host->reports.front().inFlight) {
      inFlight[id] += n;
    }
    for (const auto& [id, percent] : host->reports.front().speeds) {
      speeds[id].first += percent;
      ++speeds[id].second;
    }
    for (const auto& [key, requests] : host->reports.front().demand) {
      demand[key] += requests;
    }
    for (const auto& [key, own] : host->reports.front().load) {
      AddLoad(load[key], own, 1);
    }
  }
  for (auto& host : mHosts) {
    const Host::HostReport& ownReport = host->reports.front();
    for (const auto& [id, n] : inFlight) {
      const auto it = ownReport.inFlight.find(id);
      host->scheduler.Upstreams().SetRemoteLoad(
        core::UpstreamId(id), n - (it == ownReport.inFlight.end() ? 0 : it->second), 0,
        mTimers.Now());
      const auto own = ownReport.speeds.find(id);
      const bool hasOwn = own != ownReport.speeds.end();
      host->scheduler.Upstreams().SetRemoteSpeed(
        core::UpstreamId(id), speeds[id].first - (hasOwn ? own->second : 0),
        speeds[id].second - (hasOwn ? 1 : 0), mTimers.Now());
    }
    placement::PlacementScheduler::RequestsByRank remoteDemand = demand;
    for (const auto& [key, requests] : ownReport.demand) {
      remoteDemand[key] -= requests;
    }
    placement::PlacementScheduler::LoadByRank remoteLoad = load;
    for (const auto& [key, own] : ownReport.load) {
      AddLoad(remoteLoad[key], own, -1);
    }
    host->scheduler.SetRemoteLoad(std::move(remoteLoad));
    host->scheduler.SetRemoteDemand(std::move(remoteDemand));
  }
}

void SimulatedCluster::ExchangeObservations()
{
  std::map<core::UpstreamId, placement::UpstreamObservations> sums;
  std::vector<std::map<core::UpstreamId, placement::UpstreamObservations>> own(mHosts.size());
  for (std::size_t n = 0; n < mHosts.size(); ++n) {
    placement::UpstreamTable& upstreams = mHosts[n]->scheduler.Upstreams();
    for (auto& [id, entry] : upstreams.Entries()) {
      own[n][id] = upstreams.LocalObservations(entry, mTimers.Now());
      AddObservations(sums[id], own[n][id], 1);
    }
  }
  for (std::size_t n = 0; n < mHosts.size(); ++n) {
    for (const auto& [id, sum] : sums) {
      placement::UpstreamObservations remote = sum;
      AddObservations(remote, own[n].at(id), -1);
      mHosts[n]->scheduler.Upstreams().SetRemoteObservations(id, remote);
    }
  }
}

void SimulatedCluster::SampleEngines()
{
  ++mSampleCount;
  for (const auto& [id, engine] : mEngines) {
    const auto engineCount = static_cast<double>(mEngines.size());
    mStatisticsSum.utilization +=
      static_cast<double>(engine.running) / (engineCount * mOptions.slots);
    mStatisticsSum.overloadedRatio += engine.queue.size() > kLongQueue ? 1 / engineCount : 0;
  }
}

SimulatedCluster::EngineStatistics SimulatedCluster::MeanEngineStatistics() const
{
  const auto sampleCount = static_cast<double>(std::max<std::size_t>(1, mSampleCount));
  return { .utilization = mStatisticsSum.utilization / sampleCount,
           .overloadedRatio = mStatisticsSum.overloadedRatio / sampleCount };
}

void SimulatedCluster::ResetStatistics()
{
  mOutcomes.clear();
  mWorkspaceOutcomes.clear();
  mSampleCount = 0;
  mStatisticsSum = {};
}

} // namespace cuminfield::unit_tests
