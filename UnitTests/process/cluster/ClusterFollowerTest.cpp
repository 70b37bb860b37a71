#include "cuminfield/process/cluster/ClusterFollower.h"

#include "TestFramework/time/ManualTimerService.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::process;
using namespace cuminfield::process::cluster;
using namespace std::chrono_literals;

namespace {

class FakeLinks : public peer::PeerLinks
{
public:
  void Send(const core::HostId& aTo, peer::PeerMessage aMessage) override
  {
    sent.insert(aTo.Text());
    ++sentCount;
    proto::Message message;
    CHECK(message.ParseFromString(aMessage.payload));
    lastReports[aTo.Text()] = message.report();
  }

  std::set<std::string> sent;
  int sentCount = 0;
  std::map<std::string, proto::Report> lastReports;
};

} // namespace

TEST_GROUP(ClusterFollower)
{
  test_framework::time::ManualTimerService timers;
  core::Random random{ 1 };
  FakeLinks links;
  std::vector<proto::Feed> feeds;
  std::unique_ptr<ClusterFollower> follower;

  void setup() override
  {
    ClusterSettings settings;
    settings.id = core::HostId("10.0.0.9");
    settings.dataCentre = core::DataCentreId("here");
    settings.seeds = { core::HostId("10.0.0.1"), core::HostId("10.0.0.2") };
    follower = std::make_unique<ClusterFollower>(
      ClusterFollower::Options{ .cluster = settings,
                                .incarnation = 1,
                                .timers = timers,
                                .links = links,
                                .random = random,
                                .hasBacklog = [] { return false; },
                                .fillReport = [](proto::Report&) {} });
    follower->OnFeed().connect([this](const proto::Feed& aFeed) { feeds.push_back(aFeed); });
    follower->Start();
  }

  static proto::Feed MakeFeed(std::uint64_t aDocument, std::uint64_t aApplied = 1)
  {
    proto::Feed feed;
    feed.set_life(1);
    feed.set_led(true);
    feed.set_document_number(aDocument);
    feed.mutable_document()->set_number(aDocument);
    feed.set_state_applied(aApplied);
    feed.add_moves()->set_service("s");
    return feed;
  }

  void Receive(const std::string& aFrom, const proto::Feed& aFeed)
  {
    proto::Message message;
    *message.mutable_feed() = aFeed;
    links.OnMessage().emit(core::HostId(aFrom), { .channel = peer::Channel::Cluster,
                                                  .payload = message.SerializeAsString() });
  }

  /// Feed of a control host that hears from these. Names that begin with "10.0" are here.
  static proto::Feed MakeListingFeed(const std::vector<std::string>& aControlHosts)
  {
    proto::Feed feed = MakeFeed(5);
    for (const std::string& host : aControlHosts) {
      proto::ControlHost* it = feed.add_control_hosts();
      it->set_host(host);
      it->set_data_centre(host.starts_with("10.0") ? "here" : "elsewhere");
    }
    return feed;
  }

  /// Lets some control hosts send a feed to each follower that reports to them, every 50 ms.
  /// Returns the longest time without a feed.
  core::Duration RunWithControlHosts(const std::set<std::string>& aRunning,
                                     core::Duration aDuration)
  {
    core::Duration longest{ 0 };
    core::Duration gap{ 0 };
    for (core::Duration elapsed{ 0 }; elapsed < aDuration; elapsed += 50ms) {
      const std::size_t before = feeds.size();
      for (const std::string& it : aRunning) {
        if (links.sent.contains(it)) {
          Receive(it, MakeListingFeed({ aRunning.begin(), aRunning.end() }));
        }
      }
      links.sent.clear();
      // Reports come every 100 ms, so every second round may have none.
      gap = feeds.size() > before ? 0ms : gap + 50ms;
      longest = std::max(longest, gap);
      timers.Advance(50ms);
    }
    return longest;
  }

  /// Returns the control hosts that get a report in the time that the first three have to answer.
  std::set<std::string> CollectSearchTargets()
  {
    links.sent.clear();
    timers.Advance(3s);
    return links.sent;
  }

  /// Returns the control hosts that get a report within 100 ms.
  std::set<std::string> CollectReportTargets()
  {
    links.sent.clear();
    timers.Advance(100ms);
    return links.sent;
  }
};

TEST(ClusterFollower, AsksOneControlHostAfterTheOtherBeforeFirstFeed)
{
  CHECK_EQUAL(1, CollectReportTargets().size());
  CHECK(CollectSearchTargets() == std::set<std::string>({ "10.0.0.1", "10.0.0.2" }));
  Receive("10.0.0.2", MakeFeed(5));
  CHECK_EQUAL(1, feeds.size());
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.0.0.2" });
}

TEST(ClusterFollower, IgnoresControlHostWithoutLeader)
{
  proto::Feed feed = MakeFeed(5);
  feed.set_led(false);
  Receive("10.0.0.1", feed);
  CHECK_EQUAL(0, feeds.size());
  CHECK(CollectSearchTargets() == std::set<std::string>({ "10.0.0.1", "10.0.0.2" }));
}

TEST(ClusterFollower, ReplacesSilentControlHost)
{
  Receive("10.0.0.1", MakeFeed(5));
  timers.Advance(1100ms);
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.0.0.2" });
}

TEST(ClusterFollower, DropsFeedPartsOlderThanKnownState)
{
  Receive("10.0.0.1", MakeFeed(5, 9));
  follower->SetDocumentNumber(5);
  timers.Advance(1100ms);
  Receive("10.0.0.2", MakeFeed(4, 7)); // Lags behind the one that fell silent.
  CHECK_EQUAL(2, feeds.size());
  CHECK_FALSE(feeds.back().has_document());
  CHECK_EQUAL(0, feeds.back().moves_size());
  CHECK_EQUAL(0, feeds.back().state_applied());
}

TEST(ClusterFollower, SwitchesToControlHostFromFeed)
{
  proto::Feed feed = MakeFeed(5);
  feed.add_control_hosts()->set_host("10.0.0.3");
  feed.mutable_control_hosts(0)->set_data_centre("here");
  Receive("10.0.0.1", feed);
  timers.Advance(1100ms);
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.0.0.3" });
}

/// A host that did not run itself must not hold its control host for silent. Before, a busy host
/// left it and fetched a snapshot from another one, which made both busier.
TEST(ClusterFollower, OwnStallIsNotTheControlHostsSilence)
{
  Receive("10.0.0.1", MakeFeed(5));
  timers.Stall(3s);
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.0.0.1" });
  timers.Advance(500ms);
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.0.0.1" });
  timers.Advance(700ms);
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.0.0.2" });
}

/// A control host that is busy gets fewer reports.
TEST(ClusterFollower, ReportsAsOftenAsTheControlHostSendsFeeds)
{
  proto::Feed feed = MakeFeed(5);
  feed.set_interval_ms(250);
  for (int n = 0; n < 10; ++n) {
    Receive("10.0.0.1", feed);
    timers.Advance(200ms);
  }
  CHECK_EQUAL(8, links.sentCount);
}

TEST(ClusterFollower, UnfollowsTheFormerControlHost)
{
  Receive("10.0.0.1", MakeFeed(5));
  timers.Advance(500ms);
  timers.Advance(1s);
  const proto::Report& former = links.lastReports["10.0.0.1"];
  const proto::Report& current = links.lastReports["10.0.0.2"];
  CHECK(former.unfollows());
  CHECK_FALSE(current.unfollows());
  CHECK(current.follow_epoch() > former.follow_epoch());
}

TEST(ClusterFollower, HastenedReportIsSentAtOnceAndOnce)
{
  Receive("10.0.0.1", MakeFeed(5));
  timers.Advance(200ms);
  const int before = links.sentCount;
  follower->HastenReport();
  follower->HastenReport();
  timers.Advance(5ms);
  CHECK_EQUAL(before + 1, links.sentCount);
}

TEST(ClusterFollower, QuarantineOfTheFollowedControlHostIsPassedOn)
{
  std::uint64_t revision = 0;
  follower->OnQuarantine().connect(
    [&](const proto::Quarantine& aQuarantine) { revision = aQuarantine.revision(); });
  proto::Message message;
  message.mutable_quarantine()->set_revision(7);
  const peer::PeerMessage sent{ .channel = peer::Channel::Cluster,
                                .payload = message.SerializeAsString() };
  // Before the first feed, so that it is known when the first requests are served.
  links.OnMessage().emit(core::HostId("10.0.0.2"), sent);
  CHECK_EQUAL(7, revision);
  CHECK_EQUAL(0, feeds.size());
}

/// Guards against a host that asks replaced control hosts, one after the other, and meanwhile
/// receives no configuration.
TEST(ClusterFollower, ReplacedControlHostsAreNotAskedAgain)
{
  RunWithControlHosts({ "10.0.0.1", "10.1.0.1" }, 5s);
  for (const char* it : { "10.0.0.2", "10.0.0.3", "10.0.0.4" }) {
    // Each successor has an address of its own in the same data centre.
    RunWithControlHosts({ it, "10.1.0.1", "10.2.0.1" }, 15s);
  }
  // The last one is gone for good; the silent one is noticed within 1.1 s.
  CHECK(RunWithControlHosts({ "10.1.0.1", "10.2.0.1" }, 2s) <= 1300ms);
  links.lastReports.clear();
  CHECK(RunWithControlHosts({ "10.1.0.1", "10.2.0.1" }, 60s) <= 100ms);
  for (const auto& [host, report] : links.lastReports) {
    CHECK(host == "10.1.0.1" || host == "10.2.0.1");
  }
}

/// The same while a nearer control host is listed, but doesn't answer.
TEST(ClusterFollower, FeedsGoOnWhileANearerControlHostIsTried)
{
  bool isTried = false;
  core::Duration gap{ 0 };
  links.sent.insert("10.1.0.1");
  for (int n = 0; n < 600; ++n) {
    const std::size_t before = feeds.size();
    if (links.sent.contains("10.1.0.1")) {
      Receive("10.1.0.1", MakeListingFeed({ "10.0.0.1", "10.1.0.1" }));
    }
    isTried = isTried || (n > 20 && links.sent.contains("10.0.0.1"));
    links.sent.clear();
    gap = feeds.size() > before ? 0ms : gap + 50ms;
    CHECK(n < 40 || gap <= 100ms);
    timers.Advance(50ms);
  }
  CHECK(isTried);
  // It must not count this host, which the other one counts.
  CHECK(links.lastReports["10.0.0.1"].trial());
  CHECK_FALSE(links.lastReports["10.1.0.1"].trial());
  CHECK(links.lastReports["10.1.0.1"].follow_epoch() >
        links.lastReports["10.0.0.1"].follow_epoch());
}

TEST(ClusterFollower, ReturnsToANearerControlHostWhenItSendsAFeed)
{
  links.sent.insert("10.1.0.1");
  RunWithControlHosts({ "10.1.0.1" }, 2s);
  const std::uint64_t before = links.lastReports["10.1.0.1"].follow_epoch();
  CHECK(RunWithControlHosts({ "10.0.0.1", "10.1.0.1" }, 12s) <= 100ms);
  CHECK(links.lastReports["10.1.0.1"].unfollows());
  CHECK(links.lastReports["10.0.0.1"].follow_epoch() > before);
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.0.0.1" });
}

/// Guards against a host that follows a control host whose own state no longer changes.
TEST(ClusterFollower, ControlHostWithAnOutdatedStateIsLeft)
{
  const auto listing = MakeListingFeed({ "10.0.0.1", "10.1.0.1", "10.1.0.2" });
  Receive("10.0.0.1", listing);
  proto::Feed outdated = listing;
  core::Duration elapsed{ 0 };
  for (; elapsed < 5s && follower->StateAge() >= elapsed; elapsed += 50ms) {
    links.sent.clear();
    timers.Advance(50ms);
    // It knows a leader as before, but its state has not been confirmed since.
    outdated.set_state_age_ms(static_cast<std::uint64_t>(core::Milliseconds(elapsed + 50ms)));
    Receive("10.0.0.1", outdated);
    if (links.sent.contains("10.1.0.1")) {
      Receive("10.1.0.1", outdated); // Cut off with it.
    }
    if (links.sent.contains("10.1.0.2")) {
      Receive("10.1.0.2", listing);
    }
  }
  CHECK(elapsed < 2500ms);
  links.sent.clear();
  timers.Advance(200ms);
  CHECK(links.sent == std::set<std::string>{ "10.1.0.2" });
}

/// Guards against hosts that go round all control hosts while none of them knows a leader.
TEST(ClusterFollower, ControlHostsAreTriedRarelyWithoutALeader)
{
  const auto listing = MakeListingFeed({ "10.0.0.1", "10.1.0.1", "10.1.0.2" });
  Receive("10.0.0.1", listing);
  follower->SetDocumentNumber(5);
  proto::Feed leaderless = listing;
  leaderless.set_led(false);
  int trials = 0;
  for (int n = 0; n < 1200; ++n) {
    links.sent.clear();
    timers.Advance(50ms);
    Receive("10.0.0.1", leaderless);
    for (const char* it : { "10.1.0.1", "10.1.0.2" }) {
      if (links.sent.contains(it) && !links.lastReports[it].unfollows()) {
        ++trials;
        CHECK(links.lastReports[it].trial());
        Receive(it, leaderless);
        CHECK(links.lastReports[it].unfollows());
      }
    }
  }
  CHECK(trials >= 2);
  CHECK(trials <= 2 * 60 / 5);
}

/// Guards against a host that was frozen and takes what it knew before for current.
TEST(ClusterFollower, StateAgesWhileTheHostIsStalled)
{
  Receive("10.0.0.1", MakeListingFeed({ "10.0.0.1", "10.1.0.1" }));
  timers.Stall(4s);
  CHECK(follower->IsOutdated());
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.0.0.1" });
  Receive("10.0.0.1", MakeListingFeed({ "10.0.0.1", "10.1.0.1" }));
  CHECK_FALSE(follower->IsOutdated());
}

/// Guards against a host that keeps an old configuration while every control host that has a newer
/// one is without a leader.
TEST(ClusterFollower, NewerStateIsTakenThoughNoLeaderIsKnown)
{
  Receive("10.0.0.1", MakeListingFeed({ "10.0.0.1", "10.1.0.1", "10.1.0.2" }));
  follower->SetDocumentNumber(5);
  proto::Feed older = MakeFeed(5);
  proto::Feed newer = MakeFeed(6);
  older.set_led(false);
  newer.set_led(false);
  std::set<std::string> targets;
  for (core::Duration elapsed{ 0 }; elapsed < 3s; elapsed += 50ms) {
    links.sent.clear();
    timers.Advance(50ms);
    const auto age = static_cast<std::uint64_t>(core::Milliseconds(elapsed + 50ms));
    older.set_state_age_ms(age);
    newer.set_state_age_ms(age);
    targets = std::exchange(links.sent, {});
    for (const std::string& it : targets) {
      Receive(it, it == "10.1.0.2" ? newer : older);
    }
  }
  CHECK_EQUAL(6, feeds.back().document_number());
  CHECK(follower->IsOutdated());
}

/// Guards against a host that takes the word of a cut-off control host for who is gone, and then
/// asks control hosts that were replaced.
TEST(ClusterFollower, CutOffControlHostDoesNotTellWhoIsGone)
{
  RunWithControlHosts({ "10.0.0.1", "10.1.0.1" }, 2s);
  for (const char* it : { "10.0.0.2", "10.0.0.3", "10.0.0.4" }) {
    RunWithControlHosts({ it, "10.1.0.1", "10.2.0.1" }, 15s);
  }
  links.lastReports.clear();
  core::Duration elapsed{ 0 };
  bool isFound = false;
  for (; elapsed < 10s && !isFound; elapsed += 50ms) {
    links.sent.clear();
    timers.Advance(50ms);
    // It hears from none of the others, and drops them after 750 ms.
    proto::Feed cutOff = elapsed < 750ms ? MakeListingFeed({ "10.0.0.4", "10.1.0.1", "10.2.0.1" })
                                         : MakeListingFeed({ "10.0.0.4" });
    cutOff.set_led(elapsed < 600ms);
    cutOff.set_state_age_ms(static_cast<std::uint64_t>(core::Milliseconds(elapsed)));
    Receive("10.0.0.4", cutOff);
    isFound = links.sent.contains("10.1.0.1") || links.sent.contains("10.2.0.1");
  }
  CHECK(elapsed < 2500ms);
  for (const auto& [host, report] : links.lastReports) {
    CHECK(host == "10.0.0.4" || host == "10.1.0.1" || host == "10.2.0.1");
  }
}

/// Guards against a host that takes an older state from a control host that is cut off.
TEST(ClusterFollower, NearerControlHostWithAnOlderStateIsNotFollowed)
{
  links.sent.insert("10.1.0.1");
  RunWithControlHosts({ "10.1.0.1" }, 1s);
  follower->SetDocumentNumber(5);
  const std::size_t before = feeds.size();
  proto::Feed leaderless = MakeListingFeed({ "10.0.0.1" });
  leaderless.set_led(false);
  proto::Feed older = MakeListingFeed({ "10.0.0.1" });
  older.set_document_number(4);
  for (int n = 0; n < 300; ++n) {
    Receive("10.1.0.1", MakeListingFeed({ "10.0.0.1", "10.1.0.1" }));
    Receive("10.0.0.1", n % 2 == 0 ? leaderless : older);
    timers.Advance(50ms);
  }
  CHECK_EQUAL(before + 300, feeds.size());
}

/// Guards against a host that asks its seeds only, while none of them has a current state: they may
/// be new themselves, or cut off.
TEST(ClusterFollower, ControlHostsThatASeedHearsFromAreAskedBeforeTheFirstFeed)
{
  proto::Feed blank = MakeListingFeed({ "10.0.0.1", "10.1.0.1" });
  blank.set_led(false);
  blank.set_document_number(0);
  Receive("10.0.0.1", blank);
  CHECK_EQUAL(0, feeds.size());
  CHECK(CollectSearchTargets() == std::set<std::string>({ "10.0.0.1", "10.0.0.2", "10.1.0.1" }));
  Receive("10.1.0.1", MakeListingFeed({ "10.0.0.1", "10.1.0.1" }));
  CHECK_EQUAL(1, feeds.size());
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.1.0.1" });
}

/// Guards against a host that knows only control hosts that are gone, while the one that it follows
/// is cut off from the leader and hears from another one.
TEST(ClusterFollower, ControlHostNamedByAnOutdatedOneIsTried)
{
  Receive("10.0.0.1", MakeListingFeed({ "10.0.0.1", "10.0.0.2" }));
  proto::Feed outdated = MakeListingFeed({ "10.0.0.1", "10.1.0.1" });
  outdated.set_led(false);
  bool isTried = false;
  for (core::Duration elapsed{ 0 }; elapsed < 10s && !isTried; elapsed += 50ms) {
    links.sent.clear();
    timers.Advance(50ms);
    outdated.set_state_age_ms(static_cast<std::uint64_t>(core::Milliseconds(elapsed)));
    Receive("10.0.0.1", outdated);
    isTried = links.sent.contains("10.1.0.1");
  }
  CHECK(isTried);
}

/// Guards against a host that goes on asking the seeds of its start after the settings name others.
TEST(ClusterFollower, SeedsThatAreTakenOverAreAskedBeforeTheFirstFeed)
{
  follower->UpdateSeeds({ core::HostId("10.0.0.2"), core::HostId("10.0.0.3") });
  // What was known before stays: the former seeds may still run.
  CHECK(CollectSearchTargets() == std::set<std::string>({ "10.0.0.1", "10.0.0.2", "10.0.0.3" }));
}

TEST(ClusterFollower, SeedsThatAreTakenOverDontReplaceTheFollowedControlHost)
{
  Receive("10.0.0.1", MakeListingFeed({ "10.0.0.1", "10.1.0.1" }));
  follower->UpdateSeeds({ core::HostId("10.0.0.3") });
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.0.0.1" });
  timers.Advance(1100ms);
  // The one that was listed comes first, then those of this data centre.
  CHECK(CollectReportTargets() == std::set<std::string>{ "10.1.0.1" });
}

/// Guards against a host that has lost all control hosts that it knows and never asks the seeds of
/// its changed settings.
TEST(ClusterFollower, SeedsThatAreTakenOverAreFollowedWhenTheOthersAreSilent)
{
  Receive("10.0.0.1", MakeListingFeed({ "10.0.0.1" }));
  follower->UpdateSeeds({ core::HostId("10.0.0.3") });
  links.sent.clear();
  timers.Advance(5s);
  CHECK(links.sent.contains("10.0.0.3"));
}

/// Guards against an evacuation that seems to have ended, since the next control host lags behind.
TEST(ClusterFollower, DropsEvacuationsOfAnOlderFeed)
{
  proto::Feed feed = MakeFeed(5, 9);
  feed.add_evacuations()->set_data_centre("there");
  Receive("10.0.0.1", feed);
  CHECK_EQUAL(1, feeds.back().evacuations_size());
  proto::Feed older = MakeFeed(5, 7);
  older.add_evacuations()->set_data_centre("elsewhere");
  Receive("10.0.0.1", older);
  CHECK_EQUAL(2, feeds.size());
  CHECK_EQUAL(0, feeds.back().evacuations_size());
  CHECK_EQUAL(0, feeds.back().state_applied()); // Tells that there is no state in it.
}
