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
constexpr std::size_t kEndingTicks = 1'200; ///< Longer requests end after this many ticks.
/// A fault counts as detectable when the evidence of all hosts is ten times what the
/// coordinator and the evaluators act on: the same test at a tenth of their error rate. They have
/// to act earlier, since the same reports reach them in another order.
constexpr double kShownLevel = 2.303;
constexpr double kLoss = 0.03;
constexpr double kShortestDelay = 0.25;
constexpr double kLongestDelay = 1.0;
constexpr core::Duration kElection = 3s;
constexpr core::Duration kLoadTime = 5s;
constexpr core::Duration kAfterTheEnd = 15s;
constexpr std::uint32_t kUpstreams = 4; ///< In each data centre.
constexpr double kTimeout = 5.0;        ///< Until an upstream that sends nothing counts as failed.
constexpr double kColdFactor = 1.3;     ///< Slows first tokens just after a version was loaded.
constexpr double kColdSeconds = 15.0;
constexpr std::array<std::uint32_t, 8> kHostPlaces{ 0, 0, 0, 1, 1, 1, 2, 2 };
const core::ServiceId kService("taxateur");
const core::VersionId kOld("v1");
const core::VersionId kNew("v2");
const core::MoveId kMove("move");
const std::array<core::DataCentreId, kDataCentres> kPlaces{ core::DataCentreId("gent-a"),
                                                            core::DataCentreId("luik-a"),
                                                            core::DataCentreId("elsene-a") };
const std::array<core::RouteId, kRoutes> kRouteIds{ core::RouteId("quote"), core::RouteId("blurb"),
                                                    core::RouteId("appraisal"),
                                                    core::RouteId("stock"),
                                                    core::RouteId("review") };

core::Duration Seconds(double aSeconds)
{
  return core::Duration(static_cast<std::int64_t>(aSeconds * 1e6));
}

double ToSeconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

core::Duration Part(core::Duration aDuration, double aShare)
{
  return Seconds(ToSeconds(aDuration) * aShare);
}

} // namespace

MoveTrial::MoveTrial(std::uint64_t aSeed, const std::optional<Fault>& aFault, double aRate)
  : mRandom(aSeed)
  , mFault(aFault)
  , mLength(Seconds(900.0 + 600.0 * mRandom.Uniform()))
  , mTraffic(mLength, aRate, mRandom)
  , mBegin(mTimers.Now())
  , mEnding(kEndingTicks)
{
  auto& service = mDocument.services.emplace_back();
  service.id = kService;
  service.version = kOld;
  auto& move = mDocument.moves.emplace_back();
  move.id = kMove;
  move.service = kService;
  move.from = kOld;
  move.to = kNew;
  move.finishBy = mTimers.WallNow() + mLength;
  mSubject = { .move = kMove,
               .service = kService,
               .from = kOld,
               .to = kNew,
               .routes = { kRouteIds.begin(), kRouteIds.end() } };
  MakeHosts();
  MakeOracles();
  mDirector = MakeDirector(std::nullopt);
  for (std::uint32_t it = 0; it < kDataCentres; ++it) {
    mJudges[it] = MakeJudge(it, std::nullopt);
  }
  if (mRandom.Chance(0.4)) {
    mDirectorDeath = Part(mLength, 0.02 + 0.9 * mRandom.Uniform());
  }
  if (mRandom.Chance(0.2)) {
    mJudgeDeath = Part(mLength, 0.02 + 0.9 * mRandom.Uniform());
  }
  if (mRandom.Chance(0.2)) {
    mCutOff = 1 + static_cast<std::uint32_t>(mRandom.UniformBelow(kDataCentres - 1));
    mCutBegin = Part(mLength, 0.1 + 0.6 * mRandom.Uniform());
    mCutEnd = mCutBegin + Seconds(40.0 + 160.0 * mRandom.Uniform());
    mResult.isCutOff = true;
  }
}

TrialResult MoveTrial::Run()
{
  while (Elapsed() < mLength && (!mEnded || Elapsed() < *mEnded + kAfterTheEnd)) {
    Tick();
  }
  return Collect();
}

void MoveTrial::MakeHosts()
{
  for (std::uint32_t it = 0; it < kHostPlaces.size(); ++it) {
    Host host;
    host.dataCentre = kHostPlaces[it];
    const core::DataCentreId& dataCentre = kPlaces[host.dataCentre];
    host.shares = std::make_unique<MoveShares>(dataCentre, mTimers);
    host.shares->SetDocument(mDocument);
    const core::HostId id("host-" + std::to_string(it));
    host.log = std::make_unique<ObservationRecorder>(id, dataCentre, core::Incarnation(1));
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

std::unique_ptr<MoveController> MoveTrial::MakeDirector(const std::optional<MoveState>& aCommitted)
{
  return std::make_unique<MoveController>(mDocument.moves[0], mSubject.routes, mTimers,
                                          MoveControllerSettings{}, aCommitted);
}

std::unique_ptr<MoveEvaluator> MoveTrial::MakeJudge(std::uint32_t aDataCentre,
                                                    const std::optional<EvaluatorState>& aCommitted)
{
  return std::make_unique<MoveEvaluator>(mSubject, kPlaces[aDataCentre], mTimers,
                                         MoveEvaluatorSettings{}, aCommitted);
}

void MoveTrial::Tick()
{
  mTimers.Advance(kTick);
  ++mTicks;
  Failures();
  Deliver();
  FinishRequests();
  Arrivals();
  if (mTicks % kTicksPerRound == 0) {
    Round();
  }
}

void MoveTrial::Deliver()
{
  while (!mMessages.empty() && mMessages.begin()->first <= mTimers.Now()) {
    const auto deliver = std::move(mMessages.begin()->second);
    mMessages.erase(mMessages.begin());
    deliver();
  }
}

void MoveTrial::FinishRequests()
{
  std::vector<Running>& requests = mEnding[mTicks % kEndingTicks];
  for (const Running& it : requests) {
    Host& host = mHosts[it.host];
    const auto outcome =
      it.fails ? request::AttemptOutcome::Failed : request::AttemptOutcome::Succeeded;
    version::moves::RequestSample sample;
    sample.service = kService;
    sample.version = it.isNew ? kNew : kOld;
    sample.route = kRouteIds[it.route];
    sample.outcome = outcome;
    sample.firstToken = Seconds(it.firstToken);
    sample.predictedFirstToken = Seconds(it.predictedFirstToken);
    if (it.hasGap) {
      sample.tokenGap = Seconds(it.tokenGap);
    }
    host.log->Record(sample);
    if (!it.isNew) {
      host.trip.RecordOld(outcome);
      continue;
    }
    host.trip.RecordNew(outcome);
    if (host.trip.IsTripped()) {
      host.shares->Trip(kMove);
      host.log->RecordTrip(kMove);
    }
  }
  requests.clear();
}

void MoveTrial::Arrivals()
{
  const double now = ToSeconds(Elapsed());
  const double mean = static_cast<double>(mHosts.size()) / mTraffic.Rate(Elapsed());
  for (std::uint32_t it = 0; it < mHosts.size(); ++it) {
    Host& host = mHosts[it];
    while (host.nextArrival <= now) {
      Arrive(it);
      host.nextArrival += mRandom.Exponential(mean);
    }
  }
}

void MoveTrial::Arrive(std::uint32_t aHost)
{
  const Host& host = mHosts[aHost];
  const TrafficRequest request = mTraffic.Draw(Elapsed(), host.dataCentre);
  ++mRequests;
  Running running;
  running.host = aHost;
  running.route = request.route;
  running.predictedFirstToken = request.predictedFirstToken;
  running.isNew =
    host.shares->Choose(kService, kRouteIds[request.route], mRandom.Uniform()) == kNew;
  double failureRate = request.failureRate;
  running.firstToken = request.firstToken;
  running.tokenGap = request.tokenGap;
  if (running.isNew) {
    ++mSent;
    mLastSent[host.dataCentre] = Elapsed();
    const double age = ToSeconds(Elapsed() - mNextLoaded);
    running.firstToken *=
      1.0 + (kColdFactor - 1.0) * std::clamp(1.0 - age / kColdSeconds, 0.0, 1.0);
    if (IsAtFault(request.route)) {
      ++mMet;
      failureRate += mFault->failureRate;
      running.firstToken *= mFault->slowFirstToken;
      running.tokenGap *= mFault->slowGap;
    }
  }
  running.fails = mRandom.Chance(failureRate);
  running.hasGap = request.tokens >= 2.0;
  double duration = running.firstToken + running.tokenGap * request.tokens;
  if (running.fails) {
    duration = mFault && mFault->hangs ? kTimeout : 0.02;
  }
  const auto ticks = static_cast<std::uint64_t>(duration / ToSeconds(kTick)) + 1;
  mEnding[(mTicks + std::min<std::uint64_t>(ticks, kEndingTicks - 1)) % kEndingTicks].push_back(
    running);
}

void MoveTrial::Round()
{
  SendReports();
  for (std::uint32_t it = 0; it < kDataCentres; ++it) {
    JudgeRound(it);
  }
  DirectorRound();
  OracleRound();
}

void MoveTrial::SendReports()
{
  for (Host& host : mHosts) {
    const auto report = std::make_shared<ObservationReport>(host.log->NextReport());
    const std::uint32_t dataCentre = host.dataCentre;
    for (std::uint32_t it = 0; it < kDataCentres; ++it) {
      Send(dataCentre, it, [this, it, report] { mJudges[it]->OnReport(*report); });
    }
    Send(dataCentre, 0, [this, report] {
      if (mDirector) {
        mDirector->OnReport(*report);
      }
    });
    if (!IsCut(dataCentre)) {
      mOracle->AddReport(*report);
    }
    if (mCutOff == dataCentre) {
      mLocalOracles[dataCentre]->AddReport(*report);
    }
  }
}

void MoveTrial::DirectorRound()
{
  if (!mDirector) {
    return;
  }
  if (Elapsed() >= mNextLoaded + kLoadTime && mDirector->State().phase != MovePhase::Waiting) {
    // Each data centre loads one upstream at a time, up to the capacity target.
    for (const auto& target : mDirector->CapacityTargets()) {
      const auto* dataCentre = std::find(kPlaces.begin(), kPlaces.end(), target.dataCentre);
      std::uint32_t& ready = mNewReady[static_cast<std::size_t>(dataCentre - kPlaces.begin())];
      if (target.version == kNew) {
        const std::uint32_t next = std::min(ready + 1, kUpstreams);
        const bool loads = target.upstreams > ready;
        mNextLoaded = loads ? Elapsed() : mNextLoaded;
        ready = loads ? next : std::min(ready, target.upstreams);
      }
    }
  }
  for (std::uint32_t it = 0; it < kDataCentres; ++it) {
    if (!IsCut(it) || mTicks <= kTicksPerRound) {
      mDirector->OnUpstreamCounts(
        { .dataCentre = kPlaces[it], .oldReady = kUpstreams, .newReady = mNewReady[it] });
    }
  }
  mDirector->EndRound();
  if (mDirector->Proposed()) {
    mCommitted = *mDirector->Proposed();
    mDirector->OnCommitted(mCommitted);
  }
  for (const ShareUpdate& it : mDirector->Shares()) {
    TellHosts(0, it);
  }
  const auto verdict = mDirector->Verdict();
  if (verdict) {
    TellHosts(0, *verdict);
  }
  const bool isFinal = version::moves::IsFinal(mDirector->State().phase);
  if (isFinal && !mEnded) {
    mEnded = std::max(Elapsed(), mCutOff ? mCutEnd : Elapsed());
    mResult.phaseAtEnd = ToSeconds(Elapsed()) / ToSeconds(mLength);
  }
}

void MoveTrial::JudgeRound(std::uint32_t aDataCentre)
{
  MoveEvaluator& evaluator = *mJudges[aDataCentre];
  evaluator.EndRound();
  if (const auto proposed = evaluator.Proposed()) {
    mJudgeStates[aDataCentre] = proposed;
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
  mResult.isJudgedWhileCutOff = mResult.isJudgedWhileCutOff || IsCut(aDataCentre);
  TellHosts(aDataCentre, *verdict);
  Send(aDataCentre, 0, [this, verdict] {
    if (mDirector) {
      mDirector->OnVerdict(*verdict);
    }
  });
}

void MoveTrial::OracleRound()
{
  mOracle->EndRound();
  if (mCutOff) {
    mLocalOracles[*mCutOff]->EndRound();
  }
  Note(mShown, kShownLevel);
  Note(mShownEarly, 0.0);
}

void MoveTrial::Note(Showing& aShowing, double aLevel) const
{
  if (!aShowing.everywhere && mOracle->LogEvidenceRatio() >= aLevel) {
    aShowing.everywhere = Elapsed();
  }
  if (!mCutOff) {
    return;
  }
  auto& local = aShowing.locally[*mCutOff];
  if (!local && mLocalOracles[*mCutOff]->LogEvidenceRatio() >= aLevel) {
    local = Elapsed();
  }
}

void MoveTrial::TellHosts(std::uint32_t aFrom, const ShareUpdate& aUpdate)
{
  for (std::uint32_t dataCentre = 0; dataCentre < kDataCentres; ++dataCentre) {
    if (kPlaces[dataCentre] != aUpdate.dataCentre) {
      continue;
    }
    Send(aFrom, dataCentre,
         [this, dataCentre, aUpdate] { mJudges[dataCentre]->OnShareUpdate(aUpdate); });
    for (Host& host : mHosts) {
      if (host.dataCentre == dataCentre) {
        Send(aFrom, dataCentre, [&host, aUpdate] { host.shares->OnShareUpdate(aUpdate); });
      }
    }
  }
}

void MoveTrial::TellHosts(std::uint32_t aFrom, const MoveVerdict& aVerdict)
{
  for (Host& host : mHosts) {
    Send(aFrom, host.dataCentre, [&host, aVerdict] { host.shares->OnVerdict(aVerdict); });
  }
  for (std::uint32_t dataCentre = 0; dataCentre < kDataCentres; ++dataCentre) {
    Send(aFrom, dataCentre,
         [this, dataCentre, aVerdict] { mJudges[dataCentre]->OnVerdict(aVerdict); });
  }
}

void MoveTrial::Failures()
{
  if (mDirectorDeath && Elapsed() >= *mDirectorDeath) {
    mDirector.reset();
    mDirectorReturn = Elapsed() + kElection;
    mDirectorDeath.reset();
    ++mResult.directorDeaths;
  }
  if (mDirectorReturn && Elapsed() >= *mDirectorReturn) {
    mDirector = MakeDirector(mCommitted.move.IsEmpty() ? std::nullopt : std::optional(mCommitted));
    mDirectorReturn.reset();
    // The next coordinator may fail as well.
    if (mRandom.Chance(0.2)) {
      mDirectorDeath = Elapsed() + Seconds(5.0 + 200.0 * mRandom.Uniform());
    }
  }
  if (mJudgeDeath && Elapsed() >= *mJudgeDeath) {
    const auto dataCentre = static_cast<std::uint32_t>(mRandom.UniformBelow(kDataCentres));
    mJudges[dataCentre] = MakeJudge(dataCentre, mJudgeStates[dataCentre]);
    mJudgeDeath.reset();
    ++mResult.judgeDeaths;
  }
}

bool MoveTrial::IsAtFault(std::uint32_t aRoute) const
{
  if (!mFault) {
    return false;
  }
  switch (mFault->timing) {
    case FaultTiming::AtOnce:
      return true;
    case FaultTiming::Late:
      return Elapsed() >= Part(mLength, mFault->onset);
    case FaultTiming::UnderLoad:
      return mTraffic.IsBurst(Elapsed());
    case FaultTiming::OneRoute:
      return aRoute == mFault->route;
  }
  return false;
}

bool MoveTrial::IsCut(std::uint32_t aDataCentre) const
{
  return mCutOff == aDataCentre && Elapsed() >= mCutBegin && Elapsed() < mCutEnd;
}

bool MoveTrial::EveryHostDone() const
{
  return std::all_of(mHosts.begin(), mHosts.end(),
                     [](const Host& aHost) { return aHost.shares->ShareOf(kMove) >= 1.0; });
}

void MoveTrial::Send(std::uint32_t aFrom, std::uint32_t aTo, std::function<void()> aDeliver)
{
  const bool isBlocked = aFrom != aTo && (IsCut(aFrom) || IsCut(aTo));
  if (isBlocked || mRandom.Chance(kLoss)) {
    return;
  }
  const double delay = kShortestDelay + (kLongestDelay - kShortestDelay) * mRandom.Uniform();
  mMessages.emplace(mTimers.Now() + Seconds(delay), std::move(aDeliver));
}

core::Duration MoveTrial::Elapsed() const
{
  return mTimers.Now() - mBegin;
}

TrialResult MoveTrial::Collect()
{
  const double totalRequests = static_cast<double>(mRequests) + ExpectedRest();
  mResult.isBad = mFault.has_value();
  mResult.label = mFault ? mFault->Label() : "good";
  mResult.isTakenBack = IsRollBack(mCommitted.phase);
  mResult.isFinished = mCommitted.phase == MovePhase::Done && EveryHostDone();
  mResult.metShare = static_cast<double>(mMet) / totalRequests;
  mResult.sentShare = static_cast<double>(mSent) / totalRequests;
  mResult.hasShown = mShown.everywhere.has_value();
  mResult.reason = mCommitted.reason;
  for (std::uint32_t it = 0; it < kDataCentres; ++it) {
    mResult.lag = std::max(mResult.lag, Lag(mShown, it));
    mResult.earlyLag = std::max(mResult.earlyLag, Lag(mShownEarly, it));
  }
  return mResult;
}

double MoveTrial::Lag(const Showing& aShowing, std::uint32_t aDataCentre) const
{
  std::optional<core::Duration> detectedAt = aShowing.everywhere;
  if (detectedAt && mCutOff == aDataCentre && *detectedAt >= mCutBegin && *detectedAt < mCutEnd) {
    detectedAt = mCutEnd; // No other data centre can detect it before.
  }
  const auto& local = aShowing.locally[aDataCentre];
  if (local && (!detectedAt || *local < *detectedAt)) {
    detectedAt = local;
  }
  if (!detectedAt || !mLastSent[aDataCentre]) {
    return 0.0;
  }
  return std::max(0.0, ToSeconds(*mLastSent[aDataCentre] - *detectedAt));
}

double MoveTrial::ExpectedRest() const
{
  double remaining = 0.0;
  for (core::Duration at = Elapsed(); at < mLength; at += 1s) {
    remaining += mTraffic.Rate(at);
  }
  return remaining;
}

} // namespace cuminfield::performance_test::moves
