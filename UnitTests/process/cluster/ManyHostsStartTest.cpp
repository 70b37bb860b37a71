#include "cuminfield/process/cluster/ClusterFollower.h"

#include "TestFramework/time/ManualTimerService.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::process;
using namespace cuminfield::process::cluster;
using namespace std::chrono_literals;

namespace {

constexpr int kHostCount = 194;

/// All machines start within this time.
constexpr core::Duration kStartSpread = 300ms;

/// Interval of a control host's feeds.
constexpr core::Duration kRound = 100ms;

/// A control host drops a host that sends no report for this long.
constexpr core::Duration kFollowerGap = 1500ms;

/// Users want service again this long after all machines are back.
constexpr core::Duration kRecoveryLimit = 15s;

/// Users count a machine as lost for this long after its start.
constexpr core::Duration kCatchUpLimit = 6s;

/// A control host, and what it costs to answer the hosts that turn to it.
struct ControlHostModel
{
  bool isRunning = true;
  bool isAnswering = true;         ///< False: it is too busy, or cut off.
  bool isCurrent = false;          ///< It knows the leader.
  core::Duration answerDelay{ 0 }; ///< From the first report of a host to its first feed.
  std::set<std::string> callers;   ///< A connection each, in both directions.
  std::map<std::string, core::Instant> lastReportAt;
  std::map<std::string, core::Instant> calledSince; ///< First of the reports without a gap.
  int reportCount = 0;
};

} // namespace

/// Entry hosts that start at the same moment as the control hosts that they ask.
TEST_GROUP(ManyHostsStart)
{
  struct StartingHost : public peer::PeerLinks
  {
    void Send(const core::HostId& aTo, peer::PeerMessage aMessage) override
    {
      proto::Message message;
      CHECK(message.ParseFromString(aMessage.payload));
      onReport(aTo.Text(), message.report());
    }

    std::function<void(const std::string&, const proto::Report&)> onReport;
    std::unique_ptr<ClusterFollower> follower;
    core::TimerHandle startTimer;
    bool hasFeed = false;
    core::Instant lastFeedAt{};
  };

  test_framework::time::ManualTimerService timers;
  core::Random random{ 1 };
  std::map<std::string, ControlHostModel> controlHosts;
  std::map<std::string, StartingHost> hosts;

  void setup() override
  {
    for (const char* it :
         { "10.1.0.1", "10.2.0.1", "10.3.0.1", "10.4.0.1", "10.5.0.1", "10.6.0.1" }) {
      controlHosts[it] = {};
    }
  }

  /// The first three control hosts are the seeds.
  ClusterSettings MakeSettings(const std::string& aId) const
  {
    ClusterSettings settings;
    settings.id = core::HostId(aId);
    settings.dataCentre = core::DataCentreId("here");
    settings.seeds = { core::HostId("10.1.0.1"), core::HostId("10.2.0.1"),
                       core::HostId("10.3.0.1") };
    return settings;
  }

  void StartHosts()
  {
    for (int n = 0; n < kHostCount; ++n) {
      const std::string id = "10.9.0." + std::to_string(n);
      StartingHost& host = hosts[id];
      host.onReport = [this, id](const std::string& aTo, const proto::Report&) {
        ControlHostModel& controlHost = controlHosts.at(aTo);
        controlHost.callers.insert(id);
        const auto last = controlHost.lastReportAt.find(id);
        if (last == controlHost.lastReportAt.end() || timers.Now() - last->second > kFollowerGap) {
          controlHost.calledSince[id] = timers.Now();
        }
        controlHost.lastReportAt[id] = timers.Now();
        ++controlHost.reportCount;
      };
      host.follower = std::make_unique<ClusterFollower>(
        ClusterFollower::Options{ .cluster = MakeSettings(id),
                                  .incarnation = 1,
                                  .timers = timers,
                                  .links = host,
                                  .random = random,
                                  .hasBacklog = [] { return false; },
                                  .fillReport = [](proto::Report&) {} });
      host.follower->OnFeed().connect([this, &host](const proto::Feed&) {
        host.hasFeed = true;
        host.lastFeedAt = timers.Now();
      });
      host.startTimer = timers.ScheduleAfter(core::Scaled(kStartSpread, random.Uniform()),
                                             [&host] { host.follower->Start(); });
    }
  }

  proto::Feed MakeFeed(const ControlHostModel& aControlHost) const
  {
    proto::Feed feed;
    feed.set_life(1);
    feed.set_led(aControlHost.isCurrent);
    feed.set_document_number(aControlHost.isCurrent ? 1 : 0);
    for (const auto& [id, other] : controlHosts) {
      proto::ControlHost* it = feed.add_control_hosts();
      it->set_host(id);
      it->set_data_centre("elsewhere");
    }
    return feed;
  }

  /// Each control host sends a feed to all hosts that have reported to it lately.
  void SendFeeds()
  {
    for (auto& [id, controlHost] : controlHosts) {
      if (!controlHost.isRunning || !controlHost.isAnswering) {
        continue;
      }
      proto::Message message;
      *message.mutable_feed() = MakeFeed(controlHost);
      const peer::PeerMessage feed{ .channel = peer::Channel::Cluster,
                                    .payload = message.SerializeAsString() };
      for (const auto& [host, reportedAt] : controlHost.lastReportAt) {
        const core::Duration calledFor = timers.Now() - controlHost.calledSince[host];
        if (timers.Now() - reportedAt < kFollowerGap && calledFor >= controlHost.answerDelay) {
          hosts.at(host).OnMessage().emit(core::HostId(id), feed);
        }
      }
    }
  }

  void RunFor(core::Duration aDuration)
  {
    for (core::Duration elapsed{ 0 }; elapsed < aDuration; elapsed += kRound) {
      timers.Advance(kRound);
      SendFeeds();
    }
  }

  std::size_t CountServedHosts() const
  {
    return static_cast<std::size_t>(std::count_if(
      hosts.begin(), hosts.end(), [](const auto& aIt) { return aIt.second.hasFeed; }));
  }

  std::size_t CountConnections() const
  {
    std::size_t count = 0;
    for (const auto& [id, controlHost] : controlHosts) {
      count += controlHost.callers.size();
    }
    return count;
  }
};

// All hosts connected to all control hosts that they had heard of, which took those so long that
// they did not find each other.
TEST(ManyHostsStart, HostsSpreadOverControlHostsThatAreTooBusyToAnswer)
{
  for (auto& [id, controlHost] : controlHosts) {
    controlHost.isAnswering = false;
  }
  StartHosts();
  RunFor(1s);
  // Half of all hosts is one and a half times the even share of each of the three seeds.
  for (const auto& [id, controlHost] : controlHosts) {
    CHECK(controlHost.callers.size() <= kHostCount / 2);
  }
}

// Control hosts without a leader have nothing to tell, but each host asked all of them all the
// time.
TEST(ManyHostsStart, HostsStayWithAControlHostThatAnswersWhileNoneKnowsALeader)
{
  StartHosts();
  RunFor(10s);
  CHECK_EQUAL(0, CountServedHosts());
  // Those who have waited in vain ask another one now and then: it may know the leader.
  CHECK(CountConnections() <= 4 * kHostCount);
  int reportCount = 0;
  for (const auto& [id, controlHost] : controlHosts) {
    reportCount += controlHost.reportCount;
  }
  CHECK(reportCount <= 10 * 5 * kHostCount);
}

TEST(ManyHostsStart, HostsAreServedSoonAfterALeaderIsKnown)
{
  StartHosts();
  RunFor(3s);
  for (auto& [id, controlHost] : controlHosts) {
    controlHost.isCurrent = true;
  }
  RunFor(500ms);
  CHECK_EQUAL(kHostCount, CountServedHosts());
}

TEST(ManyHostsStart, HostsFindTheOnlySeedThatRuns)
{
  for (auto& [id, controlHost] : controlHosts) {
    controlHost.isCurrent = true;
  }
  controlHosts["10.1.0.1"].isRunning = false;
  controlHosts["10.3.0.1"].isRunning = false;
  StartHosts();
  RunFor(kCatchUpLimit);
  CHECK_EQUAL(kHostCount, CountServedHosts());
}

TEST(ManyHostsStart, HostsFindTheMajorityWhileTwoSeedsAreCutOffFromIt)
{
  for (auto& [id, controlHost] : controlHosts) {
    controlHost.isCurrent = id != "10.2.0.1" && id != "10.3.0.1";
  }
  StartHosts();
  RunFor(kCatchUpLimit);
  CHECK_EQUAL(kHostCount, CountServedHosts());
}

// Hosts left a control host before it could answer, went on to the next one, and so round and
// round.
TEST(ManyHostsStart, HostsReturnToControlHostsThatAnswerLate)
{
  for (auto& [id, controlHost] : controlHosts) {
    controlHost.isCurrent = true;
  }
  StartHosts();
  RunFor(3s);
  for (auto& [id, controlHost] : controlHosts) {
    controlHost.isRunning = false;
  }
  RunFor(5s);
  for (auto& [id, controlHost] : controlHosts) {
    controlHost.isRunning = true;
    controlHost.answerDelay = 1500ms;
    controlHost.lastReportAt.clear();
  }
  RunFor(kRecoveryLimit);
  for (const auto& [id, host] : hosts) {
    CHECK(timers.Now() - host.lastFeedAt < 1s);
  }
}
