#include "cuminfield/request/placement/WaitPolicy.h"

#include "cuminfield/request/placement/RecentCounter.h"

#include <algorithm>
#include <map>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;

TEST_GROUP(WaitPolicy)
{
  WaitPolicySettings settings;
  WaitPolicy policy{ settings };
};

/// A request must not wait until its caller has no time for another host.
TEST(WaitPolicy, AWaitEndsWhileHalfOfTheCallersTimeIsLeft)
{
  CHECK(policy.MaxWait({ .target = 2s, .deadline = 3s, .serviceTime = 100ms }) == 1500ms);
  CHECK(policy.MaxWait({ .target = 1s, .deadline = 12s, .serviceTime = 1s }) == 2s);
}

/// A late request must not wait for so long that its response would not end in time elsewhere.
TEST(WaitPolicy, ALateRequestLeavesTheTimeToBeServedElsewhere)
{
  const core::Duration wait =
    policy.MaxWait({ .target = 1s, .deadline = 4s, .serviceTime = 1700ms });
  CHECK(wait < 1500ms);
  CHECK((4s - wait) * 2 / 3 >= 1690ms);
  CHECK(policy.MaxWait({ .target = 1s, .deadline = 4s, .serviceTime = 5s }) == 1s);
}

TEST(WaitPolicy, EndsAreCountedForOneSecond)
{
  RecentCounter ended;
  core::Instant now{ 50s };
  for (int i = 0; i < 30; ++i) {
    ended.Record(now);
    now += 100ms;
  }
  DOUBLES_EQUAL(9, ended.PerSecond(now), 0.1);
  DOUBLES_EQUAL(0, ended.PerSecond(now + 1s), 0.1);
}

/// A displaced rank waits for as long as its own requests take to drain, though the sum over all
/// ranks ends fast. After a quiet time the rate must not be taken for zero.
TEST(WaitPolicy, PredictsFromTheRatesAtWhichTheRanksEnd)
{
  settings.floorShare = 0;
  policy = WaitPolicy(settings);
  CHECK(policy.PredictWait(0) == 0ms);
  core::Instant now{ 10s };
  const auto setLoad = [&](const std::map<request::TierRank, RankLoad>& aLoad,
                           core::Duration aDuration, double aFreeSlots = 0) {
    for (core::Duration elapsed{ 0 }; elapsed < aDuration; elapsed += 50ms) {
      policy.SetLoad(aLoad, aFreeSlots, now += 50ms);
    }
  };
  const RankLoad urgent{ .requests = 500, .waiting = 100, .donePerSecond = 400 };
  setLoad({ { 0, urgent }, { 2, { .requests = 210, .waiting = 200, .donePerSecond = 50 } } }, 10s);
  // 100 requests of 1 s ahead of 410 slots; 200 requests that end at 50 per second.
  DOUBLES_EQUAL(0.244, core::Seconds(policy.PredictWait(0)), 0.01);
  DOUBLES_EQUAL(4, core::Seconds(policy.PredictWait(2)), 0.1);
  DOUBLES_EQUAL(300, policy.WaitingUpTo(2), 0);
  setLoad({}, 20s, 400);
  setLoad({ { 0, urgent } }, 50ms);
  CHECK(policy.PredictWait(0) > 100ms);
  CHECK(policy.PredictWait(0) < 500ms);
  setLoad({ { 0, urgent } }, 50ms, 100);
  CHECK(policy.PredictWait(0) == 0ms);
}

/// Callers that come back before the backlog has drained are rejected again.
TEST(WaitPolicy, RetryAfterIsTheTimeUntilTheBacklogHasDrainedWithinAThird)
{
  core::Instant now{ 10s };
  const auto setWaiting = [&](double aWaiting) {
    policy.SetLoad(
      { { 1, { .requests = 100 + aWaiting, .waiting = aWaiting, .donePerSecond = 100 } } }, 0,
      now += 50ms);
  };
  for (double waiting = 0; waiting < 400; waiting += 5) {
    setWaiting(waiting);
  }
  // It grows: nearly all of the third.
  CHECK(policy.RetryAfter(1, 12s, 0) >= 3900ms);
  CHECK(policy.RetryAfter(1, 12s, 0) <= 4s);
  CHECK(policy.RetryAfter(1, 12s, 0.9) >= 3s);
  CHECK(policy.RetryAfter(1, 300ms, 0.5) <= 100ms);
  for (double waiting = 400; waiting > 100; waiting -= 5) {
    setWaiting(waiting);
  }
  // It shrinks by 100 per second.
  const core::Duration drained = policy.RetryAfter(1, 12s, 0);
  CHECK(drained > 1s);
  CHECK(drained < 1300ms);
  CHECK(policy.RetryAfter(1, 12s, 0.9) > drained);
  CHECK(policy.RetryAfter(1, 2s, 0) <= 667ms);
}

/// A rank that is served anyway must not go before more urgent ones.
TEST(WaitPolicy, OnlyDisplacedRanksEarnAFloor)
{
  const auto earned = [](double aDone) {
    WaitPolicy loaded({});
    for (core::Instant now{ 10s }; now < core::Instant(20s); now += 50ms) {
      loaded.SetLoad(
        { { 0, { .requests = 500, .waiting = 100, .donePerSecond = 400 } },
          { 2, { .requests = 200 + aDone / 10, .waiting = 200, .donePerSecond = aDone } } },
        0, now);
    }
    DOUBLES_EQUAL(0, loaded.FloorPerSecond(0), 0);
    DOUBLES_EQUAL(0.5, loaded.LocalShare(2, 100), 1e-9);
    // The rank's backlog drains at its floor at least.
    CHECK(loaded.PredictWait(2) <=
          core::FromSeconds(200 / std::max(aDone, loaded.FloorPerSecond(2)) + 0.01));
    // 0.1 s in a slot.
    DOUBLES_EQUAL(WaitPolicySettings().floorShare * (400 + aDone / 10) * 10,
                  loaded.FloorPerSecond(2), 1);
    return loaded.FloorEarnedPerSecond(2);
  };
  CHECK(earned(100) > 300);
  DOUBLES_EQUAL(0, earned(1000), 1e-9);
}
