#include "UnitTests/process/log/LogCluster.h"
#include "cuminfield/process/cluster/ControlGroupSettings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>

using namespace std::chrono_literals;
using namespace cuminfield;
using unit_tests::log::LogCluster;

namespace {

constexpr std::size_t kHosts = 3;
constexpr std::uint64_t kSeeds = 10;

/// When the hosts start, after the first one: within 0.3 s.
constexpr std::array<core::Duration, kHosts> kStarts{ 0ms, 100ms, 250ms };

/// When one of them is killed, after its own start.
constexpr std::array<core::Duration, 6> kKills{ 0ms, 20ms, 100ms, 200ms, 400ms, 1000ms };

/// Bound on the time from the last start or kill until the group acknowledges commands.
constexpr core::Duration kCalm = 3s;
/// An operator gives up on a host after this time.
constexpr core::Duration kPatience = 1s;

/// The first start of three control hosts, one of which fails meanwhile.
class FirstStart
{
public:
  FirstStart(std::uint64_t aSeed, std::size_t aVictim, bool aSameRandomness = false)
    : mVictim(aVictim)
    , mCluster({ .hosts = kHosts,
                 .seedHosts = kHosts,
                 .openGroupVoters = kHosts,
                 .seed = aSeed,
                 .sameRandomness = aSameRandomness,
                 .group = process::cluster::MakeControlGroupSettings(kHosts) })
  {
  }

  LogCluster& Cluster() { return mCluster; }

  /// Starts all hosts and waits until they vote.
  void RunUndisturbed()
  {
    for (std::size_t n = 0; n < kHosts; ++n) {
      mCluster.StartHost(n);
    }
    CHECK(mCluster.RunUntil(kCalm, [this] { return mCluster.AllHostsVote(); }));
  }

  /// Starts all hosts, or all but the victim. Kills the victim aKillAfter its start, and starts it
  /// again aBackAfter that, when it is no longer told that this is the first start.
  void Run(std::optional<core::Duration> aKillAfter, std::optional<core::Duration> aBackAfter)
  {
    const core::Instant begin = mCluster.Now();
    const core::Instant killAt = begin + kStarts[mVictim] + aKillAfter.value_or(0ms);
    const core::Instant backAt = killAt + aBackAfter.value_or(0ms);
    const core::Instant end = std::max(backAt, begin + kStarts.back()) + 1ms;
    std::size_t started = 0;
    bool wasKilled = !aKillAfter;
    bool isBack = !aBackAfter;
    while (mCluster.Now() <= end) {
      for (; started < kHosts && mCluster.Now() >= begin + kStarts[started]; ++started) {
        if (started != mVictim || aKillAfter) {
          mCluster.StartHost(started);
        }
      }
      if (!wasKilled && started > mVictim && mCluster.Now() >= killAt) {
        mCluster.Kill(mVictim);
        wasKilled = true;
      }
      if (wasKilled && !isBack && mCluster.Now() >= backAt) {
        mCluster.EndFirstStart();
        mCluster.StartHost(mVictim);
        isBack = true;
      }
      mCluster.Run(2ms);
    }
  }

  /// Returns what is wrong after a time of calm; empty if each host that runs acknowledges a
  /// command before an operator gives up on it, and all agree.
  std::string Check()
  {
    mCluster.Run(kCalm);
    const std::size_t before = mCluster.AcknowledgedCount();
    std::size_t running = 0;
    for (std::size_t n = 0; n < kHosts; ++n) {
      if (mCluster.IsUp(n)) {
        mCluster.Propose(n, kPatience);
        ++running;
      }
    }
    mCluster.RunUntil(kPatience, [&] { return mCluster.AcknowledgedCount() == before + running; });
    if (mCluster.AcknowledgedCount() != before + running) {
      return "acknowledged " + std::to_string(mCluster.AcknowledgedCount() - before) + " of " +
             std::to_string(running) + mCluster.Violation();
    }
    mCluster.CheckAgreement();
    return mCluster.Violation();
  }

private:
  std::size_t mVictim;
  LogCluster mCluster;
};

std::string Describe(std::uint64_t aSeed, std::size_t aVictim, core::Duration aKillAfter)
{
  return "seed " + std::to_string(aSeed) + ", host " + std::to_string(aVictim) + ", killed after " +
         std::to_string(aKillAfter.count() / 1000) + " ms";
}

/// Checks the group for every victim, time of the kill and seed.
void CheckWithAKill(std::optional<core::Duration> aBackAfter)
{
  for (std::size_t victim = 0; victim < kHosts; ++victim) {
    for (const core::Duration kill : kKills) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        FirstStart start(seed, victim);
        start.Run(kill, aBackAfter);
        STRCMP_EQUAL_TEXT("", start.Check().c_str(), Describe(seed, victim, kill).c_str());
      }
    }
  }
}

} // namespace

TEST_GROUP(OpenGroupFirstStart){};

TEST(OpenGroupFirstStart, AllHostsVote)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FirstStart start(seed, 0);
    start.RunUndisturbed();
    STRCMP_EQUAL("", start.Check().c_str());
  }
}

/// Guards against votes that are split forever: founders have the same incarnation, so it does not
/// tell their election timeouts apart.
TEST(OpenGroupFirstStart, HostsWithTheSameRandomnessElectALeader)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FirstStart start(seed, 0, true);
    start.RunUndisturbed();
  }
}

/// Guards against a group that is never founded: a host that was killed before the last one's start
/// came back without the right to found it, and the others waited for it.
TEST(OpenGroupFirstStart, HostThatWasKilledComesBack)
{
  CheckWithAKill(800ms);
}

/// Guards against a first start that needs all hosts, although the loss of one is to be borne.
TEST(OpenGroupFirstStart, HostThatWasKilledStaysAway)
{
  CheckWithAKill(std::nullopt);
}

/// Guards against the same with a host that was killed before it had stored anything.
TEST(OpenGroupFirstStart, HostThatStoredNothingJoins)
{
  for (std::size_t victim = 0; victim < kHosts; ++victim) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FirstStart start(seed, victim);
      start.Run(std::nullopt, 800ms);
      STRCMP_EQUAL_TEXT("", start.Check().c_str(), Describe(seed, victim, 0ms).c_str());
      CHECK(start.Cluster().RunUntil(5s, [&] { return start.Cluster().AllHostsVote(); }));
    }
  }
}

/// Guards against two groups: a host that starts late, or has lost its disk, founds none.
TEST(OpenGroupFirstStart, HostThatLostItsDiskFoundsNoGroup)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FirstStart start(seed, 0);
    start.RunUndisturbed();
    LogCluster& cluster = start.Cluster();
    cluster.Kill(0);
    cluster.LoseDisk(1);
    cluster.LoseDisk(2);
    cluster.StartHost(1);
    cluster.StartHost(2);
    cluster.Run(10s);
    CHECK_EQUAL(0, cluster.Group(1).Voters().voters.size());
    STRCMP_EQUAL("", cluster.Violation().c_str());
  }
}
