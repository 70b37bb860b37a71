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

// Last: its macros redefine new.
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

const DataCentreId kPlace("gent-a");
const ServiceId kService("taxateur");
const RouteId kRoute("quote");
constexpr auto kRound = 250ms;

struct InvariantSeen : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

void ThrowInvariant(const char* aName)
{
  throw InvariantSeen(aName);
}

} // namespace

/// One host whose requests come evenly, a director that commits at once, and a judge.
TEST_GROUP(MoveController)
{
  ManualTimerService mTimers;
  Random mRandom{ 20261204 };
  MoveSettings mMove;
  ObservationRecorder mLog{ HostId("h1"), kPlace, Incarnation(1) };
  std::unique_ptr<MoveController> mDirector;
  UpstreamCounts mCounts{ .dataCentre = kPlace, .oldReady = 4, .newReady = 4 };
  int mRequestsInRound = 20;
  double mFailureRate = 0.005;
  double mHighestShare = 0.0;

  void setup() override
  {
    mMove.id = MoveId("m1");
    mMove.service = kService;
    mMove.from = VersionId("v1");
    mMove.to = VersionId("v2");
    mMove.finishBy = mTimers.WallNow() + 10min;
    mDirector = MakeDirector(std::nullopt);
  }

  void teardown() override
  {
    cuminfield::core::SetInvariantHandler(nullptr);
  }

  std::unique_ptr<MoveController> MakeDirector(const std::optional<MoveState>& aCommitted)
  {
    return std::make_unique<MoveController>(mMove, std::vector{ kRoute }, mTimers,
                                            MoveControllerSettings{}, aCommitted);
  }

  double Share() const
  {
    const auto shares = mDirector->Shares();
    return shares.empty() ? 0.0 : shares[0].share;
  }

  void SendRequest()
  {
    const bool isNew = mRandom.Chance(Share());
    const double rate = isNew ? mFailureRate : 0.005;
    mLog.Record({ .service = kService,
                  .version = isNew ? mMove.to : mMove.from,
                  .route = kRoute,
                  .outcome = mRandom.Chance(rate) ? TryOutcome::Failed : TryOutcome::Succeeded,
                  .firstToken = 50ms,
                  .predictedFirstToken = 50ms,
                  .tokenGap = 20ms });
  }

  void RunRound()
  {
    for (int it = 0; it < mRequestsInRound; ++it) {
      SendRequest();
    }
    mDirector->OnReport(mLog.NextReport());
    mDirector->OnUpstreamCounts(mCounts);
    mDirector->EndRound();
    if (mDirector->Proposed()) {
      const MoveState proposed = *mDirector->Proposed();
      mDirector->OnCommitted(proposed);
    }
    mHighestShare = std::max(mHighestShare, Share());
    mTimers.Advance(kRound);
  }

  void RunUntil(WallTime aEnd)
  {
    while (mTimers.WallNow() < aEnd && !IsFinal(mDirector->State().phase)) {
      RunRound();
    }
  }
};

TEST(MoveController, GoodVersionIsFinishedInTime)
{
  RunUntil(mMove.finishBy);
  STRCMP_EQUAL("done", ToString(mDirector->State().phase));
  CHECK(!mDirector->Verdict()->bad);
  LONGS_EQUAL(0, mDirector->CapacityTargets()[0].upstreams);
  CHECK(mDirector->CapacityTargets()[0].version == mMove.from);
}

TEST(MoveController, FailingVersionIsTakenBackDuringTheCanary)
{
  mFailureRate = 0.4;
  RunUntil(mMove.finishBy);
  CHECK(IsRollBack(mDirector->State().phase));
  CHECK(mHighestShare <= 0.05);
  DOUBLES_EQUAL(0.0, Share(), 0.0);
  STRCMP_CONTAINS("failures of taxateur v2", mDirector->State().reason.c_str());
  mCounts.newReady = 0;
  RunRound();
  STRCMP_EQUAL("undone", ToString(mDirector->State().phase));
}

TEST(MoveController, LateFaultIsTakenBackAtOnce)
{
  RunUntil(mTimers.WallNow() + 7min);
  CHECK(mHighestShare >= 0.5);
  mFailureRate = 0.5;
  RunUntil(mTimers.WallNow() + 3s);
  CHECK(IsRollBack(mDirector->State().phase));
}

TEST(MoveController, NewDirectorGoesOnAndFinishesInTime)
{
  RunUntil(mTimers.WallNow() + 5min);
  const MoveState before = mDirector->State();
  mDirector = MakeDirector(before);
  DOUBLES_EQUAL(before.share, mDirector->State().share, 0.0);
  RunUntil(mMove.finishBy);
  STRCMP_EQUAL("done", ToString(mDirector->State().phase));
  LONGS_EQUAL(1, mDirector->State().incarnation);
}

TEST(MoveController, TooLittleTrafficIsSaidAndStays)
{
  mRequestsInRound = 0;
  RunUntil(mMove.finishBy + 1min);
  STRCMP_EQUAL("canary", ToString(mDirector->State().phase));
  STRCMP_CONTAINS("too little traffic", mDirector->State().reason.c_str());
}

TEST(MoveController, NotDoneWhileADataCentreHasNoUpstreamOfTheNewVersion)
{
  mDirector->OnUpstreamCounts(
    { .dataCentre = DataCentreId("luik-a"), .oldReady = 4, .newReady = 0 });
  RunUntil(mMove.finishBy + 1min);
  STRCMP_EQUAL("advancing", ToString(mDirector->State().phase));
  STRCMP_CONTAINS("too few upstreams", mDirector->State().reason.c_str());
}

TEST(MoveController, UndoByHand)
{
  RunUntil(mTimers.WallNow() + 1min);
  mMove.rollBack = true;
  mDirector->SetMove(mMove);
  RunRound();
  CHECK(IsRollBack(mDirector->State().phase));
  STRCMP_CONTAINS("by hand", mDirector->State().reason.c_str());
}

TEST(MoveController, AnyJudgesVerdictEndsTheMoveBeforeItIsCommitted)
{
  RunUntil(mTimers.WallNow() + 5min);
  CHECK(Share() > 0.0);
  mDirector->OnVerdict({ .move = mMove.id, .evaluator = kPlace, .bad = true, .reason = "slow" });
  DOUBLES_EQUAL(0.0, Share(), 0.0);
  CHECK(mDirector->Verdict()->bad);
  RunRound();
  CHECK(IsRollBack(mDirector->State().phase));
}

TEST(MoveController, LoadsAFewAtOnce)
{
  mCounts.newReady = 0;
  RunRound();
  RunRound();
  STRCMP_EQUAL("loading", ToString(mDirector->State().phase));
  LONGS_EQUAL(1, mDirector->CapacityTargets()[0].upstreams);
}

TEST(MoveController, ACommittedVerdictThatTurnsIsCaught)
{
  cuminfield::core::SetInvariantHandler(ThrowInvariant);
  MoveState state = mDirector->State();
  state.phase = MovePhase::RollingBack;
  mDirector->OnCommitted(state);
  state.phase = MovePhase::Advancing;
  CHECK_THROWS(InvariantSeen, mDirector->OnCommitted(state));
}

TEST(MoveController, AnUnprovedVersionWithALargeShareIsCaught)
{
  cuminfield::core::SetInvariantHandler(ThrowInvariant);
  MoveState state = mDirector->State();
  state.phase = MovePhase::Canary;
  state.share = 0.2;
  CHECK_THROWS(InvariantSeen, mDirector->OnCommitted(state));
}

TEST(MoveController, JudgeTakesBackWhileCutOff)
{
  const MoveSubject subject{
    .move = mMove.id, .service = kService, .from = mMove.from, .to = mMove.to, .routes = { kRoute }
  };
  MoveEvaluator judge(subject, kPlace, mTimers, {}, std::nullopt);
  RunUntil(mTimers.WallNow() + 6min);
  judge.OnShareUpdate(mDirector->Shares()[0]);
  mFailureRate = 0.5;
  for (int it = 0; it < 20 && !judge.Verdict(); ++it) {
    CHECK(judge.ShareToRelay().has_value());
    for (int request = 0; request < mRequestsInRound; ++request) {
      SendRequest();
    }
    judge.OnReport(mLog.NextReport());
    judge.EndRound();
    mTimers.Advance(kRound);
  }
  CHECK(judge.Verdict().has_value());
  CHECK(!judge.ShareToRelay().has_value());
  MoveEvaluator next(subject, kPlace, mTimers, {}, judge.Proposed());
  CHECK(next.Verdict().has_value());
}

TEST(MoveController, JudgeStopsRelayingWhenTheDirectorIsSilentForLong)
{
  const MoveSubject subject{ .move = mMove.id, .service = kService };
  MoveEvaluator judge(subject, kPlace, mTimers, {}, std::nullopt);
  RunUntil(mTimers.WallNow() + 6min);
  judge.OnShareUpdate(mDirector->Shares()[0]);
  CHECK(judge.ShareToRelay().has_value());
  mTimers.Advance(61s);
  CHECK(!judge.ShareToRelay().has_value());
}

TEST(MoveController, AnyCourseOfEventsKeepsTheVerdictAndTheCanaryBound)
{
  rc::check([this] {
    ManualTimerService timers;
    mMove.finishBy = timers.WallNow() + 10min;
    const auto make = [&](const std::optional<MoveState>& aCommitted) {
      return std::make_unique<MoveController>(mMove, std::vector{ kRoute }, timers,
                                              MoveControllerSettings{}, aCommitted);
    };
    auto director = make(std::nullopt);
    bool isBad = false;
    const int events = *rc::gen::inRange(1, 80);
    for (int it = 0; it < events; ++it) {
      const int kind = *rc::gen::inRange(0, 24);
      if (kind == 0) {
        isBad = isBad || director->State().phase != MovePhase::Done;
        director->OnVerdict(
          { .move = mMove.id, .evaluator = kPlace, .bad = true, .reason = "slow" });
      } else if (kind == 1) {
        isBad = IsRollBack(director->State().phase); // Not committed: judges will say it again.
        director = make(director->State());
      } else if (kind < 6) {
        const auto ready = *rc::gen::inRange<std::uint32_t>(0, 5);
        director->OnUpstreamCounts({ .dataCentre = kPlace, .oldReady = 4, .newReady = ready });
      } else if (kind < 10) {
        timers.Advance(std::chrono::seconds(*rc::gen::inRange(1, 100)));
      } else {
        for (int request = 0; request < 50; ++request) {
          SendRequest();
        }
        director->OnReport(mLog.NextReport());
        director->EndRound();
        if (director->Proposed()) {
          const MoveState proposed = *director->Proposed();
          director->OnCommitted(proposed);
        }
      }
      for (const ShareUpdate& update : director->Shares()) {
        RC_ASSERT(!isBad || update.share == 0.0);
        RC_ASSERT(update.phase != MovePhase::Canary || update.share <= 0.05);
      }
      RC_ASSERT(!isBad || director->State().phase != MovePhase::Done);
    }
  });
}

TEST_GROUP(HostTrip){};

TEST(HostTrip, LeavesAfterAFewFailuresInARow)
{
  HostCircuitBreaker trip;
  for (int it = 0; it < 100; ++it) {
    trip.RecordOld(TryOutcome::Succeeded);
  }
  int failures = 0;
  while (!trip.IsTripped()) {
    trip.RecordNew(TryOutcome::Failed);
    ++failures;
  }
  CHECK(failures <= 10);
}

TEST(HostTrip, StaysWhileTheOldVersionFailsAsWell)
{
  HostCircuitBreaker trip;
  for (int it = 0; it < 100; ++it) {
    trip.RecordOld(it % 2 ? TryOutcome::Failed : TryOutcome::Succeeded);
    trip.RecordNew(TryOutcome::Failed);
  }
  CHECK(!trip.IsTripped());
}

TEST(HostTrip, StaysThroughTroubleThatFailsManyRequests)
{
  Random random(3);
  HostCircuitBreaker trip;
  for (int it = 0; it < 5000; ++it) {
    trip.RecordNew(random.Chance(0.3) ? TryOutcome::Failed : TryOutcome::Succeeded);
  }
  CHECK(!trip.IsTripped());
}
