#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Random.h"
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

/// Every tunable of a LogGroup.
struct LogGroupSettings
{
  ReplicatedLogSettings log;
  GroupClientSettings client;

  /// A full disk is tried again after this long.
  core::Duration diskFullRetryInterval = std::chrono::milliseconds(250);

  /// How often the log looks at the time.
  core::Duration tickInterval = std::chrono::milliseconds(25);

  /// A snapshot is taken after so many applied entries, or
  std::uint64_t snapshotAfterEntries = 10'000;
  /// after so many bytes of applied commands, whichever comes first.
  std::uint64_t snapshotAfterBytes = std::uint64_t{ 8 } * 1024 * 1024;
};

/// How to construct a LogGroup.
struct LogGroupOptions
{
  core::GroupId group;
  core::HostId self;
  std::vector<core::HostId> voters; ///< The group's hosts by the settings.
  bool mayFoundGroup = true;        ///< False: only joins a group that others have founded.
  peer::PeerLinks& peers;
  core::TimerService& timers;
  LogStorage& storage;
  StateMachine& stateMachine;
  core::Random random;
  LogGroupSettings settings;
};

/// A group as seen by a host that votes in it, or will: binds a ReplicatedLog to disk, links, time
/// and state machine.
class LogGroup
  : public Group
  , public sigc::trackable
{
public:
  explicit LogGroup(LogGroupOptions aOptions);
  ~LogGroup() override;

  /// Reads the log and takes part from now on. Until then every request fails.
  core::Result<void> Start();

  void Propose(std::string aCommand, core::Duration aTimeout, Completion aDone) override;
  void Query(std::string aQuery, core::Duration aTimeout, Completion aDone) override;
  core::HostId Leader() const override;

  /// This member's part; Learner before Start().
  Role CurrentRole() const;

  core::Term CurrentTerm() const;
  core::LogIndex CommitIndex() const;
  core::LogIndex LastIndex() const;

  /// True while a batch is on its way to the disk.
  bool IsStoring() const { return mLog && mLog->IsStoring(); }

  core::LogIndex AppliedIndex() const;

  /// This member with the incarnation of its data folder.
  Member Self() const;

  /// The voters as of the latest configuration.
  Configuration Voters() const;

  /// The other members as the leader sees them; empty unless leading.
  std::vector<MemberLag> MemberLags() const;

  /// When this member became leader; nothing unless leading.
  std::optional<core::Instant> LeaderSince() const;

  /// Until when no other leader can exist, as a quorum has confirmed, and this member's state holds
  /// every acknowledged command; nothing unless leading. May lie in the past.
  std::optional<core::Instant> LeaseExpiry() const;

  /// True while LeaseUntil() lies ahead.
  bool HoldsLease() const;

  /// Emitted from the loop when another leader, or none (empty), is known. This host's own id
  /// means that it leads.
  using LeaderSignal = sigc::signal<void(const core::HostId&)>;
  LeaderSignal& OnLeaderChanged() { return mOnLeaderChanged; }

  /// Emitted once when the storage failed: the member has stopped taking part, because what its
  /// disk holds is unknown. The process should end and start again.
  using FailureSignal = sigc::signal<void(const core::Error&)>;
  FailureSignal& OnFailure() { return mOnFailure; }

  /// Emitted with true when the disk is full, and with false when it takes bytes again. In between
  /// the member goes on without promising anything: it does not vote, and what it holds counts for
  /// no majority.
  using DiskFullSignal = sigc::signal<void(bool)>;
  DiskFullSignal& OnDiskFull() { return mOnDiskFull; }

private:
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void OnLogMessage(const core::HostId& aFrom, const std::string& aPayload);
  void OnGroupMessage(const core::HostId& aFrom, const std::string& aPayload);
  void SendGroupMessage(const core::HostId& aTo, const proto::GroupMessage& aMessage);
  void HandleGroupMessage(const core::HostId& aFrom, const proto::GroupMessage& aMessage);
  void Tick();

  /// Lets the log's outputs out at the end of this turn of the loop, so that everything that
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
  core::Instant mPersistRetryAt{}; ///< While the disk is full, when it is tried again.
  bool mPumping = false;
  bool mPumpAgain = false;
  core::HostId mKnownLeader;
  core::TimerHandle mTickTimer;
  core::TimerHandle mPumpTimer;
  LeaderSignal mOnLeaderChanged;
  FailureSignal mOnFailure;
  DiskFullSignal mOnDiskFull;
};

} // namespace cuminfield::process::log
