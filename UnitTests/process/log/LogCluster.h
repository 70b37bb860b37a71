#pragma once

#include "TestFramework/time/ManualTimerService.h"
#include "UnitTests/process/log/MemoryDisk.h"
#include "cuminfield/process/log/FileLogStorage.h"
#include "cuminfield/process/log/LogGroup.h"
#include "cuminfield/process/log/RemoteGroup.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminfield::unit_tests::log {

class LogCluster;

/// Links of one host that lead into the cluster's net.
class ClusterLinks : public process::peer::PeerLinks
{
public:
  ClusterLinks(LogCluster& aCluster, std::size_t aHost)
    : mCluster(aCluster)
    , mHost(aHost)
  {
  }
  void Send(const core::HostId& aTo, process::peer::PeerMessage aMessage) override;

private:
  LogCluster& mCluster;
  std::size_t mHost;
};

/// Keeps the list of all commands; answers with a command's place in it, and queries with its
/// length.
class ListStateMachine : public process::log::StateMachine
{
public:
  ListStateMachine(LogCluster& aCluster)
    : mCluster(aCluster)
  {
  }
  std::string Apply(core::LogIndex aIndex, std::string_view aCommand) override;
  std::string Query(std::string_view aQuery) const override;
  std::string Snapshot() const override;
  void Restore(std::string_view aSnapshot) override;

private:
  LogCluster& mCluster;
  std::vector<std::string> mCommands;
};

/// Storage that takes its time, so that a host can die while a batch is under way.
class SlowStorage : public process::log::LogStorage
{
public:
  SlowStorage(process::log::LogStorage& aInner, core::TimerService& aTimers, core::Random& aRandom,
              core::Incarnation aForced)
    : mInner(aInner)
    , mTimers(aTimers)
    , mRandom(aRandom)
    , mForcedIncarnation(aForced)
  {
  }
  core::Result<process::log::LogContents> Load(core::Incarnation aNewIncarnation) override;
  void Persist(process::log::PersistBatch aBatch, Completion aDone) override;

private:
  process::log::LogStorage& mInner;
  core::TimerService& mTimers;
  core::Random& mRandom;
  const core::Incarnation mForcedIncarnation; ///< Planted fault: a blank disk gets this one.
  core::TimerHandle mPersistTimer;
};

/// How the net and the hosts of a cluster misbehave.
struct ClusterSettings
{
  std::size_t hosts = 3;             ///< Hosts; of a closed group, all vote.
  std::size_t seedHosts = 0;         ///< Hosts that an open group's hosts know, and that found it.
  std::uint32_t openGroupVoters = 0; ///< Voters that an open group wants; 0: closed.
  std::uint64_t seed = 1;
  double lossProbability = 0.0;
  double duplicateProbability = 0.0;
  double delayProbability = 0.0; ///< Share of messages that take up to 300 ms and so are overtaken.
  double maxClockDrift = 0.0;    ///< Largest error of a host's clock, as a share.
};

/// Voters on disks and links that fail, in virtual time, with an oracle that watches them all.
class LogCluster
{
public:
  explicit LogCluster(ClusterSettings aSettings);

  /// The number of the one host that does not vote and always runs.
  std::size_t RemoteHost() const { return mHosts.size(); }

  /// Lets time pass; stops at the first violation.
  void Run(core::Duration aDuration);

  /// Runs until aCondition or the limit; true when it held.
  bool RunUntil(core::Duration aLimit, const std::function<bool()>& aCondition);

  void StartHost(std::size_t aHost);

  /// Ends a host as a power loss does.
  void Kill(std::size_t aHost);
  void LoseDisk(std::size_t aHost);

  /// Planted fault: the host loses its disk and comes back as its former self.
  void LoseDiskKeepingIncarnation(std::size_t aHost);
  MemoryDisk& Disk(std::size_t aHost) { return mHosts[aHost].disk; }

  /// Cuts or restores the way from one host to another.
  void SetLinkBlocked(std::size_t aFrom, std::size_t aTo, bool aCut);
  void SetIsolated(std::size_t aHost, bool aCut);
  void Heal();

  /// Sends a new command from a host; the oracle follows it.
  void Propose(std::size_t aHost, core::Duration aTimeout = std::chrono::seconds(2));
  void Query(std::size_t aHost);

  /// The host that leads and holds the lease, or the number of hosts.
  std::size_t LeaderHost() const;
  bool IsUp(std::size_t aHost) const { return mHosts[aHost].group != nullptr; }

  /// True when the host's storage failed, so that its process would have ended.
  bool HasFailed(std::size_t aHost) const { return mHosts[aHost].failed; }
  process::log::LogGroup& Group(std::size_t aHost) { return *mHosts[aHost].group; }

  /// True when a leader counts every host's present life among its voters.
  bool AllHostsVote() const;

  /// Faultless from now on: everything must come back and everything acknowledged be there.
  void CheckRecovery();

  /// What went wrong; empty: nothing.
  const std::string& Violation() const { return mViolation; }
  void ReportViolation(const std::string& aWhat);

  /// Sets a host's clock against true time.
  void SetClockRate(std::size_t aHost, double aRate) { mHosts[aHost].clockRate = aRate; }

  std::size_t NotRunCount() const { return mNotRun.size(); }
  std::size_t AcknowledgedCount() const { return mAcknowledged.size(); }
  std::size_t CompletedReads() const { return mCompletedReads; }
  std::size_t BytesSent() const { return mBytesSent; }
  core::Random& Randomness() { return mRandom; }
  core::Instant Now() const { return mNow; }

  // For the links and machines.
  void SendPacket(std::size_t aFrom, const core::HostId& aTo,
                  const process::peer::PeerMessage& aMessage);
  void CheckApplied(std::size_t aPlace, const std::string& aCommand);

private:
  struct Host
  {
    MemoryDisk disk;
    std::unique_ptr<test_framework::time::ManualTimerService> timers;
    std::unique_ptr<ClusterLinks> links;
    std::unique_ptr<process::log::FileLogStorage> fileStorage;
    std::unique_ptr<SlowStorage> storage;
    std::unique_ptr<ListStateMachine> stateMachine;
    std::unique_ptr<process::log::LogGroup> group;
    core::Incarnation forcedIncarnation;
    double clockRate = 1.0;
    bool failed = false;
  };
  struct Packet
  {
    std::size_t from = 0;
    std::size_t to = 0;
    process::peer::PeerMessage message;
  };

  void Step();
  void DeliverPackets();
  void CheckLeaders();
  std::string DescribeHosts() const;
  process::log::Group& GroupOf(std::size_t aHost);
  std::size_t IndexOf(const core::HostId& aHost) const;

  ClusterSettings mSettings;
  core::Random mRandom;
  core::Instant mNow;
  std::vector<core::HostId> mIds;
  std::vector<Host> mHosts;
  test_framework::time::ManualTimerService mRemoteTimers;
  ClusterLinks mRemoteLinks;
  std::unique_ptr<process::log::RemoteGroup> mRemote;
  std::multimap<core::Instant, Packet> mPacketsInFlight;
  std::set<std::pair<std::size_t, std::size_t>> mBlockedLinks;
  std::string mViolation;

  // The oracle.
  std::vector<std::string> mAppliedCommands; ///< Every command that any host applied, by place.
  std::map<std::string, std::size_t> mAcknowledged;
  std::set<std::string> mNotRun;
  std::map<std::uint64_t, std::size_t> mLeaderByTerm; ///< By term.
  std::size_t mHighestReported = 0; ///< Highest place that any answer has told to a caller.
  std::size_t mNextCommand = 0;
  std::size_t mCompletedReads = 0;
  std::size_t mBytesSent = 0;
};

} // namespace cuminfield::unit_tests::log
