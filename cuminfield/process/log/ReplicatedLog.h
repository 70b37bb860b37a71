#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/log/Configuration.h"
#include "cuminfield/process/log/EntryLog.h"
#include "cuminfield/process/log/Founding.h"
#include "cuminfield/process/log/GroupHealth.h"
#include "cuminfield/process/log/LeaderSearch.h"
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

/// A member's current role in its group.
enum class Role
{
  Learner, ///< Follows without a vote: blank, or not in the configuration (yet).
  Follower,
  PreCandidate, ///< Asks whether it would be elected.
  Candidate,
  Leader,
};

/// The role's name in lower case with hyphens.
const char* ToString(Role aRole);

/// A position in the log that no two different entries ever share.
struct LogPosition
{
  core::LogIndex index;
  core::Term term;

  auto operator<=>(const LogPosition&) const = default;
};

struct OutgoingMessage
{
  core::HostId to;
  proto::LogMessage message;
};

/// The leader's view of another member, for display.
struct MemberLag
{
  Member member;
  bool voter = false;
  core::LogIndex matchIndex;             ///< Everything up to this index is durable at the member.
  std::uint64_t entriesBehind = 0;       ///< Committed here but not known to be durable there.
  core::Duration sinceLastReceived{ 0 }; ///< Since its last reply or announcement.
};

/// Construction parameters of ReplicatedLog.
struct ReplicatedLogOptions
{
  core::GroupId group;
  core::HostId self;
  std::vector<core::HostId> voters; ///< The group's hosts in the settings.
  /// Founds the group together with the other voters, if all of them are blank.
  bool mayFoundGroup = true;
  LogContents contents; ///< As loaded from storage.
  core::Random random;
  core::Instant now;
  ReplicatedLogSettings settings;
};

/// Decides for one member of a replicated log who leads, what is committed and who votes. Has no
/// clock, disk or links: time and messages are passed in, and what to store, send and apply is
/// taken out. The same inputs give the same outputs.
///
/// The algorithm is Raft (Ongaro and Ousterhout 2014, "In Search of an Understandable Consensus
/// Algorithm"; Ongaro 2014, "Consensus: Bridging Theory and Practice", cited by chapter). See
/// docs/design/ReplicatedLog.md for each rule and its source.
///
/// After any call, take the outputs in this order: TakeMessages(); if HasBatch(), persist
/// TakeBatch() and call OnPersisted() when it is durable; then TakeSnapshotToRestore(),
/// NextCommitted() and TakeConfirmedReads(). Messages that promise something are held back until it
/// is durable.
class ReplicatedLog
{
public:
  explicit ReplicatedLog(ReplicatedLogOptions aOptions);

  /// Advances the time; call every few tens of milliseconds.
  void Tick(core::Instant aNow);

  /// This process did not run for aDuration, so it could not receive: that time counts neither as
  /// the leader's silence nor as the followers'.
  void OnStall(core::Duration aDuration);

  /// Names a host that may belong to the group. While this member knows no leader, it announces
  /// itself to it.
  void AddContact(const core::HostId& aHost);

  /// Asks that another host votes in place of this member, which is about to stop. Holds until the
  /// process ends. In a closed group nobody else may vote, so nothing changes.
  void Leave();

  /// True when waiting longer before the stop would not hand over this member's vote: it has none,
  /// or the leader knows no host that could vote in its place. False while no leader is known.
  bool CanStop() const;

  /// Handles a message from another host.
  void Receive(const core::HostId& aFrom, const proto::LogMessage& aMessage, core::Instant aNow);

  /// Appends a command; returns nothing unless this member leads and has room. The command is
  /// committed exactly when NextCommitted() returns an entry with this position.
  std::optional<LogPosition> Propose(std::string aCommand, core::Instant aNow);

  /// Requests confirmation that this member still leads; returns false unless it does.
  /// TakeConfirmedReads() returns the id when every command committed before this call was also
  /// delivered, TakeFailedReads() when the leadership was lost.
  bool RequestRead(std::uint64_t aId, core::Instant aNow);

  /// Replaces older entries by a snapshot of the state after aIndex, which was already delivered.
  void Compact(core::LogIndex aIndex, std::string aState);

  /// True when there is something to store and no batch is being stored.
  bool HasBatch() const { return !mStoring && HasUnsavedState(); }

  /// True from TakeBatch() until OnPersisted() or OnPersistFailed().
  bool IsStoring() const { return mStoring; }

  /// Returns the next batch to store. No other batch is available until OnPersisted() or
  /// OnPersistFailed().
  PersistBatch TakeBatch();

  /// The batch taken last is durable.
  void OnPersisted(core::Instant aNow);

  /// The batch taken last could not be stored; the next batch contains it.
  void OnPersistFailed();

  /// Returns the messages to send now.
  std::vector<OutgoingMessage> TakeMessages();

  /// Returns a snapshot that replaces the applied state, or null. Call before NextCommitted().
  std::shared_ptr<const proto::Snapshot> TakeSnapshotToRestore();

  /// Returns the next committed entry to apply, in log order, or null when there is none. Valid
  /// until the next call.
  const proto::Entry* NextCommitted();

  /// Returns the ids of reads that may be served from the state after everything delivered so far.
  std::vector<std::uint64_t> TakeConfirmedReads();

  /// Returns the ids of reads that were not confirmed.
  std::vector<std::uint64_t> TakeFailedReads();

  Role CurrentRole() const { return mRole; }
  core::Term CurrentTerm() const { return core::Term(mTerm); }
  core::LogIndex CommitIndex() const { return core::LogIndex(mCommitIndex); }
  core::LogIndex LastIndex() const { return core::LogIndex(mLog.LastIndex()); }

  /// Total size of the commands of all entries held in memory.
  std::uint64_t CommandBytes() const { return mLog.CommandBytes(); }

  /// The leader of the current term; empty when unknown.
  const core::HostId& Leader() const { return mLeader; }

  const Member& Self() const { return mSelf; }

  /// The voters of the latest configuration in the log.
  const Configuration& Voters() const { return mLog.LatestConfiguration(); }

  /// Where in the log that configuration stands.
  core::LogIndex VotersIndex() const { return core::LogIndex(mLog.LatestConfigurationIndex()); }

  /// True when this leader has committed an entry of its own term, so that its commit index covers
  /// everything ever acknowledged.
  bool HasCommittedInTerm() const;

  /// When the last heartbeat round with replies from a quorum was sent; nothing unless leading.
  std::optional<core::Instant> QuorumConfirmedAt() const;

  /// When this member became leader; nothing unless leading.
  std::optional<core::Instant> LeaderSince() const;

  /// The latest time for which this member's log is known to hold all that was committed; nothing
  /// before the first. A role or a known leader says nothing about that time.
  std::optional<core::Instant> CurrentAsOf() const;

  /// The state of the other members; empty unless leading.
  std::vector<MemberLag> MemberLags(core::Instant aNow) const;

  /// The state of the group's voters as of the last call; nothing unless leading.
  std::optional<GroupHealth> Health() const;

  /// Whom this member has asked for the group, and what it received from other hosts.
  const LeaderSearch& Search() const { return mLeaderSearch; }

private:
  struct HeldMessage
  {
    std::uint64_t batch = 0; ///< Number of the batch that must be durable first.
    OutgoingMessage outgoing;
  };
  enum class AnnouncementKind
  {
    Search, ///< Asks for the group.
    Reply,  ///< Names the leader and the voters.
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
  void SendAnnouncement(const core::HostId& aTo, AnnouncementKind aKind);
  void TryFoundGroup();
  void FoundGroup();
  void HandleAnnouncement(const Member& aFrom, const proto::Announcement& aAnnouncement);
  void ChangeVoters();
  std::optional<Configuration> NextConfiguration() const;
  bool IsReadyToVote(const Member& aMember, const Progress& aProgress) const;
  bool MayReplaceFormer(const Member& aFormer, const Progress& aSuccessor) const;
  bool IsEligibleVoter(const core::HostId& aHost) const;
  const Member* FindVoterToReplace() const;
  bool MayFindSuccessor() const;
  std::set<core::HostId> AnnouncementTargets() const;
  bool IsQuorumActive(const Configuration& aConfiguration) const;
  void OnConfigurationChanged();
  void DropInactiveLearners();
  bool WasActiveWithin(const Member& aMember, core::Duration aMaxAge) const;
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
  void RecordCurrent(const proto::AppendRequest& aRequest);
  void FillLeaderState(const Progress& aProgress, proto::AppendRequest& aRequest) const;
  std::map<Member, core::Instant> SilentVoters() const;
  void RecordSilentVoters(const proto::AppendRequest& aRequest);
  core::Instant LastReceivedFrom(const Member& aVoter) const;
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
  std::uint64_t QuorumValue(std::uint64_t aOwnValue, Value aGetValue) const;

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

  // State of storing the above.
  bool mHardStateDirty = false;
  bool mRewritePending = false;           ///< The next batch replaces everything stored.
  std::uint64_t mFirstUnsavedIndex = 1;   ///< First entry that was not part of a batch yet.
  std::uint64_t mDurableIndex = 0;        ///< Last entry that is durable here.
  bool mStoring = false;                  ///< A batch was taken and is not durable yet.
  bool mStoringIsRewrite = false;         ///< The batch being stored replaces everything stored.
  std::uint64_t mStoringFirstIndex = 0;   ///< mFirstUnsavedIndex before the batch being stored.
  std::uint64_t mStoringLastIndex = 0;    ///< Last untruncated entry of the batch being stored.
  std::uint64_t mLastBatchNumber = 0;     ///< Number of the batch taken last.
  std::deque<HeldMessage> mHeldMessages;  ///< Messages that wait for a batch, oldest first.
  std::vector<OutgoingMessage> mOutgoing; ///< Messages that may be sent now.

  Role mRole = Role::Learner;
  bool mIsLeaving = false;
  bool mHasNoSuccessor = false; ///< The leader knows no host that could vote in place of this one.
  core::HostId mLeader;
  std::uint64_t mCommitIndex = 0;
  std::uint64_t mDeliveredIndex = 0;
  std::shared_ptr<const proto::Snapshot> mSnapshotToRestore;
  std::optional<IncomingSnapshot> mIncomingSnapshot;
  LeaderSearch mLeaderSearch;
  core::Instant mLeaderLastReceivedAt;
  std::optional<core::Instant> mFollowedAsOf; ///< CurrentAsOf() as a follower or learner.
  /// Voters that were silent to the last leader that was heard, by when that leader last received
  /// from them.
  std::map<Member, core::Instant> mSilentSince;
  core::Instant mElectionDue;
  core::Instant mAnnounceDue;
  /// Hosts that may belong to the group, by when they were named last.
  std::map<core::HostId, core::Instant> mContacts;

  // As a candidate.
  std::set<Member> mVotes;

  // As the leader.
  std::map<Member, Progress> mProgress;
  core::Instant mLeaderSince;
  core::Instant mHeartbeatDue;
  std::uint64_t mTermStartIndex = 0; ///< Index of the no-op entry that started the term.
  std::uint64_t mRound = 0;
  std::deque<std::pair<std::uint64_t, core::Instant>> mRoundTimes;
  bool mRoundRequested = false;
  std::deque<PendingRead> mPendingReads;
  std::vector<std::uint64_t> mConfirmedReads;
  std::vector<std::uint64_t> mFailedReads;
};

} // namespace cuminfield::process::log
