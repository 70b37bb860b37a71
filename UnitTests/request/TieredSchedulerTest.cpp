#include "UnitTests/request/SchedulerFixture.h"

#include <CppUTest/TestHarness.h>

#include "cuminfield/core/Invariant.h"

#include <chrono>
#include <stdexcept>

using namespace cuminfield;
using namespace std::chrono_literals;
using cuminfield::request::AttemptOutcome;
using cuminfield::request::ShedReason;
using unit_tests::request::SchedulerFixture;

TEST_GROUP(TieredScheduler)
{
  SchedulerFixture fixture;

  std::size_t DispatchedCount() const
  {
    return fixture.listener.dispatched.size();
  }
};

TEST(TieredScheduler, DispatchesImmediatelyWhenASlotIsFree)
{
  fixture.AddUpstream("u1", 4);
  fixture.scheduler.Submit(fixture.MakeSpec("r1", 0));
  CHECK_EQUAL(1U, DispatchedCount());
  CHECK_EQUAL(0U, fixture.scheduler.WaitingCount());
}

TEST(TieredScheduler, QueuesWhenTheUpstreamIsFullAndServesTheHighestTierFirst)
{
  fixture.AddUpstream("u1", 1);
  fixture.scheduler.Submit(fixture.MakeSpec("first", 0));
  fixture.scheduler.Submit(fixture.MakeSpec("low", 3));
  fixture.scheduler.Submit(fixture.MakeSpec("high", 0));
  CHECK_EQUAL(1U, DispatchedCount());
  fixture.FinishRequest("first");
  CHECK_EQUAL(2U, DispatchedCount());
  CHECK(fixture.listener.dispatched.back() == "high");
  fixture.FinishRequest("high");
  CHECK(fixture.listener.dispatched.back() == "low");
}

TEST(TieredScheduler, ShedsRequestsThatCannotMeetTheirDeadline)
{
  fixture.AddUpstream("u1", 1);
  fixture.scheduler.Submit(fixture.MakeSpec("first", 0));
  fixture.scheduler.Submit(fixture.MakeSpec("late", 0, 300ms));
  fixture.timers.Advance(1s);
  CHECK_EQUAL(1U, fixture.listener.shed.size());
  CHECK(fixture.listener.shed[0].reason == ShedReason::Deadline);
  CHECK_EQUAL(1U, DispatchedCount());
}

TEST(TieredScheduler, ShedsImmediatelyWithoutAnUpstream)
{
  fixture.scheduler.Submit(fixture.MakeSpec("r1", 0));
  CHECK_EQUAL(1U, fixture.listener.shed.size());
  CHECK(fixture.listener.shed[0].reason == ShedReason::NoUpstream);
}

TEST(TieredScheduler, SendsNothingToARemovedUpstream)
{
  fixture.AddUpstream("u1", 4);
  fixture.AddUpstream("u2", 4);
  fixture.scheduler.RemoveUpstream(core::UpstreamId("u1"));
  for (int n = 0; n < 4; ++n) {
    const std::string id = "r" + std::to_string(n);
    fixture.scheduler.Submit(fixture.MakeSpec(id, 0));
    CHECK(fixture.listener.upstreamByRequest[id] == "u2");
  }
}

TEST(TieredScheduler, RetriesARefusedRequestElsewhereWithinTheBudget)
{
  fixture.AddUpstream("u1", 4);
  fixture.AddUpstream("u2", 4);
  fixture.scheduler.Submit(fixture.MakeSpec("r1", 0));
  const std::string first = fixture.listener.upstreamByRequest["r1"];
  fixture.FinishRequest("r1", AttemptOutcome::Refused);
  CHECK_EQUAL(2U, DispatchedCount());
  CHECK(fixture.listener.upstreamByRequest["r1"] != first);
}

TEST(TieredScheduler, NeverRetriesAFailedRequest)
{
  fixture.AddUpstream("u1", 4);
  fixture.AddUpstream("u2", 4);
  fixture.scheduler.Submit(fixture.MakeSpec("r1", 0));
  fixture.FinishRequest("r1", AttemptOutcome::Failed);
  fixture.timers.Advance(20s);
  CHECK_EQUAL(1U, DispatchedCount());
  CHECK_EQUAL(0U, fixture.scheduler.Size());
}

TEST(TieredScheduler, AWaitingRequestFollowsTheVersionShares)
{
  fixture.versions.version = core::VersionId("v2");
  fixture.AddUpstream("old", 1, "gent", "v1");
  fixture.AddUpstream("new", 1, "gent", "v2");
  fixture.scheduler.Submit(fixture.MakeSpec("r1", 0));
  fixture.scheduler.Submit(fixture.MakeSpec("r2", 0));
  CHECK_EQUAL(1U, DispatchedCount());
  fixture.versions.version = core::VersionId("v1");
  fixture.timers.Advance(50ms);
  CHECK(fixture.listener.upstreamByRequest["r2"] == "old");
}

TEST(TieredScheduler, WithdrawnRequestsGetNoDecision)
{
  fixture.AddUpstream("u1", 1);
  fixture.scheduler.Submit(fixture.MakeSpec("r1", 0));
  fixture.scheduler.Submit(fixture.MakeSpec("r2", 0));
  fixture.scheduler.Withdraw(core::RequestId("r2"));
  fixture.FinishRequest("r1");
  fixture.timers.Advance(20s);
  CHECK_EQUAL(1U, DispatchedCount());
  CHECK_EQUAL(0U, fixture.listener.shed.size());
  CHECK_EQUAL(0U, fixture.scheduler.Size());
}

TEST(TieredScheduler, ShutdownShedsWaitingRequestsAndKeepsThoseInFlight)
{
  fixture.AddUpstream("u1", 1);
  fixture.scheduler.Submit(fixture.MakeSpec("r1", 0));
  fixture.scheduler.Submit(fixture.MakeSpec("r2", 0));
  fixture.scheduler.Shutdown();
  CHECK_EQUAL(1U, fixture.listener.shed.size());
  CHECK(fixture.listener.shed[0].reason == ShedReason::Shutdown);
  CHECK_EQUAL(1U, fixture.scheduler.Size());
  fixture.FinishRequest("r1");
  CHECK_EQUAL(0U, fixture.scheduler.Size());
}

TEST(TieredScheduler, OverflowsToAnotherRegionOnlyWhenItsOwnMissesTheTarget)
{
  fixture.AddUpstream("near", 1);
  fixture.AddUpstream("far", 10, "luik");
  fixture.scheduler.Submit(fixture.MakeSpec("r1", 0, 480ms));
  fixture.scheduler.Submit(fixture.MakeSpec("r2", 0, 480ms));
  CHECK_EQUAL(1U, DispatchedCount());
  CHECK(fixture.listener.upstreamByRequest["r1"] == "near");
  fixture.timers.Advance(470ms);
  CHECK_EQUAL(2U, DispatchedCount());
  CHECK(fixture.listener.upstreamByRequest["r2"] == "far");
}

TEST(TieredScheduler, AnInvariantDetectsADuplicateRequestId)
{
  core::SetInvariantHandler([](const char* aName) { throw std::logic_error(aName); });
  fixture.AddUpstream("u1", 4);
  fixture.scheduler.Submit(fixture.MakeSpec("r1", 0));
  CHECK_THROWS(std::logic_error, fixture.scheduler.Submit(fixture.MakeSpec("r1", 0)));
  core::SetInvariantHandler(nullptr);
}

TEST(TieredScheduler, AHostWithoutAGrantSendsNothingToAnUpstreamOfItsDataCentre)
{
  class NoGrant : public cuminfield::request::capacity::CapacityView
  {
  public:
    std::uint32_t AvailableSlots(const cuminfield::request::UpstreamAnnouncement&) const override
    {
      return 0;
    }
    bool MayShed(cuminfield::request::TierRank) const override { return false; }
    std::uint64_t Epoch() const override { return 1; }
  };
  const NoGrant none;
  SchedulerFixture other({}, &none);
  other.AddUpstream("u1", 4);
  other.scheduler.Submit(other.MakeSpec("r1", 0));
  CHECK_EQUAL(0U, other.listener.dispatched.size());
  CHECK_EQUAL(1U, other.scheduler.WaitingCount());
}
