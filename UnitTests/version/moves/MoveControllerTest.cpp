#include "cuminfield/version/moves/MoveController.h"
#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/core/Invariant.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/version/moves/HostCircuitBreaker.h"
#include "cuminfield/version/moves/MoveEvaluator.h"
#include "cuminfield/version/moves/ObservationRecorder.h"

#include <rapidcheck.h>

#include <memory>
#include <stdexcept>

// Must be included last: its macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield::version::moves;
using cuminfield::core::DataCentreId;
using cuminfield::core::HostId;
using cuminfield::core::Incarnation;
using cuminfield::core::MoveId;
using cuminfield::core::Random;
using cuminfield::core::RouteId;
using cuminfield::core::ServiceId;
using cuminfield::core::VersionId;
using cuminfield::core::WallTime;
using cuminfield::request::AttemptOutcome;
using cuminfield::test_framework::time::ManualTimerService;
using cuminfield::version::document::MoveSettings;

namespace {

const DataCentreId kDataCentre("gent-a");
const ServiceId kService("taxateur");
const RouteId kRoute("quote");
constexpr auto kRound = 250ms;

struct InvariantViolation : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

void ThrowInvariant(const char* aName)
{
  throw InvariantViolation(aName);
}

} // namespace

/// One host with evenly spaced requests, a controller whose proposals are committed at once, and an
/// evaluator.
TEST_GROUP(MoveController)
{
  ManualTimerService mTimers;
  Random mRandom{ 20261204 };
  MoveSettings mMove;
  ObservationRecorder mRecorder{ HostId("h1"), kDataCentre, Incarnation(1) };
  std::unique_ptr<MoveController> mController;
  UpstreamCounts mCounts{ .dataCentre = kDataCentre, .oldReady = 4, .newReady = 4 };
  int mRequestsInRound = 20;
  double mFailureRate = 0.005;
  double mMaxShare = 0.0;

  void setup() override
  {
    mMove.id = MoveId("m1");
    mMove.service = kService;
    mMove.from = VersionId("v1");
    mMove.to = VersionId("v2");
    mMove.finishBy = mTimers.WallNow() + 10min;
    mController = MakeController(std::nullopt);
  }

  void teardown() override
  {
    cuminfield::core::SetInvariantHandler(nullptr);
  }

  std::unique_ptr<MoveController> MakeController(const std::optional<MoveState>& aCommitted)
  {
    return std::make_unique<MoveController>(mMove, std::vector{ kRoute }, mTimers,
                                            MoveControllerSettings{}, aCommitted);
  }

  double Share() const
  {
    const auto shares = mController->Shares();
    return shares.empty() ? 0.0 : shares[0].share;
  }

  void SendRequest()
  {
    const bool isNew = mRandom.Chance(Share());
    const double rate = isNew ? mFailureRate : 0.005;
    mRecorder.Record(
      { .service = kService,
        .version = isNew ? mMove.to : mMove.from,
        .route = kRoute,
        .outcome = mRandom.Chance(rate) ? AttemptOutcome::Failed : AttemptOutcome::Succeeded,
        .firstToken = 50ms,
        .predictedFirstToken = 50ms,
        .tokenGap = 20ms });
  }

  void RunRound()
  {
    for (int it = 0; it < mRequestsInRound; ++it) {
      SendRequest();
    }
    mController->OnReport(mRecorder.NextReport());
    mController->OnUpstreamCounts(mCounts);
    mController->EndRound();
    if (mController->Proposed()) {
      const MoveState proposed = *mController->Proposed();
      mController->OnCommitted(proposed);
    }
    mMaxShare = std::max(mMaxShare, Share());
    mTimers.Advance(kRound);
  }

  void RunUntil(WallTime aEnd)
  {
    while (mTimers.WallNow() < aEnd && !IsFinal(mController->State().phase)) {
      RunRound();
    }
  }
};

TEST(MoveController, GoodVersionFinishesOnTime)
{
  RunUntil(mMove.finishBy);
  STRCMP_EQUAL("done", ToString(mController->State().phase));
  CHECK(!mController->Verdict()->bad);
  LONGS_EQUAL(0, mController->CapacityTargets()[0].upstreams);
  CHECK(mController->CapacityTargets()[0].version == mMove.from);
}

TEST(MoveController, FailingVersionIsRolledBackDuringTheCanary)
{
  mFailureRate = 0.4;
  RunUntil(mMove.finishBy);
  CHECK(IsRollBack(mController->State().phase));
  CHECK(mMaxShare <= 0.05);
  DOUBLES_EQUAL(0.0, Share(), 0.0);
  STRCMP_CONTAINS("failures of taxateur v2", mController->State().reason.c_str());
  mCounts.newReady = 0;
  RunRound();
  STRCMP_EQUAL("undone", ToString(mController->State().phase));
}

TEST(MoveController, LateFaultIsRolledBackAtOnce)
{
  RunUntil(mTimers.WallNow() + 7min);
  CHECK(mMaxShare >= 0.5);
  mFailureRate = 0.5;
  RunUntil(mTimers.WallNow() + 3s);
  CHECK(IsRollBack(mController->State().phase));
}

TEST(MoveController, NewCoordinatorContinuesAndFinishesOnTime)
{
  RunUntil(mTimers.WallNow() + 5min);
  const MoveState before = mController->State();
  mController = MakeController(before);
  DOUBLES_EQUAL(before.share, mController->State().share, 0.0);
  RunUntil(mMove.finishBy);
  STRCMP_EQUAL("done", ToString(mController->State().phase));
  LONGS_EQUAL(1, mController->State().incarnation);
}

TEST(MoveController, TooLittleTrafficIsReportedAndKeepsTheCanary)
{
  mRequestsInRound = 0;
  RunUntil(mMove.finishBy + 1min);
  STRCMP_EQUAL("canary", ToString(mController->State().phase));
  STRCMP_CONTAINS("too little traffic", mController->State().reason.c_str());
}

TEST(MoveController, NotDoneWhileADataCentreHasNoUpstreamOfTheNewVersion)
{
  mController->OnUpstreamCounts(
    { .dataCentre = DataCentreId("luik-a"), .oldReady = 4, .newReady = 0 });
  RunUntil(mMove.finishBy + 1min);
  STRCMP_EQUAL("advancing", ToString(mController->State().phase));
  STRCMP_CONTAINS("too few upstreams", mController->State().reason.c_str());
}

TEST(MoveController, RollsBackOnRequest)
{
  RunUntil(mTimers.WallNow() + 1min);
  mMove.rollBack = true;
  mController->SetMove(mMove);
  RunRound();
  CHECK(IsRollBack(mController->State().phase));
  STRCMP_CONTAINS("by hand", mController->State().reason.c_str());
}

TEST(MoveController, AnyEvaluatorsVerdictEndsTheMoveBeforeItIsCommitted)
{
  RunUntil(mTimers.WallNow() + 5min);
  CHECK(Share() > 0.0);
  mController->OnVerdict(
    { .move = mMove.id, .evaluator = kDataCentre, .bad = true, .reason = "slow" });
  DOUBLES_EQUAL(0.0, Share(), 0.0);
  CHECK(mController->Verdict()->bad);
  RunRound();
  CHECK(IsRollBack(mController->State().phase));
}

TEST(MoveController, LimitsConcurrentLoads)
{
  mCounts.newReady = 0;
  RunRound();
  RunRound();
  STRCMP_EQUAL("loading", ToString(mController->State().phase));
  LONGS_EQUAL(1, mController->CapacityTargets()[0].upstreams);
}

TEST(MoveController, DetectsReversalOfACommittedVerdict)
{
  cuminfield::core::SetInvariantHandler(ThrowInvariant);
  MoveState state = mController->State();
  state.phase = MovePhase::RollingBack;
  mController->OnCommitted(state);
  state.phase = MovePhase::Advancing;
  CHECK_THROWS(InvariantViolation, mController->OnCommitted(state));
}

TEST(MoveController, DetectsALargeShareDuringTheCanary)
{
  cuminfield::core::SetInvariantHandler(ThrowInvariant);
  MoveState state = mController->State();
  state.phase = MovePhase::Canary;
  state.share = 0.2;
  CHECK_THROWS(InvariantViolation, mController->OnCommitted(state));
}

TEST(MoveController, EvaluatorRollsBackDuringANetworkPartition)
{
  const MoveSubject subject{
    .move = mMove.id, .service = kService, .from = mMove.from, .to = mMove.to, .routes = { kRoute }
  };
  MoveEvaluator evaluator(subject, kDataCentre, mTimers, {}, std::nullopt);
  RunUntil(mTimers.WallNow() + 6min);
  evaluator.OnShareUpdate(mController->Shares()[0]);
  mFailureRate = 0.5;
  for (int it = 0; it < 20 && !evaluator.Verdict(); ++it) {
    CHECK(evaluator.ShareToRelay().has_value());
    for (int request = 0; request < mRequestsInRound; ++request) {
      SendRequest();
    }
    evaluator.OnReport(mRecorder.NextReport());
    evaluator.EndRound();
    mTimers.Advance(kRound);
  }
  CHECK(evaluator.Verdict().has_value());
  CHECK(!evaluator.ShareToRelay().has_value());
  MoveEvaluator nextEvaluator(subject, kDataCentre, mTimers, {}, evaluator.Proposed());
  CHECK(nextEvaluator.Verdict().has_value());
}

TEST(MoveController, EvaluatorStopsRelayingWithoutACoordinator)
{
  const MoveSubject subject{ .move = mMove.id, .service = kService };
  MoveEvaluator evaluator(subject, kDataCentre, mTimers, {}, std::nullopt);
  RunUntil(mTimers.WallNow() + 6min);
  evaluator.OnShareUpdate(mController->Shares()[0]);
  CHECK(evaluator.ShareToRelay().has_value());
  mTimers.Advance(61s);
  CHECK(!evaluator.ShareToRelay().has_value());
}

TEST(MoveController, VerdictAndCanaryLimitHoldForAnySequenceOfEvents)
{
  rc::check([this] {
    ManualTimerService timers;
    mMove.finishBy = timers.WallNow() + 10min;
    const auto make = [&](const std::optional<MoveState>& aCommitted) {
      return std::make_unique<MoveController>(mMove, std::vector{ kRoute }, timers,
                                              MoveControllerSettings{}, aCommitted);
    };
    auto controller = make(std::nullopt);
    bool isBad = false;
    const int events = *rc::gen::inRange(1, 80);
    for (int it = 0; it < events; ++it) {
      const int kind = *rc::gen::inRange(0, 24);
      if (kind == 0) {
        isBad = isBad || controller->State().phase != MovePhase::Done;
        controller->OnVerdict(
          { .move = mMove.id, .evaluator = kDataCentre, .bad = true, .reason = "slow" });
      } else if (kind == 1) {
        // The verdict was not committed; in operation the evaluators send it again.
        isBad = IsRollBack(controller->State().phase);
        controller = make(controller->State());
      } else if (kind < 6) {
        const auto ready = *rc::gen::inRange<std::uint32_t>(0, 5);
        controller->OnUpstreamCounts(
          { .dataCentre = kDataCentre, .oldReady = 4, .newReady = ready });
      } else if (kind < 10) {
        timers.Advance(std::chrono::seconds(*rc::gen::inRange(1, 100)));
      } else {
        for (int request = 0; request < 50; ++request) {
          SendRequest();
        }
        controller->OnReport(mRecorder.NextReport());
        controller->EndRound();
        if (controller->Proposed()) {
          const MoveState proposed = *controller->Proposed();
          controller->OnCommitted(proposed);
        }
      }
      for (const ShareUpdate& update : controller->Shares()) {
        RC_ASSERT(!isBad || update.share == 0.0);
        RC_ASSERT(update.phase != MovePhase::Canary || update.share <= 0.05);
      }
      RC_ASSERT(!isBad || controller->State().phase != MovePhase::Done);
    }
  });
}

TEST_GROUP(HostCircuitBreaker){};

TEST(HostCircuitBreaker, TripsAfterAFewConsecutiveFailures)
{
  HostCircuitBreaker breaker;
  for (int it = 0; it < 100; ++it) {
    breaker.RecordOld(AttemptOutcome::Succeeded);
  }
  int failures = 0;
  while (!breaker.IsTripped()) {
    breaker.RecordNew(AttemptOutcome::Failed);
    ++failures;
  }
  CHECK(failures <= 10);
}

TEST(HostCircuitBreaker, DoesNotTripWhileTheOldVersionFailsAsWell)
{
  HostCircuitBreaker breaker;
  for (int it = 0; it < 100; ++it) {
    breaker.RecordOld(it % 2 ? AttemptOutcome::Failed : AttemptOutcome::Succeeded);
    breaker.RecordNew(AttemptOutcome::Failed);
  }
  CHECK(!breaker.IsTripped());
}

TEST(HostCircuitBreaker, DoesNotTripOnAModerateFailureRate)
{
  Random random(3);
  HostCircuitBreaker breaker;
  for (int it = 0; it < 5000; ++it) {
    breaker.RecordNew(random.Chance(0.3) ? AttemptOutcome::Failed : AttemptOutcome::Succeeded);
  }
  CHECK(!breaker.IsTripped());
}
