// Replication, snapshots and confirmed reads of ReplicatedLog.
#include "cuminfield/core/Invariant.h"
#include "cuminfield/process/log/ReplicatedLog.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace cuminfield::process::log {

namespace {

/// Heartbeat rounds whose send times are stored; more than are ever in progress at once.
constexpr std::size_t kMaxRoundTimes = 1024;

} // namespace

void ReplicatedLog::AppendAsLeader(proto::Entry aEntry)
{
  aEntry.set_index(mLog.LastIndex() + 1);
  aEntry.set_term(mTerm);
  const bool configuration = aEntry.has_configuration();
  mLog.Append(std::move(aEntry));
  if (configuration) {
    OnConfigurationChanged();
  }
}

void ReplicatedLog::Replicate()
{
  if (mRole != Role::Leader) {
    return;
  }
  // Reads that arrive during a round share the next one, to save traffic.
  const bool roundConfirmed = QuorumRound() == mRound;
  const bool startsRound = (mRoundRequested && roundConfirmed) || mNow >= mHeartbeatDue;
  if (startsRound) {
    StartHeartbeatRound();
  }
  for (auto& [member, progress] : mProgress) {
    const bool sent = SendSnapshot(member, progress) || SendEntries(member, progress, startsRound);
    if (startsRound && !sent) {
      SendHeartbeat(member, progress);
    }
  }
}

void ReplicatedLog::StartHeartbeatRound()
{
  ++mRound;
  mRoundTimes.emplace_back(mRound, mNow);
  if (mRoundTimes.size() > kMaxRoundTimes) {
    mRoundTimes.pop_front();
  }
  mRoundRequested = false;
  mHeartbeatDue = mNow + mSettings.heartbeatInterval;
  ConfirmReads(); // A group with a single voter needs no replies.
}

bool ReplicatedLog::SendEntries(const Member& aTo, Progress& aProgress, bool aRetry)
{
  if (aProgress.snapshot || aProgress.nextIndex > mLog.LastIndex()) {
    return false;
  }
  if (aProgress.probing) {
    if (aProgress.awaitingReply && !aRetry) {
      return false;
    }
    aProgress.awaitingReply = true;
    SendAppend(aTo, aProgress);
    return true;
  }
  bool sent = false;
  while (aProgress.nextIndex <= mLog.LastIndex() &&
         aProgress.nextIndex - aProgress.matchIndex <= mSettings.maxInFlightEntries) {
    SendAppend(aTo, aProgress);
    sent = true;
  }
  return sent;
}

void ReplicatedLog::SendAppend(const Member& aTo, Progress& aProgress)
{
  proto::LogMessage message = MakeMessage(aTo, mTerm);
  proto::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(aProgress.nextIndex - 1);
  request->set_previous_term(*mLog.TermAt(aProgress.nextIndex - 1));
  FillLeaderState(aProgress, *request);
  std::uint64_t bytes = 0;
  std::uint64_t index = aProgress.nextIndex;
  while (index <= mLog.LastIndex() && bytes < mSettings.maxAppendBytes) {
    const proto::Entry& entry = mLog.At(index);
    bytes += entry.command().size();
    *request->add_entries() = entry;
    ++index;
  }
  if (!aProgress.probing) {
    aProgress.nextIndex = index;
  }
  // Sent before it is durable here: the leader counts its own entries only once they are durable
  // (dissertation 10.2.1).
  SendNow(aTo, std::move(message));
}

void ReplicatedLog::SendHeartbeat(const Member& aTo, Progress& aProgress)
{
  const std::uint64_t previous = std::max(aProgress.nextIndex - 1, mLog.BaseIndex());
  proto::LogMessage message = MakeMessage(aTo, mTerm);
  proto::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(previous);
  request->set_previous_term(*mLog.TermAt(previous));
  FillLeaderState(aProgress, *request);
  SendNow(aTo, std::move(message));
}

bool ReplicatedLog::SendSnapshot(const Member& aTo, Progress& aProgress)
{
  if (!aProgress.snapshot) {
    if (aProgress.nextIndex > mLog.BaseIndex()) {
      return false;
    }
    aProgress.snapshot = mSnapshot;
    aProgress.snapshotOffset = 0;
    SendSnapshotChunk(aTo, aProgress);
  } else if (mNow - aProgress.snapshotSentAt >= mSettings.snapshotResendTimeout) {
    SendSnapshotChunk(aTo, aProgress);
  }
  return false; // Heartbeats continue meanwhile.
}

void ReplicatedLog::SendSnapshotChunk(const Member& aTo, Progress& aProgress)
{
  const proto::Snapshot& snapshot = *aProgress.snapshot;
  proto::LogMessage message = MakeMessage(aTo, mTerm);
  proto::SnapshotRequest* request = message.mutable_snapshot_request();
  request->set_index(snapshot.index());
  request->set_term(snapshot.term());
  *request->mutable_configuration() = snapshot.configuration();
  request->set_size(snapshot.state().size());
  request->set_offset(aProgress.snapshotOffset);
  request->set_data(
    snapshot.state().substr(aProgress.snapshotOffset, mSettings.snapshotChunkBytes));
  aProgress.snapshotSentAt = mNow;
  SendNow(aTo, std::move(message));
}

bool ReplicatedLog::FollowLeader(const Member& aFrom, std::uint64_t aTerm)
{
  if (aTerm < mTerm) {
    return false;
  }
  if (aTerm == mTerm) {
    CUMINFIELD_INVARIANT("log.one-leader-per-term",
                         mRole != Role::Leader && (mLeader.IsEmpty() || mLeader == aFrom.host));
  }
  BecomeFollower(aTerm, aFrom.host);
  mLeaderLastReceivedAt = mNow;
  RestartElectionTimer();
  return true;
}

void ReplicatedLog::HandleAppend(const Member& aFrom, std::uint64_t aTerm,
                                 const proto::AppendRequest& aRequest)
{
  const std::uint64_t previous = aRequest.previous_index();
  if (!FollowLeader(aFrom, aTerm)) {
    // The round is one of an earlier term. The answer bears the term of now, in which that host may
    // lead again after a restart, with rounds of the same numbers.
    SendAppendReply(aFrom, false, mLog.LastIndex(), previous, 0);
    return;
  }
  RecordSilentVoters(aRequest);
  mHasNoSuccessor = aRequest.no_successor();
  if (previous < mLog.BaseIndex()) {
    // Up to the commit index all logs are equal.
    RecordCurrent(aRequest);
    SendAppendReply(aFrom, true, mCommitIndex, 0, aRequest.round());
    return;
  }
  if (mLog.TermAt(previous) != aRequest.previous_term()) {
    SendAppendReply(aFrom, false, MismatchHint(previous), previous, aRequest.round());
    return;
  }
  AppendEntries(aRequest);
  const std::uint64_t last = previous + static_cast<std::uint64_t>(aRequest.entries_size());
  AdvanceCommitTo(std::min(aRequest.commit(), last));
  RecordCurrent(aRequest);
  SendAppendReply(aFrom, true, last, 0, aRequest.round());
}

// A leader that has not committed in its term, or that was replaced and does not know it yet, has a
// commit index that others may have passed.
void ReplicatedLog::RecordCurrent(const proto::AppendRequest& aRequest)
{
  if (aRequest.has_confirmed_ms_ago() && mCommitIndex >= aRequest.commit()) {
    const core::Instant asOf = mNow - std::chrono::milliseconds(aRequest.confirmed_ms_ago());
    mFollowedAsOf = std::max(mFollowedAsOf, std::optional(asOf));
  }
}

void ReplicatedLog::FillLeaderState(const Progress& aProgress, proto::AppendRequest& aRequest) const
{
  aRequest.set_no_successor(aProgress.isLeaving && !MayFindSuccessor());
  aRequest.set_commit(mCommitIndex);
  aRequest.set_round(mRound);
  const auto confirmed = HasCommittedInTerm() ? QuorumConfirmedAt() : std::nullopt;
  if (confirmed) {
    aRequest.set_confirmed_ms_ago(
      static_cast<std::uint64_t>(core::Milliseconds(mNow - *confirmed)));
  }
  for (const auto& [voter, lastReceivedAt] : SilentVoters()) {
    proto::SilentVoter* it = aRequest.add_silent_voters();
    *it->mutable_member() = ToProto(voter);
    it->set_silent_ms(static_cast<std::uint64_t>(core::Milliseconds(mNow - lastReceivedAt)));
  }
}

std::map<Member, core::Instant> ReplicatedLog::SilentVoters() const
{
  std::map<Member, core::Instant> voters;
  for (const Member& it : Voters().voters) {
    const auto progress = mProgress.find(it);
    if (progress != mProgress.end() && !WasActiveWithin(it, mSettings.electionTimeoutMax)) {
      voters.emplace(it, progress->second.lastReceivedAt);
    }
  }
  return voters;
}

// If leaders change often, each of them alone leads for too short a time to replace a silent voter.
void ReplicatedLog::RecordSilentVoters(const proto::AppendRequest& aRequest)
{
  mSilentSince.clear();
  for (const proto::SilentVoter& it : aRequest.silent_voters()) {
    mSilentSince[FromProto(it.member())] = mNow - std::chrono::milliseconds(it.silent_ms());
  }
}

// The leader skips all entries of a mismatching term at once (Raft paper 5.3).
std::uint64_t ReplicatedLog::MismatchHint(std::uint64_t aPrevious) const
{
  if (aPrevious > mLog.LastIndex()) {
    return mLog.LastIndex();
  }
  if (aPrevious <= mLog.BaseIndex()) {
    return mCommitIndex;
  }
  return std::max(mLog.FirstIndexOfTerm(aPrevious) - 1, mCommitIndex);
}

void ReplicatedLog::SendAppendReply(const Member& aTo, bool aSuccess, std::uint64_t aIndex,
                                    std::uint64_t aRejected, std::uint64_t aRound)
{
  proto::LogMessage message = MakeMessage(aTo, mTerm);
  proto::AppendReply* reply = message.mutable_append_reply();
  reply->set_success(aSuccess);
  reply->set_index(aIndex);
  reply->set_rejected(aRejected);
  reply->set_round(aRound);
  reply->set_leaving(mIsLeaving);
  SendWhenDurable(aTo, std::move(message));
}

void ReplicatedLog::AppendEntries(const proto::AppendRequest& aRequest)
{
  const std::uint64_t before = mLog.LatestConfigurationIndex();
  bool truncated = false;
  for (const proto::Entry& it : aRequest.entries()) {
    if (it.index() <= mLog.BaseIndex()) {
      continue;
    }
    if (it.index() <= mLog.LastIndex()) {
      if (mLog.TermAt(it.index()) == it.term()) {
        continue;
      }
      TruncateFrom(it.index());
      truncated = true;
    }
    mLog.Append(it);
  }
  if (truncated || mLog.LatestConfigurationIndex() != before) {
    OnConfigurationChanged();
  }
}

void ReplicatedLog::TruncateFrom(std::uint64_t aIndex)
{
  CUMINFIELD_INVARIANT("log.committed-prefix", aIndex > mCommitIndex);
  mLog.TruncateFrom(aIndex);
  mFirstUnsavedIndex = std::min(mFirstUnsavedIndex, aIndex);
  mDurableIndex = std::min(mDurableIndex, aIndex - 1);
  mStoringLastIndex = std::min(mStoringLastIndex, aIndex - 1);
}

void ReplicatedLog::HandleAppendReply(const Member& aFrom, const proto::AppendReply& aReply)
{
  const auto it = mProgress.find(aFrom);
  if (it == mProgress.end()) {
    return;
  }
  Progress& progress = it->second;
  progress.lastReceivedAt = mNow;
  progress.ackedRound = std::max(progress.ackedRound, aReply.round());
  progress.isLeaving = aReply.leaving();
  if (aReply.success()) {
    CUMINFIELD_INVARIANT("log.acknowledged-known", aReply.index() <= mLog.LastIndex());
    progress.matchIndex = std::max(progress.matchIndex, aReply.index());
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    progress.probing = false;
    progress.awaitingReply = false;
    if (progress.snapshot && progress.matchIndex >= progress.snapshot->index()) {
      progress.snapshot.reset();
    }
    AdvanceCommit();
  } else if (!progress.snapshot && aReply.rejected() > progress.matchIndex) {
    const std::uint64_t next = std::min(aReply.rejected(), aReply.index() + 1);
    progress.nextIndex = std::max(progress.matchIndex + 1, next);
    progress.probing = true;
    progress.awaitingReply = false;
  }
  ConfirmReads();
}

template<typename Value>
std::uint64_t ReplicatedLog::QuorumValue(std::uint64_t aOwnValue, Value aGetValue) const
{
  std::vector<std::uint64_t> values;
  for (const Member& it : Voters().voters) {
    const auto progress = mProgress.find(it);
    if (it == mSelf) {
      values.push_back(aOwnValue);
    } else {
      values.push_back(progress == mProgress.end() ? 0 : aGetValue(progress->second));
    }
  }
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[Voters().Majority() - 1];
}

std::uint64_t ReplicatedLog::QuorumMatch() const
{
  return QuorumValue(mDurableIndex, [](const Progress& aProgress) { return aProgress.matchIndex; });
}

std::uint64_t ReplicatedLog::QuorumRound() const
{
  return QuorumValue(mRound, [](const Progress& aProgress) { return aProgress.ackedRound; });
}

void ReplicatedLog::AdvanceCommit()
{
  const std::uint64_t index = QuorumMatch();
  // Counting replicas commits only entries of the leader's own term (Raft paper 5.4.2).
  if (index <= mCommitIndex || mLog.TermAt(index) != mTerm) {
    return;
  }
  AdvanceCommitTo(index);
  ConfirmReads();
  // A leader that removed itself leads until that is committed (dissertation 4.2.2).
  if (!IsVoter() && mLog.LatestConfigurationIndex() <= mCommitIndex) {
    BecomeFollower(mTerm, core::HostId());
    return;
  }
  ChangeVoters();
}

void ReplicatedLog::AdvanceCommitTo(std::uint64_t aIndex)
{
  CUMINFIELD_INVARIANT("log.commit-known", aIndex <= mLog.LastIndex());
  mCommitIndex = std::max(mCommitIndex, aIndex);
}

void ReplicatedLog::ConfirmReads()
{
  if (!HasCommittedInTerm()) {
    return;
  }
  const std::uint64_t confirmed = QuorumRound();
  for (PendingRead& it : mPendingReads) {
    if (it.round == 0) {
      it.round = mRound + 1;
      mRoundRequested = true;
    }
  }
  while (!mPendingReads.empty() && mPendingReads.front().round <= confirmed) {
    mConfirmedReads.push_back(mPendingReads.front().id);
    mPendingReads.pop_front();
  }
}

void ReplicatedLog::FailReads()
{
  for (const PendingRead& it : mPendingReads) {
    mFailedReads.push_back(it.id);
  }
  mPendingReads.clear();
}

void ReplicatedLog::HandleSnapshot(const Member& aFrom, std::uint64_t aTerm,
                                   const proto::SnapshotRequest& aRequest)
{
  if (!FollowLeader(aFrom, aTerm)) {
    SendAppendReply(aFrom, false, mLog.LastIndex(), mLog.LastIndex() + 1, 0);
    return;
  }
  const std::uint64_t index = aRequest.index();
  // Matching entries must stay: this member may have acknowledged later ones.
  if (index <= mCommitIndex || mLog.TermAt(index) == aRequest.term()) {
    AdvanceCommitTo(index);
    SendAppendReply(aFrom, true, index, 0, 0);
    return;
  }
  if (!mIncomingSnapshot || mIncomingSnapshot->index != index ||
      mIncomingSnapshot->leaderTerm != aTerm) {
    mIncomingSnapshot = IncomingSnapshot{ .index = index, .leaderTerm = aTerm, .state = {} };
  }
  if (aRequest.offset() == mIncomingSnapshot->state.size()) {
    mIncomingSnapshot->state += aRequest.data();
  }
  if (mIncomingSnapshot->state.size() >= aRequest.size()) {
    InstallSnapshot(aRequest);
    SendAppendReply(aFrom, true, index, 0, 0);
    return;
  }
  proto::LogMessage message = MakeMessage(aFrom, mTerm);
  message.mutable_snapshot_reply()->set_index(index);
  message.mutable_snapshot_reply()->set_offset(mIncomingSnapshot->state.size());
  SendWhenDurable(aFrom, std::move(message));
}

void ReplicatedLog::InstallSnapshot(const proto::SnapshotRequest& aRequest)
{
  CUMINFIELD_INVARIANT("log.committed-prefix", aRequest.index() > mCommitIndex);
  auto snapshot = std::make_shared<proto::Snapshot>();
  snapshot->set_index(aRequest.index());
  snapshot->set_term(aRequest.term());
  *snapshot->mutable_configuration() = aRequest.configuration();
  snapshot->set_state(std::move(mIncomingSnapshot->state));
  mIncomingSnapshot.reset();
  mSnapshot = snapshot;
  mSnapshotToRestore = snapshot;
  mLog.Reset(*snapshot);
  mCommitIndex = snapshot->index();
  mDeliveredIndex = mCommitIndex;
  mRewritePending = true;
  mFirstUnsavedIndex = mCommitIndex + 1;
  mDurableIndex = 0;
  mStoringLastIndex = 0;
  OnConfigurationChanged();
}

void ReplicatedLog::HandleSnapshotReply(const Member& aFrom, const proto::SnapshotReply& aReply)
{
  const auto it = mProgress.find(aFrom);
  if (it == mProgress.end()) {
    return;
  }
  Progress& progress = it->second;
  progress.lastReceivedAt = mNow;
  if (!progress.snapshot || progress.snapshot->index() != aReply.index()) {
    return;
  }
  const bool advanced = aReply.offset() > progress.snapshotOffset;
  progress.snapshotOffset =
    std::min<std::uint64_t>(aReply.offset(), progress.snapshot->state().size());
  if (advanced) {
    SendSnapshotChunk(aFrom, progress);
  }
}

} // namespace cuminfield::process::log
