#include "PerformanceTest/log/LogMeasurement.h"

#include "PerformanceTest/log/RealLoop.h"
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

constexpr std::size_t kVoters = 3;
constexpr std::size_t kCommandBytes = 160;
constexpr core::Duration kElection = 4s;
constexpr core::Duration kTimeout = 5s;

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
class CountingMachine : public StateMachine
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
  CountingMachine machine;
  std::unique_ptr<MemoryLinks> links;
  std::unique_ptr<FileLogStorage> files;
  std::unique_ptr<ThreadedLogStorage> storage;
  std::unique_ptr<LogGroup> group;
};

/// Three voters and the clients that keep the leader busy.
class Measurement
{
public:
  explicit Measurement(const std::string& aFolder)
    : mFolder(aFolder)
    , mHosts{ core::HostId("a"), core::HostId("b"), core::HostId("c") }
    , mVoters(kVoters)
  {
  }

  bool Start()
  {
    for (std::size_t i = 0; i < kVoters; ++i) {
      if (!StartVoter(i)) {
        return false;
      }
    }
    mLoop.RunUntil(RealLoop::ReadClock() + kElection);
    return Leader() != nullptr;
  }

  void Run(core::Duration aLength, std::size_t aClients)
  {
    mEnd = RealLoop::ReadClock() + aLength;
    for (std::size_t i = 0; i < aClients; ++i) {
      ProposeNext();
    }
    mLoop.RunUntil(mEnd);
  }

  void Print(core::Duration aLength, std::size_t aClients)
  {
    std::sort(mLatencies.begin(), mLatencies.end());
    const double seconds = std::chrono::duration<double>(aLength).count();
    std::printf("log: %zu clients, %zu commits, %.0f commits/s, p50 %.2f ms, p95 %.2f ms, "
                "%zu failed\n",
                aClients, mLatencies.size(), static_cast<double>(mLatencies.size()) / seconds,
                Percentile(0.5), Percentile(0.95), mFailures);
  }

private:
  bool StartVoter(std::size_t aIndex)
  {
    Voter& voter = mVoters[aIndex];
    voter.links = std::make_unique<MemoryLinks>(
      [this, aIndex](const core::HostId& aTo, const process::peer::PeerMessage& aMessage) {
        const auto to = std::find(mHosts.begin(), mHosts.end(), aTo) - mHosts.begin();
        mLoop.Post([this, aIndex, to, aMessage] {
          mVoters[static_cast<std::size_t>(to)].links->OnMessage().emit(mHosts[aIndex], aMessage);
        });
      });
    voter.files = std::make_unique<FileLogStorage>(
      FileLogStorageOptions{ .folder = mFolder + "/" + mHosts[aIndex].Text(),
                             .group = core::GroupId("measured"),
                             .disk = voter.disk });
    voter.storage = std::make_unique<ThreadedLogStorage>(ThreadedLogStorageOptions{
      .inner = *voter.files,
      .post = [this](std::function<void()> aFunction) { mLoop.Post(std::move(aFunction)); } });
    voter.group = std::make_unique<LogGroup>(LogGroupOptions{ .group = core::GroupId("measured"),
                                                              .self = mHosts[aIndex],
                                                              .voters = mHosts,
                                                              .peers = *voter.links,
                                                              .timers = mLoop,
                                                              .storage = *voter.storage,
                                                              .stateMachine = voter.machine,
                                                              .random = core::Random(aIndex + 1),
                                                              .settings = {} });
    const auto started = voter.group->Start();
    if (started.has_error()) {
      std::fprintf(stderr, "%s\n", core::Describe(started.error()).c_str());
    }
    return started.has_value();
  }

  LogGroup* Leader()
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
    LogGroup* leader = Leader();
    if (!leader) {
      leader = mVoters.front().group.get();
    }
    const core::Instant sent = RealLoop::ReadClock();
    leader->Propose(std::string(kCommandBytes, 'x'), kTimeout,
                    [this, sent](const core::Result<std::string>& aResult) {
                      const core::Instant now = RealLoop::ReadClock();
                      if (aResult.has_value()) {
                        mLatencies.push_back(now - sent);
                      } else {
                        ++mFailures;
                      }
                      if (now < mEnd) {
                        ProposeNext();
                      }
                    });
  }

  double Percentile(double aShare) const
  {
    if (mLatencies.empty()) {
      return 0.0;
    }
    const auto index =
      static_cast<std::size_t>(aShare * static_cast<double>(mLatencies.size() - 1));
    return std::chrono::duration<double, std::milli>(mLatencies[index]).count();
  }

  const std::string mFolder;
  RealLoop mLoop;
  std::vector<core::HostId> mHosts;
  std::vector<Voter> mVoters;
  core::Instant mEnd;
  std::vector<core::Duration> mLatencies;
  std::size_t mFailures = 0;
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
  Measurement measurement(aArguments[1]);
  if (!measurement.Start()) {
    std::fprintf(stderr, "no leader was elected; empty the folder and retry\n");
    return 1;
  }
  measurement.Run(length, clients);
  measurement.Print(length, clients);
  return 0;
}

} // namespace cuminfield::performance_test::log
