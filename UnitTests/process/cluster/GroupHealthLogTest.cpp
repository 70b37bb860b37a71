#include "cuminfield/process/cluster/GroupHealthLog.h"
#include "UnitTests/process/log/LogCluster.h"
#include "cuminfield/process/cluster/GroupMetrics.h"

#include <algorithm>
#include <iterator>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace std::chrono_literals;
using process::cluster::GroupHealthLog;
using process::cluster::GroupView;
using process::cluster::ViewGroup;
using process::log::GroupHealth;
using unit_tests::log::LogCluster;
namespace logging = process::logging;

namespace {

constexpr core::Duration kStep = 50ms;

std::string MetricsOf(const GroupView& aView)
{
  process::metrics::GaugeText gauges;
  AddGroupMetrics(aView, gauges);
  return gauges.Text();
}

} // namespace

TEST_GROUP(GroupHealthLog)
{
  std::vector<std::string> lines;
  GroupHealthLog log{ {},
                      [this](logging::Level aLevel, std::string_view aEvent,
                             std::initializer_list<logging::Field> aFields) {
                        const char* level = aLevel == logging::Level::Warning ? "warning " : "";
                        lines.push_back(level +
                                        logging::FormatEvent(process::settings::LogFormat::KeyValue,
                                                             aEvent, aFields));
                      } };
  core::Instant now{ 100s };
  std::vector<core::Duration> silences{ 0ms, 75ms, 75ms };
  std::vector<core::HostId> ready;

  /// A leader's view of a group that is to have three voters.
  GroupView ViewOfLeader() const
  {
    GroupView view;
    view.leader = core::HostId("h0");
    GroupHealth::Options options{ .silentAfter = 600ms, .readyHosts = ready, .targetVoters = 3 };
    for (std::size_t n = 0; n < silences.size(); ++n) {
      const process::log::Member member{ .host = core::HostId("h" + std::to_string(n)),
                                         .incarnation = core::Incarnation(1) };
      options.voters.voters.push_back(member);
      options.silence.emplace(member, silences[n]);
    }
    view.voters = options.voters;
    view.votersIndex = core::LogIndex(7);
    view.health = GroupHealth(std::move(options));
    return view;
  }

  /// Updates the log for this time; the voters given by index stay silent.
  void RunFor(core::Duration aDuration, const std::vector<std::size_t>& aSilent = {})
  {
    for (core::Duration passed = 0ms; passed < aDuration; passed += kStep) {
      now += kStep;
      for (std::size_t n = 1; n < silences.size(); ++n) {
        const bool isSilent = std::find(aSilent.begin(), aSilent.end(), n) != aSilent.end();
        silences[n] = isSilent ? silences[n] + kStep : 75ms;
      }
      log.Update(ViewOfLeader(), now);
    }
  }

  /// Updates the log with what a host of a simulated group sees.
  void RunCluster(LogCluster & aCluster, std::size_t aHost, core::Duration aDuration)
  {
    for (core::Duration passed = 0ms; passed < aDuration; passed += kStep) {
      aCluster.Run(kStep);
      now += kStep;
      log.Update(ViewGroup(aCluster.Group(aHost)), now);
    }
  }

  std::vector<std::string> Find(const std::string& aText) const
  {
    std::vector<std::string> found;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(found),
                 [&](const std::string& aLine) { return aLine.find(aText) != std::string::npos; });
    return found;
  }

  /// The last line with this text.
  std::string Last(const std::string& aText) const
  {
    const auto found = Find(aText);
    return found.empty() ? "" : found.back();
  }
};

TEST(GroupHealthLog, CompleteGroupIsLoggedOnce)
{
  RunFor(10min);
  CHECK_EQUAL(2, lines.size());
  STRCMP_EQUAL("event=voters-changed voters=3 hosts=h0,h1,h2 joined=h0,h1,h2 left=\"\" index=7 "
               "leader=h0",
               lines[0].c_str());
  STRCMP_EQUAL("event=losses-tolerated tolerated=1 wanted=1 voters=3 active=3 ready=0",
               lines[1].c_str());
}

TEST(GroupHealthLog, LateReplyAndElectionAreNotLogged)
{
  RunFor(10s);
  lines.clear();
  RunFor(1500ms, { 1 });
  RunFor(10s);
  log.Update(ViewOfLeader(), now);
  GroupView follower = ViewOfLeader();
  follower.health.reset();
  follower.leader = core::HostId();
  for (int n = 0; n < 16; ++n) {
    now += kStep;
    log.Update(follower, now);
  }
  follower.leader = core::HostId("h2");
  now += kStep;
  log.Update(follower, now);
  CHECK(lines.empty());
}

TEST(GroupHealthLog, LostVoterWithoutASpareIsLoggedUntilItIsHeardAgain)
{
  RunFor(10s);
  lines.clear();
  RunFor(20s, { 2 });
  CHECK_EQUAL(2, lines.size());
  STRCMP_EQUAL("warning event=voter-silent host=h2 silent_ms=2025 spare_ready=0 ready=\"\" "
               "voters=3 tolerated=0",
               Last("voter-silent").c_str());
  STRCMP_EQUAL("warning event=losses-tolerated tolerated=0 wanted=1 voters=3 active=2 ready=0",
               Last("losses-tolerated").c_str());
  RunFor(5min, { 2 });
  CHECK_EQUAL(12, lines.size()); // Each once a minute.
  lines.clear();
  RunFor(10s);
  CHECK_EQUAL(2, lines.size());
  STRCMP_EQUAL("event=voter-heard host=h2 was_silent_ms=320075", Last("voter-heard").c_str());
  STRCMP_EQUAL("event=losses-tolerated tolerated=1 wanted=1 voters=3 active=3 ready=0",
               Last("losses-tolerated").c_str());
}

/// A voter that comes and goes must not fill the log.
TEST(GroupHealthLog, UnsteadyVoterIsLoggedOnceAMinute)
{
  RunFor(10s);
  lines.clear();
  for (int n = 0; n < 20; ++n) {
    RunFor(2100ms, { 1 });
    RunFor(900ms);
  }
  CHECK_EQUAL(1, Find("voter-silent").size());
  CHECK_EQUAL(0, Find("voter-heard").size());
  CHECK_EQUAL(1, lines.size());
}

TEST(GroupHealthLog, NewLeaderLogsTheLossesThatItsGroupTolerates)
{
  RunFor(10s, { 2 });
  GroupView follower = ViewOfLeader();
  follower.health.reset();
  log.Update(follower, now);
  lines.clear();
  RunFor(10s);
  CHECK_EQUAL(1, lines.size());
  STRCMP_CONTAINS("event=losses-tolerated tolerated=1 wanted=1", lines[0].c_str());
}

TEST(GroupHealthLog, SpareThatReplacesAVoterIsLogged)
{
  LogCluster cluster({ .hosts = 4, .seedHosts = 3, .openGroupVoters = 3, .seed = 12 });
  for (std::size_t n = 0; n < 3; ++n) {
    cluster.StartHost(n);
  }
  CHECK(cluster.RunUntil(20s, [&] { return cluster.LeaderHost() < cluster.RemoteHost(); }));
  cluster.Run(3s);
  const std::size_t leader = cluster.LeaderHost();
  RunCluster(cluster, leader, 5s);
  STRCMP_CONTAINS("tolerated=1 wanted=1", Last("losses-tolerated").c_str());
  const std::size_t lost = leader == 0 ? 1 : 0;
  const std::string lostId = cluster.Group(lost).Self().host.Text();
  cluster.Kill(lost);
  RunCluster(cluster, leader, 10s);
  STRCMP_CONTAINS("spare_ready=0", Last("voter-silent host=" + lostId).c_str());
  STRCMP_CONTAINS("warning event=losses-tolerated tolerated=0", Last("losses-tolerated").c_str());
  STRCMP_CONTAINS("cuminfield_group_voters_silent 1\n",
                  MetricsOf(ViewGroup(cluster.Group(leader))).c_str());
  cluster.StartHost(3);
  RunCluster(cluster, leader, 15s);
  STRCMP_CONTAINS("voters-changed", Last("left=" + lostId).c_str());
  const std::string metrics = MetricsOf(ViewGroup(cluster.Group(leader)));
  STRCMP_CONTAINS("cuminfield_group_voters 3\n", metrics.c_str());
  STRCMP_CONTAINS("cuminfield_group_voters_silent 0\n", metrics.c_str());
  STRCMP_CONTAINS("cuminfield_group_losses_tolerated 1\n", metrics.c_str());
  STRCMP_CONTAINS("cuminfield_group_losses_wanted 1\n", metrics.c_str());
  STRCMP_CONTAINS("event=losses-tolerated tolerated=1", Last("losses-tolerated").c_str());
  CHECK_EQUAL(0, Last("losses-tolerated").find("event"));
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

/// Both know no leader. Before, nothing told the one from the other.
TEST(GroupHealthLog, HostThatDoesNotJoinDiffersFromOneThatIsCutOff)
{
  LogCluster cluster({ .hosts = 4, .seedHosts = 3, .openGroupVoters = 3, .seed = 13 });
  for (std::size_t n = 0; n < 3; ++n) {
    cluster.StartHost(n);
  }
  CHECK(cluster.RunUntil(20s, [&] { return cluster.LeaderHost() < cluster.RemoteHost(); }));
  cluster.SetIsolated(3, true);
  cluster.StartHost(3);
  RunCluster(cluster, 3, 5s);
  CHECK_EQUAL(4, Find("warning event=leader-sought").size());
  STRCMP_CONTAINS("since_ms=4000 asked=3 answering=0 belonging=0", Last("leader-sought").c_str());
  STRCMP_CONTAINS(":none", Last("leader-sought").c_str());
  std::string metrics = MetricsOf(ViewGroup(cluster.Group(3)));
  STRCMP_CONTAINS("cuminfield_group_has_leader 0\n", metrics.c_str());
  STRCMP_CONTAINS("cuminfield_group_hosts_asked 3\n", metrics.c_str());
  STRCMP_CONTAINS("cuminfield_group_hosts_answering 0\n", metrics.c_str());
  CHECK(metrics.find("losses_tolerated") == std::string::npos);

  cluster.Heal();
  cluster.SetLinkBlocked(cluster.LeaderHost(), 3, true);
  RunCluster(cluster, 3, 5s);
  STRCMP_CONTAINS("asked=3 answering=2 belonging=2", Last("leader-sought").c_str());
  STRCMP_CONTAINS(":belongs/", Last("leader-sought").c_str());
  metrics = MetricsOf(ViewGroup(cluster.Group(3)));
  STRCMP_CONTAINS("cuminfield_group_hosts_answering 2\n", metrics.c_str());
  STRCMP_CONTAINS("cuminfield_group_hosts_belonging 2\n", metrics.c_str());

  CHECK_EQUAL(0, Find("voters-changed").size());
  cluster.Heal();
  RunCluster(cluster, 3, 1s);
  CHECK_EQUAL(1, Find("voters-changed").size());
  lines.clear();
  RunCluster(cluster, 3, 5s);
  CHECK(lines.empty());
  metrics = MetricsOf(ViewGroup(cluster.Group(3)));
  STRCMP_CONTAINS("cuminfield_group_has_leader 1\n", metrics.c_str());
  CHECK(metrics.find("hosts_asked") == std::string::npos);
  STRCMP_EQUAL("", cluster.Violation().c_str());
}
