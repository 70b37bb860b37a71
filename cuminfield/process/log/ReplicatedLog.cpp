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
  , mHosts(std::move(aOptions.voters))
  , mMayFound(aOptions.mayFound)
  , mSettings(aOptions.settings)
  , mRandom(aOptions.random)
  , mNow(aOptions.now)
  , mTerm(aOptions.contents.hardState.term())
  , mFounding(mSelf, mHosts)
  , mSnapshot(aOptions.contents.snapshot)
{
  const proto::HardState& state = aOptions.contents.hardState;
  if (state.has_vote()) {
    mVote = FromProto(state.vote());
  }
  mFounding.Agree(FromProto(state.founding()));
  if (mSnapshot) {
    mLog.Reset(*mSnapshot);
    mCommit = mSnapshot->index();
    mDelivered = mCommit;
    mRestore = mSnapshot;
  }
  for (proto::Entry& it : aOptions.contents.entries) {
    mLog.Append(std::move(it));
  }
  mDurable = mLog.Last();
  mFirstUnsaved = mLog.Last() + 1;
  // A restarted voter may have heard the leader a moment before it stopped: it refuses votes as if
  // it had, so that the leader's lease holds over restarts.
  mLeaderHeard = mNow;
  mAnnounceDue = mNow;
  mRole = Promotable() ? Role::Follower : Role::Learner;
  RestartElectionTimer();
}

void ReplicatedLog::Tick(core::Instant aNow)
{
  mNow = aNow;
  if (mRole == Role::Leader) {
    DropSilentLearners();
    CheckQuorum();
    ChangeVoters();
    return;
  }
  // Also a voter does when it hears no leader: the configuration that made it one may have been
  // lost with the leader that proposed it.
  Announce();
  if (!Promotable()) {
    return;
  }
  const bool alone = Voters().voters.size() == 1;
  if (mNow >= mElectionDue || (alone && mRole == Role::Follower)) {
    StartPreVote();
  }
}

void ReplicatedLog::Receive(const core::HostId& aFrom, const proto::LogMessage& aMessage,
                            core::Instant aNow)
{
  mNow = aNow;
  const Member from{ .host = aFrom, .incarnation = core::Incarnation(aMessage.from_incarnation()) };
  if (aMessage.has_announcement()) {
    HandleAnnouncement(from, aMessage.announcement());
    return;
  }
  // Meant for an earlier life of this host, which this one must not speak for.
  if (aMessage.to_incarnation() != mSelf.incarnation.Value()) {
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
  if (mRole != Role::Leader || mLog.Last() - mCommit >= mSettings.maxUncommitted) {
    return std::nullopt;
  }
  proto::Entry entry;
  entry.set_command(std::move(aCommand));
  AppendOwn(std::move(entry));
  return LogPosition{ .index = LastIndex(), .term = CurrentTerm() };
}

bool ReplicatedLog::RequestRead(std::uint64_t aId, core::Instant aNow)
{
  mNow = aNow;
  if (mRole != Role::Leader) {
    return false;
  }
  // Before the first commit of the term the commit index may lie behind what an earlier leader
  // acknowledged (dissertation 6.4), so the read waits for it.
  mReads.push_back({ .id = aId, .round = CommittedInTerm() ? mRound + 1 : 0 });
  mRoundWanted = true;
  return true;
}

void ReplicatedLog::Compact(core::LogIndex aIndex, std::string aState)
{
  const std::uint64_t index = aIndex.Value();
  CUMINFIELD_INVARIANT("log.snapshot-applied", index <= mDelivered);
  if (index <= mLog.Base() || (mSnapshot && index <= mSnapshot->index())) {
    return;
  }
  auto snapshot = std::make_shared<proto::Snapshot>();
  snapshot->set_index(index);
  snapshot->set_term(*mLog.TermAt(index));
  *snapshot->mutable_configuration() = ToProto(mLog.ConfigurationAt(index));
  snapshot->set_state(std::move(aState));
  mSnapshot = std::move(snapshot);
  if (index > mSettings.trailing) {
    mLog.CompactTo(index - mSettings.trailing);
  }
  while (mLog.Base() < index && mLog.Bytes() > mSettings.trailingBytes) {
    mLog.CompactTo(mLog.Base() + 1);
  }
  mRewrite = true;
}

bool ReplicatedLog::Dirty() const
{
  return mHardStateDirty || mRewrite || mFirstUnsaved <= mLog.Last();
}

PersistBatch ReplicatedLog::TakeBatch()
{
  PersistBatch batch;
  batch.hardState.set_term(mTerm);
  if (mVote) {
    *batch.hardState.mutable_vote() = ToProto(*mVote);
  }
  if (!mFounding.Agreed().voters.empty()) {
    *batch.hardState.mutable_founding() = ToProto(mFounding.Agreed());
  }
  std::uint64_t first = mFirstUnsaved;
  if (mRewrite) {
    batch.snapshot = mSnapshot;
    first = mSnapshot->index() + 1;
  }
  for (std::uint64_t i = first; i <= mLog.Last(); ++i) {
    batch.entries.push_back(mLog.At(i));
  }
  mStoringRewrite = mRewrite;
  mStoringFirst = mFirstUnsaved;
  mHardStateDirty = false;
  mRewrite = false;
  mFirstUnsaved = mLog.Last() + 1;
  mStoring = true;
  mStoringLast = mLog.Last();
  ++mLastBatch;
  return batch;
}

void ReplicatedLog::Persisted(core::Instant aNow)
{
  mNow = aNow;
  CUMINFIELD_INVARIANT("log.one-batch", mStoring);
  mStoring = false;
  mDurable = mStoringLast;
  ReleaseHeld();
  if (mRole == Role::Leader) {
    AdvanceCommit();
  }
}

void ReplicatedLog::NotPersisted()
{
  CUMINFIELD_INVARIANT("log.one-batch", mStoring);
  mStoring = false;
  mHardStateDirty = true;
  mRewrite = mRewrite || mStoringRewrite;
  mFirstUnsaved = std::min(mFirstUnsaved, mStoringFirst);
}

std::uint64_t ReplicatedLog::PendingBatch() const
{
  if (Dirty()) {
    return mLastBatch + 1;
  }
  return mStoring ? mLastBatch : 0;
}

void ReplicatedLog::ReleaseHeld()
{
  std::vector<Held> held = std::exchange(mHeld, {});
  for (Held& it : held) {
    if (it.batch > mLastBatch) {
      mHeld.push_back(std::move(it));
      continue;
    }
    if (it.out.to != mSelf.host) {
      mOut.push_back(std::move(it.out));
      continue;
    }
    HandleVoteReply(mSelf, it.out.message.term(), it.out.message.vote_reply());
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
  mOut.push_back({ .to = aTo.host, .message = std::move(aMessage) });
}

void ReplicatedLog::SendDurable(const Member& aTo, proto::LogMessage aMessage)
{
  const std::uint64_t batch = PendingBatch();
  if (batch == 0) {
    SendNow(aTo, std::move(aMessage));
    return;
  }
  mHeld.push_back({ .batch = batch, .out = { .to = aTo.host, .message = std::move(aMessage) } });
}

std::vector<OutgoingMessage> ReplicatedLog::TakeMessages()
{
  Replicate();
  return std::exchange(mOut, {});
}

std::shared_ptr<const proto::Snapshot> ReplicatedLog::NextRestore()
{
  return std::exchange(mRestore, nullptr);
}

const proto::Entry* ReplicatedLog::NextCommitted()
{
  if (mDelivered >= mCommit) {
    return nullptr;
  }
  ++mDelivered;
  return &mLog.At(mDelivered);
}

std::vector<std::uint64_t> ReplicatedLog::TakeReads()
{
  return std::exchange(mConfirmedReads, {});
}

std::vector<std::uint64_t> ReplicatedLog::TakeFailedReads()
{
  return std::exchange(mFailedReads, {});
}

bool ReplicatedLog::CommittedInTerm() const
{
  return mRole == Role::Leader && mCommit >= mTermStart;
}

std::optional<core::Instant> ReplicatedLog::QuorumConfirmed() const
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

std::optional<core::Instant> ReplicatedLog::LeaderSince() const
{
  if (mRole != Role::Leader) {
    return std::nullopt;
  }
  return mLeaderFrom;
}

std::vector<MemberLag> ReplicatedLog::Lags(core::Instant aNow) const
{
  std::vector<MemberLag> lags;
  if (mRole != Role::Leader) {
    return lags;
  }
  for (const auto& [member, progress] : mProgress) {
    lags.push_back({ .member = member,
                     .voter = Voters().Contains(member),
                     .match = core::LogIndex(progress.match),
                     .behind = mCommit - std::min(mCommit, progress.match),
                     .silent = aNow - progress.heard });
  }
  return lags;
}

} // namespace cuminfield::process::log
