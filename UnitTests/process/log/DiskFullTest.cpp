#include "UnitTests/process/log/LogCluster.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace std::chrono_literals;
using namespace cuminfield;
using unit_tests::log::ClusterSettings;
using unit_tests::log::LogCluster;

namespace {

/// The settings of control hosts.
process::log::LogGroupSettings ControlHostSettings()
{
  process::log::LogGroupSettings settings;
  settings.log.electionTimeoutMin = 300ms;
  settings.log.electionTimeoutMax = 600ms;
  settings.log.heartbeatInterval = 75ms;
  settings.log.leaseDuration = 220ms;
  settings.log.announceInterval = 100ms;
  settings.client.resendTimeout = 250ms;
  return settings;
}

ClusterSettings ThreeVoters(std::size_t aSpareHosts = 0)
{
  return {
    .hosts = 3 + aSpareHosts, .seedHosts = 3, .openGroupVoters = 3, .group = ControlHostSettings()
  };
}

constexpr core::Duration kAcknowledgementLimit = 4s;

bool IsAcknowledgedFrom(LogCluster& aCluster, std::size_t aHost, core::Duration aLimit)
{
  const std::size_t before = aCluster.AcknowledgedCount();
  aCluster.Propose(aHost, aLimit);
  return aCluster.RunUntil(aLimit, [&] { return aCluster.AcknowledgedCount() > before; });
}

} // namespace

/// A group whose disks are full for some seconds each, one after another. Soon after the last one
/// has room, every host must acknowledge commands.
TEST_GROUP(DiskFull){};

/// Guards against a group that is lost because it removed a voter that was silent for as long as
/// its disk was full, and the one that it still counted on never came back.
TEST(DiskFull, GroupGoesOnAfterAHostIsReplacedWhileAnotherDiskIsFull)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ClusterSettings settings = ThreeVoters(1);
    settings.seed = seed;
    LogCluster cluster(settings);
    for (std::size_t n = 0; n < 3; ++n) {
      cluster.StartHost(n);
    }
    CHECK(cluster.RunUntil(20s, [&] { return cluster.LeaderHost() < 3; }));
    cluster.Run(1s);
    const std::size_t leader = cluster.LeaderHost();
    const std::size_t full = (leader + 1) % 3;
    const std::size_t replaced = (leader + 2) % 3;
    cluster.Disk(full).SetFull(true);
    for (int n = 0; n < 40; ++n) {
      cluster.Propose(leader);
      cluster.Run(100ms);
    }
    cluster.Kill(replaced);
    cluster.Run(100ms);
    cluster.StartHost(3);
    cluster.Run(2s);
    cluster.Disk(full).SetFull(false);
    cluster.Run(5s);
    for (const std::size_t host : { leader, full, std::size_t{ 3 } }) {
      const std::string text = "seed " + std::to_string(seed) + ", leader " +
                               std::to_string(leader) + ", host " + std::to_string(host);
      CHECK_TEXT(IsAcknowledgedFrom(cluster, host, kAcknowledgementLimit), text.c_str());
    }
    STRCMP_EQUAL("", cluster.Violation().c_str());
  }
}
