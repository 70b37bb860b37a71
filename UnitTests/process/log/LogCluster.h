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

/// The links of one host into the simulated network of the cluster.
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

/// A state machine that stores all commands in a list. Apply() returns the command's position in
/// the list, Query() the length of the list.
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

/// Delays each batch, so that a host can be killed while one is being stored. While the disk is
/// stalled, batches wait.
class SlowStorage : public process::log::LogStorage
{
public:
  SlowStorage(process::log::LogStorage& aInner, core::TimerService& aTimers, core::Random& aRandom,
              core::Incarnation aForcedIncarnation, const bool& aIsStalled)
    : mInner(aInner)
    , mTimers(aTimers)
    , mRandom(aRandom)
    , mForcedIncarnation(aForcedIncarnation)
    , mIsStalled(aIsStalled)
  {
  }
  core::Result<process::log::LogContents> Load(process::log::LogContents aInitial) override;
  void Persist(process::log::PersistBatch aBatch, Completion aDone) override;

private:
  void PersistUnlessStalled(const std::shared_ptr<process::log::PersistBatch>& aBatch,
                            const Completion& aDone);

  process::log::LogStorage& mInner;
  core::TimerService& mTimers;
  core::Random& mRandom;
  /// Planted fault: the incarnation that a blank disk gets.
  const core::Incarnation mForcedIncarnation;
  const bool& mIsStalled;
  core::TimerHandle mPersistTimer;
};

/// Size of a cluster and the faults of its network and clocks.
struct ClusterSettings
{
  std::size_t hosts = 3;             ///< Number of hosts; in a closed group all of them vote.
  std::size_t seedHosts = 0;         ///< Hosts that found an open group at their first start.
  std::uint32_t openGroupVoters = 0; ///< Target number of voters of an open group; 0: closed.
  std::uint64_t seed = 1;
  double lossProbability = 0.0;
  double duplicateProbability = 0.0;
  double delayProbability = 0.0; ///< For a delay of up to 300 ms, so that later ones overtake.
  double maxClockDrift = 0.0;    ///< Largest error of a host's clock, as a fraction.
  bool sameRandomness = false;   ///< All hosts draw the same random numbers.
  double stallProbability = 0.0; ///< Of a stall of up to 1.5 s, in each of the runs' steps.
  process::log::LogGroupSettings group = {}; ///< Except for the number of voters and the snapshots.
};

/// A simulated group in virtual time with failing disks and links. Checks the hosts against each
/// other: applied commands, leaders, leases, reads and reported outcomes.
class LogCluster
{
public:
  explicit LogCluster(ClusterSettings aSettings);

  /// Index of the host that does not vote and always runs.
  std::size_t RemoteHost() const { return mHosts.size(); }

  /// Advances the virtual time; stops at the first violation.
  void Run(core::Duration aDuration);

  /// Runs until aCondition holds or aLimit has passed; returns whether it holds.
  bool RunUntil(core::Duration aLimit, const std::function<bool()>& aCondition);

  void StartHost(std::size_t aHost);

  /// Hosts of an open group that start from now on are not told that it is the first start.
  void EndFirstStart() { mIsFirstStart = false; }

  /// Sets the hosts that the settings of an open group name from now on, at each start of a host.
  void SetSeeds(const std::vector<std::size_t>& aSeeds);

  /// Ends a host as a power failure does.
  void Kill(std::size_t aHost);
  void LoseDisk(std::size_t aHost);

  /// Planted fault: the host loses its disk but starts again with its former incarnation.
  void LoseDiskKeepingIncarnation(std::size_t aHost);
  MemoryDisk& Disk(std::size_t aHost) { return mHosts[aHost].disk; }

  /// While its disk is stalled, a host stores nothing.
  void SetDiskStalled(std::size_t aHost, bool aStalled) { mHosts[aHost].diskStalled = aStalled; }

  /// Blocks or unblocks messages from one host to another.
  void SetLinkBlocked(std::size_t aFrom, std::size_t aTo, bool aBlocked);
  void SetIsolated(std::size_t aHost, bool aIsolated);
  void Heal();

  /// Sends a new command from a host and checks its outcome.
  void Propose(std::size_t aHost, core::Duration aTimeout = std::chrono::seconds(2));
  void Query(std::size_t aHost);

  /// Index of the host that leads and holds the lease, or the number of hosts.
  std::size_t LeaderHost() const;
  bool IsUp(std::size_t aHost) const { return mHosts[aHost].group != nullptr; }

  /// True when the host's storage failed; a real process would have ended.
  bool HasFailed(std::size_t aHost) const { return mHosts[aHost].failed; }
  process::log::LogGroup& Group(std::size_t aHost) { return *mHosts[aHost].group; }

  /// True when a leader has committed a configuration with the current incarnation of every host.
  bool AllHostsVote() const;

  /// Ends all faults of disks, hosts and links but delays and repeats. All hosts must then recover,
  /// and every acknowledged command must still be present.
  void CheckRecovery();

  /// Every host must soon have applied the same entries, with all acknowledged commands.
  void CheckAgreement();

  /// Description of the first violation; empty when there is none.
  const std::string& Violation() const { return mViolation; }
  void ReportViolation(const std::string& aDescription);

  /// Keeps a host from running for aDuration: its timers are late and its messages wait until then.
  void StallHost(std::size_t aHost, core::Duration aDuration);

  /// Sets the speed of a host's clock relative to true time.
  void SetClockRate(std::size_t aHost, double aRate) { mHosts[aHost].clockRate = aRate; }

  std::size_t NotRunCount() const { return mNotRun.size(); }
  std::size_t AcknowledgedCount() const { return mAcknowledged.size(); }
  std::size_t CompletedReads() const { return mCompletedReads; }
  std::size_t BytesSent() const { return mBytesSent; }
  core::Random& Randomness() { return mRandom; }
  core::Instant Now() const { return mNow; }

  // Called by the links and state machines.
  void SendPacket(std::size_t aFrom, const core::HostId& aTo,
                  const process::peer::PeerMessage& aMessage);
  void CheckApplied(std::size_t aPosition, const std::string& aCommand);

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
    bool diskStalled = false;
    double clockRate = 1.0;
    bool failed = false;
    bool hasStarted = false;
    core::Instant stalledUntil{};
    std::vector<std::pair<core::HostId, process::peer::PeerMessage>> unread; ///< While stalled.
  };
  struct Packet
  {
    std::size_t from = 0;
    std::size_t to = 0;
    process::peer::PeerMessage message;
  };

  void Step();
  void DeliverPackets();
  void RunHost(Host& aHost, core::Duration aStep);
  void CheckLeaders();
  std::string DescribeHosts() const;
  process::log::Group& GroupOf(std::size_t aHost);
  std::size_t IndexOf(const core::HostId& aHost) const;

  ClusterSettings mSettings;
  core::Random mRandom;
  core::Instant mNow;
  std::vector<core::HostId> mIds;
  std::vector<core::HostId> mSeedIds;
  bool mIsFirstStart = true;
  std::vector<Host> mHosts;
  test_framework::time::ManualTimerService mRemoteTimers;
  ClusterLinks mRemoteLinks;
  std::unique_ptr<process::log::RemoteGroup> mRemote;
  std::multimap<core::Instant, Packet> mPacketsInFlight;
  std::set<std::pair<std::size_t, std::size_t>> mBlockedLinks;
  std::string mViolation;

  // Expected state and outcomes, for the checks.
  std::vector<std::string> mAppliedCommands; ///< Every command that any host applied, by position.
  std::map<std::string, std::size_t> mAcknowledged;
  std::set<std::string> mNotRun;
  std::map<std::uint64_t, std::size_t> mLeaderByTerm; ///< Host that led in each term.
  std::size_t mHighestReported = 0;                   ///< Highest position in any result so far.
  std::size_t mNextCommand = 0;
  std::size_t mCompletedReads = 0;
  std::size_t mBytesSent = 0;
};

} // namespace cuminfield::unit_tests::log
