// The election rules of ReplicatedLog.
#include "cuminfield/core/Invariant.h"
#include "cuminfield/process/log/ReplicatedLog.h"

namespace cuminfield::process::log {

bool ReplicatedLog::IsVoter() const
{
  return Voters().Contains(mSelf);
}

void ReplicatedLog::RestartElectionTimer()
{
  const core::Duration range = mSettings.electionTimeoutMax - mSettings.electionTimeoutMin;
  const auto extra = mRandom.UniformBelow(static_cast<std::uint64_t>(range.count()) + 1);
  mElectionDue = mNow + mSettings.electionTimeoutMin + core::Duration(extra);
}

// Leases don't depend on this: votes are rejected by mLeaderLastReceivedAt, which stays as it is.
void ReplicatedLog::OnStall(core::Duration aDuration)
{
  mElectionDue += aDuration;
  for (auto& [member, progress] : mProgress) {
    progress.lastReceivedAt += aDuration;
  }
}

bool ReplicatedLog::HasRecentLeaderContact() const
{
  return mRole == Role::Leader || mNow - mLeaderLastReceivedAt < mSettings.electionTimeoutMin;
}

void ReplicatedLog::AdoptTerm(std::uint64_t aTerm)
{
  if (aTerm > mTerm) {
    BecomeFollower(aTerm, core::HostId());
  }
}

void ReplicatedLog::BecomeFollower(std::uint64_t aTerm, const core::HostId& aLeader)
{
  CUMINFIELD_INVARIANT("log.term-grows", aTerm >= mTerm);
  if (aTerm > mTerm) {
    mTerm = aTerm;
    mVote.reset();
    mHardStateDirty = true;
  }
  if (mRole == Role::Leader) {
    mFollowedAsOf = CurrentAsOf();
    FailReads();
    mSilentSince = SilentVoters();
    mProgress.clear();
    RestartElectionTimer();
  }
  mVotes.clear();
  mRole = IsVoter() ? Role::Follower : Role::Learner;
  mLeader = aLeader;
}

// Pre-vote (dissertation 9.6): a voter that cannot win, for example a partitioned one, does not
// raise the term and so does not disturb the others when it comes back.
void ReplicatedLog::StartPreVote()
{
  RestartElectionTimer();
  mRole = Role::PreCandidate;
  mLeader = core::HostId();
  mVotes.clear();
  RequestVotes(true, mTerm + 1);
  CountVote(mSelf);
}

void ReplicatedLog::StartElection()
{
  RestartElectionTimer();
  mRole = Role::Candidate;
  mVotes.clear();
  ++mTerm;
  mVote = mSelf;
  mHardStateDirty = true;
  RequestVotes(false, mTerm);
  // The vote for itself counts like any other: only when it is durable.
  proto::LogMessage ownVote = MakeMessage(mSelf, mTerm);
  ownVote.mutable_vote_reply()->set_granted(true);
  SendWhenDurable(mSelf, std::move(ownVote));
}

void ReplicatedLog::RequestVotes(bool aPreVote, std::uint64_t aTerm)
{
  for (const Member& it : Voters().voters) {
    if (it == mSelf) {
      continue;
    }
    proto::LogMessage message = MakeMessage(it, aTerm);
    proto::VoteRequest* request = message.mutable_vote_request();
    request->set_pre_vote(aPreVote);
    request->set_last_index(mLog.LastIndex());
    request->set_last_term(mLog.LastTerm());
    SendWhenDurable(it, std::move(message));
  }
}

bool ReplicatedLog::IsLogUpToDate(const proto::VoteRequest& aRequest) const
{
  if (aRequest.last_term() != mLog.LastTerm()) {
    return aRequest.last_term() > mLog.LastTerm();
  }
  return aRequest.last_index() >= mLog.LastIndex();
}

void ReplicatedLog::HandleVoteRequest(const Member& aFrom, std::uint64_t aTerm,
                                      const proto::VoteRequest& aRequest)
{
  const bool preVote = aRequest.pre_vote();
  if (!preVote && HasRecentLeaderContact()) {
    return; // The leader may hold a lease that relies on this voter (dissertation 4.2.3 and 6.4.1).
  }
  if (!preVote) {
    AdoptTerm(aTerm);
  }
  bool granted = IsLogUpToDate(aRequest);
  if (preVote) {
    granted = granted && aTerm > mTerm && !HasRecentLeaderContact();
  } else {
    granted = granted && aTerm == mTerm && (!mVote || *mVote == aFrom);
  }
  if (granted && !preVote) {
    CUMINFIELD_INVARIANT("log.one-vote-per-term", !mVote || *mVote == aFrom);
    mHardStateDirty = mHardStateDirty || !mVote;
    mVote = aFrom;
    RestartElectionTimer();
  }
  proto::LogMessage message = MakeMessage(aFrom, granted ? aTerm : mTerm);
  message.mutable_vote_reply()->set_pre_vote(preVote);
  message.mutable_vote_reply()->set_granted(granted);
  SendWhenDurable(aFrom, std::move(message));
}

void ReplicatedLog::HandleVoteReply(const Member& aFrom, std::uint64_t aTerm,
                                    const proto::VoteReply& aReply)
{
  if (!aReply.granted()) {
    AdoptTerm(aTerm);
    return;
  }
  const bool preVote = mRole == Role::PreCandidate && aReply.pre_vote() && aTerm == mTerm + 1;
  const bool vote = mRole == Role::Candidate && !aReply.pre_vote() && aTerm == mTerm;
  if (preVote || vote) {
    CountVote(aFrom);
  }
}

void ReplicatedLog::CountVote(const Member& aMember)
{
  if (!Voters().Contains(aMember)) {
    return; // A learner, or an incarnation whose disk was lost.
  }
  mVotes.insert(aMember);
  if (mVotes.size() < Voters().Majority()) {
    return;
  }
  if (mRole == Role::PreCandidate) {
    StartElection();
  } else {
    BecomeLeader();
  }
}

void ReplicatedLog::BecomeLeader()
{
  CUMINFIELD_INVARIANT("log.leader-elected",
                       mRole == Role::Candidate && mVotes.size() >= Voters().Majority());
  mRole = Role::Leader;
  mLeader = mSelf.host;
  mLeaderSince = mNow;
  mProgress.clear();
  mRoundTimes.clear();
  mRoundRequested = false;
  mHeartbeatDue = mNow;
  OnConfigurationChanged();
  mVotes.clear();
  mSilentSince.clear();
  // Entries of earlier terms are committed only through one of this term (Raft paper 5.4.2 and 8).
  AppendAsLeader(proto::Entry());
  mTermStartIndex = mLog.LastIndex();
}

// A leader without replies from a quorum steps down (dissertation 6.2), so that its clients look
// for another one.
void ReplicatedLog::CheckQuorum()
{
  if (!IsQuorumActive(Voters())) {
    BecomeFollower(mTerm, core::HostId());
  }
}

bool ReplicatedLog::WasActiveWithin(const Member& aMember, core::Duration aMaxAge) const
{
  if (aMember == mSelf) {
    return true;
  }
  const auto it = mProgress.find(aMember);
  return it != mProgress.end() && mNow - it->second.lastReceivedAt <= aMaxAge;
}

bool ReplicatedLog::IsQuorumActive(const Configuration& aConfiguration) const
{
  std::size_t n = 0;
  for (const Member& it : aConfiguration.voters) {
    n += WasActiveWithin(it, mSettings.electionTimeoutMax) ? 1 : 0;
  }
  return n >= aConfiguration.Majority();
}

} // namespace cuminfield::process::log
