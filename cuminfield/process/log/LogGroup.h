#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/StallDetector.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/log/Group.h"
#include "cuminfield/process/log/GroupClient.h"
#include "cuminfield/process/log/GroupServer.h"
#include "cuminfield/process/log/LogStorage.h"
#include "cuminfield/process/log/ReplicatedLog.h"
#include "cuminfield/process/log/StateMachine.h"
#include "cuminfield/process/peer/PeerLinks.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cuminfield::process::log {

/// Tunable parameters of LogGroup.
struct LogGroupSettings
{
  ReplicatedLogSettings log;
  GroupClientSettings client;

  /// Delay before a batch is stored again after the disk was full.
  core::Duration diskFullRetryInterval = std::chrono::milliseconds(250);

  /// Interval of ReplicatedLog::Tick().
  core::Duration tickInterval = std::chrono::milliseconds(25);

  /// Longest time without a tick or message that is normal. What exceeds it, this process did not
  /// run.
  core::Duration stallTolerance = std::chrono::milliseconds(75);

  /// A snapshot is taken after this many applied entries, or
  std::uint64_t snapshotAfterEntries = 10'000;
  /// after this many bytes of applied commands, whichever comes first.
  std::uint64_t snapshotAfterBytes = std::uint64_t{ 8 } * 1024 * 1024;
};

/// Construction parameters of LogGroup.
struct LogGroupOptions
{
  core::GroupId group;
  core::HostId self;
  std::vector<core::HostId> voters; ///< The group's hosts in the settings.
  /// Founds the group together with the other voters, if all of them are blank.
  bool mayFoundGroup = true;
  /// All of `voters` start for the first time, with empty disks: they are the group's first voters.
  bool isFirstStart = false;
  peer::PeerLinks& peers;
  core::TimerService& timers;
  LogStorage& storage;
  StateMachine& stateMachine;
  core::Random random;
  LogGroupSettings settings;
};

/// A group on a host that votes in it or will vote: connects a ReplicatedLog to storage, links,
/// timers and state machine.
class LogGroup
  : public Group
  , public sigc::trackable
{
public:
  explicit LogGroup(LogGroupOptions aOptions);
  ~LogGroup() override;

  /// Loads the log and starts to take part in the group. Until then every request fails.
  core::Result<void> Start();

  /// Names a host that may belong to the group. While this member knows no leader, it announces
  /// itself to it.
  void AddContact(const core::HostId& aHost);

  /// Asks that another host votes in place of this one, which is about to stop.
  void Leave();

  /// True when waiting longer before the stop would not hand over this member's vote, see
  /// ReplicatedLog::CanStop(). Also true if this member takes no part.
  bool CanStop() const;

  void Propose(std::string aCommand, core::Duration aTimeout, Completion aDone) override;
  void Query(std::string aQuery, core::Duration aTimeout, Completion aDone) override;
  core::HostId Leader() const override;

  /// This member's role; Learner before Start().
  Role CurrentRole() const;

  core::Term CurrentTerm() const;
  core::LogIndex CommitIndex() const;
  core::LogIndex LastIndex() const;

  /// True while a batch is being stored.
  bool IsStoring() const { return mLog && mLog->IsStoring(); }

  core::LogIndex AppliedIndex() const;

  /// Time since this member's state was last known to hold all that was committed; nothing before
  /// the first time.
  std::optional<core::Duration> StateAge() const;

  /// This member with the incarnation of its data folder.
  Member Self() const;

  /// The voters of the latest configuration.
  Configuration Voters() const;

  /// The state of the other members; empty unless this member leads.
  std::vector<MemberLag> MemberLags() const;

  /// Where in the log that configuration stands.
  core::LogIndex VotersIndex() const;

  /// The state of the group's voters; nothing unless this member leads.
  std::optional<GroupHealth> Health() const;

  /// Whom this member has asked for the group, and what it received from other hosts.
  std::vector<LeaderSearch::Host> SearchedHosts() const;

  /// True while the disk is full, see OnDiskFull().
  bool IsDiskFull() const { return mDiskFull; }

  /// When this member became leader; nothing unless it leads.
  std::optional<core::Instant> LeaderSince() const;

  /// The time until which a quorum has confirmed that no other leader can exist; this member's
  /// state then holds every acknowledged command. Nothing unless this member leads; may lie in the
  /// past.
  std::optional<core::Instant> LeaseExpiry() const;

  /// True while LeaseExpiry() lies in the future.
  bool HoldsLease() const;

  /// Emitted from the event loop when the known leader changes; empty when there is none. This
  /// host's own id means that this host leads.
  using LeaderSignal = sigc::signal<void(const core::HostId&)>;
  LeaderSignal& OnLeaderChanged() { return mOnLeaderChanged; }

  /// Emitted once when the storage failed. The member then no longer takes part, because the
  /// contents of its disk are unknown. The process should end and be restarted.
  using FailureSignal = sigc::signal<void(const core::Error&)>;
  FailureSignal& OnFailure() { return mOnFailure; }

  /// Emitted with true when the disk is full, and with false when it accepts bytes again. In
  /// between the member makes no promises: it does not vote, and its entries count towards no
  /// majority.
  using DiskFullSignal = sigc::signal<void(bool)>;
  DiskFullSignal& OnDiskFull() { return mOnDiskFull; }

private:
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void OnLogMessage(const core::HostId& aFrom, const std::string& aPayload);
  void OnGroupMessage(const core::HostId& aFrom, const std::string& aPayload);
  void SendGroupMessage(const core::HostId& aTo, const proto::GroupMessage& aMessage);
  void HandleGroupMessage(const core::HostId& aFrom, const proto::GroupMessage& aMessage);
  void ExcuseStall();
  void Tick();

  /// Processes the log's outputs at the end of this turn of the event loop, so that everything that
  /// arrived in the turn shares one batch (group commit).
  void SchedulePump();
  void Pump();
  void PumpOnce();
  void DeliverLocalMessages();
  void SendMessages();
  void Persist();
  void SetDiskFull(bool aFull);
  void OnPersisted(const core::Result<void>& aResult);
  void Apply();
  void MaybeSnapshot();
  void UpdateLeader();

  LogGroupOptions mOptions;
  GroupClient mClient;
  std::optional<ReplicatedLog> mLog;
  std::optional<GroupServer> mServer;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true); ///< False for late completions.
  std::vector<proto::GroupMessage> mLocalMessages;             ///< From this host to itself.
  std::uint64_t mEntriesSinceSnapshot = 0;
  std::uint64_t mBytesSinceSnapshot = 0;
  bool mFailed = false;
  bool mDiskFull = false;
  core::Instant mPersistRetryAt{}; ///< Earliest time of the next attempt while the disk is full.
  bool mPumping = false;
  bool mPumpAgain = false;
  core::HostId mKnownLeader;
  core::StallDetector mStalls;
  core::TimerHandle mTickTimer;
  core::TimerHandle mPumpTimer;
  LeaderSignal mOnLeaderChanged;
  FailureSignal mOnFailure;
  DiskFullSignal mOnDiskFull;
};

} // namespace cuminfield::process::log
