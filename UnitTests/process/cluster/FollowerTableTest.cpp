#include "cuminfield/process/cluster/FollowerTable.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::process::cluster;
using namespace std::chrono_literals;

TEST_GROUP(FollowerTable)
{
  FollowerTable table{ {} };
  core::Instant now{ 100s };

  static proto::Report MakeReport(std::uint32_t aRequests, double aUsed)
  {
    proto::Report report;
    report.set_life(1);
    proto::InFlight* inFlight = report.add_in_flight();
    inFlight->set_upstream("u");
    inFlight->set_requests(aRequests);
    proto::Demand* demand = report.add_demand();
    demand->set_workspace("w");
    demand->set_used(aUsed);
    return report;
  }

  proto::Feed MakeFeedFor(const std::string& aHost)
  {
    proto::Feed feed;
    table.AddRemoteSums(core::HostId(aHost), feed, true);
    return feed;
  }

  static proto::Exchange MakeExchange(FollowerTable & aFrom)
  {
    proto::Exchange exchange;
    exchange.set_life(1);
    aFrom.AddLocalSums(exchange, true);
    return exchange;
  }

  /// Units that a control host reports as used by hosts that report no more.
  static double Departed(const FollowerTable& aTable)
  {
    proto::Feed feed;
    aTable.AddDeparted(feed);
    return feed.departed_size() == 0 ? 0 : feed.departed(0).used();
  }
};

TEST(FollowerTable, FeedSumsAllHostsExceptReceiver)
{
  table.OnReport(core::HostId("a"), MakeReport(1, 10), now);
  table.OnReport(core::HostId("b"), MakeReport(2, 20), now);
  proto::Exchange exchange;
  exchange.set_hosts(3);
  FollowerTable other{ {} };
  other.OnReport(core::HostId("c"), MakeReport(4, 40), now);
  other.AddLocalSums(exchange, true);
  table.OnExchange(core::HostId("control-2"), exchange, now);
  const proto::Feed feed = MakeFeedFor("a");
  CHECK_EQUAL(6, feed.in_flight(0).requests());
  DOUBLES_EQUAL(60, feed.demand(0).used(), 1e-9);
  CHECK_EQUAL(3, feed.hosts()); // The receiver counts as a host.
}

TEST(FollowerTable, ExpireDropsSilentHostsAndControlHosts)
{
  table.OnReport(core::HostId("a"), MakeReport(1, 10), now);
  proto::Exchange exchange;
  exchange.set_hosts(5);
  table.OnExchange(core::HostId("control-2"), exchange, now + 2s);
  table.Expire(now + 3s);
  CHECK_EQUAL(0, table.Followers().size());
  CHECK_EQUAL(5, MakeFeedFor("x").hosts());
  table.Expire(now + 5s);
  CHECK_EQUAL(0, MakeFeedFor("x").hosts());
}

/// Guards against a quota granted twice: each side of a network partition between control hosts
/// must still count the hosts of the other.
TEST(FollowerTable, HostsOfSilentControlHostStayKnown)
{
  FollowerTable other{ {} };
  for (const char* host : { "b", "c", "d" }) {
    proto::Report report = MakeReport(1, 10);
    report.set_quota_memory(0.5);
    other.OnReport(core::HostId(host), report, now);
  }
  proto::Exchange exchange;
  other.AddLocalSums(exchange, true);
  table.OnExchange(core::HostId("control-2"), exchange, now);
  proto::Report own = MakeReport(1, 10);
  own.set_quota_memory(1);
  table.OnReport(core::HostId("a"), own, now);
  DOUBLES_EQUAL(2.5, MakeFeedFor("a").quota_memory(), 1e-9);
  table.OnReport(core::HostId("a"), own, now + 4s);
  table.OnReport(core::HostId("b"), own, now + 4s); // Now follows this control host.
  table.Expire(now + 4s);
  CHECK_EQUAL(2, MakeFeedFor("a").hosts());
  CHECK_EQUAL(4, MakeFeedFor("a").hosts_known());
  DOUBLES_EQUAL(2, MakeFeedFor("a").quota_memory(), 1e-9);
  table.OnReport(core::HostId("a"), own, now + 11s);
  table.OnReport(core::HostId("b"), own, now + 11s);
  table.Expire(now + 11s);
  CHECK_EQUAL(2, MakeFeedFor("a").hosts_known());
}

/// Observations come only with every few reports; the last ones count until the next.
TEST(FollowerTable, ObservationsAreSummedAndLastUntilNext)
{
  const auto report = [](float aAnswers, std::uint32_t aSuspectingHosts) {
    proto::Report it = MakeReport(1, 10);
    it.mutable_in_flight(0)->set_doubting(aSuspectingHosts);
    it.mutable_in_flight(0)->set_trusting(1 - aSuspectingHosts);
    it.set_has_observed(true);
    it.add_observed()->set_upstream("u");
    it.mutable_observed(0)->set_answers(aAnswers);
    it.set_forgetful(aSuspectingHosts);
    return it;
  };
  table.OnReport(core::HostId("a"), report(2, 1), now);
  table.OnReport(core::HostId("b"), report(3, 0), now);
  table.OnReport(core::HostId("b"), MakeReport(1, 10), now);
  const proto::Feed feed = MakeFeedFor("c");
  CHECK_EQUAL(1, feed.in_flight(0).doubting());
  CHECK_EQUAL(0, feed.in_flight(0).trusting());
  DOUBLES_EQUAL(5, feed.observed(0).answers(), 1e-6);
  CHECK_EQUAL(1, feed.forgetful());
  proto::Feed without;
  table.AddRemoteSums(core::HostId("c"), without, false);
  CHECK_EQUAL(0, without.observed_size());
  CHECK_FALSE(without.has_observed());
}

TEST(FollowerTable, RestartedHostGetsRegistryAgain)
{
  table.OnReport(core::HostId("a"), MakeReport(1, 10), now);
  table.Followers().at(core::HostId("a")).sentRegistryRevision = 7;
  proto::Report report = MakeReport(1, 10);
  report.set_life(2);
  table.OnReport(core::HostId("a"), report, now);
  CHECK_EQUAL(0, table.Followers().at(core::HostId("a")).sentRegistryRevision);
}

/// Load pattern: all hosts of a data centre return to its control host at the same moment. Before,
/// the former control host counted them for 1.5 s more, so that their load and quota usage counted
/// twice: no slot seemed free, and requests within their quota were refused.
TEST(FollowerTable, HostThatTurnsToAnotherControlHostCountsOnce)
{
  FollowerTable former{ {} };
  proto::Report report = MakeReport(3, 30);
  report.set_follow_epoch(1);
  former.OnReport(core::HostId("a"), report, now);
  const auto exchange = [](FollowerTable& aFrom, FollowerTable& aTo, core::Instant aNow) {
    proto::Exchange message;
    aFrom.AddLocalSums(message, true);
    aTo.OnExchange(core::HostId("control-2"), message, aNow);
  };
  report.set_follow_epoch(2);
  table.OnReport(core::HostId("a"), report, now);
  exchange(table, former, now);
  exchange(former, table, now);
  CHECK_EQUAL(0, former.Followers().size());
  proto::Feed feed = MakeFeedFor("a");
  CHECK_EQUAL(0, feed.in_flight_size());
  CHECK_EQUAL(0, feed.demand_size());
  CHECK_EQUAL(1, feed.hosts());
  // An old report that was overtaken changes nothing.
  report.set_follow_epoch(1);
  former.OnReport(core::HostId("a"), report, now + 10ms);
  CHECK_EQUAL(0, former.Followers().size());
  // A restarted host is known by its incarnation.
  report.set_life(2);
  former.OnReport(core::HostId("a"), report, now + 20ms);
  CHECK_EQUAL(1, former.Followers().size());
}

/// Guards against a host that counts twice, or not at all, while it tries another control host.
TEST(FollowerTable, HostThatTriesAnotherControlHostCountsOnce)
{
  FollowerTable followed{ {} };
  followed.OnReport(core::HostId("a"), MakeReport(3, 30), now);
  proto::Report trial;
  trial.set_life(1);
  trial.set_trial(true);
  table.OnReport(core::HostId("a"), trial, now);
  CHECK_EQUAL(1, table.Followers().size()); // It gets feeds.
  CHECK_EQUAL(0, MakeFeedFor("b").hosts());
  CHECK_EQUAL(0, MakeExchange(table).followers_size());
  followed.OnExchange(core::HostId("control-2"), MakeExchange(table), now);
  table.OnExchange(core::HostId("control-1"), MakeExchange(followed), now);
  CHECK_EQUAL(1, followed.Followers().size());
  CHECK_EQUAL(1, table.Followers().size());
  CHECK_EQUAL(3, MakeFeedFor("b").in_flight(0).requests());
  CHECK_EQUAL(1, MakeFeedFor("b").hosts());
  // The trial ends, or the host follows.
  trial.set_unfollows(true);
  table.OnReport(core::HostId("a"), trial, now);
  CHECK_EQUAL(0, table.Followers().size());
  trial.set_unfollows(false);
  table.OnReport(core::HostId("a"), trial, now);
  proto::Report report = MakeReport(4, 40);
  report.set_follow_epoch(2);
  table.OnReport(core::HostId("a"), report, now);
  CHECK_EQUAL(1, MakeExchange(table).followers_size());
  CHECK_EQUAL(0, Departed(table));
}

TEST(FollowerTable, HostThatUnfollowsIsDroppedAtOnce)
{
  table.OnReport(core::HostId("a"), MakeReport(3, 30), now);
  proto::Report report;
  report.set_life(1);
  report.set_unfollows(true);
  table.OnReport(core::HostId("a"), report, now);
  CHECK_EQUAL(0, table.Followers().size());
  CHECK_EQUAL(0, MakeFeedFor("b").in_flight_size());
  CHECK_EQUAL(1, MakeFeedFor("b").hosts_known()); // Its quota usage still counts elsewhere.
}

/// A host that restarts after its clock was set back must get feeds at once.
TEST(FollowerTable, RestartWithTheClockSetBackIsNoOldReport)
{
  proto::Report report = MakeReport(1, 10);
  report.set_life(2'000);
  report.set_follow_epoch(4);
  table.OnReport(core::HostId("a"), report, now);
  report = MakeReport(2, 20);
  report.set_life(1'000);
  report.set_follow_epoch(1);
  table.OnReport(core::HostId("a"), report, now + 1s);
  CHECK_EQUAL(1'000, table.Followers().at(core::HostId("a")).report.life());
  // Another control host still counts the former incarnation.
  proto::Exchange exchange;
  exchange.add_followers("a");
  exchange.add_follower_lives(2'000);
  exchange.add_follower_epochs(4);
  table.OnExchange(core::HostId("control-2"), exchange, now + 1100ms);
  CHECK_EQUAL(1, table.Followers().size());
  CHECK_EQUAL(2, MakeFeedFor("b").in_flight(0).requests());
}

/// Guards against a quota that is granted again after the host that granted it was lost.
TEST(FollowerTable, UsageOfALostHostCountsUntilItLeavesTheWindow)
{
  FollowerTable other{ {} };
  table.OnReport(core::HostId("a"), MakeReport(1, 10), now);
  DOUBLES_EQUAL(0, Departed(table), 1e-9);
  table.Expire(now + 2s);
  other.OnExchange(core::HostId("control-1"), MakeExchange(table), now + 2s);
  DOUBLES_EQUAL(10, Departed(table), 1e-9);
  DOUBLES_EQUAL(10, Departed(other), 1e-9);
  table.Expire(now + 8s);
  DOUBLES_EQUAL(10, Departed(table), 1e-9);
  table.Expire(now + 8001ms);
  DOUBLES_EQUAL(0, Departed(table), 1e-9);
}

/// The same if it starts again before it was missed, here or at another control host.
TEST(FollowerTable, UsageBeforeARestartCounts)
{
  proto::Report restarted = MakeReport(0, 3);
  restarted.set_life(2);
  table.OnReport(core::HostId("a"), MakeReport(1, 10), now);
  table.OnReport(core::HostId("a"), restarted, now + 1s);
  DOUBLES_EQUAL(10, Departed(table), 1e-9);
  DOUBLES_EQUAL(3, MakeFeedFor("b").demand(0).used(), 1e-9);

  FollowerTable former{ {} };
  FollowerTable next{ {} };
  former.OnReport(core::HostId("a"), MakeReport(1, 10), now);
  next.OnReport(core::HostId("a"), restarted, now + 1s);
  former.OnExchange(core::HostId("control-2"), MakeExchange(next), now + 1s);
  CHECK_EQUAL(0, former.Followers().size());
  DOUBLES_EQUAL(10, Departed(former), 1e-9);
}

/// The same if the control host that knew of it is lost, too.
TEST(FollowerTable, DepartedUsageOutlivesItsControlHost)
{
  FollowerTable lost{ {} };
  lost.OnReport(core::HostId("a"), MakeReport(1, 10), now);
  lost.Expire(now + 2s);
  const proto::Exchange exchange = MakeExchange(lost);
  table.OnExchange(core::HostId("control-2"), exchange, now + 2s);
  table.Expire(now + 4s);
  DOUBLES_EQUAL(10, Departed(table), 1e-9);
  table.OnExchange(core::HostId("control-2"), exchange, now + 5s); // It was only silent.
  DOUBLES_EQUAL(10, Departed(table), 1e-9);
  table.Expire(now + 7s);
  table.Expire(now + 13001ms);
  DOUBLES_EQUAL(0, Departed(table), 1e-9);
}

/// Guards against requests refused within their quota, because usage counts twice.
TEST(FollowerTable, UsageOfAHostThatTurnsToAnotherControlHostHasNotDeparted)
{
  FollowerTable former{ {} };
  proto::Report report = MakeReport(1, 10);
  report.set_follow_epoch(1);
  former.OnReport(core::HostId("a"), report, now);
  proto::Report unfollow;
  unfollow.set_life(1);
  unfollow.set_follow_epoch(1);
  unfollow.set_unfollows(true);
  former.OnReport(core::HostId("a"), unfollow, now);
  DOUBLES_EQUAL(10, Departed(former), 1e-9); // Until it reports elsewhere.
  report.set_follow_epoch(2);
  table.OnReport(core::HostId("a"), report, now);
  former.OnExchange(core::HostId("control-2"), MakeExchange(table), now);
  DOUBLES_EQUAL(0, Departed(former), 1e-9);
  // A host that was silent for a while reports again.
  table.Expire(now + 2s);
  DOUBLES_EQUAL(10, Departed(table), 1e-9);
  table.OnReport(core::HostId("a"), report, now + 3s);
  DOUBLES_EQUAL(0, Departed(table), 1e-9);
}

/// Hosts with different lists send too much to a cold upstream, and a list without most hosts lets
/// each of the others take part.
TEST(FollowerTable, ListOfHostsIsTheSameAtAllControlHosts)
{
  FollowerTable other{ {} };
  table.OnReport(core::HostId("a"), MakeReport(1, 0), now);
  other.OnReport(core::HostId("b"), MakeReport(1, 0), now);
  table.OnExchange(core::HostId("control-2"), MakeExchange(other), now);
  other.OnExchange(core::HostId("control-1"), MakeExchange(table), now);
  CHECK_EQUAL(2, table.Members().size());
  CHECK(table.Members() == other.Members());
  table.OnStall(30s); // It was frozen; the others were not silent.
  table.Expire(now + 32s);
  CHECK_EQUAL(2, table.Members().size());
  table.Expire(now + 41s);
  CHECK_EQUAL(0, table.Members().size());
}

/// Most reports await nothing, and may come before the answer to one that does.
TEST(FollowerTable, AwaitedHeartbeatsStayUntilAnswered)
{
  proto::Report report = MakeReport(1, 0);
  report.add_awaited()->set_upstream(4);
  table.OnReport(core::HostId("a"), report, now);
  table.OnReport(core::HostId("a"), MakeReport(1, 0), now);
  CHECK_EQUAL(1, table.Followers().at(core::HostId("a")).awaited.size());
}
