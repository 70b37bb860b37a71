#include "cuminfield/request/placement/WaitPolicy.h"

#include "cuminfield/request/placement/RecentCounter.h"

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
