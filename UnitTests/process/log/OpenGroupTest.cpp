#include "UnitTests/process/log/LogCluster.h"
#include "cuminfield/process/cluster/ControlGroupSettings.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace cuminfield;
using unit_tests::log::LogCluster;

namespace {

std::size_t CountVoters(LogCluster& aCluster)
{
  const std::size_t leader = aCluster.LeaderHost();
  return leader < aCluster.RemoteHost() ? aCluster.Group(leader).Voters().voters.size() : 0;
}

bool IsVoter(LogCluster& aCluster, std::size_t aHost)
{
  const std::size_t leader = aCluster.LeaderHost();
  return leader < aCluster.RemoteHost() &&
         aCluster.Group(leader).Voters().Contains(aCluster.Group(aHost).Self());
}

/// Hosts that run in a group of five voters, one of them without a vote.
constexpr std::size_t kRunning = 6;

void StartHosts(LogCluster& aCluster, std::size_t aCount)
{
  for (std::size_t n = 0; n < aCount; ++n) {
    aCluster.StartHost(n);
  }
}

/// Restarts leaders until one of the given hosts leads.
void MoveLeader(LogCluster& aCluster, const std::function<bool(std::size_t)>& aMayLead)
{
  constexpr int kMaxRestarts = 50;
  for (int n = 0; n < kMaxRestarts && !aMayLead(aCluster.LeaderHost()); ++n) {
    const std::size_t former = aCluster.LeaderHost();
    aCluster.Kill(former);
    CHECK(aCluster.RunUntil(10s, [&] { return aCluster.LeaderHost() < aCluster.RemoteHost(); }));
    aCluster.StartHost(former);
    aCluster.Run(2s);
  }
  CHECK(aMayLead(aCluster.LeaderHost()));
}

/// Waits until a host votes and the silent voter that it replaces no longer does.
bool ReplacesAVoter(LogCluster& aCluster, std::size_t aHost, std::size_t aVoters)
{
  return aCluster.RunUntil(
    15s, [&] { return IsVoter(aCluster, aHost) && CountVoters(aCluster) == aVoters; });
}

/// Kills a voter for good and starts an empty host in its place, which votes in the end.
void ReplaceHost(LogCluster& aCluster, std::size_t aFormer, std::size_t aNext)
{
  const std::size_t voters = CountVoters(aCluster);
  aCluster.Kill(aFormer);
  aCluster.StartHost(aNext);
  CHECK(ReplacesAVoter(aCluster, aNext, voters));
}

bool IsAcknowledgedFrom(LogCluster& aCluster, std::size_t aHost)
{
  const std::size_t before = aCluster.AcknowledgedCount();
  aCluster.Propose(aHost);
  return aCluster.RunUntil(2s, [&] { return aCluster.AcknowledgedCount() > before; });
}

/// Six hosts with five voters, as many as bear the loss of two. Hosts are replaced in turn, leaders
/// are killed, and at the end two disks are lost and all hosts stop at once. Returns how many of
/// the six acknowledge a command within 15 s.
std::size_t CountAcknowledgingHostsAfterReplacements(std::uint64_t aSeed)
{
  constexpr std::size_t kSeeds = 3;
  constexpr std::size_t kReplacements = 4;
  LogCluster cluster({ .hosts = kRunning + kReplacements,
                       .seedHosts = kSeeds,
                       .openGroupVoters = 5,
                       .seed = aSeed });
  core::Random& random = cluster.Randomness();
  std::vector<std::size_t> running;
  for (std::size_t n = 0; n < kRunning; ++n) {
    running.push_back(n);
    cluster.StartHost(n);
  }
  cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 5; });
  for (std::size_t n = kRunning; n < kRunning + kReplacements; ++n) {
    const std::size_t leader = cluster.LeaderHost();
    if (leader < cluster.RemoteHost() && random.Chance(0.7)) {
      cluster.Kill(leader);
      cluster.Run(2500ms);
      cluster.StartHost(leader);
      cluster.Run(6s);
    }
    const std::size_t replaced = random.UniformBelow(running.size());
    cluster.Kill(running[replaced]);
    running.erase(running.begin() + static_cast<std::ptrdiff_t>(replaced));
    running.push_back(n);
    // The settings name the first of the hosts that are there when a host starts.
    cluster.SetSeeds({ running[0], running[1], running[2] });
    cluster.Run(1s);
    cluster.StartHost(n);
    // A replaced host counts as lost until its successor has run for 6 s.
    cluster.Run(6s);
    cluster.Propose(n);
  }
  const std::size_t lost = random.UniformBelow(kRunning);
  const std::size_t alsoLost = (lost + 1 + random.UniformBelow(kRunning - 1)) % kRunning;
  for (std::size_t n = 0; n < kRunning; ++n) {
    if (n == lost || n == alsoLost) {
      cluster.LoseDisk(running[n]);
    } else {
      cluster.Kill(running[n]);
    }
  }
  cluster.Run(1s);
  for (const std::size_t host : running) {
    cluster.StartHost(host);
  }
  cluster.Run(13s);
  const std::string text = "seed " + std::to_string(aSeed);
  STRCMP_EQUAL_TEXT("", cluster.Violation().c_str(), text.c_str());
  // All at once, so that the last host gets no more time than the first.
  const std::size_t before = cluster.AcknowledgedCount();
  for (const std::size_t host : running) {
    cluster.Propose(host);
  }
  cluster.RunUntil(2s, [&] { return cluster.AcknowledgedCount() == before + kRunning; });
  return cluster.AcknowledgedCount() - before;
}

} // namespace

TEST_GROUP(OpenGroup){};

TEST(OpenGroup, HostsOtherThanTheSeedsBecomeVoters)
{
  LogCluster cluster({ .hosts = 5, .seedHosts = 3, .openGroupVoters = 5, .seed = 11 });
  for (std::size_t n = 0; n < 5; ++n) {
    cluster.StartHost(n);
  }
  CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 5; }));
  cluster.Propose(4);
  cluster.Run(2s);
  CHECK_EQUAL(1, cluster.AcknowledgedCount());
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

TEST(OpenGroup, SpareHostReplacesAFailedVoter)
{
  LogCluster cluster({ .hosts = 4, .seedHosts = 3, .openGroupVoters = 3, .seed = 12 });
  for (std::size_t n = 0; n < 3; ++n) {
    cluster.StartHost(n);
  }
  CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 3; }));
  cluster.Propose(0);
  cluster.Run(1s);
  cluster.StartHost(3);
  cluster.Run(5s);
  CHECK_FALSE(IsVoter(cluster, 3)); // No voter is silent, so the host follows without a vote.
  cluster.Kill(1);
  CHECK(cluster.RunUntil(30s, [&] { return IsVoter(cluster, 3) && CountVoters(cluster) == 3; }));
  // The acknowledged command must survive on the new voter and one former voter.
  const std::size_t other = cluster.LeaderHost() == 3 ? 0 : cluster.LeaderHost();
  cluster.Kill(other == 0 ? 2 : 0);
  cluster.Propose(3);
  cluster.Run(5s);
  CHECK_EQUAL(2, cluster.AcknowledgedCount());
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

/// Guards against a learner that says for as long as it is cut off that it knows a leader.
TEST(OpenGroup, CutOffLearnerKnowsNoLeader)
{
  LogCluster cluster({ .hosts = 4, .seedHosts = 3, .openGroupVoters = 3, .seed = 15 });
  for (std::size_t n = 0; n < 4; ++n) {
    cluster.StartHost(n);
  }
  CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 3; }));
  std::size_t learner = 0;
  while (learner < 3 && IsVoter(cluster, learner)) {
    ++learner;
  }
  cluster.Run(2s);
  CHECK_FALSE(cluster.Group(learner).Leader().IsEmpty());
  CHECK(*cluster.Group(learner).StateAge() < 500ms);
  cluster.SetIsolated(learner, true);
  cluster.Propose(cluster.LeaderHost());
  cluster.Run(3s);
  CHECK(cluster.Group(learner).Leader().IsEmpty());
  CHECK(*cluster.Group(learner).StateAge() > 2500ms);
  CHECK(*cluster.Group(cluster.LeaderHost()).StateAge() < 500ms);
  cluster.Heal();
  cluster.Run(3s);
  CHECK_FALSE(cluster.Group(learner).Leader().IsEmpty());
  CHECK(*cluster.Group(learner).StateAge() < 500ms);
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

TEST(OpenGroup, BlankHostNeverFoundsItsOwnGroup)
{
  LogCluster cluster({ .hosts = 4, .seedHosts = 3, .openGroupVoters = 3, .seed = 13 });
  cluster.StartHost(3);
  cluster.Run(10s);
  CHECK_EQUAL(0, cluster.Group(3).Voters().voters.size());
}

TEST(OpenGroup, SilentVoterKeepsItsVoteWithoutASpareHost)
{
  LogCluster cluster({ .hosts = 3, .seedHosts = 3, .openGroupVoters = 3, .seed = 14 });
  for (std::size_t n = 0; n < 3; ++n) {
    cluster.StartHost(n);
  }
  CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 3; }));
  cluster.SetIsolated(2, true);
  cluster.Run(8s);
  CHECK_EQUAL(3, CountVoters(cluster));
  cluster.Heal();
  cluster.Run(3s);
  CHECK(IsVoter(cluster, 2));
}

/// Guards against a host that joins only while one of its seeds leads.
TEST(OpenGroup, BlankHostJoinsWhileNoSeedLeads)
{
  LogCluster cluster({ .hosts = 6, .seedHosts = 3, .openGroupVoters = 5, .seed = 16 });
  StartHosts(cluster, 5);
  CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 5; }));
  MoveLeader(cluster, [](std::size_t aHost) { return aHost == 3 || aHost == 4; });
  ReplaceHost(cluster, cluster.LeaderHost() == 3 ? 4 : 3, 5);
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

/// Guards against a voter that, without its disk, knows nobody who is left.
TEST(OpenGroup, WipedVoterJoinsAlthoughAllItsSeedsAreGone)
{
  LogCluster cluster({ .hosts = 8, .seedHosts = 3, .openGroupVoters = 5, .seed = 17 });
  StartHosts(cluster, 5);
  CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 5; }));
  cluster.SetSeeds({ 3, 4, 5 });
  for (std::size_t n = 0; n < 3; ++n) {
    ReplaceHost(cluster, n, 5 + n);
  }
  MoveLeader(cluster, [](std::size_t aHost) { return aHost != 3; });
  cluster.SetSeeds({ 0, 1, 2 });
  cluster.LoseDisk(3);
  cluster.StartHost(3);
  CHECK(cluster.RunUntil(10s, [&] { return IsVoter(cluster, 3); }));
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

/// Guards against a voter that was replaced while it was cut off, and asks its former fellow voters
/// for votes ever after.
TEST(OpenGroup, FormerVoterJoinsAgainWhileAHostThatItDoesNotKnowLeads)
{
  LogCluster cluster({ .hosts = 6, .seedHosts = 3, .openGroupVoters = 3, .seed = 18 });
  StartHosts(cluster, 3);
  CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 3; }));
  MoveLeader(cluster, [](std::size_t aHost) { return aHost != 0; });
  cluster.SetIsolated(0, true);
  cluster.StartHost(3);
  CHECK(ReplacesAVoter(cluster, 3, 3));
  ReplaceHost(cluster, 1, 4);
  MoveLeader(cluster, [](std::size_t aHost) { return aHost == 3 || aHost == 4; });
  cluster.Heal();
  cluster.Run(3s);
  CHECK_FALSE(cluster.Group(0).Leader().IsEmpty());
  CHECK(IsAcknowledgedFrom(cluster, 0));
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

/// Guards against a group that is lost because hosts never joined it.
TEST(OpenGroup, EveryHostAcknowledgesAfterReplacementsAndTheLossOfTwoDisks)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const std::string text = "seed " + std::to_string(seed);
    CHECK_EQUAL_TEXT(kRunning, CountAcknowledgingHostsAfterReplacements(seed), text.c_str());
  }
}

/// Guards against a host that is not helped by a member that has no leader itself.
TEST(OpenGroup, MemberWithoutALeaderHelpsABlankHost)
{
  LogCluster cluster({ .hosts = 8, .seedHosts = 3, .openGroupVoters = 5, .seed = 34 });
  StartHosts(cluster, kRunning);
  CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 5; }));
  // Host 0 is removed while it is cut off; then only the new host hears it.
  cluster.SetIsolated(0, true);
  CHECK(cluster.RunUntil(20s, [&] { return cluster.LeaderHost() != 0 && !IsVoter(cluster, 0); }));
  cluster.SetLinkBlocked(0, 6, false);
  cluster.SetLinkBlocked(6, 0, false);
  cluster.SetSeeds({ 0 });
  cluster.StartHost(6);
  CHECK(cluster.RunUntil(10s, [&] { return !cluster.Group(6).Leader().IsEmpty(); }));
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

/// Guards against a host that does not join since the only member that it knows has a full disk.
TEST(OpenGroup, BlankHostJoinsThroughAMemberWithAFullDisk)
{
  LogCluster cluster({ .hosts = 7, .seedHosts = 3, .openGroupVoters = 5, .seed = 33 });
  StartHosts(cluster, kRunning);
  CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 5; }));
  const std::size_t full = cluster.LeaderHost() == 0 ? 1 : 0;
  cluster.Disk(full).SetFull(true);
  cluster.Propose(cluster.LeaderHost());
  cluster.Run(1s);
  cluster.SetSeeds({ full });
  cluster.StartHost(6);
  CHECK(cluster.RunUntil(10s, [&] { return !cluster.Group(6).Leader().IsEmpty(); }));
}

/// Guards against a voter that is gone and stays in the configuration, since each new leader waits
/// anew until it counts as silent.
TEST(OpenGroup, VoterThatIsGoneIsReplacedAlthoughLeadersChange)
{
  LogCluster cluster({ .hosts = 6, .seedHosts = 3, .openGroupVoters = 5, .seed = 31 });
  StartHosts(cluster, kRunning);
  CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 5; }));
  std::size_t gone = 0;
  while (gone == cluster.LeaderHost() || !IsVoter(cluster, gone)) {
    ++gone;
  }
  const process::log::Member former = cluster.Group(gone).Self();
  const auto isVoterStill = [&] {
    const std::size_t leader = cluster.LeaderHost();
    return leader == cluster.RemoteHost() || cluster.Group(leader).Voters().Contains(former);
  };
  cluster.Kill(gone);
  constexpr int kChanges = 30;
  for (int n = 0; n < kChanges && isVoterStill(); ++n) {
    cluster.Run(1500ms);
    const std::size_t leader = cluster.LeaderHost();
    if (leader == cluster.RemoteHost()) {
      continue;
    }
    cluster.SetIsolated(leader, true);
    cluster.RunUntil(5s, [&] {
      return cluster.LeaderHost() != leader && cluster.LeaderHost() < cluster.RemoteHost();
    });
    cluster.SetIsolated(leader, false);
  }
  CHECK_FALSE(isVoterStill());
}

/// Guards against a group that is lost because a leader that was removed still votes when the next
/// host is lost. The successor was started first; 4 s later the removed host no longer counts.
TEST(OpenGroup, RemovedLeaderIsReplacedInTimeForTheNextLoss)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const std::string text = "seed " + std::to_string(seed);
    LogCluster cluster({ .hosts = 4,
                         .seedHosts = 3,
                         .openGroupVoters = 3,
                         .seed = seed,
                         .group = process::cluster::MakeControlGroupSettings(3) });
    StartHosts(cluster, 3);
    CHECK(cluster.RunUntil(20s, [&] { return CountVoters(cluster) == 3; }));
    cluster.StartHost(3);
    cluster.Run(1s);
    const std::size_t removed = cluster.LeaderHost();
    CHECK(removed < cluster.RemoteHost());
    cluster.Kill(removed);
    cluster.Run(3s);
    cluster.Kill(cluster.LeaderHost());
    const std::size_t other = removed == 3 ? 0 : 3;
    CHECK_TEXT(IsAcknowledgedFrom(cluster, other), text.c_str());
    STRCMP_EQUAL("", cluster.Violation().c_str());
  }
}
