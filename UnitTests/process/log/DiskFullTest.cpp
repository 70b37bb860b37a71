#include "UnitTests/process/log/LogCluster.h"
#include "cuminfield/process/cluster/ControlGroupSettings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace cuminfield;
using process::cluster::MakeControlGroupSettings;
using unit_tests::log::ClusterSettings;
using unit_tests::log::LogCluster;

namespace {

ClusterSettings ThreeVoters(std::size_t aSpareHosts = 0)
{
  return { .hosts = 3 + aSpareHosts,
           .seedHosts = 3,
           .openGroupVoters = 3,
           .group = MakeControlGroupSettings(3) };
}

ClusterSettings FiveVotersOfSixHosts(std::size_t aSpareHosts = 0)
{
  return { .hosts = 6 + aSpareHosts,
           .seedHosts = 3,
           .openGroupVoters = 5,
           .group = MakeControlGroupSettings(5) };
}

/// What happens beside the full disks.
struct Disruptions
{
  bool restarts = false;     ///< Hosts restart, also the leader and the one whose disk is full.
  bool replacements = false; ///< Hosts are replaced by spare, empty ones.
  bool lostDisks = false;    ///< Hosts lose their disk and restart.
  bool cuts = false;         ///< Hosts are cut off or don't run for up to 2 s.
  bool syncFailures = false; ///< Some of the disks accept bytes and fail when they are synced.
};

/// Fills the disks of a group in turn, never two at once, beside commands from all hosts.
class DisksInTurn
{
public:
  DisksInTurn(const ClusterSettings& aSettings, std::size_t aRunning, Disruptions aDisruptions)
    : mCluster(aSettings)
    , mDisruptions(aDisruptions)
    , mHosts(aSettings.hosts)
    , mVoters(aSettings.openGroupVoters)
    , mNextHost(aRunning)
    , mFullHost(aSettings.hosts)
    , mDownHost(aSettings.hosts)
  {
    for (std::size_t n = 0; n < aRunning; ++n) {
      mRunning.push_back(n);
      mCluster.StartHost(n);
    }
    mCluster.RunUntil(20s, [this] { return IsComplete(); });
  }

  /// Fills each disk for 2 to 7 s, in random order.
  void FillAll()
  {
    std::vector<std::size_t> order = mRunning;
    for (std::size_t n = order.size(); n > 1; --n) {
      std::swap(order[n - 1], order[Below(n)]);
    }
    for (const std::size_t host : order) {
      mFullHost = host;
      Fill(host);
      RunFor(Between(2s, 7s));
      MakeRoom(host);
      mFullHost = mHosts;
      RunFor(Below(3) == 0 ? core::Duration(0) : Between(0ms, 1s));
    }
    EndDisruptions();
  }

  /// Reports a violation unless every running host acknowledges a command within aLimit.
  void CheckAcknowledgements(core::Duration aLimit)
  {
    const core::Instant end = mCluster.Now() + aLimit;
    for (const std::size_t host : mRunning) {
      const std::size_t before = mCluster.AcknowledgedCount();
      mCluster.Propose(host, aLimit);
      if (!mCluster.RunUntil(end - mCluster.Now(),
                             [&] { return mCluster.AcknowledgedCount() > before; })) {
        mCluster.ReportViolation("no acknowledgement by h" + std::to_string(host));
      }
    }
  }

  LogCluster& Cluster() { return mCluster; }

private:
  std::uint64_t Below(std::uint64_t aLimit) { return mCluster.Randomness().UniformBelow(aLimit); }

  core::Duration Between(core::Duration aMin, core::Duration aMax)
  {
    return aMin + core::Duration(Below(static_cast<std::uint64_t>((aMax - aMin).count()) + 1));
  }

  std::size_t RandomHost() { return mRunning[Below(mRunning.size())]; }

  void Fill(std::size_t aHost)
  {
    if (mDisruptions.syncFailures && Below(2) == 0) {
      mCluster.Disk(aHost).SetSyncFails(true);
    } else if (Below(2) == 0) {
      mCluster.Disk(aHost).SetFull(true);
    } else {
      mCluster.Disk(aHost).SetRoom(Below(2'000));
    }
  }

  void MakeRoom(std::size_t aHost)
  {
    mCluster.Disk(aHost).SetSyncFails(false);
    mCluster.Disk(aHost).SetFull(false);
    mCluster.Disk(aHost).SetRoom(std::numeric_limits<std::uint64_t>::max());
  }

  void RunFor(core::Duration aDuration)
  {
    const core::Instant end = mCluster.Now() + aDuration;
    while (mCluster.Now() < end && mCluster.Violation().empty()) {
      mCluster.Run(50ms);
      const std::size_t host = RandomHost();
      if (mCluster.IsUp(host) && !mCluster.HasFailed(host)) {
        mCluster.Propose(host, 4s);
        mCluster.Query(host);
      }
      RestartFailedHosts();
      if (mDisruptions.cuts) {
        CutOrStall();
      }
      if (mDownHost < mHosts) {
        StartDownHost();
      } else if (mDisruptions.restarts && Below(40) == 0) {
        StopForAWhile();
      } else if (mDisruptions.replacements && Below(100) == 0) {
        Replace();
      } else if (mDisruptions.lostDisks && Below(40) == 0) {
        LoseDisk();
      }
    }
  }

  void StartDownHost()
  {
    if (mCluster.Now() >= mRestartAt) {
      mCluster.StartHost(mDownHost);
      mDownHost = mHosts;
    }
  }

  void StopForAWhile()
  {
    std::size_t host = RandomHost();
    if (Below(3) == 0 && mCluster.LeaderHost() < mHosts) {
      host = mCluster.LeaderHost();
    } else if (Below(2) == 0 && mFullHost < mHosts) {
      host = mFullHost;
    }
    if (mCluster.IsUp(host)) {
      mCluster.Kill(host);
      mDownHost = host;
      mRestartAt = mCluster.Now() + Between(100ms, 2s);
    }
  }

  /// A replaced host counts as lost until its successor has joined; the next may go only then.
  void Replace()
  {
    const std::size_t n = Below(mRunning.size());
    if (mNextHost == mHosts || mRunning[n] == mFullHost || !IsComplete()) {
      return;
    }
    mCluster.Kill(mRunning[n]);
    mRunning[n] = mNextHost;
    ++mNextHost;
    mDownHost = mRunning[n];
    mRestartAt = mCluster.Now() + Between(100ms, 2s);
  }

  void LoseDisk()
  {
    const std::size_t host = RandomHost();
    if (host != mFullHost && IsComplete()) {
      mCluster.LoseDisk(host);
      mDownHost = host;
      mRestartAt = mCluster.Now() + Between(100ms, 2s);
    }
  }

  void CutOrStall()
  {
    if (Below(20) == 0) {
      mCluster.StallHost(RandomHost(), Between(0ms, 1500ms));
    }
    if (mCluster.Now() < mHealAt) {
      return;
    }
    mCluster.Heal();
    if (Below(40) == 0) {
      const std::size_t leader = mCluster.LeaderHost();
      mCluster.SetIsolated(leader < mHosts && Below(2) == 0 ? leader : RandomHost(), true);
      mHealAt = mCluster.Now() + Between(100ms, 2s);
    }
  }

  /// A process whose storage failed ends and is started again.
  void RestartFailedHosts()
  {
    for (const std::size_t host : mRunning) {
      if (mCluster.IsUp(host) && mCluster.HasFailed(host)) {
        mCluster.Kill(host);
        mCluster.StartHost(host);
      }
    }
  }

  void EndDisruptions()
  {
    mCluster.Heal();
    RestartFailedHosts();
    if (mDownHost < mHosts) {
      mCluster.StartHost(mDownHost);
      mDownHost = mHosts;
    }
  }

  /// All running hosts know a leader and the same voters, as many as the group should have, which
  /// all run.
  bool IsComplete()
  {
    const std::size_t leader = mCluster.LeaderHost();
    if (leader == mHosts) {
      return false;
    }
    const auto voters = mCluster.Group(leader).Voters();
    std::size_t running = 0;
    for (const std::size_t host : mRunning) {
      if (!mCluster.IsUp(host) || mCluster.Group(host).Leader().IsEmpty() ||
          mCluster.Group(host).Voters() != voters) {
        return false;
      }
      running += voters.Contains(mCluster.Group(host).Self()) ? 1 : 0;
    }
    return running >= mVoters && running == voters.voters.size();
  }

  LogCluster mCluster;
  const Disruptions mDisruptions;
  const std::size_t mHosts;
  const std::size_t mVoters;
  std::vector<std::size_t> mRunning;
  std::size_t mNextHost; ///< The next spare host; the number of hosts when there is none.
  std::size_t mFullHost; ///< The number of hosts when no disk is full.
  std::size_t mDownHost; ///< The number of hosts when all run.
  core::Instant mRestartAt;
  core::Instant mHealAt;
};

/// The bounds on a command's acknowledgement that are stated for small and large groups. A host
/// that is started at the end of the run needs a second before.
constexpr core::Duration kSettleTime = 1s;
constexpr core::Duration kLimitOfThree = 4s;
constexpr core::Duration kLimitOfSix = 5s;

void CheckRuns(ClusterSettings aSettings, std::size_t aRunning, Disruptions aDisruptions,
               core::Duration aLimit, std::uint64_t aFirstSeed)
{
  constexpr std::uint64_t kSeeds = 25;
  constexpr int kRounds = 2;
  aSettings.lossProbability = 0.02;
  aSettings.duplicateProbability = 0.05;
  aSettings.delayProbability = 0.03;
  std::size_t acknowledged = 0;
  for (std::uint64_t seed = aFirstSeed; seed < aFirstSeed + kSeeds; ++seed) {
    aSettings.seed = seed;
    DisksInTurn run(aSettings, aRunning, aDisruptions);
    for (int round = 0; round < kRounds; ++round) {
      run.FillAll();
    }
    run.Cluster().Run(kSettleTime);
    run.CheckAcknowledgements(aLimit);
    run.Cluster().CheckAgreement();
    acknowledged += run.Cluster().AcknowledgedCount();
    const std::string text = "seed " + std::to_string(seed) + ": " + run.Cluster().Violation();
    CHECK_TEXT(run.Cluster().Violation().empty(), text.c_str());
  }
  constexpr std::size_t kMinAcknowledgedPerRun = 200; // Fewer would prove little.
  CHECK(acknowledged >= kMinAcknowledgedPerRun * kSeeds);
}

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

TEST(DiskFull, ThreeVotersAcknowledgeAfterAllDisksWereFullInTurn)
{
  CheckRuns(ThreeVoters(), 3, {}, kLimitOfThree, 1);
  CheckRuns(ThreeVoters(), 3, { .restarts = true }, kLimitOfThree, 101);
  CheckRuns(ThreeVoters(), 3, { .restarts = true, .cuts = true }, kLimitOfThree, 201);
  CheckRuns(ThreeVoters(), 3, { .restarts = true, .syncFailures = true }, kLimitOfThree, 301);
}

TEST(DiskFull, SixHostsAcknowledgeAfterAllDisksWereFullInTurn)
{
  CheckRuns(FiveVotersOfSixHosts(), 6, {}, kLimitOfSix, 1);
  CheckRuns(FiveVotersOfSixHosts(), 6, { .restarts = true }, kLimitOfSix, 101);
  CheckRuns(FiveVotersOfSixHosts(), 6, { .restarts = true, .cuts = true }, kLimitOfSix, 201);
  CheckRuns(FiveVotersOfSixHosts(), 6, { .restarts = true, .syncFailures = true }, kLimitOfSix,
            301);
}

TEST(DiskFull, HostsAcknowledgeAfterDisksWereFullAndOthersLost)
{
  CheckRuns(ThreeVoters(2), 3, { .replacements = true }, kLimitOfThree, 5001);
  CheckRuns(ThreeVoters(), 3, { .lostDisks = true }, kLimitOfThree, 5101);
  CheckRuns(FiveVotersOfSixHosts(), 6, { .restarts = true, .lostDisks = true }, kLimitOfSix, 5101);
  CheckRuns(FiveVotersOfSixHosts(2), 6, { .restarts = true, .replacements = true }, kLimitOfSix,
            5001);
  const Disruptions all{ .restarts = true, .replacements = true, .lostDisks = true, .cuts = true };
  CheckRuns(ThreeVoters(2), 3, all, kLimitOfThree, 5201);
  CheckRuns(FiveVotersOfSixHosts(2), 6, all, kLimitOfSix, 5201);
}

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
      CHECK_TEXT(IsAcknowledgedFrom(cluster, host, kLimitOfThree), text.c_str());
    }
    STRCMP_EQUAL("", cluster.Violation().c_str());
  }
}

/// Guards against memory that grows for as long as a disk is full, and against a flood of late
/// messages once it has room.
TEST(DiskFull, HostWithAFullDiskHoldsBackABoundedNumberOfMessages)
{
  LogCluster cluster(ThreeVoters());
  for (std::size_t n = 0; n < 3; ++n) {
    cluster.StartHost(n);
  }
  CHECK(cluster.RunUntil(20s, [&] { return cluster.LeaderHost() < 3; }));
  const std::size_t leader = cluster.LeaderHost();
  const std::size_t full = (leader + 1) % 3;
  const auto bytesAfterSilence = [&](core::Duration aSilence) {
    cluster.Disk(full).SetFull(true);
    cluster.Propose(leader);
    cluster.Run(aSilence);
    const std::size_t before = cluster.BytesSent();
    cluster.Disk(full).SetFull(false);
    cluster.Run(500ms);
    return cluster.BytesSent() - before;
  };
  const std::size_t afterMinutes = bytesAfterSilence(2min);
  const std::size_t afterHalfAnHour = bytesAfterSilence(30min);
  const std::string text =
    std::to_string(afterMinutes) + " bytes, then " + std::to_string(afterHalfAnHour);
  CHECK_TEXT(afterHalfAnHour < 2 * afterMinutes, text.c_str());
  CHECK(IsAcknowledgedFrom(cluster, full, kLimitOfThree));
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

/// Guards against a group that is lost for good: a leader whose disk was full had taken the vote of
/// a host's former incarnation, could not give it to the new one, and was lost, too.
TEST(DiskFull, HostThatLostItsDiskVotesAgainWhileTheLeadersDiskIsFull)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ClusterSettings settings = ThreeVoters();
    settings.seed = seed;
    LogCluster cluster(settings);
    for (std::size_t n = 0; n < 3; ++n) {
      cluster.StartHost(n);
    }
    CHECK(cluster.RunUntil(10s, [&] { return cluster.AllHostsVote(); }));
    cluster.Propose(0);
    cluster.Run(1s);
    const std::size_t leader = cluster.LeaderHost();
    const std::size_t other = (leader + 1) % 3;
    cluster.Disk(leader).SetFull(true);
    cluster.LoseDisk(other);
    cluster.Run(1s);
    cluster.StartHost(other);
    cluster.Run(4s);
    cluster.Kill(leader);
    cluster.Run(3s);
    const std::size_t before = cluster.AcknowledgedCount();
    cluster.Propose(other, 1s);
    cluster.Run(1s);
    const std::string text = "seed " + std::to_string(seed);
    CHECK_EQUAL_TEXT(before + 1, cluster.AcknowledgedCount(), text.c_str());
    STRCMP_EQUAL_TEXT("", cluster.Violation().c_str(), text.c_str());
  }
}
