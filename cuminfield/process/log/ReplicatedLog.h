#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/log/Configuration.h"
#include "cuminfield/process/log/EntryLog.h"
#include "cuminfield/process/log/Founding.h"
#include "cuminfield/process/log/LogStorage.h"
#include "cuminfield/process/log/Progress.h"
#include "cuminfield/process/log/ReplicatedLogSettings.h"
#include "cuminfield/process/log/log.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminfield::process::log {

/// A member's part in its group at the moment.
enum class Role
{
  Learner,      ///< Follows without a vote: blank, or not (yet) in the configuration.
  Follower,     ///< A voter that follows.
  PreCandidate, ///< Asks whether it would be elected.
  Candidate,    ///< Asks for votes.
  Leader,
};

/// The role's name in lower case with hyphens.
const char* ToString(Role aRole);

/// A place in the log that no two different entries ever share.
struct LogPosition
{
  core::LogIndex index;
  core::Term term;

  auto operator<=>(const LogPosition&) const = default;
};

/// A message and where it goes.
struct OutgoingMessage
{
  core::HostId to;
  proto::LogMessage message;
};

/// A leader's view of another member, for display.
struct MemberLag
{
  Member member;
  bool voter = false;
  core::LogIndex matchIndex;       ///< Durable there up to here.
  std::uint64_t entriesBehind = 0; ///< Entries that are committed here and not known durable there.
  core::Duration sinceLastReceived{ 0 }; ///< Since it last answered.
};

/// How to construct a ReplicatedLog.
struct ReplicatedLogOptions
{
  core::GroupId group;
  core::HostId self;
  std::vector<core::HostId> voters; ///< The group's hosts by the settings.
  bool mayFoundGroup = true;        ///< False: only joins a group that others have founded.
  LogContents contents;             ///< As loaded from storage.
  core::Random random;
  core::Instant now;
  ReplicatedLogSettings settings;
};

/// The decisions of one member of a replicated log: who leads, what is committed, who votes. Has
/// no clock, disk or link: time and messages are passed in, and what to store, send and apply is
/// taken out. The same inputs give the same outputs.
///
/// The algorithm is Raft (Ongaro and Ousterhout 2014, "In Search of an Understandable Consensus
/// Algorithm"; Ongaro 2014, "Consensus: Bridging Theory and Practice", cited by chapter). See
/// docs/design/ReplicatedLog.md for each rule and its source.
///
/// After any call, take out in this order: TakeMessages(), then if HasBatch() persist TakeBatch()
/// and call Persisted() when it is durable, then NextRestore(), NextCommitted() and TakeReads().
/// Messages that promise something are held back until it is durable.
class ReplicatedLog
{
public:
  explicit ReplicatedLog(ReplicatedLogOptions aOptions);

  /// Lets time pass; call every few tens of milliseconds.
  void Tick(core::Instant aNow);

  /// Takes in a message from another host.
  void Receive(const core::HostId& aFrom, const proto::LogMessage& aMessage, core::Instant aNow);

  /// Appends a command; nothing unless this is the leader and has room. Committed exactly when an
  /// entry with this position comes out of NextCommitted().
  std::optional<LogPosition> Propose(std::string aCommand, core::Instant aNow);

  /// Asks for confirmation that this still leads; false unless it is the leader. The id comes out
  /// of TakeReads() when every command committed before this call was also delivered, or out of
  /// TakeFailedReads() when the leadership was lost.
  bool RequestRead(std::uint64_t aId, core::Instant aNow);

  /// Puts a snapshot of the state after aIndex, already delivered, in place of older entries.
  void Compact(core::LogIndex aIndex, std::string aState);

  /// True when something must be stored and nothing is being stored.
  bool HasBatch() const { return !mStoring && HasUnsavedState(); }

  /// True from TakeBatch() until Persisted().
  bool IsStoring() const { return mStoring; }

  /// What to store next. Until Persisted() no other batch is given out.
  PersistBatch TakeBatch();

  /// The batch taken last is durable.
  void OnPersisted(core::Instant aNow);

  /// The batch taken last could not be stored: its contents are part of the next one.
  void OnPersistFailed();

  /// What to send now.
  std::vector<OutgoingMessage> TakeMessages();

  /// A snapshot that replaces the applied state; null when there is none. Take it before entries.
  std::shared_ptr<const proto::Snapshot> TakeSnapshotToRestore();

  /// The next committed entry to apply, in log order; null when there is none. Valid until the
  /// next call.
  const proto::Entry* NextCommitted();

  /// Reads that may be answered from the state after everything delivered so far.
  std::vector<std::uint64_t> TakeConfirmedReads();

  /// Reads that were not confirmed.
  std::vector<std::uint64_t> TakeFailedReads();

  Role CurrentRole() const { return mRole; }
  core::Term CurrentTerm() const { return core::Term(mTerm); }
  core::LogIndex CommitIndex() const { return core::LogIndex(mCommitIndex); }
  core::LogIndex LastIndex() const { return core::LogIndex(mLog.LastIndex()); }

  /// Bytes of commands in the entries that are kept.
  std::uint64_t CommandBytes() const { return mLog.CommandBytes(); }

  /// The leader of the current term; empty when unknown.
  const core::HostId& Leader() const { return mLeader; }

  /// This member.
  const Member& Self() const { return mSelf; }

  /// The voters as of the latest configuration in the log.
  const Configuration& Voters() const { return mLog.LatestConfiguration(); }

  /// True when the leader has committed an entry of its own term, so that its commit index covers
  /// everything ever acknowledged.
  bool HasCommittedInTerm() const;

  /// When the last round of heartbeats that a quorum answered was sent; nothing unless leading.
  std::optional<core::Instant> QuorumConfirmedAt() const;

  /// When this became leader; nothing unless leading.
  std::optional<core::Instant> LeaderSince() const;

  /// The other members as the leader sees them; empty unless leading.
  std::vector<MemberLag> MemberLags(core::Instant aNow) const;

private:
  struct HeldMessage
  {
    std::uint64_t batch = 0; ///< Durable with this batch.
    OutgoingMessage outgoing;
  };
  struct PendingRead
  {
    std::uint64_t id = 0;
    std::uint64_t round = 0; ///< 0: waits for the first commit of the term.
  };
  struct IncomingSnapshot
  {
    std::uint64_t index = 0;
    std::uint64_t leaderTerm = 0;
    std::string state;
  };

  // Roles and terms.
  void BecomeFollower(std::uint64_t aTerm, const core::HostId& aLeader);
  void BecomeLeader();
  void StartPreVote();
  void StartElection();
  void RequestVotes(bool aPreVote, std::uint64_t aTerm);
  void CountVote(const Member& aMember);
  void AdoptTerm(std::uint64_t aTerm);
  void RestartElectionTimer();
  bool IsVoter() const;
  bool HasRecentLeaderContact() const;
  void CheckQuorum();

  // Founding and membership.
  void Announce();
  void SendAnnouncement(const core::HostId& aTo);
  void TryFoundGroup();
  void FoundGroup();
  void HandleAnnouncement(const Member& aFrom, const proto::Announcement& aAnnouncement);
  void ChangeVoters();
  std::optional<Configuration> NextConfiguration() const;
  bool IsReadyToVote(const Member& aMember, const Progress& aProgress) const;
  bool IsEligibleVoter(const core::HostId& aHost) const;
  const Member* FindVoterToReplace() const;
  std::set<core::HostId> AnnouncementTargets() const;
  bool IsQuorumActive(const Configuration& aConfiguration) const;
  void OnConfigurationChanged();
  void DropInactiveLearners();
  bool WasActiveWithin(const Member& aMember, core::Duration aAge) const;
  bool HoldsGroupState() const;

  // Messages.
  void HandleVoteRequest(const Member& aFrom, std::uint64_t aTerm,
                         const proto::VoteRequest& aRequest);
  void HandleVoteReply(const Member& aFrom, std::uint64_t aTerm, const proto::VoteReply& aReply);
  void HandleAppend(const Member& aFrom, std::uint64_t aTerm, const proto::AppendRequest& aRequest);
  void HandleAppendReply(const Member& aFrom, const proto::AppendReply& aReply);
  void HandleSnapshot(const Member& aFrom, std::uint64_t aTerm,
                      const proto::SnapshotRequest& aRequest);
  void HandleSnapshotReply(const Member& aFrom, const proto::SnapshotReply& aReply);
  void HandleReply(const Member& aFrom, const proto::LogMessage& aMessage);
  bool FollowLeader(const Member& aFrom, std::uint64_t aTerm);
  bool IsLogUpToDate(const proto::VoteRequest& aRequest) const;
  void AppendEntries(const proto::AppendRequest& aRequest);
  void TruncateFrom(std::uint64_t aIndex);
  std::uint64_t MismatchHint(std::uint64_t aPrevious) const;
  void SendAppendReply(const Member& aTo, bool aSuccess, std::uint64_t aIndex,
                       std::uint64_t aRejected, std::uint64_t aRound);
  void InstallSnapshot(const proto::SnapshotRequest& aRequest);

  // Replication.
  void AppendAsLeader(proto::Entry aEntry);
  void Replicate();
  void StartHeartbeatRound();
  void SendHeartbeat(const Member& aTo, Progress& aProgress);
  bool SendEntries(const Member& aTo, Progress& aProgress, bool aRetry);
  void SendAppend(const Member& aTo, Progress& aProgress);
  bool SendSnapshot(const Member& aTo, Progress& aProgress);
  void SendSnapshotChunk(const Member& aTo, Progress& aProgress);
  void AdvanceCommit();
  void AdvanceCommitTo(std::uint64_t aIndex);
  void ConfirmReads();
  void FailReads();
  std::uint64_t QuorumRound() const;
  std::uint64_t QuorumMatch() const;
  template<typename Value>
  std::uint64_t QuorumValue(std::uint64_t aOwn, Value aValue) const;

  // Durability.
  bool HasUnsavedState() const;
  std::uint64_t PendingBatchNumber() const;
  proto::LogMessage MakeMessage(const Member& aTo, std::uint64_t aTerm) const;
  void SendNow(const Member& aTo, proto::LogMessage aMessage);
  void SendWhenDurable(const Member& aTo, proto::LogMessage aMessage);
  void ReleaseHeldMessages();

  const core::GroupId mGroup;
  const Member mSelf;
  const std::vector<core::HostId> mConfiguredHosts;
  const bool mMayFoundGroup;
  const ReplicatedLogSettings mSettings;
  core::Random mRandom;
  core::Instant mNow;

  // Durable state as of the next batch.
  std::uint64_t mTerm = 0;
  std::optional<Member> mVote;
  Founding mFounding;
  EntryLog mLog;
  std::shared_ptr<const proto::Snapshot> mSnapshot;

  // What of it is stored.
  bool mHardStateDirty = false;
  bool mRewritePending = false;           ///< The next batch replaces what is stored.
  std::uint64_t mFirstUnsavedIndex = 1;   ///< First entry that was not given out in a batch.
  std::uint64_t mDurableIndex = 0;        ///< Last entry that is durable here.
  bool mStoring = false;                  ///< A batch was given out and is not durable yet.
  bool mStoringIsRewrite = false;         ///< It replaces what is stored.
  std::uint64_t mStoringFirstIndex = 0;   ///< First entry that was unsaved before it.
  std::uint64_t mStoringLastIndex = 0;    ///< Last entry of it that still stands.
  std::uint64_t mLastBatchNumber = 0;     ///< Number of the batch given out last.
  std::vector<HeldMessage> mHeldMessages; ///< Messages that wait for a batch, oldest first.
  std::vector<OutgoingMessage> mOutgoing; ///< Messages that may be sent.

  Role mRole = Role::Learner;
  core::HostId mLeader;
  std::uint64_t mCommitIndex = 0;
  std::uint64_t mDeliveredIndex = 0;
  std::shared_ptr<const proto::Snapshot> mSnapshotToRestore;
  std::optional<IncomingSnapshot> mIncomingSnapshot;
  core::Instant mLeaderLastReceivedAt;
  core::Instant mElectionDue;
  core::Instant mAnnounceDue;

  // As a candidate.
  std::set<Member> mVotes;

  // As the leader.
  std::map<Member, Progress> mProgress;
  core::Instant mLeaderSince;
  core::Instant mHeartbeatDue;
  std::uint64_t mTermStartIndex = 0; ///< Index of the no-op that opened the term.
  std::uint64_t mRound = 0;
  std::deque<std::pair<std::uint64_t, core::Instant>> mRoundTimes;
  bool mRoundRequested = false;
  std::deque<PendingRead> mPendingReads;
  std::vector<std::uint64_t> mConfirmedReads;
  std::vector<std::uint64_t> mFailedReads;
};

} // namespace cuminfield::process::log
