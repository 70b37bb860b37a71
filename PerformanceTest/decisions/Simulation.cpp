#include "PerformanceTest/decisions/Simulation.h"

#include "PerformanceTest/decisions/BaselineScheduler.h"
#include "cuminfield/request/admission/TieredScheduler.h"

#include <numeric>

namespace cuminfield::performance_test::decisions {

namespace {

constexpr std::uint32_t kMaxRegions = 3;
constexpr std::uint32_t kEngineGenerations = 3;
constexpr std::uint32_t kPlainUpstreamCount = 3;
constexpr double kBytesPerToken = 4;
constexpr double kPlainLoad = 0.5;                ///< Share of the plain upstreams' capacity.
constexpr std::int64_t kTokenGapsPerLateGap = 20; ///< One late gap in 20 is allowed: 95% in time.
constexpr core::Duration kInterRegionDelay{ 8'000 };
constexpr core::Duration kIntraRegionDelay{ 500 };
constexpr core::Duration kMaxDrainNoticeDelay{ 500'000 };
constexpr core::Duration kDrainNoticeDeadline{ 3'000'000 };
const char* const kRegionNames[kMaxRegions] = { "gent", "luik", "elsene" };

/// Accepts any version.
class AnyVersion : public request::VersionChooser
{
public:
  core::VersionId Choose(const core::ServiceId&, const core::RouteId&, double) const override
  {
    return {};
  }
};

const AnyVersion kAnyVersion;

std::uint32_t RequestKey(const core::RequestId& aRequest)
{
  return static_cast<std::uint32_t>(std::stoul(aRequest.Text()));
}

} // namespace

/// Host with a scheduler and the listener that carries out its decisions.
class Simulation::Host : public request::SchedulerListener
{
public:
  Host(Simulation& aSimulation, std::uint32_t aIndex)
    : mSimulation(aSimulation)
    , mRandom(aSimulation.mRandom.Bits())
    , mRegion(aIndex % aSimulation.mOptions.regions)
    , mId("host-" + std::to_string(aIndex))
    , mClient(aSimulation.mOptions.capacity, aSimulation.mTimers)
  {
    const std::string& policy = aSimulation.mOptions.policy;
    if (policy == "random") {
      mScheduler = MakeBaselineScheduler(BaselinePolicy::Random);
    } else if (policy == "round-robin") {
      mScheduler = MakeBaselineScheduler(BaselinePolicy::RoundRobin);
    } else if (policy == "least-load") {
      mScheduler = MakeBaselineScheduler(BaselinePolicy::LeastLoad);
    } else {
      mScheduler = MakeTieredScheduler();
    }
  }

  void OnDispatch(const core::RequestId& aRequest,
                  const request::UpstreamAnnouncement& aUpstream) override
  {
    mSimulation.Dispatch(RequestKey(aRequest), aUpstream.id);
  }

  void OnShed(const core::RequestId& aRequest, request::ShedReason, core::Duration) override
  {
    mSimulation.mRecords[RequestKey(aRequest)].shed = true;
  }

  request::Scheduler& Scheduler() { return *mScheduler; }

  /// Returns the scheduler as a TieredScheduler, or null for a baseline policy.
  request::admission::TieredScheduler* AsTieredScheduler()
  {
    return dynamic_cast<request::admission::TieredScheduler*>(mScheduler.get());
  }

  request::capacity::CapacityClient& Client() { return mClient; }
  const core::HostId& Id() const { return mId; }
  std::uint32_t Region() const { return mRegion; }

private:
  std::unique_ptr<request::Scheduler> MakeBaselineScheduler(BaselinePolicy aPolicy)
  {
    return std::make_unique<BaselineScheduler>(aPolicy, mRandom, *this);
  }

  std::unique_ptr<request::Scheduler> MakeTieredScheduler()
  {
    return std::make_unique<request::admission::TieredScheduler>(
      request::admission::TieredSchedulerOptions{
        .settings = mSimulation.mOptions.settings,
        .timers = mSimulation.mTimers,
        .random = mRandom,
        .listener = *this,
        .versions = kAnyVersion,
        .capacity = mSimulation.mOptions.sharesCapacity ? &mClient : nullptr,
        .host = mId,
        .dataCentre = core::DataCentreId(std::string(kRegionNames[mRegion]) + "-a"),
        .region = core::RegionId(kRegionNames[mRegion]) });
  }

  Simulation& mSimulation;
  core::Random mRandom;
  std::uint32_t mRegion;
  core::HostId mId;
  request::capacity::CapacityClient mClient;
  std::unique_ptr<request::Scheduler> mScheduler;
};

double SimulationResult::TotalOfferedEngineSeconds() const
{
  return std::accumulate(offeredEngineSeconds.begin(), offeredEngineSeconds.end(), 0.0);
}

double SimulationResult::TotalInTimeEngineSeconds() const
{
  return std::accumulate(inTimeEngineSeconds.begin(), inTimeEngineSeconds.end(), 0.0);
}

double SimulationResult::InTimeShare(std::size_t aTier) const
{
  return offered[aTier] == 0
           ? 1.0
           : static_cast<double>(inTime[aTier]) / static_cast<double>(offered[aTier]);
}

double SimulationResult::ShareOfUpperBound(double aLoad) const
{
  return TotalInTimeEngineSeconds() / (TotalOfferedEngineSeconds() * std::min(1.0, 1.0 / aLoad));
}

Simulation::Simulation(const SimulationOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.seed)
  , mStartTime(mTimers.Now())
  , mClasses(MakeRequestClasses(aOptions.workload.isConsortium))
{
  MakeEngines();
  std::vector<test_framework::engine_model::EngineSettings> engines;
  for (std::size_t n = 0; n < mOptions.engines; ++n) {
    engines.push_back(mEngines[n]->Settings());
  }
  const std::vector<test_framework::engine_model::EngineSettings> plainEngines(
    kPlainUpstreamCount, test_framework::engine_model::MakePlainServiceSettings());
  const std::string& service = mClasses.front().service;
  const double rate = MaxRequestRate(mClasses, service, engines) * mOptions.workload.load;
  const double plainRate =
    MaxRequestRate(mClasses, mClasses.back().service, plainEngines) * kPlainLoad;
  std::vector<double> rates;
  for (const RequestClass& it : mClasses) {
    const double rateFactor = it.tier >= 2 ? mOptions.workload.lowTierRateFactor : 1.0;
    rates.push_back(it.mixShare * rateFactor * (it.service == service ? rate : plainRate));
  }
  mArrivals = MakeArrivals(mOptions.workload, mClasses, rates, mRandom);
  mRecords.resize(mArrivals.size());
  MakeHosts();
  if (mOptions.sharesCapacity) {
    StartCapacitySharing();
  }
  ScheduleFault();
}

Simulation::~Simulation() = default;

void Simulation::MakeEngines()
{
  const std::uint32_t total = mOptions.engines + kPlainUpstreamCount;
  for (std::uint32_t n = 0; n < total; ++n) {
    const bool isPlain = n >= mOptions.engines;
    const auto settings = isPlain ? test_framework::engine_model::MakePlainServiceSettings()
                                  : test_framework::engine_model::MakeGenerationSettings(
                                      n / kMaxRegions % kEngineGenerations);
    const std::string region = kRegionNames[n % mOptions.regions];
    const request::UpstreamAnnouncement announcement{
      .id = core::UpstreamId("engine-" + std::to_string(n)),
      .incarnation = core::Incarnation(1),
      .service = core::ServiceId(isPlain ? mClasses.back().service : mClasses.front().service),
      .version = core::VersionId("v1"),
      .dataCentre = core::DataCentreId(region + "-a"),
      .region = core::RegionId(region),
      .address = "127.0.0.1",
      .slots = settings.slots,
      .cacheCapacity = settings.cacheCapacity
    };
    mEngines.push_back(std::make_unique<test_framework::engine_model::EngineModel>(
      announcement, settings, mTimers, mRandom, *this));
  }
  mIsDraining.resize(total);
  mDrainStartedAt.resize(total);
}

void Simulation::MakeHosts()
{
  for (std::uint32_t n = 0; n < mOptions.hosts; ++n) {
    mHosts.push_back(std::make_unique<Host>(*this, n));
    for (const auto& engine : mEngines) {
      mHosts.back()->Scheduler().AddOrUpdateUpstream(engine->Announcement());
    }
  }
}

void Simulation::StartCapacitySharing()
{
  for (std::uint32_t region = 0; region < mOptions.regions; ++region) {
    mBrokers.push_back(std::make_unique<request::capacity::CapacityBroker>(
      mOptions.capacity, core::Term(1), mTimers.Now()));
  }
  for (std::size_t n = 0; n < mEngines.size(); ++n) {
    const request::UpstreamAnnouncement& it = mEngines[n]->Announcement();
    mBrokers[n % mOptions.regions]->AddOrUpdateUpstream(it.id, it.service, it.slots);
  }
  for (const auto& host : mHosts) {
    mTimerHandles.push_back(mTimers.ScheduleEvery(mOptions.capacity.reportPeriod,
                                                  [this, it = host.get()] { ReportDemand(*it); }));
  }
}

void Simulation::ReportDemand(Host& aHost)
{
  request::capacity::DemandReport report;
  report.host = aHost.Id();
  report.sequence = aHost.Client().BeginReport();
  report.appliedSequence = aHost.Client().AppliedSequence();
  aHost.AsTieredScheduler()->FillDemandReport(report);
  auto* broker = mBrokers[aHost.Region()].get();
  mTimerHandles.push_back(
    mTimers.ScheduleAfter(kIntraRegionDelay, [this, report, broker, host = &aHost] {
      auto table = broker->OnReport(report, mTimers.Now());
      mTimerHandles.push_back(mTimers.ScheduleAfter(
        kIntraRegionDelay, [table, host] { host->Client().ApplyTable(table); }));
    }));
}

void Simulation::ScheduleFault()
{
  if (mOptions.fault == Fault::Straggler) {
    mTimerHandles.push_back(mTimers.ScheduleAfter(mOptions.measureFrom, [this] {
      for (std::size_t n = 0; n < kMaxRegions; ++n) {
        mEngines[n + kMaxRegions]->SetSlowdown(4);
      }
    }));
  }
  if (mOptions.fault == Fault::Drain) {
    mTimerHandles.push_back(mTimers.ScheduleAfter(mOptions.measureFrom + core::Duration(5'000'000),
                                                  [this] { DrainEngine(4); }));
  }
}

void Simulation::DrainEngine(std::size_t aEngine)
{
  mIsDraining[aEngine] = true;
  mDrainStartedAt[aEngine] = mTimers.Now();
  for (const auto& host : mHosts) {
    const auto delay = core::Duration(static_cast<std::int64_t>(
      mRandom.UniformBelow(static_cast<std::uint64_t>(kMaxDrainNoticeDelay.count()))));
    mTimerHandles.push_back(mTimers.ScheduleAfter(delay, [this, aEngine, it = host.get()] {
      it->Scheduler().RemoveUpstream(mEngines[aEngine]->Announcement().id);
    }));
  }
}

SimulationResult Simulation::Run()
{
  while (mNextArrival < mArrivals.size()) {
    const core::Instant at = mStartTime + mArrivals[mNextArrival].arrivalTime;
    if (at - mStartTime >= mOptions.runLength) {
      break;
    }
    mTimers.Advance(at - mTimers.Now());
    SubmitNextArrival();
  }
  mTimers.Advance(mStartTime + mOptions.runLength - mTimers.Now());
  return CollectResult();
}

request::RequestSpec Simulation::MakeSpec(std::uint32_t aKey) const
{
  const Arrival& arrival = mArrivals[aKey];
  const RequestClass& requestClass = mClasses[arrival.classIndex];
  return { .id = core::RequestId(std::to_string(aKey)),
           .workspace = core::WorkspaceId("w" + std::to_string(arrival.workspace)),
           .tier = requestClass.tier,
           .service = core::ServiceId(requestClass.service),
           .route = core::RouteId(requestClass.name),
           .arrival = mTimers.Now(),
           .deadline = mTimers.Now() + requestClass.firstTokenTarget,
           .firstTokenTarget = requestClass.firstTokenTarget,
           .tokenGapTarget = requestClass.tokenGapTarget,
           .promptTokens = core::Tokens{ arrival.promptTokens },
           .maxOutputTokens = core::Tokens{ requestClass.meanResponseTokens * kMaxResponseFactor },
           .prefixHashes = arrival.prefixHashes,
           .retryable = requestClass.isRetryable };
}

void Simulation::SubmitNextArrival()
{
  const auto key = static_cast<std::uint32_t>(mNextArrival++);
  const Arrival& arrival = mArrivals[key];
  RequestRecord& record = mRecords[key];
  // The platform's load balancer is unaware of load: it picks any host in the caller's region.
  std::vector<std::uint32_t> localHosts;
  for (std::uint32_t n = 0; n < mHosts.size(); ++n) {
    if (mHosts[n]->Region() == arrival.region || mHosts.size() < mOptions.regions) {
      localHosts.push_back(n);
    }
  }
  record.hostIndex = localHosts[mRandom.UniformBelow(localHosts.size())];
  record.arrivedAt = mTimers.Now();
  const core::Duration patience = 2 * mClasses[arrival.classIndex].firstTokenTarget;
  record.callerTimeout = mTimers.ScheduleAfter(patience, [this, key] { CancelByCaller(key); });
  mHosts[record.hostIndex]->Scheduler().Submit(MakeSpec(key));
}

void Simulation::CancelByCaller(std::uint32_t aKey)
{
  RequestRecord& record = mRecords[aKey];
  if (record.shed || record.finished || record.outputTokens > 0) {
    return;
  }
  record.callerCancelled = true;
  const core::RequestId id(std::to_string(aKey));
  if (record.engineIndex < 0) {
    mHosts[record.hostIndex]->Scheduler().Withdraw(id);
    return;
  }
  mEngines[static_cast<std::size_t>(record.engineIndex)]->Cancel(aKey);
  mHosts[record.hostIndex]->Scheduler().OnAttemptEnded(id, request::AttemptOutcome::Cancelled);
}

void Simulation::Dispatch(std::uint32_t aKey, const core::UpstreamId& aUpstream)
{
  const auto engine = static_cast<std::size_t>(std::stoul(aUpstream.Text().substr(7)));
  RequestRecord& record = mRecords[aKey];
  mResult.redispatchedAfterStart += record.started ? 1 : 0;
  record.engineIndex = static_cast<std::int32_t>(engine);
  const bool remote = engine % mOptions.regions != mHosts[record.hostIndex]->Region();
  if (remote) {
    record.interRegionBytes += static_cast<double>(mArrivals[aKey].promptTokens) * kBytesPerToken;
  }
  if (mIsDraining[engine] && mTimers.Now() - mDrainStartedAt[engine] >= kDrainNoticeDeadline) {
    ++mResult.lateDispatches;
  }
  const core::Duration delay = remote ? kInterRegionDelay : kIntraRegionDelay;
  mTimerHandles.push_back(
    mTimers.ScheduleAfter(delay, [this, aKey, engine] { StartOnEngine(aKey, engine); }));
}

void Simulation::StartOnEngine(std::uint32_t aKey, std::size_t aEngine)
{
  RequestRecord& record = mRecords[aKey];
  if (record.callerCancelled) {
    return;
  }
  if (mIsDraining[aEngine]) {
    record.engineIndex = -1;
    mHosts[record.hostIndex]->Scheduler().OnAttemptEnded(core::RequestId(std::to_string(aKey)),
                                                         request::AttemptOutcome::Refused);
    return;
  }
  record.started = true;
  const Arrival& arrival = mArrivals[aKey];
  mEngines[aEngine]->Start({ .key = aKey,
                             .promptTokens = core::Tokens{ arrival.promptTokens },
                             .outputTokens = core::Tokens{ arrival.responseTokens },
                             .prefixHashes = arrival.prefixHashes });
}

void Simulation::OnToken(std::uint32_t aKey, bool aFirst)
{
  RequestRecord& record = mRecords[aKey];
  const core::Instant now = mTimers.Now();
  const bool remote = static_cast<std::uint32_t>(record.engineIndex) % mOptions.regions !=
                      mHosts[record.hostIndex]->Region();
  record.interRegionBytes += remote ? kBytesPerToken : 0;
  ++record.outputTokens;
  const core::RequestId id(std::to_string(aKey));
  if (aFirst) {
    record.firstTokenAt = now + (remote ? kInterRegionDelay : kIntraRegionDelay);
    mHosts[record.hostIndex]->Scheduler().OnFirstToken(id);
  } else {
    const core::Duration target = mClasses[mArrivals[aKey].classIndex].tokenGapTarget;
    record.lateTokenGaps += now - record.lastTokenAt > target ? 1 : 0;
    mHosts[record.hostIndex]->Scheduler().OnToken(id);
  }
  record.lastTokenAt = now;
}

void Simulation::OnFinished(std::uint32_t aKey)
{
  RequestRecord& record = mRecords[aKey];
  record.finished = true;
  record.callerTimeout.Cancel();
  mHosts[record.hostIndex]->Scheduler().OnAttemptEnded(core::RequestId(std::to_string(aKey)),
                                                       request::AttemptOutcome::Succeeded);
}

void Simulation::OnReport(const request::LoadReport& aReport)
{
  for (const auto& it : mHosts) {
    it->Scheduler().OnLoadReport(aReport);
  }
}

void Simulation::OnCacheEvent(const request::CacheEvent& aEvent)
{
  for (const auto& it : mHosts) {
    it->Scheduler().OnCacheEvent(aEvent);
  }
}

void Simulation::OnPrefilled(std::uint32_t aKey, core::Tokens aComputed)
{
  mRecords[aKey].computedPromptTokens += aComputed.value;
}

bool Simulation::IsFirstTokenInTime(const RequestRecord& aRecord, const RequestClass& aClass) const
{
  return aRecord.outputTokens > 0 &&
         aRecord.firstTokenAt - aRecord.arrivedAt <= aClass.firstTokenTarget;
}

bool Simulation::IsInTime(const RequestRecord& aRecord, const RequestClass& aClass) const
{
  // A response still streaming at the end of the run is rated by its token gaps so far.
  return !aRecord.callerCancelled && IsFirstTokenInTime(aRecord, aClass) &&
         aRecord.lateTokenGaps * kTokenGapsPerLateGap <=
           std::max<std::int64_t>(aRecord.outputTokens - 1, 0);
}

double Simulation::WastedPrefillTokens(std::uint32_t aKey, bool aInTime)
{
  const RequestRecord& record = mRecords[aKey];
  const Arrival& arrival = mArrivals[aKey];
  if (!aInTime || record.engineIndex < 0) {
    return static_cast<double>(record.computedPromptTokens);
  }
  const std::int64_t shared = arrival.sharedBlocks * request::kPrefixBlockTokens.value;
  const std::int64_t recomputed =
    std::max<std::int64_t>(0, record.computedPromptTokens - (arrival.promptTokens - shared));
  const auto region = static_cast<std::uint32_t>(record.engineIndex) % mOptions.regions;
  const bool isFirstInRegion =
    recomputed > 0 && mComputedTemplates.insert({ arrival.templateId, region }).second;
  return isFirstInRegion ? 0.0 : static_cast<double>(recomputed);
}

SimulationResult Simulation::CollectResult()
{
  for (std::uint32_t key = 0; key < mNextArrival; ++key) {
    const RequestRecord& record = mRecords[key];
    const Arrival& arrival = mArrivals[key];
    const RequestClass& requestClass = mClasses[arrival.classIndex];
    const bool inTime = IsInTime(record, requestClass);
    const double wasted = WastedPrefillTokens(key, inTime);
    if (arrival.arrivalTime < mOptions.measureFrom ||
        arrival.arrivalTime >= mOptions.measureUntil) {
      continue;
    }
    if (record.engineIndex >= 0 && mIsDraining[static_cast<std::size_t>(record.engineIndex)] &&
        record.started && !record.finished && !record.callerCancelled) {
      ++mResult.aborted;
    }
    if (requestClass.service != mClasses.front().service) {
      ++mResult.plainOffered;
      mResult.plainInTime += inTime ? 1 : 0;
      continue;
    }
    RequestClass actualClass = requestClass;
    actualClass.meanUniquePromptTokens = arrival.promptTokens - requestClass.sharedPromptTokens;
    actualClass.meanResponseTokens = arrival.responseTokens;
    const double work =
      MinEngineSeconds(actualClass, test_framework::engine_model::MakeGenerationSettings(1));
    ++mResult.offered[requestClass.tier];
    mResult.offeredEngineSeconds[requestClass.tier] += work;
    mResult.shed[requestClass.tier] += record.shed ? 1 : 0;
    mResult.inTime[requestClass.tier] += inTime ? 1 : 0;
    if (!inTime && !record.shed) {
      ++(IsFirstTokenInTime(record, requestClass) ? mResult.lateTokenGaps
                                                  : mResult.lateFirstToken)[requestClass.tier];
    }
    mResult.inTimeEngineSeconds[requestClass.tier] += inTime ? work : 0;
    mResult.hostInTimeEngineSeconds[record.hostIndex % 8] += inTime ? work : 0;
    mResult.prefillTokens += static_cast<double>(record.computedPromptTokens);
    mResult.wastedPrefillTokens += wasted;
    mResult.interRegionBytes += record.interRegionBytes;
  }
  return mResult;
}

} // namespace cuminfield::performance_test::decisions
