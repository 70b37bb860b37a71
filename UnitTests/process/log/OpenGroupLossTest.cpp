#include "UnitTests/process/log/LogCluster.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace cuminfield;
using unit_tests::log::LogCluster;

namespace {

constexpr std::size_t kRunning = 6;
constexpr std::size_t kReplacements = 10;
constexpr std::size_t kLosses = 2;

/// A host counts as lost until it, or its successor, has run for this long.
constexpr core::Duration kCatchUp = 6s;

/// Hosts are lost in all ways, never more than two at once; at last two disks are lost and all
/// hosts stop at the same moment.
class RandomLosses
{
public:
  explicit RandomLosses(std::uint64_t aSeed)
    : mCluster({ .hosts = kRunning + kReplacements,
                 .seedHosts = 3,
                 .openGroupVoters = 2 * kLosses + 1,
                 .seed = aSeed,
                 .duplicateProbability = 0.02,
                 .delayProbability = 0.02 })
    , mRandom(mCluster.Randomness())
  {
  }

  /// Returns what was wrong; empty when nothing was.
  std::string Run(int aEvents)
  {
    for (std::size_t n = 0; n < kRunning; ++n) {
      mRunningHosts.push_back(n);
      mCluster.StartHost(n);
    }
    mCluster.Run(12s);
    for (int n = 0; n < aEvents && mCluster.Violation().empty();) {
      if (LostCount() < kLosses && mRandom.Chance(0.3)) {
        LoseOne();
        ++n;
      }
      Pass(200ms);
    }
    while (LostCount() > 0 && mCluster.Violation().empty()) {
      Pass(100ms);
    }
    if (!mCluster.Violation().empty()) {
      return mTrace + " " + mCluster.Violation();
    }
    for (const std::size_t host : mRunningHosts) {
      if (mCluster.Group(host).Leader().IsEmpty()) {
        return mTrace + " before the end: no leader known at " + std::to_string(host);
      }
    }
    LoseTwoDisks();
    mCluster.Run(13s);
    // All at once, so that the last host gets no more time than the first.
    const std::size_t before = mCluster.AcknowledgedCount();
    for (const std::size_t host : mRunningHosts) {
      mCluster.Propose(host);
    }
    if (!mCluster.RunUntil(
          2s, [&] { return mCluster.AcknowledgedCount() >= before + mRunningHosts.size(); })) {
      return mTrace +
             " acknowledged in the end: " + std::to_string(mCluster.AcknowledgedCount() - before) +
             mCluster.Violation();
    }
    return mCluster.Violation();
  }

private:
  std::size_t LostCount() const
  {
    return static_cast<std::size_t>(
      std::count_if(mRunningHosts.begin(), mRunningHosts.end(), [this](std::size_t aHost) {
        const auto it = mLostUntil.find(aHost);
        return it != mLostUntil.end() && it->second > mCluster.Now();
      }));
  }

  void Pass(core::Duration aDuration)
  {
    const core::Instant end = mCluster.Now() + aDuration;
    while (mCluster.Now() < end && mCluster.Violation().empty()) {
      mCluster.Run(20ms);
      while (!mActions.empty() && mActions.begin()->first <= mCluster.Now()) {
        const auto action = mActions.extract(mActions.begin());
        action.mapped()();
      }
    }
    const std::size_t host = mRunningHosts[mRandom.UniformBelow(mRunningHosts.size())];
    if (mCluster.IsUp(host)) {
      mCluster.Propose(host);
    }
  }

  void TurnSeeds()
  {
    std::vector<std::size_t> seeds = mRunningHosts;
    if (mRandom.Chance(0.5)) {
      std::rotate(seeds.begin(),
                  seeds.begin() + static_cast<std::ptrdiff_t>(mRandom.UniformBelow(6)),
                  seeds.end());
    }
    seeds.resize(3);
    mCluster.SetSeeds(seeds);
  }

  enum class Loss
  {
    Replaced,
    Killed,
    DiskLost,
    CutOff,
    Frozen,
    DiskFull,
    PartlyCutOff, ///< Heard by some hosts and not by others, or cut off in one direction.
    AllKilled,
  };
  static constexpr std::uint64_t kLossKinds = 8;

  void LoseOne()
  {
    const std::size_t leader = mCluster.LeaderHost();
    std::size_t index = mRandom.UniformBelow(mRunningHosts.size());
    if (leader < mCluster.RemoteHost() && mRandom.Chance(0.5)) {
      index = static_cast<std::size_t>(
        std::find(mRunningHosts.begin(), mRunningHosts.end(), leader) - mRunningHosts.begin());
    }
    const std::size_t host = mRunningHosts[index];
    const auto lost = mLostUntil.find(host);
    if (lost != mLostUntil.end() && lost->second > mCluster.Now()) {
      return;
    }
    const core::Duration duration = 500ms + core::Duration(mRandom.UniformBelow(4'500'000));
    auto loss = static_cast<Loss>(mRandom.UniformBelow(kLossKinds));
    if (loss == Loss::Replaced && mNext == kRunning + kReplacements) {
      loss = Loss::Killed;
    }
    mTrace += " " + std::to_string(mCluster.Now().time_since_epoch().count() / 1000) +
              "ms:" + std::to_string(host) + (host == leader ? "(leader)" : "") + " loss " +
              std::to_string(static_cast<int>(loss));
    mLostUntil[host] = mCluster.Now() + duration + kCatchUp;
    Lose(loss, index, duration);
  }

  void Lose(Loss aLoss, std::size_t aIndex, core::Duration aDuration)
  {
    const std::size_t host = mRunningHosts[aIndex];
    const core::Instant end = mCluster.Now() + aDuration;
    switch (aLoss) {
      case Loss::Replaced:
        Replace(aIndex, end);
        break;
      case Loss::Killed:
        mCluster.Kill(host);
        StartAt(end, host);
        break;
      case Loss::DiskLost:
        mCluster.LoseDisk(host);
        StartAt(end, host);
        break;
      case Loss::CutOff:
        mCluster.SetIsolated(host, true);
        mActions.emplace(end, [this, host] { mCluster.SetIsolated(host, false); });
        break;
      case Loss::Frozen:
        mCluster.StallHost(host, aDuration);
        break;
      case Loss::DiskFull:
        mCluster.Disk(host).SetFull(true);
        mActions.emplace(end, [this, host] { mCluster.Disk(host).SetFull(false); });
        break;
      case Loss::PartlyCutOff:
        CutOffPartly(host);
        mActions.emplace(end, [this, host] { mCluster.SetIsolated(host, false); });
        break;
      case Loss::AllKilled:
        KillAll(end);
        break;
    }
  }

  void StartAt(core::Instant aTime, std::size_t aHost)
  {
    mActions.emplace(aTime, [this, aHost] {
      if (!mCluster.IsUp(aHost)) {
        mCluster.StartHost(aHost);
      }
    });
  }

  void Replace(std::size_t aIndex, core::Instant aStart)
  {
    mCluster.Kill(mRunningHosts[aIndex]);
    const std::size_t next = mNext++;
    mLostUntil[next] = aStart + kCatchUp;
    mRunningHosts.erase(mRunningHosts.begin() + static_cast<std::ptrdiff_t>(aIndex));
    mRunningHosts.push_back(next);
    TurnSeeds();
    StartAt(aStart, next);
  }

  void CutOffPartly(std::size_t aHost)
  {
    for (std::size_t n = 0; n < kRunning + kReplacements; ++n) {
      const bool isTo = mRandom.Chance(0.5);
      if (mRandom.Chance(0.7)) {
        mCluster.SetLinkBlocked(isTo ? n : aHost, isTo ? aHost : n, true);
      }
    }
  }

  void KillAll(core::Instant aStart)
  {
    for (const std::size_t it : mRunningHosts) {
      if (mCluster.IsUp(it)) {
        mCluster.Kill(it);
        mCluster.Disk(it).SetFull(false);
        StartAt(aStart + core::Duration(mRandom.UniformBelow(300'000)), it);
        mLostUntil[it] = std::max(mLostUntil[it], aStart + 300ms + kCatchUp);
      }
    }
  }

  void LoseTwoDisks()
  {
    const std::size_t first = mRandom.UniformBelow(kRunning);
    const std::size_t second = (first + 1 + mRandom.UniformBelow(kRunning - 1)) % kRunning;
    for (std::size_t n = 0; n < kRunning; ++n) {
      if (n == first || n == second) {
        mCluster.LoseDisk(mRunningHosts[n]);
      } else {
        mCluster.Kill(mRunningHosts[n]);
      }
    }
    TurnSeeds();
    mTrace +=
      " end:" + std::to_string(mRunningHosts[first]) + "," + std::to_string(mRunningHosts[second]);
    mCluster.Run(1s);
    for (const std::size_t host : mRunningHosts) {
      mCluster.StartHost(host);
    }
  }

  LogCluster mCluster;
  core::Random& mRandom;
  std::vector<std::size_t> mRunningHosts;
  std::size_t mNext = kRunning;
  std::map<std::size_t, core::Instant> mLostUntil;
  std::multimap<core::Instant, std::function<void()>> mActions;
  std::string mTrace;
};

} // namespace

TEST_GROUP(OpenGroupLoss){};

TEST(OpenGroupLoss, EveryHostAcknowledgesAfterRandomLossesThatAreBorne)
{
  constexpr int kEvents = 8;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const std::string text = "seed " + std::to_string(seed);
    STRCMP_EQUAL_TEXT("", RandomLosses(seed).Run(kEvents).c_str(), text.c_str());
  }
}
