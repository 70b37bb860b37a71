#include "cuminfield/process/log/ReplicatedLog.h"

#include "cuminfield/core/Invariant.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::log {

const char* ToString(Role aRole)
{
  switch (aRole) {
    case Role::Learner:
      return "learner";
    case Role::Follower:
      return "follower";
    case Role::PreCandidate:
      return "pre-candidate";
    case Role::Candidate:
      return "candidate";
    case Role::Leader:
      return "leader";
  }
  return "learner";
}

ReplicatedLog::ReplicatedLog(ReplicatedLogOptions aOptions)
  : mGroup(std::move(aOptions.group))
  , mSelf{ .host = std::move(aOptions.self), .incarnation = aOptions.contents.incarnation }
  , mConfiguredHosts(std::move(aOptions.voters))
  , mMayFoundGroup(aOptions.mayFoundGroup)
  , mSettings(aOptions.settings)
  , mRandom(aOptions.random)
  , mNow(aOptions.now)
  , mTerm(aOptions.contents.hardState.term())
  , mFounding(mSelf, mConfiguredHosts)
  , mSnapshot(aOptions.contents.snapshot)
{
  const proto::HardState& state = aOptions.contents.hardState;
  if (state.has_vote()) {
    mVote = FromProto(state.vote());
  }
  mFounding.SetAgreedFounders(FromProto(state.founding()));
  if (mSnapshot) {
    mLog.Reset(*mSnapshot);
    mCommitIndex = mSnapshot->index();
    mDeliveredIndex = mCommitIndex;
    mSnapshotToRestore = mSnapshot;
  }
  for (proto::Entry& it : aOptions.contents.entries) {
    mLog.Append(std::move(it));
  }
  mDurableIndex = mLog.LastIndex();
  mFirstUnsavedIndex = mLog.LastIndex() + 1;
  // A restarted voter may have received from the leader just before it stopped. It rejects votes as
  // if it had, so that the leader's lease holds across restarts.
  mLeaderLastReceivedAt = mNow;
  mAnnounceDue = mNow;
  mRole = IsVoter() ? Role::Follower : Role::Learner;
  RestartElectionTimer();
}

void ReplicatedLog::Tick(core::Instant aNow)
{
  mNow = aNow;
  if (mRole == Role::Leader) {
    DropInactiveLearners();
    CheckQuorum();
    ChangeVoters();
    return;
  }
  // A voter without a leader announces itself, too: the configuration that made it a voter may have
  // been lost with the leader that proposed it.
  Announce();
  if (!IsVoter()) {
    // It starts no election, but a leader that is silent for as long is not known to lead.
    if (mNow >= mElectionDue) {
      mLeader = core::HostId();
    }
    return;
  }
  const bool singleVoter = Voters().voters.size() == 1;
  if (mNow >= mElectionDue || (singleVoter && mRole == Role::Follower)) {
    StartPreVote();
  }
}

void ReplicatedLog::Receive(const core::HostId& aFrom, const proto::LogMessage& aMessage,
                            core::Instant aNow)
{
  mNow = aNow;
  const Member from{ .host = aFrom, .incarnation = core::Incarnation(aMessage.from_incarnation()) };
  // Any message other than an announcement is sent by members only.
  mLeaderSearch.RecordHeard(
    aFrom, !aMessage.has_announcement() || aMessage.announcement().belongs(), mNow);
  if (aMessage.has_announcement()) {
    HandleAnnouncement(from, aMessage.announcement());
    return;
  }
  // Sent to an earlier incarnation of this host, for which this one must not reply. The sender does
  // belong to the group, though.
  if (aMessage.to_incarnation() != mSelf.incarnation.Value()) {
    AddContact(aFrom);
    return;
  }
  switch (aMessage.body_case()) {
    case proto::LogMessage::kVoteRequest:
      HandleVoteRequest(from, aMessage.term(), aMessage.vote_request());
      break;
    case proto::LogMessage::kAppendRequest:
      HandleAppend(from, aMessage.term(), aMessage.append_request());
      break;
    case proto::LogMessage::kSnapshotRequest:
      HandleSnapshot(from, aMessage.term(), aMessage.snapshot_request());
      break;
    default:
      HandleReply(from, aMessage);
      break;
  }
}

void ReplicatedLog::HandleReply(const Member& aFrom, const proto::LogMessage& aMessage)
{
  if (aMessage.has_vote_reply()) {
    HandleVoteReply(aFrom, aMessage.term(), aMessage.vote_reply());
    return;
  }
  if (aMessage.term() > mTerm) {
    AdoptTerm(aMessage.term());
    return;
  }
  if (aMessage.term() < mTerm || mRole != Role::Leader) {
    return;
  }
  if (aMessage.has_append_reply()) {
    HandleAppendReply(aFrom, aMessage.append_reply());
  } else if (aMessage.has_snapshot_reply()) {
    HandleSnapshotReply(aFrom, aMessage.snapshot_reply());
  }
}

std::optional<LogPosition> ReplicatedLog::Propose(std::string aCommand, core::Instant aNow)
{
  mNow = aNow;
  // What follows the removal of this leader would be left behind when that is committed.
  if (mRole != Role::Leader || !IsVoter() ||
      mLog.LastIndex() - mCommitIndex >= mSettings.maxUncommittedEntries) {
    return std::nullopt;
  }
  proto::Entry entry;
  entry.set_command(std::move(aCommand));
  AppendAsLeader(std::move(entry));
  return LogPosition{ .index = LastIndex(), .term = CurrentTerm() };
}

bool ReplicatedLog::RequestRead(std::uint64_t aId, core::Instant aNow)
{
  mNow = aNow;
  if (mRole != Role::Leader) {
    return false;
  }
  // Before the first commit of the term the commit index may be lower than what an earlier leader
  // acknowledged (dissertation 6.4), so the read waits for that commit.
  mPendingReads.push_back({ .id = aId, .round = HasCommittedInTerm() ? mRound + 1 : 0 });
  mRoundRequested = true;
  return true;
}

void ReplicatedLog::Compact(core::LogIndex aIndex, std::string aState)
{
  const std::uint64_t index = aIndex.Value();
  CUMINFIELD_INVARIANT("log.snapshot-applied", index <= mDeliveredIndex);
  if (index <= mLog.BaseIndex() || (mSnapshot && index <= mSnapshot->index())) {
    return;
  }
  auto snapshot = std::make_shared<proto::Snapshot>();
  snapshot->set_index(index);
  snapshot->set_term(*mLog.TermAt(index));
  *snapshot->mutable_configuration() = ToProto(mLog.ConfigurationAt(index));
  snapshot->set_state(std::move(aState));
  mSnapshot = std::move(snapshot);
  if (index > mSettings.trailingEntries) {
    mLog.CompactTo(index - mSettings.trailingEntries);
  }
  while (mLog.BaseIndex() < index && mLog.CommandBytes() > mSettings.trailingBytes) {
    mLog.CompactTo(mLog.BaseIndex() + 1);
  }
  mRewritePending = true;
}

bool ReplicatedLog::HasUnsavedState() const
{
  return mHardStateDirty || mRewritePending || mFirstUnsavedIndex <= mLog.LastIndex();
}

PersistBatch ReplicatedLog::TakeBatch()
{
  PersistBatch batch;
  batch.hardState.set_term(mTerm);
  if (mVote) {
    *batch.hardState.mutable_vote() = ToProto(*mVote);
  }
  if (!mFounding.AgreedFounders().voters.empty()) {
    *batch.hardState.mutable_founding() = ToProto(mFounding.AgreedFounders());
  }
  std::uint64_t first = mFirstUnsavedIndex;
  if (mRewritePending) {
    batch.snapshot = mSnapshot;
    first = mSnapshot->index() + 1;
  }
  for (std::uint64_t i = first; i <= mLog.LastIndex(); ++i) {
    batch.entries.push_back(mLog.At(i));
  }
  mStoringIsRewrite = mRewritePending;
  mStoringFirstIndex = mFirstUnsavedIndex;
  mHardStateDirty = false;
  mRewritePending = false;
  mFirstUnsavedIndex = mLog.LastIndex() + 1;
  mStoring = true;
  mStoringLastIndex = mLog.LastIndex();
  ++mLastBatchNumber;
  return batch;
}

void ReplicatedLog::OnPersisted(core::Instant aNow)
{
  mNow = aNow;
  CUMINFIELD_INVARIANT("log.one-batch", mStoring);
  mStoring = false;
  mDurableIndex = mStoringLastIndex;
  ReleaseHeldMessages();
  if (mRole == Role::Leader) {
    AdvanceCommit();
  }
}

void ReplicatedLog::OnPersistFailed()
{
  CUMINFIELD_INVARIANT("log.one-batch", mStoring);
  mStoring = false;
  mHardStateDirty = true;
  mRewritePending = mRewritePending || mStoringIsRewrite;
  mFirstUnsavedIndex = std::min(mFirstUnsavedIndex, mStoringFirstIndex);
}

std::uint64_t ReplicatedLog::PendingBatchNumber() const
{
  if (HasUnsavedState()) {
    return mLastBatchNumber + 1;
  }
  return mStoring ? mLastBatchNumber : 0;
}

void ReplicatedLog::ReleaseHeldMessages()
{
  std::deque<HeldMessage> held = std::exchange(mHeldMessages, {});
  for (HeldMessage& it : held) {
    if (it.batch > mLastBatchNumber) {
      mHeldMessages.push_back(std::move(it));
      continue;
    }
    if (it.outgoing.to != mSelf.host) {
      mOutgoing.push_back(std::move(it.outgoing));
      continue;
    }
    HandleVoteReply(mSelf, it.outgoing.message.term(), it.outgoing.message.vote_reply());
  }
}

proto::LogMessage ReplicatedLog::MakeMessage(const Member& aTo, std::uint64_t aTerm) const
{
  proto::LogMessage message;
  message.set_group(mGroup.Text());
  message.set_from_incarnation(mSelf.incarnation.Value());
  message.set_to_incarnation(aTo.incarnation.Value());
  message.set_term(aTerm);
  return message;
}

void ReplicatedLog::SendNow(const Member& aTo, proto::LogMessage aMessage)
{
  mOutgoing.push_back({ .to = aTo.host, .message = std::move(aMessage) });
}

void ReplicatedLog::SendWhenDurable(const Member& aTo, proto::LogMessage aMessage)
{
  const std::uint64_t batch = PendingBatchNumber();
  if (batch == 0) {
    SendNow(aTo, std::move(aMessage));
    return;
  }
  // Any message may be lost, and later ones repeat what the oldest say.
  if (mHeldMessages.size() >= mSettings.maxHeldMessages) {
    mHeldMessages.pop_front();
  }
  mHeldMessages.push_back(
    { .batch = batch, .outgoing = { .to = aTo.host, .message = std::move(aMessage) } });
}

std::vector<OutgoingMessage> ReplicatedLog::TakeMessages()
{
  Replicate();
  return std::exchange(mOutgoing, {});
}

std::shared_ptr<const proto::Snapshot> ReplicatedLog::TakeSnapshotToRestore()
{
  return std::exchange(mSnapshotToRestore, nullptr);
}

const proto::Entry* ReplicatedLog::NextCommitted()
{
  if (mDeliveredIndex >= mCommitIndex) {
    return nullptr;
  }
  ++mDeliveredIndex;
  return &mLog.At(mDeliveredIndex);
}

std::vector<std::uint64_t> ReplicatedLog::TakeConfirmedReads()
{
  return std::exchange(mConfirmedReads, {});
}

std::vector<std::uint64_t> ReplicatedLog::TakeFailedReads()
{
  return std::exchange(mFailedReads, {});
}

bool ReplicatedLog::HasCommittedInTerm() const
{
  return mRole == Role::Leader && mCommitIndex >= mTermStartIndex;
}

std::optional<core::Instant> ReplicatedLog::QuorumConfirmedAt() const
{
  if (mRole != Role::Leader) {
    return std::nullopt;
  }
  const std::uint64_t round = QuorumRound();
  for (const auto& [number, sent] : mRoundTimes) {
    if (number == round) {
      return sent;
    }
  }
  return std::nullopt;
}

std::optional<core::Instant> ReplicatedLog::CurrentAsOf() const
{
  const auto confirmed = HasCommittedInTerm() ? QuorumConfirmedAt() : std::nullopt;
  return std::max(mFollowedAsOf, confirmed);
}

std::optional<core::Instant> ReplicatedLog::LeaderSince() const
{
  if (mRole != Role::Leader) {
    return std::nullopt;
  }
  return mLeaderSince;
}

std::vector<MemberLag> ReplicatedLog::MemberLags(core::Instant aNow) const
{
  std::vector<MemberLag> lags;
  if (mRole != Role::Leader) {
    return lags;
  }
  for (const auto& [member, progress] : mProgress) {
    lags.push_back({ .member = member,
                     .voter = Voters().Contains(member),
                     .matchIndex = core::LogIndex(progress.matchIndex),
                     .entriesBehind = mCommitIndex - std::min(mCommitIndex, progress.matchIndex),
                     .sinceLastReceived = aNow - progress.lastReceivedAt });
  }
  return lags;
}

} // namespace cuminfield::process::log
