#include "UnitTests/process/log/LogCluster.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace std::chrono_literals;
using namespace cuminfield;
using unit_tests::log::LogCluster;

namespace {

constexpr std::size_t kHosts = 3;

/// Injects one random fault; several may be active at once.
void InjectFault(LogCluster& aCluster)
{
  core::Random& random = aCluster.Randomness();
  const std::size_t leader = aCluster.LeaderHost();
  const std::size_t host =
    leader < kHosts && random.Chance(0.5) ? leader : random.UniformBelow(kHosts);
  switch (random.UniformBelow(6)) {
    case 0:
      aCluster.SetLinkBlocked(host, (host + 1) % kHosts, true);
      break;
    case 1:
      aCluster.SetIsolated(host, true);
      break;
    case 2:
      aCluster.Heal();
      break;
    case 3:
      if (aCluster.IsUp(host)) {
        aCluster.Kill(host);
      }
      break;
    case 4:
      for (std::size_t i = 0; i < kHosts; ++i) {
        if (aCluster.IsUp(i)) {
          aCluster.Kill(i);
        }
      }
      break;
    default:
      if (aCluster.AllHostsVote()) {
        aCluster.LoseDisk(host);
      }
      break;
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (!aCluster.IsUp(i) && random.Chance(0.5)) {
      aCluster.StartHost(i);
    }
  }
}

/// Returns the first host whose command is not acknowledged in time after all faults have ended, or
/// the number of hosts when there is none.
std::size_t FindHostWithoutAcknowledgement(std::uint64_t aSeed)
{
  LogCluster cluster(
    { .hosts = kHosts, .seedHosts = kHosts, .openGroupVoters = kHosts, .seed = aSeed });
  for (std::size_t i = 0; i < kHosts; ++i) {
    cluster.StartHost(i);
  }
  cluster.RunUntil(20s, [&] { return cluster.AllHostsVote(); });
  for (int n = 0; n < 12; ++n) {
    cluster.Run(core::Duration(cluster.Randomness().UniformBelow(1'500'000)));
    InjectFault(cluster);
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (cluster.IsUp(i)) {
        cluster.Propose(i);
      }
    }
  }
  cluster.Heal();
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (!cluster.IsUp(i)) {
      cluster.StartHost(i);
    }
  }
  // The bound applies from 3 s after the last fault; an operator gives up on a host after 1 s.
  cluster.Run(3s);
  for (std::size_t i = 0; i < kHosts; ++i) {
    const std::size_t before = cluster.AcknowledgedCount();
    cluster.Propose(i, 1s);
    if (!cluster.RunUntil(1s, [&] { return cluster.AcknowledgedCount() > before; })) {
      return i;
    }
  }
  STRCMP_EQUAL("", cluster.Violation().c_str());
  return kHosts;
}

} // namespace

/// A group after its faults have ended, as operators see it: every host must acknowledge a command
/// within a second.
TEST_GROUP(GroupRecovery){};

TEST(GroupRecovery, EveryHostAcknowledgesWithinASecond)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const std::string text = "seed " + std::to_string(seed);
    CHECK_EQUAL_TEXT(kHosts, FindHostWithoutAcknowledgement(seed), text.c_str());
  }
}
