#include "PerformanceTest/moves/MoveTrial.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::performance_test::moves {

using namespace std::chrono_literals;
using version::moves::EvaluatorState;
using version::moves::IsRollBack;
using version::moves::MoveController;
using version::moves::MoveControllerSettings;
using version::moves::MoveEvaluator;
using version::moves::MoveEvaluatorSettings;
using version::moves::MoveEvidence;
using version::moves::MovePhase;
using version::moves::MoveShares;
using version::moves::MoveState;
using version::moves::MoveVerdict;
using version::moves::ObservationRecorder;
using version::moves::ObservationReport;
using version::moves::ShareUpdate;

namespace {

constexpr core::Duration kTick = 50ms;
constexpr std::uint64_t kTicksPerRound = 5;
constexpr std::size_t kMaxRequestTicks = 1'200; ///< Longer requests end after this many ticks.
/// A fault counts as detectable when the evidence of all hosts is ten times what the
/// coordinator and the evaluators act on: the same test at a tenth of their error rate. They have
/// to act earlier, since the same reports reach them in another order.
constexpr double kDetectableLogRatio = 2.303;
constexpr double kMessageLossRate = 0.03;
constexpr double kMinMessageDelaySeconds = 0.25;
constexpr double kMaxMessageDelaySeconds = 1.0;
constexpr core::Duration kElectionTime = 3s;
constexpr core::Duration kLoadTime = 5s;
constexpr core::Duration kSettleTime = 15s;
constexpr std::uint32_t kUpstreamsPerVersion = 4; ///< In each data centre.
constexpr double kRequestTimeoutSeconds =
  5.0;                                   ///< Until an upstream that sends nothing counts as failed.
constexpr double kColdStartFactor = 1.3; ///< Slows first tokens just after a version was loaded.
constexpr double kColdStartSeconds = 15.0;
constexpr std::array<std::uint32_t, 8> kHostDataCentres{ 0, 0, 0, 1, 1, 1, 2, 2 };
const core::ServiceId kServiceId("taxateur");
const core::VersionId kOldVersion("v1");
const core::VersionId kNewVersion("v2");
const core::MoveId kMoveId("move");
const std::array<core::DataCentreId, kDataCentreCount> kDataCentreIds{
  core::DataCentreId("gent-a"), core::DataCentreId("luik-a"), core::DataCentreId("elsene-a")
};
const std::array<core::RouteId, kRouteCount> kRouteIds{
  core::RouteId("quote"), core::RouteId("blurb"), core::RouteId("appraisal"),
  core::RouteId("stock"), core::RouteId("review")
};

core::Duration Seconds(double aSeconds)
{
  return core::Duration(static_cast<std::int64_t>(aSeconds * 1e6));
}

double ToSeconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

core::Duration ScaleDuration(core::Duration aDuration, double aShare)
{
  return Seconds(ToSeconds(aDuration) * aShare);
}

} // namespace

MoveTrial::MoveTrial(std::uint64_t aSeed, const std::optional<Fault>& aFault, double aRate)
  : mRandom(aSeed)
  , mFault(aFault)
  , mMoveDuration(Seconds(900.0 + 600.0 * mRandom.Uniform()))
  , mTraffic(mMoveDuration, aRate, mRandom)
  , mStartTime(mTimers.Now())
  , mRequestsByEndTick(kMaxRequestTicks)
{
  auto& service = mDocument.services.emplace_back();
  service.id = kServiceId;
  service.version = kOldVersion;
  auto& move = mDocument.moves.emplace_back();
  move.id = kMoveId;
  move.service = kServiceId;
  move.from = kOldVersion;
  move.to = kNewVersion;
  move.finishBy = mTimers.WallNow() + mMoveDuration;
  mSubject = { .move = kMoveId,
               .service = kServiceId,
               .from = kOldVersion,
               .to = kNewVersion,
               .routes = { kRouteIds.begin(), kRouteIds.end() } };
  MakeHosts();
  MakeOracles();
  mCoordinator = MakeCoordinator(std::nullopt);
  for (std::uint32_t it = 0; it < kDataCentreCount; ++it) {
    mEvaluators[it] = MakeEvaluator(it, std::nullopt);
  }
  if (mRandom.Chance(0.4)) {
    mCoordinatorFailureAt = ScaleDuration(mMoveDuration, 0.02 + 0.9 * mRandom.Uniform());
  }
  if (mRandom.Chance(0.2)) {
    mEvaluatorFailureAt = ScaleDuration(mMoveDuration, 0.02 + 0.9 * mRandom.Uniform());
  }
  if (mRandom.Chance(0.2)) {
    mPartitionedDataCentre =
      1 + static_cast<std::uint32_t>(mRandom.UniformBelow(kDataCentreCount - 1));
    mPartitionBegin = ScaleDuration(mMoveDuration, 0.1 + 0.6 * mRandom.Uniform());
    mPartitionEnd = mPartitionBegin + Seconds(40.0 + 160.0 * mRandom.Uniform());
    mResult.hasPartition = true;
  }
}

TrialResult MoveTrial::Run()
{
  while (Elapsed() < mMoveDuration && (!mEndedAt || Elapsed() < *mEndedAt + kSettleTime)) {
    Tick();
  }
  return CollectResult();
}

void MoveTrial::MakeHosts()
{
  for (std::uint32_t it = 0; it < kHostDataCentres.size(); ++it) {
    Host host;
    host.dataCentre = kHostDataCentres[it];
    const core::DataCentreId& dataCentre = kDataCentreIds[host.dataCentre];
    host.shares = std::make_unique<MoveShares>(dataCentre, mTimers);
    host.shares->SetDocument(mDocument);
    const core::HostId id("host-" + std::to_string(it));
    host.recorder = std::make_unique<ObservationRecorder>(id, dataCentre, core::Incarnation(1));
    mHosts.push_back(std::move(host));
  }
}

void MoveTrial::MakeOracles()
{
  mOracle = std::make_unique<MoveEvidence>(mSubject, version::moves::MoveEvidenceSettings{}, 0);
  for (auto& it : mLocalOracles) {
    it = std::make_unique<MoveEvidence>(mSubject, version::moves::MoveEvidenceSettings{}, 0);
  }
}

std::unique_ptr<MoveController> MoveTrial::MakeCoordinator(
  const std::optional<MoveState>& aCommitted)
{
  return std::make_unique<MoveController>(mDocument.moves[0], mSubject.routes, mTimers,
                                          MoveControllerSettings{}, aCommitted);
}

std::unique_ptr<MoveEvaluator> MoveTrial::MakeEvaluator(
  std::uint32_t aDataCentre, const std::optional<EvaluatorState>& aCommitted)
{
  return std::make_unique<MoveEvaluator>(mSubject, kDataCentreIds[aDataCentre], mTimers,
                                         MoveEvaluatorSettings{}, aCommitted);
}

void MoveTrial::Tick()
{
  mTimers.Advance(kTick);
  ++mTickCount;
  InjectFailures();
  DeliverMessages();
  FinishRequests();
  ProcessArrivals();
  if (mTickCount % kTicksPerRound == 0) {
    RunRound();
  }
}

void MoveTrial::DeliverMessages()
{
  while (!mMessages.empty() && mMessages.begin()->first <= mTimers.Now()) {
    const auto deliver = std::move(mMessages.begin()->second);
    mMessages.erase(mMessages.begin());
    deliver();
  }
}

void MoveTrial::FinishRequests()
{
  std::vector<RunningRequest>& requests = mRequestsByEndTick[mTickCount % kMaxRequestTicks];
  for (const RunningRequest& it : requests) {
    Host& host = mHosts[it.host];
    const auto outcome =
      it.fails ? request::AttemptOutcome::Failed : request::AttemptOutcome::Succeeded;
    version::moves::RequestSample sample;
    sample.service = kServiceId;
    sample.version = it.usesNewVersion ? kNewVersion : kOldVersion;
    sample.route = kRouteIds[it.route];
    sample.outcome = outcome;
    sample.firstToken = Seconds(it.firstToken);
    sample.predictedFirstToken = Seconds(it.predictedFirstToken);
    if (it.hasTokenGap) {
      sample.tokenGap = Seconds(it.tokenGap);
    }
    host.recorder->Record(sample);
    if (!it.usesNewVersion) {
      host.circuitBreaker.RecordOld(outcome);
      continue;
    }
    host.circuitBreaker.RecordNew(outcome);
    if (host.circuitBreaker.IsTripped()) {
      host.shares->Trip(kMoveId);
      host.recorder->RecordTrip(kMoveId);
    }
  }
  requests.clear();
}

void MoveTrial::ProcessArrivals()
{
  const double now = ToSeconds(Elapsed());
  const double mean = static_cast<double>(mHosts.size()) / mTraffic.Rate(Elapsed());
  for (std::uint32_t it = 0; it < mHosts.size(); ++it) {
    Host& host = mHosts[it];
    while (host.nextArrival <= now) {
      StartRequest(it);
      host.nextArrival += mRandom.Exponential(mean);
    }
  }
}

void MoveTrial::StartRequest(std::uint32_t aHost)
{
  const Host& host = mHosts[aHost];
  const TrafficRequest request = mTraffic.DrawRequest(Elapsed(), host.dataCentre);
  ++mRequestCount;
  RunningRequest running;
  running.host = aHost;
  running.route = request.route;
  running.predictedFirstToken = request.predictedFirstToken;
  running.usesNewVersion =
    host.shares->Choose(kServiceId, kRouteIds[request.route], mRandom.Uniform()) == kNewVersion;
  double failureRate = request.failureRate;
  running.firstToken = request.firstToken;
  running.tokenGap = request.tokenGap;
  if (running.usesNewVersion) {
    ++mNewVersionRequestCount;
    mLastNewVersionRequestAt[host.dataCentre] = Elapsed();
    const double age = ToSeconds(Elapsed() - mLastNewUpstreamLoadedAt);
    running.firstToken *=
      1.0 + (kColdStartFactor - 1.0) * std::clamp(1.0 - age / kColdStartSeconds, 0.0, 1.0);
    if (IsFaultActive(request.route)) {
      ++mFaultyRequestCount;
      failureRate += mFault->addedFailureRate;
      running.firstToken *= mFault->firstTokenFactor;
      running.tokenGap *= mFault->tokenGapFactor;
    }
  }
  running.fails = mRandom.Chance(failureRate);
  running.hasTokenGap = request.responseTokens >= 2.0;
  double duration = running.firstToken + running.tokenGap * request.responseTokens;
  if (running.fails) {
    duration = mFault && mFault->hangs ? kRequestTimeoutSeconds : 0.02;
  }
  const auto ticks = static_cast<std::uint64_t>(duration / ToSeconds(kTick)) + 1;
  mRequestsByEndTick[(mTickCount + std::min<std::uint64_t>(ticks, kMaxRequestTicks - 1)) %
                     kMaxRequestTicks]
    .push_back(running);
}

void MoveTrial::RunRound()
{
  SendReports();
  for (std::uint32_t it = 0; it < kDataCentreCount; ++it) {
    RunEvaluator(it);
  }
  RunCoordinator();
  RunOracles();
}

void MoveTrial::SendReports()
{
  for (Host& host : mHosts) {
    const auto report = std::make_shared<ObservationReport>(host.recorder->NextReport());
    const std::uint32_t dataCentre = host.dataCentre;
    for (std::uint32_t it = 0; it < kDataCentreCount; ++it) {
      Send(dataCentre, it, [this, it, report] { mEvaluators[it]->OnReport(*report); });
    }
    Send(dataCentre, 0, [this, report] {
      if (mCoordinator) {
        mCoordinator->OnReport(*report);
      }
    });
    if (!IsPartitioned(dataCentre)) {
      mOracle->AddReport(*report);
    }
    if (mPartitionedDataCentre == dataCentre) {
      mLocalOracles[dataCentre]->AddReport(*report);
    }
  }
}

void MoveTrial::RunCoordinator()
{
  if (!mCoordinator) {
    return;
  }
  if (Elapsed() >= mLastNewUpstreamLoadedAt + kLoadTime &&
      mCoordinator->State().phase != MovePhase::Waiting) {
    // Each data centre loads one upstream at a time, up to the capacity target.
    for (const auto& target : mCoordinator->CapacityTargets()) {
      const auto* dataCentre =
        std::find(kDataCentreIds.begin(), kDataCentreIds.end(), target.dataCentre);
      std::uint32_t& ready =
        mReadyNewUpstreams[static_cast<std::size_t>(dataCentre - kDataCentreIds.begin())];
      if (target.version == kNewVersion) {
        const std::uint32_t next = std::min(ready + 1, kUpstreamsPerVersion);
        const bool loads = target.upstreams > ready;
        mLastNewUpstreamLoadedAt = loads ? Elapsed() : mLastNewUpstreamLoadedAt;
        ready = loads ? next : std::min(ready, target.upstreams);
      }
    }
  }
  for (std::uint32_t it = 0; it < kDataCentreCount; ++it) {
    if (!IsPartitioned(it) || mTickCount <= kTicksPerRound) {
      mCoordinator->OnUpstreamCounts({ .dataCentre = kDataCentreIds[it],
                                       .oldReady = kUpstreamsPerVersion,
                                       .newReady = mReadyNewUpstreams[it] });
    }
  }
  mCoordinator->EndRound();
  if (mCoordinator->Proposed()) {
    mCommitted = *mCoordinator->Proposed();
    mCoordinator->OnCommitted(mCommitted);
  }
  for (const ShareUpdate& it : mCoordinator->Shares()) {
    SendToHosts(0, it);
  }
  const auto verdict = mCoordinator->Verdict();
  if (verdict) {
    SendToHosts(0, *verdict);
  }
  const bool isFinal = version::moves::IsFinal(mCoordinator->State().phase);
  if (isFinal && !mEndedAt) {
    mEndedAt = std::max(Elapsed(), mPartitionedDataCentre ? mPartitionEnd : Elapsed());
    mResult.endTimeShare = ToSeconds(Elapsed()) / ToSeconds(mMoveDuration);
  }
}

void MoveTrial::RunEvaluator(std::uint32_t aDataCentre)
{
  MoveEvaluator& evaluator = *mEvaluators[aDataCentre];
  evaluator.EndRound();
  if (const auto proposed = evaluator.Proposed()) {
    mEvaluatorStates[aDataCentre] = proposed;
    evaluator.OnCommitted(*proposed);
  }
  if (const auto shareUpdate = evaluator.ShareToRelay()) {
    for (Host& host : mHosts) {
      if (host.dataCentre == aDataCentre) {
        Send(aDataCentre, aDataCentre,
             [&host, shareUpdate] { host.shares->OnShareUpdate(*shareUpdate); });
      }
    }
  }
  const auto verdict = evaluator.Verdict();
  if (!verdict) {
    return;
  }
  mResult.isRolledBackWhilePartitioned =
    mResult.isRolledBackWhilePartitioned || IsPartitioned(aDataCentre);
  SendToHosts(aDataCentre, *verdict);
  Send(aDataCentre, 0, [this, verdict] {
    if (mCoordinator) {
      mCoordinator->OnVerdict(*verdict);
    }
  });
}

void MoveTrial::RunOracles()
{
  mOracle->EndRound();
  if (mPartitionedDataCentre) {
    mLocalOracles[*mPartitionedDataCentre]->EndRound();
  }
  RecordDetection(mDetectedAt, kDetectableLogRatio);
  RecordDetection(mDetectedEarlyAt, 0.0);
}

void MoveTrial::RecordDetection(DetectionTimes& aShowing, double aLevel) const
{
  if (!aShowing.global && mOracle->LogEvidenceRatio() >= aLevel) {
    aShowing.global = Elapsed();
  }
  if (!mPartitionedDataCentre) {
    return;
  }
  auto& local = aShowing.byDataCentre[*mPartitionedDataCentre];
  if (!local && mLocalOracles[*mPartitionedDataCentre]->LogEvidenceRatio() >= aLevel) {
    local = Elapsed();
  }
}

void MoveTrial::SendToHosts(std::uint32_t aFrom, const ShareUpdate& aUpdate)
{
  for (std::uint32_t dataCentre = 0; dataCentre < kDataCentreCount; ++dataCentre) {
    if (kDataCentreIds[dataCentre] != aUpdate.dataCentre) {
      continue;
    }
    Send(aFrom, dataCentre,
         [this, dataCentre, aUpdate] { mEvaluators[dataCentre]->OnShareUpdate(aUpdate); });
    for (Host& host : mHosts) {
      if (host.dataCentre == dataCentre) {
        Send(aFrom, dataCentre, [&host, aUpdate] { host.shares->OnShareUpdate(aUpdate); });
      }
    }
  }
}

void MoveTrial::SendToHosts(std::uint32_t aFrom, const MoveVerdict& aVerdict)
{
  for (Host& host : mHosts) {
    Send(aFrom, host.dataCentre, [&host, aVerdict] { host.shares->OnVerdict(aVerdict); });
  }
  for (std::uint32_t dataCentre = 0; dataCentre < kDataCentreCount; ++dataCentre) {
    Send(aFrom, dataCentre,
         [this, dataCentre, aVerdict] { mEvaluators[dataCentre]->OnVerdict(aVerdict); });
  }
}

void MoveTrial::InjectFailures()
{
  if (mCoordinatorFailureAt && Elapsed() >= *mCoordinatorFailureAt) {
    mCoordinator.reset();
    mCoordinatorRestartAt = Elapsed() + kElectionTime;
    mCoordinatorFailureAt.reset();
    ++mResult.coordinatorFailures;
  }
  if (mCoordinatorRestartAt && Elapsed() >= *mCoordinatorRestartAt) {
    mCoordinator =
      MakeCoordinator(mCommitted.move.IsEmpty() ? std::nullopt : std::optional(mCommitted));
    mCoordinatorRestartAt.reset();
    // The next coordinator may fail as well.
    if (mRandom.Chance(0.2)) {
      mCoordinatorFailureAt = Elapsed() + Seconds(5.0 + 200.0 * mRandom.Uniform());
    }
  }
  if (mEvaluatorFailureAt && Elapsed() >= *mEvaluatorFailureAt) {
    const auto dataCentre = static_cast<std::uint32_t>(mRandom.UniformBelow(kDataCentreCount));
    mEvaluators[dataCentre] = MakeEvaluator(dataCentre, mEvaluatorStates[dataCentre]);
    mEvaluatorFailureAt.reset();
    ++mResult.evaluatorFailures;
  }
}

bool MoveTrial::IsFaultActive(std::uint32_t aRoute) const
{
  if (!mFault) {
    return false;
  }
  switch (mFault->timing) {
    case FaultTiming::Immediate:
      return true;
    case FaultTiming::Delayed:
      return Elapsed() >= ScaleDuration(mMoveDuration, mFault->onsetShare);
    case FaultTiming::UnderLoad:
      return mTraffic.IsBurst(Elapsed());
    case FaultTiming::SingleRoute:
      return aRoute == mFault->affectedRoute;
  }
  return false;
}

bool MoveTrial::IsPartitioned(std::uint32_t aDataCentre) const
{
  return mPartitionedDataCentre == aDataCentre && Elapsed() >= mPartitionBegin &&
         Elapsed() < mPartitionEnd;
}

bool MoveTrial::AreAllHostsDone() const
{
  return std::all_of(mHosts.begin(), mHosts.end(),
                     [](const Host& aHost) { return aHost.shares->ShareOf(kMoveId) >= 1.0; });
}

void MoveTrial::Send(std::uint32_t aFrom, std::uint32_t aTo, std::function<void()> aDeliver)
{
  const bool isBlocked = aFrom != aTo && (IsPartitioned(aFrom) || IsPartitioned(aTo));
  if (isBlocked || mRandom.Chance(kMessageLossRate)) {
    return;
  }
  const double delay = kMinMessageDelaySeconds +
                       (kMaxMessageDelaySeconds - kMinMessageDelaySeconds) * mRandom.Uniform();
  mMessages.emplace(mTimers.Now() + Seconds(delay), std::move(aDeliver));
}

core::Duration MoveTrial::Elapsed() const
{
  return mTimers.Now() - mStartTime;
}

TrialResult MoveTrial::CollectResult()
{
  const double totalRequests = static_cast<double>(mRequestCount) + ExpectedRemainingRequests();
  mResult.isBad = mFault.has_value();
  mResult.label = mFault ? mFault->Label() : "good";
  mResult.isRolledBack = IsRollBack(mCommitted.phase);
  mResult.isFinished = mCommitted.phase == MovePhase::Done && AreAllHostsDone();
  mResult.faultyShare = static_cast<double>(mFaultyRequestCount) / totalRequests;
  mResult.newVersionShare = static_cast<double>(mNewVersionRequestCount) / totalRequests;
  mResult.isFaultDetectable = mDetectedAt.global.has_value();
  mResult.reason = mCommitted.reason;
  for (std::uint32_t it = 0; it < kDataCentreCount; ++it) {
    mResult.rollBackLag = std::max(mResult.rollBackLag, RollBackLag(mDetectedAt, it));
    mResult.earlyRollBackLag =
      std::max(mResult.earlyRollBackLag, RollBackLag(mDetectedEarlyAt, it));
  }
  return mResult;
}

double MoveTrial::RollBackLag(const DetectionTimes& aShowing, std::uint32_t aDataCentre) const
{
  std::optional<core::Duration> detectedAt = aShowing.global;
  if (detectedAt && mPartitionedDataCentre == aDataCentre && *detectedAt >= mPartitionBegin &&
      *detectedAt < mPartitionEnd) {
    detectedAt = mPartitionEnd; // No other data centre can detect it before.
  }
  const auto& local = aShowing.byDataCentre[aDataCentre];
  if (local && (!detectedAt || *local < *detectedAt)) {
    detectedAt = local;
  }
  if (!detectedAt || !mLastNewVersionRequestAt[aDataCentre]) {
    return 0.0;
  }
  return std::max(0.0, ToSeconds(*mLastNewVersionRequestAt[aDataCentre] - *detectedAt));
}

double MoveTrial::ExpectedRemainingRequests() const
{
  double remaining = 0.0;
  for (core::Duration at = Elapsed(); at < mMoveDuration; at += 1s) {
    remaining += mTraffic.Rate(at);
  }
  return remaining;
}

} // namespace cuminfield::performance_test::moves
