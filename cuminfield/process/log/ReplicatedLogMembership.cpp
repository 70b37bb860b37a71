// Who votes: founding and change of voters of ReplicatedLog.
#include "cuminfield/core/Invariant.h"
#include "cuminfield/process/log/ReplicatedLog.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::log {

namespace {

/// A learner that was silent for so many of the longest election timeouts is forgotten; it
/// announces itself again.
constexpr int kSilentTimeouts = 5;

/// Term of the entry that founds a group: the same on every founder, before any election.
constexpr std::uint64_t kFoundingTerm = 1;

} // namespace

bool ReplicatedLog::Belongs() const
{
  return mLog.Last() > 0 || mTerm > 0;
}

void ReplicatedLog::Announce()
{
  if (mNow < mAnnounceDue || (!mLeader.Empty() && HeardLeaderRecently())) {
    return;
  }
  mAnnounceDue = mNow + mSettings.announce;
  TryFound();
  for (const core::HostId& host : AnnounceTargets()) {
    SendAnnouncement(host);
  }
}

std::set<core::HostId> ReplicatedLog::AnnounceTargets() const
{
  std::set<core::HostId> targets(mHosts.begin(), mHosts.end());
  // The hosts of the settings may all have been replaced since.
  for (const Member& it : Voters().voters) {
    targets.insert(it.host);
  }
  targets.erase(mSelf.host);
  return targets;
}

void ReplicatedLog::SendAnnouncement(const core::HostId& aTo)
{
  const Member anyLife{ .host = aTo, .incarnation = core::Incarnation() };
  proto::LogMessage message = MakeMessage(anyLife, 0);
  proto::Announcement* announcement = message.mutable_announcement();
  announcement->set_belongs(Belongs());
  if (!mFounding.Agreed().voters.empty()) {
    *announcement->mutable_founding() = ToProto(mFounding.Agreed());
  }
  SendDurable(anyLife, std::move(message));
}

void ReplicatedLog::HandleAnnouncement(const Member& aFrom,
                                       const proto::Announcement& aAnnouncement)
{
  if (!MayVote(aFrom.host) || aFrom.host == mSelf.host) {
    return;
  }
  if (mRole == Role::Leader && !Voters().Contains(aFrom)) {
    Progress& progress = mProgress[aFrom];
    progress.next = std::max(progress.next, mLog.Last() + 1);
    progress.heard = mNow;
  }
  if (mLog.Last() == 0) {
    mFounding.Hear(aFrom, aAnnouncement.belongs(), FromProto(aAnnouncement.founding()));
    TryFound();
  }
  if (Belongs() && !aAnnouncement.belongs()) {
    SendAnnouncement(aFrom.host);
  }
}

void ReplicatedLog::TryFound()
{
  if (mLog.Last() > 0 || !mMayFound) {
    return;
  }
  if (const auto founders = mFounding.Proposal(); founders && mTerm == 0) {
    mFounding.Agree(*founders);
    mHardStateDirty = true;
    mAnnounceDue = mNow;
  }
  if (mFounding.Unanimous()) {
    Found();
  }
}

void ReplicatedLog::Found()
{
  proto::Entry entry;
  entry.set_index(1);
  entry.set_term(kFoundingTerm);
  *entry.mutable_configuration() = ToProto(mFounding.Agreed());
  mTerm = std::max(mTerm, kFoundingTerm);
  mHardStateDirty = true;
  mLog.Append(std::move(entry));
  ConfigurationChanged();
  RestartElectionTimer();
}

void ReplicatedLog::ConfigurationChanged()
{
  if (mRole == Role::Leader) {
    for (const Member& it : Voters().voters) {
      if (it == mSelf || mProgress.contains(it)) {
        continue;
      }
      Progress progress;
      progress.next = mLog.Last() + 1;
      progress.heard = mNow;
      mProgress.emplace(it, progress);
    }
    return;
  }
  if (mRole == Role::Learner && Promotable()) {
    mRole = Role::Follower;
  }
  if (mRole == Role::Follower && !Promotable()) {
    mRole = Role::Learner;
  }
}

void ReplicatedLog::DropSilentLearners()
{
  const core::Duration limit = mSettings.electionTimeoutMax * kSilentTimeouts;
  std::erase_if(mProgress, [&](const auto& aItem) {
    return !Voters().Contains(aItem.first) && mNow - aItem.second.heard > limit;
  });
}

bool ReplicatedLog::MayVote(const core::HostId& aHost) const
{
  return mSettings.openVoters > 0 || std::find(mHosts.begin(), mHosts.end(), aHost) != mHosts.end();
}

const Member* ReplicatedLog::VoterToReplace() const
{
  if (mSettings.openVoters == 0) {
    return nullptr;
  }
  const auto& voters = Voters().voters;
  const auto silent = std::find_if(voters.begin(), voters.end(), [this](const Member& aVoter) {
    return !HeardSince(aVoter, mSettings.replaceSilent);
  });
  return silent == voters.end() ? nullptr : &*silent;
}

// One voter at a time (dissertation 4.1), and only when an entry of the leader's own term is
// committed (Ongaro 2015, "bug in single-server membership changes", raft-dev).
void ReplicatedLog::ChangeVoters()
{
  if (!CommittedInTerm() || mLog.LatestIndex() > mCommit) {
    return;
  }
  const auto next = NextConfiguration();
  if (!next || !QuorumHeard(*next)) {
    return;
  }
  CUMINFIELD_INVARIANT("log.one-change-at-a-time", Configuration::Distance(Voters(), *next) == 1);
  proto::Entry entry;
  *entry.mutable_configuration() = ToProto(*next);
  AppendOwn(std::move(entry));
}

std::optional<Configuration> ReplicatedLog::NextConfiguration() const
{
  for (const auto& [member, progress] : mProgress) {
    if (!MayJoin(member, progress)) {
      continue;
    }
    // A voter whose disk was lost: its dead life goes first, then the new one comes in.
    const Member* former = Voters().Find(member.host);
    if (!former) {
      if (mSettings.openVoters == 0 || Voters().voters.size() < mSettings.openVoters) {
        return Voters().With(member);
      }
      if (const Member* silent = VoterToReplace()) {
        return Voters().Without(*silent);
      }
      continue;
    }
    if (!HeardSince(*former, mSettings.electionTimeoutMax)) {
      return Voters().Without(*former);
    }
  }
  for (const Member& it : Voters().voters) {
    if (!MayVote(it.host) && !HeardSince(it, mSettings.electionTimeoutMax)) {
      return Voters().Without(it);
    }
  }
  return std::nullopt;
}

bool ReplicatedLog::MayJoin(const Member& aMember, const Progress& aProgress) const
{
  const bool caughtUp =
    !aProgress.snapshot && aProgress.match > 0 && aProgress.match + mSettings.learnerLag >= mCommit;
  return caughtUp && !Voters().Contains(aMember) && aMember.host != mSelf.host &&
         MayVote(aMember.host) && HeardSince(aMember, mSettings.electionTimeoutMin);
}

} // namespace cuminfield::process::log
