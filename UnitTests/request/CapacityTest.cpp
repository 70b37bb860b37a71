#include "TestFramework/time/ManualTimerService.h"
#include "UnitTests/request/SchedulerFixture.h"
#include "cuminfield/request/capacity/CapacityBroker.h"
#include "cuminfield/request/capacity/CapacityClient.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::capacity;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 100;

} // namespace

TEST_GROUP(Capacity)
{
  CapacitySettings settings;
  test_framework::time::ManualTimerService timers;
  CapacityBroker broker{ settings, core::Term(1), timers.Now() };
  std::map<std::string, std::unique_ptr<CapacityClient>> clients;

  void setup() override
  {
    broker.AddOrUpdateUpstream(core::UpstreamId("u1"), core::ServiceId("s"), kSlots);
    timers.Advance(settings.leaseDuration);
  }

  /// Reports a host's demand in one tier and applies the reply. Returns the slots it is granted.
  std::uint32_t Report(const std::string& aHost, std::size_t aTier, std::uint32_t aDemand,
                       bool aShedding = false)
  {
    auto& client = clients[aHost];
    if (client == nullptr) {
      client = std::make_unique<CapacityClient>(settings, timers);
    }
    DemandReport report;
    report.host = core::HostId(aHost);
    report.sequence = client->BeginReport();
    report.appliedSequence = client->AppliedSequence();
    ServiceDemand demand;
    demand.service = core::ServiceId("s");
    demand.byTier[aTier] = aDemand;
    report.demands.push_back(demand);
    report.shedding[aTier] = aShedding;
    client->ApplyTable(broker.OnReport(report, timers.Now()));
    return client->GrantedSlots(core::UpstreamId("u1"));
  }

  UpstreamAnnouncement Upstream() const
  {
    UpstreamAnnouncement announcement;
    announcement.id = core::UpstreamId("u1");
    announcement.slots = kSlots;
    return announcement;
  }
};

TEST(Capacity, GrantsFollowDemandWithTheHighestTierFirst)
{
  for (int n = 0; n < 5; ++n) {
    Report("a", 0, 60);
    Report("b", 3, 500);
    timers.Advance(200ms);
  }
  CHECK_EQUAL(60U, Report("a", 0, 60));
  CHECK_EQUAL(30U, Report("b", 3, 500));
}

TEST(Capacity, AGrantIsReclaimedWhenItsHostIsDead)
{
  Report("a", 0, 90);
  CHECK_EQUAL(0U, Report("b", 0, 90));
  timers.Advance(settings.leaseDuration);
  Report("b", 0, 90);
  timers.Advance(1ms);
  CHECK_EQUAL(90U, Report("b", 0, 90));
}

TEST(Capacity, ADisconnectedHostFallsBackToItsPartOfTheReserve)
{
  Report("a", 0, 90);
  Report("b", 0, 90);
  Report("a", 0, 90);
  CHECK(clients["a"]->AvailableSlots(Upstream()) > 10);
  timers.Advance(settings.leaseDuration);
  CHECK_FALSE(clients["a"]->HasActiveTable());
  CHECK_EQUAL(5U, clients["a"]->AvailableSlots(Upstream()));
}

TEST(Capacity, ATableOfADeposedBrokerIsIgnored)
{
  CapacityClient client(settings, timers);
  GrantTable table;
  table.term = core::Term(2);
  table.lease = settings.leaseDuration;
  table.sequence = client.BeginReport();
  table.grants.push_back({ .upstream = core::UpstreamId("u1"), .slots = 7 });
  client.ApplyTable(table);
  table.term = core::Term(1);
  table.sequence = client.BeginReport();
  table.grants[0].slots = 70;
  client.ApplyTable(table);
  CHECK_EQUAL(7U, client.GrantedSlots(core::UpstreamId("u1")));
}

TEST(Capacity, ATierMayBeShedOnlyWhileAllLowerTiersAreShedOnAllHosts)
{
  Report("a", 1, 50);
  Report("b", 3, 50);
  Report("a", 1, 50);
  CHECK_FALSE(clients["a"]->MayShed(1));
  CHECK_TRUE(clients["a"]->MayShed(3));
  Report("b", 3, 50, true);
  Report("a", 1, 50);
  CHECK_TRUE(clients["a"]->MayShed(1));
}

TEST(Capacity, TheSchedulerShedsOnlyTiersThatMayBeShed)
{
  admission::SchedulerSettings schedulerSettings;
  schedulerSettings.maxWaitingRequests = 1;
  CapacityClient client(settings, timers);
  GrantTable table;
  table.lease = std::chrono::hours(1);
  table.sequence = client.BeginReport();
  table.grants.push_back({ .upstream = core::UpstreamId("u1"), .slots = 1 });
  client.ApplyTable(table);
  unit_tests::request::SchedulerFixture fixture(schedulerSettings, &client);
  fixture.AddUpstream("u1", 1);
  for (int n = 0; n < 10; ++n) {
    fixture.scheduler.Submit(fixture.MakeSpec("r" + std::to_string(n), 1));
  }
  CHECK_EQUAL(0U, fixture.listener.shed.size());
  table.sequence = client.BeginReport();
  table.mayShed[1] = true;
  client.ApplyTable(table);
  fixture.timers.Advance(20ms);
  CHECK(fixture.listener.shed.size() > 0);
}
