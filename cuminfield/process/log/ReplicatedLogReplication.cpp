// What is committed: replication, snapshots and confirmed reads of ReplicatedLog.
#include "cuminfield/core/Invariant.h"
#include "cuminfield/process/log/ReplicatedLog.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace cuminfield::process::log {

namespace {

/// Rounds of heartbeats whose time is remembered; more than are ever under way.
constexpr std::size_t kRoundsRemembered = 1024;

} // namespace

void ReplicatedLog::AppendOwn(proto::Entry aEntry)
{
  aEntry.set_index(mLog.Last() + 1);
  aEntry.set_term(mTerm);
  const bool configuration = aEntry.has_configuration();
  mLog.Append(std::move(aEntry));
  if (configuration) {
    ConfigurationChanged();
  }
}

void ReplicatedLog::Replicate()
{
  if (mRole != Role::Leader) {
    return;
  }
  // Reads that come while a round is under way share the next one, to save traffic.
  const bool answered = QuorumRound() == mRound;
  const bool round = (mRoundWanted && answered) || mNow >= mHeartbeatDue;
  if (round) {
    StartRound();
  }
  for (auto& [member, progress] : mProgress) {
    const bool sent = SendSnapshot(member, progress) || SendEntries(member, progress, round);
    if (round && !sent) {
      SendHeartbeat(member, progress);
    }
  }
}

void ReplicatedLog::StartRound()
{
  ++mRound;
  mRoundTimes.emplace_back(mRound, mNow);
  if (mRoundTimes.size() > kRoundsRemembered) {
    mRoundTimes.pop_front();
  }
  mRoundWanted = false;
  mHeartbeatDue = mNow + mSettings.heartbeat;
  ConfirmReads(); // A group of one confirms by itself.
}

bool ReplicatedLog::SendEntries(const Member& aTo, Progress& aProgress, bool aRetry)
{
  if (aProgress.snapshot || aProgress.next > mLog.Last()) {
    return false;
  }
  if (aProgress.probing) {
    if (aProgress.awaiting && !aRetry) {
      return false;
    }
    aProgress.awaiting = true;
    SendAppend(aTo, aProgress);
    return true;
  }
  bool sent = false;
  while (aProgress.next <= mLog.Last() &&
         aProgress.next - aProgress.match <= mSettings.maxInFlight) {
    SendAppend(aTo, aProgress);
    sent = true;
  }
  return sent;
}

void ReplicatedLog::SendAppend(const Member& aTo, Progress& aProgress)
{
  proto::LogMessage message = MakeMessage(aTo, mTerm);
  proto::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(aProgress.next - 1);
  request->set_previous_term(*mLog.TermAt(aProgress.next - 1));
  request->set_commit(mCommit);
  request->set_round(mRound);
  std::uint64_t bytes = 0;
  std::uint64_t index = aProgress.next;
  while (index <= mLog.Last() && bytes < mSettings.maxAppendBytes) {
    const proto::Entry& entry = mLog.At(index);
    bytes += entry.command().size();
    *request->add_entries() = entry;
    ++index;
  }
  if (!aProgress.probing) {
    aProgress.next = index;
  }
  // Sent before it is durable here: the leader's own disk counts only once it is (dissertation
  // 10.2.1).
  SendNow(aTo, std::move(message));
}

void ReplicatedLog::SendHeartbeat(const Member& aTo, Progress& aProgress)
{
  const std::uint64_t previous = std::max(aProgress.next - 1, mLog.Base());
  proto::LogMessage message = MakeMessage(aTo, mTerm);
  proto::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(previous);
  request->set_previous_term(*mLog.TermAt(previous));
  request->set_commit(mCommit);
  request->set_round(mRound);
  SendNow(aTo, std::move(message));
}

bool ReplicatedLog::SendSnapshot(const Member& aTo, Progress& aProgress)
{
  if (!aProgress.snapshot) {
    if (aProgress.next > mLog.Base()) {
      return false;
    }
    aProgress.snapshot = mSnapshot;
    aProgress.snapshotOffset = 0;
    SendSnapshotPiece(aTo, aProgress);
  } else if (mNow - aProgress.snapshotSent >= mSettings.snapshotResend) {
    SendSnapshotPiece(aTo, aProgress);
  }
  return false; // Heartbeats go on meanwhile.
}

void ReplicatedLog::SendSnapshotPiece(const Member& aTo, Progress& aProgress)
{
  const proto::Snapshot& snapshot = *aProgress.snapshot;
  proto::LogMessage message = MakeMessage(aTo, mTerm);
  proto::SnapshotRequest* request = message.mutable_snapshot_request();
  request->set_index(snapshot.index());
  request->set_term(snapshot.term());
  *request->mutable_configuration() = snapshot.configuration();
  request->set_size(snapshot.state().size());
  request->set_offset(aProgress.snapshotOffset);
  request->set_data(snapshot.state().substr(aProgress.snapshotOffset, mSettings.snapshotPiece));
  aProgress.snapshotSent = mNow;
  SendNow(aTo, std::move(message));
}

bool ReplicatedLog::FollowLeader(const Member& aFrom, std::uint64_t aTerm)
{
  if (aTerm < mTerm) {
    return false;
  }
  if (aTerm == mTerm) {
    CUMINFIELD_INVARIANT("log.one-leader-per-term",
                         mRole != Role::Leader && (mLeader.Empty() || mLeader == aFrom.host));
  }
  BecomeFollower(aTerm, aFrom.host);
  mLeaderHeard = mNow;
  RestartElectionTimer();
  return true;
}

void ReplicatedLog::HandleAppend(const Member& aFrom, std::uint64_t aTerm,
                                 const proto::AppendRequest& aRequest)
{
  const std::uint64_t previous = aRequest.previous_index();
  if (!FollowLeader(aFrom, aTerm)) {
    ReplyAppend(aFrom, false, mLog.Last(), previous, aRequest.round());
    return;
  }
  if (previous < mLog.Base()) {
    // Up to the commit index every log is the same.
    ReplyAppend(aFrom, true, mCommit, 0, aRequest.round());
    return;
  }
  if (mLog.TermAt(previous) != aRequest.previous_term()) {
    ReplyAppend(aFrom, false, MismatchHint(previous), previous, aRequest.round());
    return;
  }
  AppendEntries(aRequest);
  const std::uint64_t last = previous + static_cast<std::uint64_t>(aRequest.entries_size());
  SetCommit(std::min(aRequest.commit(), last));
  ReplyAppend(aFrom, true, last, 0, aRequest.round());
}

// The leader skips all entries of a term that does not match at once (Raft paper 5.3).
std::uint64_t ReplicatedLog::MismatchHint(std::uint64_t aPrevious) const
{
  if (aPrevious > mLog.Last()) {
    return mLog.Last();
  }
  if (aPrevious <= mLog.Base()) {
    return mCommit;
  }
  return std::max(mLog.FirstOfTerm(aPrevious) - 1, mCommit);
}

void ReplicatedLog::ReplyAppend(const Member& aTo, bool aSuccess, std::uint64_t aIndex,
                                std::uint64_t aRejected, std::uint64_t aRound)
{
  proto::LogMessage message = MakeMessage(aTo, mTerm);
  proto::AppendReply* reply = message.mutable_append_reply();
  reply->set_success(aSuccess);
  reply->set_index(aIndex);
  reply->set_rejected(aRejected);
  reply->set_round(aRound);
  SendDurable(aTo, std::move(message));
}

void ReplicatedLog::AppendEntries(const proto::AppendRequest& aRequest)
{
  const std::uint64_t before = mLog.LatestIndex();
  bool truncated = false;
  for (const proto::Entry& it : aRequest.entries()) {
    if (it.index() <= mLog.Base()) {
      continue;
    }
    if (it.index() <= mLog.Last()) {
      if (mLog.TermAt(it.index()) == it.term()) {
        continue;
      }
      TruncateFrom(it.index());
      truncated = true;
    }
    mLog.Append(it);
  }
  if (truncated || mLog.LatestIndex() != before) {
    ConfigurationChanged();
  }
}

void ReplicatedLog::TruncateFrom(std::uint64_t aIndex)
{
  CUMINFIELD_INVARIANT("log.committed-prefix", aIndex > mCommit);
  mLog.TruncateFrom(aIndex);
  mFirstUnsaved = std::min(mFirstUnsaved, aIndex);
  mDurable = std::min(mDurable, aIndex - 1);
  mStoringLast = std::min(mStoringLast, aIndex - 1);
}

void ReplicatedLog::HandleAppendReply(const Member& aFrom, const proto::AppendReply& aReply)
{
  const auto it = mProgress.find(aFrom);
  if (it == mProgress.end()) {
    return;
  }
  Progress& progress = it->second;
  progress.heard = mNow;
  progress.ackedRound = std::max(progress.ackedRound, aReply.round());
  if (aReply.success()) {
    CUMINFIELD_INVARIANT("log.acknowledged-known", aReply.index() <= mLog.Last());
    progress.match = std::max(progress.match, aReply.index());
    progress.next = std::max(progress.next, progress.match + 1);
    progress.probing = false;
    progress.awaiting = false;
    if (progress.snapshot && progress.match >= progress.snapshot->index()) {
      progress.snapshot.reset();
    }
    AdvanceCommit();
  } else if (!progress.snapshot && aReply.rejected() > progress.match) {
    const std::uint64_t next = std::min(aReply.rejected(), aReply.index() + 1);
    progress.next = std::max(progress.match + 1, next);
    progress.probing = true;
    progress.awaiting = false;
  }
  ConfirmReads();
}

template<typename Value>
std::uint64_t ReplicatedLog::QuorumValue(std::uint64_t aOwn, Value aValue) const
{
  std::vector<std::uint64_t> values;
  for (const Member& it : Voters().voters) {
    const auto progress = mProgress.find(it);
    if (it == mSelf) {
      values.push_back(aOwn);
    } else {
      values.push_back(progress == mProgress.end() ? 0 : aValue(progress->second));
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
  return QuorumValue(mDurable, [](const Progress& aProgress) { return aProgress.match; });
}

std::uint64_t ReplicatedLog::QuorumRound() const
{
  return QuorumValue(mRound, [](const Progress& aProgress) { return aProgress.ackedRound; });
}

void ReplicatedLog::AdvanceCommit()
{
  const std::uint64_t index = QuorumMatch();
  // Counting replicas commits only entries of the own term (Raft paper 5.4.2).
  if (index <= mCommit || mLog.TermAt(index) != mTerm) {
    return;
  }
  SetCommit(index);
  ConfirmReads();
  ChangeVoters();
}

void ReplicatedLog::SetCommit(std::uint64_t aIndex)
{
  CUMINFIELD_INVARIANT("log.commit-known", aIndex <= mLog.Last());
  mCommit = std::max(mCommit, aIndex);
}

void ReplicatedLog::ConfirmReads()
{
  if (!CommittedInTerm()) {
    return;
  }
  const std::uint64_t confirmed = QuorumRound();
  for (Read& it : mReads) {
    if (it.round == 0) {
      it.round = mRound + 1;
      mRoundWanted = true;
    }
  }
  while (!mReads.empty() && mReads.front().round <= confirmed) {
    mConfirmedReads.push_back(mReads.front().id);
    mReads.pop_front();
  }
}

void ReplicatedLog::FailReads()
{
  for (const Read& it : mReads) {
    mFailedReads.push_back(it.id);
  }
  mReads.clear();
}

void ReplicatedLog::HandleSnapshot(const Member& aFrom, std::uint64_t aTerm,
                                   const proto::SnapshotRequest& aRequest)
{
  if (!FollowLeader(aFrom, aTerm)) {
    ReplyAppend(aFrom, false, mLog.Last(), mLog.Last() + 1, 0);
    return;
  }
  const std::uint64_t index = aRequest.index();
  // What matches must stay: this member may have acknowledged entries behind it.
  if (index <= mCommit || mLog.TermAt(index) == aRequest.term()) {
    SetCommit(index);
    ReplyAppend(aFrom, true, index, 0, 0);
    return;
  }
  if (!mIncoming || mIncoming->index != index || mIncoming->leaderTerm != aTerm) {
    mIncoming = IncomingSnapshot{ .index = index, .leaderTerm = aTerm, .state = {} };
  }
  if (aRequest.offset() == mIncoming->state.size()) {
    mIncoming->state += aRequest.data();
  }
  if (mIncoming->state.size() >= aRequest.size()) {
    InstallSnapshot(aRequest);
    ReplyAppend(aFrom, true, index, 0, 0);
    return;
  }
  proto::LogMessage message = MakeMessage(aFrom, mTerm);
  message.mutable_snapshot_reply()->set_index(index);
  message.mutable_snapshot_reply()->set_offset(mIncoming->state.size());
  SendDurable(aFrom, std::move(message));
}

void ReplicatedLog::InstallSnapshot(const proto::SnapshotRequest& aRequest)
{
  CUMINFIELD_INVARIANT("log.committed-prefix", aRequest.index() > mCommit);
  auto snapshot = std::make_shared<proto::Snapshot>();
  snapshot->set_index(aRequest.index());
  snapshot->set_term(aRequest.term());
  *snapshot->mutable_configuration() = aRequest.configuration();
  snapshot->set_state(std::move(mIncoming->state));
  mIncoming.reset();
  mSnapshot = snapshot;
  mRestore = snapshot;
  mLog.Reset(*snapshot);
  mCommit = snapshot->index();
  mDelivered = mCommit;
  mRewrite = true;
  mFirstUnsaved = mCommit + 1;
  mDurable = 0;
  mStoringLast = 0;
  ConfigurationChanged();
}

void ReplicatedLog::HandleSnapshotReply(const Member& aFrom, const proto::SnapshotReply& aReply)
{
  const auto it = mProgress.find(aFrom);
  if (it == mProgress.end()) {
    return;
  }
  Progress& progress = it->second;
  progress.heard = mNow;
  if (!progress.snapshot || progress.snapshot->index() != aReply.index()) {
    return;
  }
  const bool further = aReply.offset() > progress.snapshotOffset;
  progress.snapshotOffset =
    std::min<std::uint64_t>(aReply.offset(), progress.snapshot->state().size());
  if (further) {
    SendSnapshotPiece(aFrom, progress);
  }
}

} // namespace cuminfield::process::log
