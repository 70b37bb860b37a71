#include "PerformanceTest/decisions/Simulation.h"

#include "PerformanceTest/decisions/BaselineScheduler.h"
#include "cuminfield/request/admission/TieredScheduler.h"

#include <numeric>

namespace cuminfield::performance_test::decisions {

namespace {

constexpr std::uint32_t kMostRegions = 3;
constexpr std::uint32_t kGenerations = 3;
constexpr std::uint32_t kPlainUpstreams = 3;
constexpr double kBytesPerToken = 4;
constexpr double kPlainLoad = 0.5;        ///< Share of the plain upstreams' capacity.
constexpr std::int64_t kGapsPerLate = 20; ///< One late gap in 20 is allowed: 95% in time.
constexpr core::Duration kRegionDelay{ 8'000 };
constexpr core::Duration kLocalDelay{ 500 };
constexpr core::Duration kNoticeOfLeave{ 500'000 };
constexpr core::Duration kNoNewWork{ 3'000'000 };
const char* const kRegionNames[kMostRegions] = { "gent", "luik", "elsene" };

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

std::uint32_t KeyOf(const core::RequestId& aRequest)
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
      mScheduler = Baseline(BaselinePolicy::Random);
    } else if (policy == "round-robin") {
      mScheduler = Baseline(BaselinePolicy::RoundRobin);
    } else if (policy == "least-load") {
      mScheduler = Baseline(BaselinePolicy::LeastLoad);
    } else {
      mScheduler = Tiered();
    }
  }

  void OnDispatch(const core::RequestId& aRequest,
                  const request::UpstreamAnnouncement& aUpstream) override
  {
    mSimulation.Dispatch(KeyOf(aRequest), aUpstream.id);
  }

  void OnShed(const core::RequestId& aRequest, request::ShedReason, core::Duration) override
  {
    mSimulation.mRecords[KeyOf(aRequest)].shed = true;
  }

  request::Scheduler& Scheduler() { return *mScheduler; }

  /// Returns the scheduler as a TieredScheduler, or null for a baseline policy.
  request::admission::TieredScheduler* Tiers()
  {
    return dynamic_cast<request::admission::TieredScheduler*>(mScheduler.get());
  }

  request::capacity::CapacityClient& Client() { return mClient; }
  const core::HostId& Id() const { return mId; }
  std::uint32_t Region() const { return mRegion; }

private:
  std::unique_ptr<request::Scheduler> Baseline(BaselinePolicy aPolicy)
  {
    return std::make_unique<BaselineScheduler>(aPolicy, mRandom, *this);
  }

  std::unique_ptr<request::Scheduler> Tiered()
  {
    return std::make_unique<request::admission::TieredScheduler>(
      request::admission::TieredSchedulerOptions{
        .settings = mSimulation.mOptions.settings,
        .timers = mSimulation.mTimers,
        .random = mRandom,
        .listener = *this,
        .versions = kAnyVersion,
        .capacity = mSimulation.mOptions.shared ? &mClient : nullptr,
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

double SimulationResult::Offered() const
{
  return std::accumulate(offeredWork.begin(), offeredWork.end(), 0.0);
}

double SimulationResult::InTime() const
{
  return std::accumulate(inTimeWork.begin(), inTimeWork.end(), 0.0);
}

double SimulationResult::TierShare(std::size_t aTier) const
{
  return offered[aTier] == 0
           ? 1.0
           : static_cast<double>(inTime[aTier]) / static_cast<double>(offered[aTier]);
}

double SimulationResult::OfBound(double aLoad) const
{
  return InTime() / (Offered() * std::min(1.0, 1.0 / aLoad));
}

Simulation::Simulation(const SimulationOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.seed)
  , mStart(mTimers.Now())
  , mClasses(Classes(aOptions.workload.consortium))
{
  MakeEngines();
  std::vector<test_framework::engine_model::EngineSettings> engines;
  for (std::size_t n = 0; n < mOptions.engines; ++n) {
    engines.push_back(mEngines[n]->Settings());
  }
  const std::vector<test_framework::engine_model::EngineSettings> plainEngines(
    kPlainUpstreams, test_framework::engine_model::MakePlainServiceSettings());
  const std::string& service = mClasses.front().service;
  const double rate = Capacity(mClasses, service, engines) * mOptions.workload.load;
  const double plainRate = Capacity(mClasses, mClasses.back().service, plainEngines) * kPlainLoad;
  std::vector<double> rates;
  for (const RequestClass& it : mClasses) {
    const double rateFactor = it.tier >= 2 ? mOptions.workload.lowTiers : 1.0;
    rates.push_back(it.mix * rateFactor * (it.service == service ? rate : plainRate));
  }
  mArrivals = MakeArrivals(mOptions.workload, mClasses, rates, mRandom);
  mRecords.resize(mArrivals.size());
  MakeHosts();
  if (mOptions.shared) {
    StartSharing();
  }
  ScheduleFault();
}

Simulation::~Simulation() = default;

void Simulation::MakeEngines()
{
  const std::uint32_t total = mOptions.engines + kPlainUpstreams;
  for (std::uint32_t n = 0; n < total; ++n) {
    const bool isPlain = n >= mOptions.engines;
    const auto settings =
      isPlain
        ? test_framework::engine_model::MakePlainServiceSettings()
        : test_framework::engine_model::MakeGenerationSettings(n / kMostRegions % kGenerations);
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
  mLeaving.resize(total);
  mLeftAt.resize(total);
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

void Simulation::StartSharing()
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
    mHandles.push_back(mTimers.ScheduleEvery(mOptions.capacity.reportPeriod,
                                             [this, it = host.get()] { ReportDemand(*it); }));
  }
}

void Simulation::ReportDemand(Host& aHost)
{
  request::capacity::DemandReport report;
  report.host = aHost.Id();
  report.sequence = aHost.Client().BeginReport();
  report.appliedSequence = aHost.Client().AppliedSequence();
  aHost.Tiers()->FillDemandReport(report);
  auto* broker = mBrokers[aHost.Region()].get();
  mHandles.push_back(mTimers.ScheduleAfter(kLocalDelay, [this, report, broker, host = &aHost] {
    auto table = broker->OnReport(report, mTimers.Now());
    mHandles.push_back(
      mTimers.ScheduleAfter(kLocalDelay, [table, host] { host->Client().ApplyTable(table); }));
  }));
}

void Simulation::ScheduleFault()
{
  if (mOptions.fault == Fault::Straggler) {
    mHandles.push_back(mTimers.ScheduleAfter(mOptions.measureFrom, [this] {
      for (std::size_t n = 0; n < kMostRegions; ++n) {
        mEngines[n + kMostRegions]->SetSlowdown(4);
      }
    }));
  }
  if (mOptions.fault == Fault::Leave) {
    mHandles.push_back(mTimers.ScheduleAfter(mOptions.measureFrom + core::Duration(5'000'000),
                                             [this] { Leave(4); }));
  }
}

void Simulation::Leave(std::size_t aEngine)
{
  mLeaving[aEngine] = true;
  mLeftAt[aEngine] = mTimers.Now();
  for (const auto& host : mHosts) {
    const auto delay = core::Duration(static_cast<std::int64_t>(
      mRandom.UniformBelow(static_cast<std::uint64_t>(kNoticeOfLeave.count()))));
    mHandles.push_back(mTimers.ScheduleAfter(delay, [this, aEngine, it = host.get()] {
      it->Scheduler().RemoveUpstream(mEngines[aEngine]->Announcement().id);
    }));
  }
}

SimulationResult Simulation::Run()
{
  while (mNextArrival < mArrivals.size()) {
    const core::Instant at = mStart + mArrivals[mNextArrival].at;
    if (at - mStart >= mOptions.end) {
      break;
    }
    mTimers.Advance(at - mTimers.Now());
    Arrive();
  }
  mTimers.Advance(mStart + mOptions.end - mTimers.Now());
  return Collect();
}

request::RequestSpec Simulation::SpecOf(std::uint32_t aKey) const
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
           .promptTokens = core::Tokens{ arrival.prompt },
           .maxOutputTokens = core::Tokens{ requestClass.answer * kAnswerBound },
           .prefixHashes = arrival.prefix,
           .retryable = requestClass.mayRepeat };
}

void Simulation::Arrive()
{
  const auto key = static_cast<std::uint32_t>(mNextArrival++);
  const Arrival& arrival = mArrivals[key];
  Record& record = mRecords[key];
  // The platform's load balancer is unaware of load: it picks any host in the caller's region.
  std::vector<std::uint32_t> localHosts;
  for (std::uint32_t n = 0; n < mHosts.size(); ++n) {
    if (mHosts[n]->Region() == arrival.region || mHosts.size() < mOptions.regions) {
      localHosts.push_back(n);
    }
  }
  record.host = localHosts[mRandom.UniformBelow(localHosts.size())];
  record.arrival = mTimers.Now();
  const core::Duration patience = 2 * mClasses[arrival.classIndex].firstTokenTarget;
  record.patience = mTimers.ScheduleAfter(patience, [this, key] { CallerLeaves(key); });
  mHosts[record.host]->Scheduler().Submit(SpecOf(key));
}

void Simulation::CallerLeaves(std::uint32_t aKey)
{
  Record& record = mRecords[aKey];
  if (record.shed || record.finished || record.tokens > 0) {
    return;
  }
  record.left = true;
  const core::RequestId id(std::to_string(aKey));
  if (record.engine < 0) {
    mHosts[record.host]->Scheduler().Withdraw(id);
    return;
  }
  mEngines[static_cast<std::size_t>(record.engine)]->Cancel(aKey);
  mHosts[record.host]->Scheduler().OnAttemptEnded(id, request::AttemptOutcome::Cancelled);
}

void Simulation::Dispatch(std::uint32_t aKey, const core::UpstreamId& aUpstream)
{
  const auto engine = static_cast<std::size_t>(std::stoul(aUpstream.Text().substr(7)));
  Record& record = mRecords[aKey];
  mResult.sentTwice += record.started ? 1 : 0;
  record.engine = static_cast<std::int32_t>(engine);
  const bool remote = engine % mOptions.regions != mHosts[record.host]->Region();
  if (remote) {
    record.bytes += static_cast<double>(mArrivals[aKey].prompt) * kBytesPerToken;
  }
  if (mLeaving[engine] && mTimers.Now() - mLeftAt[engine] >= kNoNewWork) {
    ++mResult.lateDispatches;
  }
  const core::Duration delay = remote ? kRegionDelay : kLocalDelay;
  mHandles.push_back(mTimers.ScheduleAfter(delay, [this, aKey, engine] { StartAt(aKey, engine); }));
}

void Simulation::StartAt(std::uint32_t aKey, std::size_t aEngine)
{
  Record& record = mRecords[aKey];
  if (record.left) {
    return;
  }
  if (mLeaving[aEngine]) {
    record.engine = -1;
    mHosts[record.host]->Scheduler().OnAttemptEnded(core::RequestId(std::to_string(aKey)),
                                                    request::AttemptOutcome::Refused);
    return;
  }
  record.started = true;
  const Arrival& arrival = mArrivals[aKey];
  mEngines[aEngine]->Start({ .key = aKey,
                             .promptTokens = core::Tokens{ arrival.prompt },
                             .outputTokens = core::Tokens{ arrival.answer },
                             .prefixHashes = arrival.prefix });
}

void Simulation::OnToken(std::uint32_t aKey, bool aFirst)
{
  Record& record = mRecords[aKey];
  const core::Instant now = mTimers.Now();
  const bool remote =
    static_cast<std::uint32_t>(record.engine) % mOptions.regions != mHosts[record.host]->Region();
  record.bytes += remote ? kBytesPerToken : 0;
  ++record.tokens;
  const core::RequestId id(std::to_string(aKey));
  if (aFirst) {
    record.first = now + (remote ? kRegionDelay : kLocalDelay);
    mHosts[record.host]->Scheduler().OnFirstToken(id);
  } else {
    const core::Duration target = mClasses[mArrivals[aKey].classIndex].tokenGapTarget;
    record.lateGaps += now - record.last > target ? 1 : 0;
    mHosts[record.host]->Scheduler().OnToken(id);
  }
  record.last = now;
}

void Simulation::OnFinished(std::uint32_t aKey)
{
  Record& record = mRecords[aKey];
  record.finished = true;
  record.patience.Cancel();
  mHosts[record.host]->Scheduler().OnAttemptEnded(core::RequestId(std::to_string(aKey)),
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
  mRecords[aKey].computed += aComputed.value;
}

bool Simulation::FirstInTime(const Record& aRecord, const RequestClass& aClass) const
{
  return aRecord.tokens > 0 && aRecord.first - aRecord.arrival <= aClass.firstTokenTarget;
}

bool Simulation::InTime(const Record& aRecord, const RequestClass& aClass) const
{
  // A response still streaming at the end of the run is rated by its token gaps so far.
  return !aRecord.left && FirstInTime(aRecord, aClass) &&
         aRecord.lateGaps * kGapsPerLate <= std::max<std::int64_t>(aRecord.tokens - 1, 0);
}

double Simulation::Wasted(std::uint32_t aKey, bool aInTime)
{
  const Record& record = mRecords[aKey];
  const Arrival& arrival = mArrivals[aKey];
  if (!aInTime || record.engine < 0) {
    return static_cast<double>(record.computed);
  }
  const std::int64_t shared = arrival.sharedBlocks * request::kPrefixBlockTokens.value;
  const std::int64_t recomputed =
    std::max<std::int64_t>(0, record.computed - (arrival.prompt - shared));
  const auto region = static_cast<std::uint32_t>(record.engine) % mOptions.regions;
  const bool isFirstInRegion =
    recomputed > 0 && mComputedTemplates.insert({ arrival.templateId, region }).second;
  return isFirstInRegion ? 0.0 : static_cast<double>(recomputed);
}

SimulationResult Simulation::Collect()
{
  for (std::uint32_t key = 0; key < mNextArrival; ++key) {
    const Record& record = mRecords[key];
    const Arrival& arrival = mArrivals[key];
    const RequestClass& requestClass = mClasses[arrival.classIndex];
    const bool inTime = InTime(record, requestClass);
    const double wasted = Wasted(key, inTime);
    if (arrival.at < mOptions.measureFrom || arrival.at >= mOptions.measureUntil) {
      continue;
    }
    if (record.engine >= 0 && mLeaving[static_cast<std::size_t>(record.engine)] && record.started &&
        !record.finished && !record.left) {
      ++mResult.cutOff;
    }
    if (requestClass.service != mClasses.front().service) {
      ++mResult.plainOffered;
      mResult.plainInTime += inTime ? 1 : 0;
      continue;
    }
    RequestClass actualClass = requestClass;
    actualClass.ownPrompt = arrival.prompt - requestClass.sharedPrompt;
    actualClass.answer = arrival.answer;
    const double work = Work(actualClass, test_framework::engine_model::MakeGenerationSettings(1));
    ++mResult.offered[requestClass.tier];
    mResult.offeredWork[requestClass.tier] += work;
    mResult.shed[requestClass.tier] += record.shed ? 1 : 0;
    mResult.inTime[requestClass.tier] += inTime ? 1 : 0;
    if (!inTime && !record.shed) {
      ++(FirstInTime(record, requestClass) ? mResult.lateGaps
                                           : mResult.lateFirst)[requestClass.tier];
    }
    mResult.inTimeWork[requestClass.tier] += inTime ? work : 0;
    mResult.hostInTimeWork[record.host % 8] += inTime ? work : 0;
    mResult.prefill += static_cast<double>(record.computed);
    mResult.wasted += wasted;
    mResult.regionBytes += record.bytes;
  }
  return mResult;
}

} // namespace cuminfield::performance_test::decisions
