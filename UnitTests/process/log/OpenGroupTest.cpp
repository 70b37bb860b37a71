#include "UnitTests/process/log/LogCluster.h"

#include <CppUTest/TestHarness.h>

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
