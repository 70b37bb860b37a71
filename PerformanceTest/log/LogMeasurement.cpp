#include "PerformanceTest/log/LogMeasurement.h"

#include "PerformanceTest/log/RealTimeLoop.h"
#include "cuminfield/process/log/FileLogStorage.h"
#include "cuminfield/process/log/LogGroup.h"
#include "cuminfield/process/log/PosixDisk.h"
#include "cuminfield/process/log/ThreadedLogStorage.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminfield::performance_test::log {

using namespace std::chrono_literals;
using namespace process::log;

namespace {

constexpr std::size_t kVoterCount = 3;
constexpr std::size_t kCommandBytes = 160;
constexpr core::Duration kElectionWait = 4s;
constexpr core::Duration kProposalTimeout = 5s;

/// In-memory peer links: deliver on the loop, through a callback and without delay.
class MemoryLinks : public process::peer::PeerLinks
{
public:
  using Deliver = std::function<void(const core::HostId&, process::peer::PeerMessage)>;
  explicit MemoryLinks(Deliver aDeliver)
    : mDeliver(std::move(aDeliver))
  {
  }
  void Send(const core::HostId& aTo, process::peer::PeerMessage aMessage) override
  {
    mDeliver(aTo, std::move(aMessage));
  }

private:
  Deliver mDeliver;
};

/// State machine that only counts commands.
class CountingStateMachine : public StateMachine
{
public:
  std::string Apply(core::LogIndex /*aIndex*/, std::string_view /*aCommand*/) override
  {
    return std::to_string(++mCount);
  }
  std::string Query(std::string_view /*aQuery*/) const override { return std::to_string(mCount); }
  std::string Snapshot() const override { return std::to_string(mCount); }
  void Restore(std::string_view aSnapshot) override
  {
    mCount = std::stoull(std::string(aSnapshot));
  }

private:
  std::uint64_t mCount = 0;
};

/// Voter with its own folder and disk thread.
struct Voter
{
  PosixDisk disk;
  CountingStateMachine stateMachine;
  std::unique_ptr<MemoryLinks> peerLinks;
  std::unique_ptr<FileLogStorage> fileStorage;
  std::unique_ptr<ThreadedLogStorage> threadedStorage;
  std::unique_ptr<LogGroup> group;
};

/// Three voters and the clients that keep the leader busy.
class LogBenchmark
{
public:
  explicit LogBenchmark(const std::string& aFolder)
    : mFolder(aFolder)
    , mHosts{ core::HostId("a"), core::HostId("b"), core::HostId("c") }
    , mVoters(kVoterCount)
  {
  }

  bool Start()
  {
    for (std::size_t i = 0; i < kVoterCount; ++i) {
      if (!StartVoter(i)) {
        return false;
      }
    }
    mLoop.RunUntil(RealTimeLoop::ReadClock() + kElectionWait);
    return FindLeader() != nullptr;
  }

  void Run(core::Duration aLength, std::size_t aClients)
  {
    mEndTime = RealTimeLoop::ReadClock() + aLength;
    for (std::size_t i = 0; i < aClients; ++i) {
      ProposeNext();
    }
    mLoop.RunUntil(mEndTime);
  }

  void Print(core::Duration aLength, std::size_t aClients)
  {
    std::sort(mLatencies.begin(), mLatencies.end());
    const double seconds = std::chrono::duration<double>(aLength).count();
    std::printf("log: %zu clients, %zu commits, %.0f commits/s, p50 %.2f ms, p95 %.2f ms, "
                "%zu failed\n",
                aClients, mLatencies.size(), static_cast<double>(mLatencies.size()) / seconds,
                LatencyPercentileMs(0.5), LatencyPercentileMs(0.95), mFailedCount);
  }

private:
  bool StartVoter(std::size_t aIndex)
  {
    Voter& voter = mVoters[aIndex];
    voter.peerLinks = std::make_unique<MemoryLinks>(
      [this, aIndex](const core::HostId& aTo, const process::peer::PeerMessage& aMessage) {
        const auto to = std::find(mHosts.begin(), mHosts.end(), aTo) - mHosts.begin();
        mLoop.Post([this, aIndex, to, aMessage] {
          mVoters[static_cast<std::size_t>(to)].peerLinks->OnMessage().emit(mHosts[aIndex],
                                                                            aMessage);
        });
      });
    voter.fileStorage = std::make_unique<FileLogStorage>(
      FileLogStorageOptions{ .folder = mFolder + "/" + mHosts[aIndex].Text(),
                             .group = core::GroupId("measured"),
                             .disk = voter.disk });
    voter.threadedStorage = std::make_unique<ThreadedLogStorage>(ThreadedLogStorageOptions{
      .inner = *voter.fileStorage,
      .post = [this](std::function<void()> aFunction) { mLoop.Post(std::move(aFunction)); } });
    voter.group = std::make_unique<LogGroup>(LogGroupOptions{ .group = core::GroupId("measured"),
                                                              .self = mHosts[aIndex],
                                                              .voters = mHosts,
                                                              .peers = *voter.peerLinks,
                                                              .timers = mLoop,
                                                              .storage = *voter.threadedStorage,
                                                              .stateMachine = voter.stateMachine,
                                                              .random = core::Random(aIndex + 1),
                                                              .settings = {} });
    const auto started = voter.group->Start();
    if (started.has_error()) {
      std::fprintf(stderr, "%s\n", core::Describe(started.error()).c_str());
    }
    return started.has_value();
  }

  LogGroup* FindLeader()
  {
    for (Voter& it : mVoters) {
      if (it.group->HoldsLease()) {
        return it.group.get();
      }
    }
    return nullptr;
  }

  void ProposeNext()
  {
    LogGroup* leader = FindLeader();
    if (!leader) {
      leader = mVoters.front().group.get();
    }
    const core::Instant sent = RealTimeLoop::ReadClock();
    leader->Propose(std::string(kCommandBytes, 'x'), kProposalTimeout,
                    [this, sent](const core::Result<std::string>& aResult) {
                      const core::Instant now = RealTimeLoop::ReadClock();
                      if (aResult.has_value()) {
                        mLatencies.push_back(now - sent);
                      } else {
                        ++mFailedCount;
                      }
                      if (now < mEndTime) {
                        ProposeNext();
                      }
                    });
  }

  double LatencyPercentileMs(double aShare) const
  {
    if (mLatencies.empty()) {
      return 0.0;
    }
    const auto index =
      static_cast<std::size_t>(aShare * static_cast<double>(mLatencies.size() - 1));
    return std::chrono::duration<double, std::milli>(mLatencies[index]).count();
  }

  const std::string mFolder;
  RealTimeLoop mLoop;
  std::vector<core::HostId> mHosts;
  std::vector<Voter> mVoters;
  core::Instant mEndTime;
  std::vector<core::Duration> mLatencies;
  std::size_t mFailedCount = 0;
};

} // namespace

int RunLogMeasurement(int aCount, char** aArguments)
{
  constexpr int kArguments = 4;
  if (aCount != kArguments) {
    std::fprintf(
      stderr,
      "usage: log-commits FOLDER SECONDS CLIENTS; FOLDER must be empty and on a real disk\n");
    return 1;
  }
  const core::Duration length = std::chrono::seconds(std::stoul(aArguments[2]));
  const std::size_t clients = std::stoul(aArguments[3]);
  LogBenchmark measurement(aArguments[1]);
  if (!measurement.Start()) {
    std::fprintf(stderr, "no leader was elected; empty the folder and retry\n");
    return 1;
  }
  measurement.Run(length, clients);
  measurement.Print(length, clients);
  return 0;
}

} // namespace cuminfield::performance_test::log
