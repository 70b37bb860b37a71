#include "UnitTests/request/placement/SimulatedCluster.h"

#include <algorithm>
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

  void OnShed(const core::RequestId& aRequest, ShedReason, core::Duration) override
  {
    ++mCluster.mOutcomes[specs.at(aRequest).tier].shed;
    specs.erase(aRequest);
  }

  /// The figures that this host reports to the others.
  struct HostReport
  {
    std::map<std::string, std::uint32_t> inFlight;
    placement::PlacementScheduler::RequestsByRank demand;
  };

  HostReport MakeReport()
  {
    HostReport report{ .inFlight = {}, .demand = scheduler.LocalDemand() };
    for (const auto& [id, entry] : scheduler.Upstreams().Entries()) {
      report.inFlight[id.Text()] = entry.localInFlight;
    }
    return report;
  }

  std::map<core::RequestId, RequestSpec> specs;
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
    mEngines["engine-" + std::to_string(n)];
  }
  for (std::size_t n = 0; n < mOptions.hosts; ++n) {
    mHosts.push_back(std::make_unique<Host>(*this, 100 + n));
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
  FinishDueRequests();
  SubmitArrivals();
}

void SimulatedCluster::SubmitArrivals()
{
  for (const auto& [rank, perSecond] : mLoad) {
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
      Host& host = *mHosts[mRandom.UniformBelow(mHosts.size())];
      ++mOutcomes[rank].submitted;
      host.specs[spec.id] = spec;
      host.scheduler.Submit(spec);
    }
  }
}

void SimulatedCluster::DeliverToEngine(Host& aHost, const std::string& aEngine,
                                       const core::RequestId& aRequest)
{
  Engine& engine = mEngines.at(aEngine);
  if (IsFull(engine)) {
    ++mOutcomes[aHost.specs.at(aRequest).tier].refusals;
    // Reported later, since the scheduler is in the middle of dispatching.
    mRefusals.emplace_back(&aHost, aRequest);
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
  RankOutcome& outcome = mOutcomes[spec.tier];
  ++(now - spec.arrival <= kTarget ? outcome.inTime : outcome.late);
  const double serviceMs = mRandom.Exponential(core::Milliseconds(mOptions.meanServiceTime));
  mRunning.emplace(now + core::FromMilliseconds(serviceMs),
                   RunningRequest{ .engine = aEngine, .host = &aHost, .request = aRequest });
  aHost.scheduler.OnFirstToken(aRequest);
}

void SimulatedCluster::FinishDueRequests()
{
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
    ended.host->scheduler.OnAttemptEnded(ended.request, AttemptOutcome::Succeeded);
  }
}

void SimulatedCluster::ExchangeReports()
{
  for (const auto& [ends, it] : mRunning) {
    it.host->scheduler.OnToken(it.request);
  }
  std::map<std::string, std::uint32_t> inFlight;
  placement::PlacementScheduler::RequestsByRank demand;
  for (auto& host : mHosts) {
    host->reports.push_back(host->MakeReport());
    if (host->reports.size() > mOptions.reportDelayRounds + 1) {
      host->reports.pop_front();
    }
    for (const auto& [id, n] : host->reports.front().inFlight) {
      inFlight[id] += n;
    }
    for (const auto& [key, requests] : host->reports.front().demand) {
      demand[key] += requests;
    }
  }
  for (auto& host : mHosts) {
    const Host::HostReport& ownReport = host->reports.front();
    for (const auto& [id, n] : inFlight) {
      const auto it = ownReport.inFlight.find(id);
      host->scheduler.Upstreams().SetRemoteLoad(
        core::UpstreamId(id), n - (it == ownReport.inFlight.end() ? 0 : it->second), 0,
        mTimers.Now());
    }
    placement::PlacementScheduler::RequestsByRank remoteDemand = demand;
    for (const auto& [key, requests] : ownReport.demand) {
      remoteDemand[key] -= requests;
    }
    host->scheduler.SetRemoteDemand(std::move(remoteDemand));
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
  mSampleCount = 0;
  mStatisticsSum = {};
}

} // namespace cuminfield::unit_tests
