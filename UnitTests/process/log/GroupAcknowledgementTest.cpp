#include "UnitTests/process/log/LogCluster.h"
#include "cuminfield/process/cluster/ControlGroupSettings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdint>
#include <string>

using namespace std::chrono_literals;
using namespace cuminfield;
using unit_tests::log::LogCluster;

namespace {

constexpr std::size_t kHosts = 3;

/// A group is calm this long after the last disruption of a host or a link.
constexpr core::Duration kUntilCalm = 3s;
/// A command must be acknowledged within this time of calm.
constexpr core::Duration kBound = 4s;
/// A host that was lost no longer counts as lost after this time.
constexpr core::Duration kCatchUp = 4s;

constexpr core::Duration kStep = 10ms;
constexpr core::Duration kPatience = 1s;
constexpr core::Duration kFirstPause = 100ms;
constexpr core::Duration kLongestPause = 800ms;

/// Three control hosts of which one at a time is lost, or has a disk that is full or stalled, which
/// does not end the calm. An operator sends a command to one host after the other until it is
/// acknowledged, and then the next one.
class DisruptedGroup
{
public:
  explicit DisruptedGroup(std::uint64_t aSeed)
    : mCluster({ .hosts = kHosts,
                 .seedHosts = kHosts,
                 .openGroupVoters = kHosts,
                 .seed = aSeed,
                 .group = process::cluster::MakeControlGroupSettings(kHosts) })
  {
    for (std::size_t n = 0; n < kHosts; ++n) {
      mCluster.StartHost(n);
    }
    CHECK(mCluster.RunUntil(10s, [this] { return mCluster.AllHostsVote(); }));
    mDisruptedAt = mCluster.Now();
    mFaultDue = mCluster.Now();
    SendCommand();
  }

  /// Returns what went wrong; empty if every command was acknowledged within the bound.
  std::string Run(core::Duration aDuration)
  {
    const core::Instant end = mCluster.Now() + aDuration;
    while (mCluster.Now() < end && mCluster.Violation().empty()) {
      UpdateFault();
      mCluster.Run(kStep);
      mCalm = mCluster.Now() - mDisruptedAt > kUntilCalm ? mCalm + kStep : 0ms;
      mWaitedCalm = std::min(mWaitedCalm + kStep, mCalm);
      UpdateOperator();
      if (mWaitedCalm > kBound) {
        return "no acknowledgement; " + mHistory;
      }
    }
    return mCluster.Violation();
  }

private:
  core::Random& Random() { return mCluster.Randomness(); }

  core::Duration RandomDuration(core::Duration aMin, core::Duration aMax)
  {
    const auto range = static_cast<std::uint64_t>((aMax - aMin).count());
    return aMin + core::Duration(Random().UniformBelow(range));
  }

  void Record(const std::string& aEvent, std::size_t aHost)
  {
    mHistory += std::to_string(mCluster.Now().time_since_epoch().count() / 1000) + " " + aEvent +
                " " + std::to_string(aHost) + ", ";
  }

  /// Begins or ends a fault.
  void UpdateFault()
  {
    if (mCluster.Now() < mFaultDue) {
      return;
    }
    if (mFault != Fault::None) {
      EndFault();
      return;
    }
    const std::size_t leader = mCluster.LeaderHost();
    mHost = leader < kHosts && Random().Chance(0.5) ? leader : Random().UniformBelow(kHosts);
    mFault = static_cast<Fault>(1 + Random().UniformBelow(kFaults));
    core::Duration duration = RandomDuration(200ms, 5s);
    switch (mFault) {
      case Fault::Killed:
        Record("killed", mHost);
        mCluster.Kill(mHost);
        break;
      case Fault::DiskLost:
        Record("disk lost", mHost);
        mCluster.LoseDisk(mHost);
        break;
      case Fault::Isolated:
        Record("isolated", mHost);
        mCluster.SetIsolated(mHost, true);
        break;
      case Fault::OneWay:
        Record("one way", mHost);
        for (std::size_t n = 0; n < kHosts; ++n) {
          mCluster.SetLinkBlocked(mHost, n, Random().Chance(0.5));
        }
        break;
      case Fault::DiskFull:
        Record("disk full", mHost);
        mCluster.Disk(mHost).SetFull(true);
        break;
      case Fault::DiskStalled:
        Record("disk stalled", mHost);
        mCluster.SetDiskStalled(mHost, true);
        break;
      default:
        Record("frozen", mHost);
        mCluster.StallHost(mHost, duration);
        break;
    }
    if (!IsDiskFault()) {
      mDisruptedAt = mCluster.Now();
    }
    mFaultDue = mCluster.Now() + duration;
  }

  void EndFault()
  {
    if (!mCluster.IsUp(mHost)) {
      mCluster.StartHost(mHost);
    }
    mCluster.Disk(mHost).SetFull(false);
    mCluster.SetDiskStalled(mHost, false);
    mCluster.Heal();
    Record("back", mHost);
    if (!IsDiskFault()) {
      mDisruptedAt = mCluster.Now();
    }
    mFault = Fault::None;
    mFaultDue = mCluster.Now() + kCatchUp + RandomDuration(0ms, 4s);
  }

  void SendCommand()
  {
    const std::size_t last = mAsked;
    while (mAsked == last) {
      mAsked = Random().UniformBelow(kHosts);
    }
    mAcknowledgedBefore = mCluster.AcknowledgedCount();
    mAskedAt = mCluster.Now();
    mIsAsking = true;
    if (mCluster.IsUp(mAsked)) {
      mCluster.Propose(mAsked, kPatience);
    }
  }

  void UpdateOperator()
  {
    if (mCluster.AcknowledgedCount() > mAcknowledgedBefore) {
      mWaitedCalm = 0ms;
      mPause = kFirstPause;
      SendCommand();
    } else if (mIsAsking && mCluster.Now() - mAskedAt > kPatience) {
      mIsAsking = false;
      mAskedAt = mCluster.Now() + mPause;
      mPause = std::min(2 * mPause, kLongestPause);
    } else if (!mIsAsking && mCluster.Now() >= mAskedAt) {
      SendCommand();
    }
  }

  enum class Fault
  {
    None,
    Killed,
    DiskLost,
    Isolated,
    OneWay,
    Frozen,
    DiskFull,
    DiskStalled,
  };
  static constexpr std::uint64_t kFaults = 7;

  bool IsDiskFault() const { return mFault == Fault::DiskFull || mFault == Fault::DiskStalled; }

  LogCluster mCluster;
  Fault mFault = Fault::None;
  std::size_t mHost = 0;
  core::Instant mFaultDue;
  core::Instant mDisruptedAt;
  core::Duration mCalm{ 0 };
  core::Duration mWaitedCalm{ 0 };
  std::size_t mAsked = 0;
  core::Instant mAskedAt;
  bool mIsAsking = false;
  core::Duration mPause = kFirstPause;
  std::size_t mAcknowledgedBefore = 0;
  std::string mHistory;
};

} // namespace

TEST_GROUP(GroupAcknowledgement){};

/// Guards against commands that wait in a calm group because of a faulty disk, or of something that
/// an earlier disruption has left behind.
TEST(GroupAcknowledgement, CommandsAreAcknowledgedInCalm)
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    DisruptedGroup group(seed);
    const std::string text = "seed " + std::to_string(seed);
    STRCMP_EQUAL_TEXT("", group.Run(60s).c_str(), text.c_str());
  }
}
