#include "UnitTests/process/log/LogCluster.h"
#include "cuminfield/process/cluster/ControlGroupSettings.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace cuminfield;
using unit_tests::log::LogCluster;

namespace {

/// A control host ends at the earliest, and at the latest, this long after SIGTERM.
constexpr core::Duration kShutdownDelay = 300ms;
constexpr core::Duration kShutdownTimeout = 6900ms;

/// A host that was removed no longer counts as lost once its successor has run for this long.
constexpr core::Duration kCatchUp = 4s;

/// Removes hosts of an open group whose successors have caught up.
class Replacement
{
public:
  Replacement(std::size_t aVoters, std::size_t aSuccessors, std::uint64_t aSeed)
    : mVoters(aVoters)
    , mCluster({ .hosts = aVoters + aSuccessors,
                 .seedHosts = 3,
                 .openGroupVoters = static_cast<std::uint32_t>(aVoters),
                 .seed = aSeed,
                 .group = process::cluster::MakeControlGroupSettings(
                   static_cast<std::uint32_t>(aVoters)) })
  {
    Start(0, aVoters);
    CHECK(mCluster.RunUntil(20s, [&] {
      const std::size_t leader = mCluster.LeaderHost();
      return leader < mCluster.RemoteHost() &&
             mCluster.Group(leader).Voters().voters.size() == mVoters;
    }));
    Start(aVoters, aVoters + aSuccessors);
    Run(kCatchUp);
    mCluster.Propose(0);
    Run(1s);
    CHECK_EQUAL(1, mCluster.AcknowledgedCount());
  }

  LogCluster& Cluster() { return mCluster; }

  /// Asks a host to stop, as SIGTERM does; it ends by itself later.
  void Stop(std::size_t aHost)
  {
    mCluster.Group(aHost).Leave();
    mStopRequestedAt[aHost] = mCluster.Now();
  }

  /// Removes a host without SIGTERM.
  void Remove(std::size_t aHost)
  {
    mStopRequestedAt.erase(aHost);
    mCluster.Kill(aHost);
  }

  void Run(core::Duration aDuration)
  {
    const core::Instant end = mCluster.Now() + aDuration;
    while (mCluster.Now() < end && mCluster.Violation().empty()) {
      mCluster.Run(10ms);
      EndStoppedHosts();
    }
  }

  bool HasEnded(std::size_t aHost) const { return !mCluster.IsUp(aHost); }

  /// Returns what is wrong with the hosts that are left; empty if each of them acknowledges a
  /// command, and all agree.
  std::string Check()
  {
    const std::size_t before = mCluster.AcknowledgedCount();
    std::size_t running = 0;
    for (std::size_t n = 0; n < mCluster.RemoteHost(); ++n) {
      if (mCluster.IsUp(n)) {
        mCluster.Propose(n);
        ++running;
      }
    }
    if (!mCluster.RunUntil(2s, [&] { return mCluster.AcknowledgedCount() == before + running; })) {
      return "acknowledged " + std::to_string(mCluster.AcknowledgedCount() - before) + " of " +
             std::to_string(running) + mCluster.Violation();
    }
    mCluster.CheckAgreement();
    return mCluster.Violation();
  }

private:
  void Start(std::size_t aFrom, std::size_t aTo)
  {
    for (std::size_t n = aFrom; n < aTo; ++n) {
      mCluster.StartHost(n);
    }
  }

  void EndStoppedHosts()
  {
    std::erase_if(mStopRequestedAt, [this](const auto& aItem) {
      const core::Duration elapsed = mCluster.Now() - aItem.second;
      const bool ends = (elapsed >= kShutdownDelay && mCluster.Group(aItem.first).CanStop()) ||
                        elapsed >= kShutdownTimeout;
      if (ends) {
        mCluster.Kill(aItem.first);
      }
      return ends;
    });
  }

  std::size_t mVoters;
  LogCluster mCluster;
  std::map<std::size_t, core::Instant> mStopRequestedAt;
};

std::string Describe(std::uint64_t aSeed, core::Duration aGap)
{
  return "seed " + std::to_string(aSeed) + " gap " + std::to_string(aGap.count() / 1000) + " ms";
}

constexpr std::array<core::Duration, 6> kGaps{ 0ms, 50ms, 400ms, 1300ms, 1900ms, 3000ms };
constexpr std::uint64_t kSeeds = 10;

/// How a host leaves the group for good.
enum class Departure
{
  Stopped, ///< With SIGTERM.
  Removed, ///< Without notice.
};

/// Two of three hosts leave, with successors that are ready. Checks that the others go on.
void CheckThatTwoMayLeave(Departure aFirst, Departure aSecond)
{
  const auto leave = [](Replacement& aReplacement, std::size_t aHost, Departure aDeparture) {
    if (aDeparture == Departure::Stopped) {
      aReplacement.Stop(aHost);
    } else {
      aReplacement.Remove(aHost);
    }
  };
  for (const core::Duration gap : kGaps) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Replacement replacement(3, 2, seed);
      const std::size_t first = seed % 3;
      const std::size_t second = (first + 1) % 3;
      leave(replacement, first, aFirst);
      replacement.Run(gap);
      leave(replacement, second, aSecond);
      replacement.Run(10s);
      CHECK(replacement.HasEnded(first));
      CHECK(replacement.HasEnded(second));
      STRCMP_EQUAL_TEXT("", replacement.Check().c_str(), Describe(seed, gap).c_str());
    }
  }
}

} // namespace

TEST_GROUP(OpenGroupReplacement){};

/// Guards against a vote that is left behind by a host that stops although its successor is ready:
/// when the next host stopped, no majority was left.
TEST(OpenGroupReplacement, HostsThatStopInTurnLeaveAMajority)
{
  CheckThatTwoMayLeave(Departure::Stopped, Departure::Stopped);
}

/// Guards against the same with all hosts of the group replaced, and with five voters.
TEST(OpenGroupReplacement, AllHostsStopInTurn)
{
  for (const std::size_t voters : { 3U, 5U }) {
    for (const core::Duration gap : kGaps) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Replacement replacement(voters, voters, seed);
        for (std::size_t n = 0; n < voters; ++n) {
          replacement.Stop((n + seed) % voters);
          replacement.Run(gap);
        }
        replacement.Run(10s);
        for (std::size_t n = 0; n < voters; ++n) {
          CHECK(replacement.HasEnded(n));
        }
        STRCMP_EQUAL_TEXT("", replacement.Check().c_str(), Describe(seed, gap).c_str());
      }
    }
  }
}

/// Guards against a group that stops for good when a host is lost right after another one has
/// stopped whose successor was ready.
TEST(OpenGroupReplacement, HostMayBeLostOnceAnotherHasStopped)
{
  for (std::uint64_t seed = 1; seed <= 3 * kSeeds; ++seed) {
    Replacement replacement(3, 1, seed);
    const auto stopped = seed % 3;
    replacement.Stop(stopped);
    CHECK(replacement.Cluster().RunUntil(kShutdownTimeout, [&] {
      replacement.Run(10ms);
      return replacement.HasEnded(stopped);
    }));
    replacement.Remove((stopped + 1) % 3);
    replacement.Run(5s);
    STRCMP_EQUAL_TEXT("", replacement.Check().c_str(), Describe(seed, 0ms).c_str());
  }
}

/// Guards against a restart that takes longer since the host waits for a successor that is not
/// there.
TEST(OpenGroupReplacement, HostWithoutASuccessorStopsAtOnce)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Replacement replacement(3, 0, seed);
    replacement.Stop(seed % 3);
    replacement.Run(kShutdownDelay + 50ms);
    CHECK(replacement.HasEnded(seed % 3));
    replacement.Run(2s);
    STRCMP_EQUAL_TEXT("", replacement.Check().c_str(), Describe(seed, 0ms).c_str());
  }
}

/// Guards against hosts that wait for each other when all of them stop.
TEST(OpenGroupReplacement, AllHostsStopAtOnce)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Replacement replacement(3, 2, seed);
    for (std::size_t n = 0; n < 5; ++n) {
      replacement.Stop(n);
    }
    replacement.Run(2s);
    for (std::size_t n = 0; n < 5; ++n) {
      CHECK_TEXT(replacement.HasEnded(n), Describe(seed, 0ms).c_str());
    }
  }
}

/// Guards against a majority that is lost when hosts are removed without notice. Their successors
/// are ready, so none of them counts as lost.
TEST(OpenGroupReplacement, HostsThatAreRemovedWithoutNoticeLeaveAMajority)
{
  CheckThatTwoMayLeave(Departure::Removed, Departure::Removed);
}

/// Guards against a majority that is lost when one host is removed without notice while another
/// one stops.
TEST(OpenGroupReplacement, HostIsRemovedWithoutNoticeWhileAnotherStops)
{
  CheckThatTwoMayLeave(Departure::Removed, Departure::Stopped);
}

/// Guards against the same in the other order.
TEST(OpenGroupReplacement, HostIsRemovedWithoutNoticeAfterAnotherStops)
{
  CheckThatTwoMayLeave(Departure::Stopped, Departure::Removed);
}
