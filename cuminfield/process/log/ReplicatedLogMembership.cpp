// Founding of a group and changes of its voters in ReplicatedLog.
#include "cuminfield/core/Invariant.h"
#include "cuminfield/process/log/ReplicatedLog.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::log {

namespace {

/// A learner that is silent for this many maximum election timeouts is dropped; it announces itself
/// again.
constexpr int kLearnerDropTimeouts = 5;

/// By this many maximum election timeouts after its election a leader knows all learners.
constexpr int kLearnerSearchTimeouts = 2;

/// A host that nothing has named for this long is no longer asked for the group. Data centres may
/// lose each other for minutes.
constexpr core::Duration kContactRetention = std::chrono::hours(1);

} // namespace

bool ReplicatedLog::HoldsGroupState() const
{
  return mLog.LastIndex() > 0 || mTerm > 0;
}

void ReplicatedLog::Announce()
{
  if (mNow < mAnnounceDue || (!mLeader.IsEmpty() && HasRecentLeaderContact())) {
    return;
  }
  mAnnounceDue = mNow + mSettings.announceInterval;
  mLeaderSearch.RecordAsked(AnnouncementTargets(), mNow);
  TryFoundGroup();
  std::erase_if(mContacts,
                [this](const auto& aItem) { return mNow - aItem.second > kContactRetention; });
  for (const core::HostId& host : AnnouncementTargets()) {
    SendAnnouncement(host, AnnouncementKind::Search);
  }
}

void ReplicatedLog::AddContact(const core::HostId& aHost)
{
  if (aHost != mSelf.host && IsEligibleVoter(aHost)) {
    mContacts[aHost] = mNow;
  }
}

std::set<core::HostId> ReplicatedLog::AnnouncementTargets() const
{
  std::set<core::HostId> targets(mConfiguredHosts.begin(), mConfiguredHosts.end());
  // All hosts of the settings may have been replaced since.
  for (const Member& it : Voters().voters) {
    targets.insert(it.host);
  }
  for (const auto& [host, lastNamedAt] : mContacts) {
    targets.insert(host);
  }
  targets.erase(mSelf.host);
  return targets;
}

void ReplicatedLog::SendAnnouncement(const core::HostId& aTo, AnnouncementKind aKind)
{
  const Member anyIncarnation{ .host = aTo, .incarnation = core::Incarnation() };
  proto::LogMessage message = MakeMessage(anyIncarnation, 0);
  proto::Announcement* announcement = message.mutable_announcement();
  announcement->set_belongs(HoldsGroupState());
  announcement->set_reply(aKind == AnnouncementKind::Reply);
  if (announcement->reply()) {
    if (!mLeader.IsEmpty()) {
      announcement->add_members(mLeader.Text());
    }
    for (const Member& it : Voters().voters) {
      announcement->add_members(it.host.Text());
    }
  }
  const bool hasAgreed = !mFounding.AgreedFounders().voters.empty();
  if (hasAgreed) {
    *announcement->mutable_founding() = ToProto(mFounding.AgreedFounders());
  }
  // Only the agreement is a promise. It is durable at the latest with the first entry.
  if (hasAgreed && mDurableIndex == 0) {
    SendWhenDurable(anyIncarnation, std::move(message));
  } else {
    SendNow(anyIncarnation, std::move(message));
  }
}

void ReplicatedLog::HandleAnnouncement(const Member& aFrom,
                                       const proto::Announcement& aAnnouncement)
{
  if (!IsEligibleVoter(aFrom.host) || aFrom.host == mSelf.host) {
    return;
  }
  if (mRole == Role::Leader && !Voters().Contains(aFrom)) {
    Progress& progress = mProgress.try_emplace(aFrom, Progress{ .knownSince = mNow }).first->second;
    progress.nextIndex = std::max(progress.nextIndex, mLog.LastIndex() + 1);
    progress.lastReceivedAt = mNow;
  }
  if (mLog.LastIndex() == 0) {
    mFounding.RecordAnnouncement(aFrom, aAnnouncement.belongs(),
                                 FromProto(aAnnouncement.founding()));
    TryFoundGroup();
  }
  for (const std::string& it : aAnnouncement.members()) {
    AddContact(core::HostId(it));
  }
  // Any member helps a host to find the leader, which may be none of the hosts that it knows.
  const bool mayHelp = !aAnnouncement.belongs() || HasRecentLeaderContact();
  if (HoldsGroupState() && mayHelp && !aAnnouncement.reply()) {
    SendAnnouncement(aFrom.host, AnnouncementKind::Reply);
  }
}

void ReplicatedLog::TryFoundGroup()
{
  if (mLog.LastIndex() > 0 || !mMayFoundGroup) {
    return;
  }
  if (const auto founders = mFounding.ProposeFounders(); founders && mTerm == 0) {
    mFounding.SetAgreedFounders(*founders);
    mHardStateDirty = true;
    mAnnounceDue = mNow;
  }
  if (mFounding.IsUnanimous()) {
    FoundGroup();
  }
}

void ReplicatedLog::FoundGroup()
{
  proto::Entry entry = Founding::MakeFirstEntry(mFounding.AgreedFounders());
  mTerm = std::max(mTerm, entry.term());
  mHardStateDirty = true;
  mLog.Append(std::move(entry));
  OnConfigurationChanged();
  RestartElectionTimer();
}

void ReplicatedLog::OnConfigurationChanged()
{
  if (mRole == Role::Leader) {
    for (const Member& it : Voters().voters) {
      if (it == mSelf || mProgress.contains(it)) {
        continue;
      }
      Progress progress{ .knownSince = mNow };
      progress.nextIndex = mLog.LastIndex() + 1;
      progress.lastReceivedAt = LastReceivedFrom(it);
      mProgress.emplace(it, progress);
    }
    return;
  }
  if (mRole == Role::Learner && IsVoter()) {
    mRole = Role::Follower;
  }
  if (mRole == Role::Follower && !IsVoter()) {
    mRole = Role::Learner;
  }
}

core::Instant ReplicatedLog::LastReceivedFrom(const Member& aVoter) const
{
  const auto silent = mSilentSince.find(aVoter);
  return mVotes.contains(aVoter) || silent == mSilentSince.end() ? mNow : silent->second;
}

void ReplicatedLog::DropInactiveLearners()
{
  const core::Duration limit = mSettings.electionTimeoutMax * kLearnerDropTimeouts;
  std::erase_if(mProgress, [&](const auto& aItem) {
    return !Voters().Contains(aItem.first) && mNow - aItem.second.lastReceivedAt > limit;
  });
}

bool ReplicatedLog::IsEligibleVoter(const core::HostId& aHost) const
{
  return mSettings.openGroupVoters > 0 ||
         std::find(mConfiguredHosts.begin(), mConfiguredHosts.end(), aHost) !=
           mConfiguredHosts.end();
}

void ReplicatedLog::Leave()
{
  mIsLeaving = true;
  mHasNoSuccessor = false;
}

bool ReplicatedLog::CanStop() const
{
  if (mSettings.openGroupVoters == 0) {
    return true;
  }
  if (!IsVoter()) {
    return mLog.LatestConfigurationIndex() <= mCommitIndex;
  }
  return mRole == Role::Leader ? !MayFindSuccessor() : mHasNoSuccessor;
}

const Member* ReplicatedLog::FindVoterToReplace() const
{
  if (mSettings.openGroupVoters == 0) {
    return nullptr;
  }
  const auto& voters = Voters().voters;
  const auto silent = std::find_if(voters.begin(), voters.end(), [this](const Member& aVoter) {
    return !WasActiveWithin(aVoter, mSettings.replaceSilentAfter);
  });
  if (silent != voters.end()) {
    return &*silent;
  }
  const auto leaving = std::find_if(voters.begin(), voters.end(), [this](const Member& aVoter) {
    const auto progress = mProgress.find(aVoter);
    return progress != mProgress.end() && progress->second.isLeaving;
  });
  if (leaving != voters.end()) {
    return &*leaving;
  }
  // Last, since the leader ends its term with it.
  return mIsLeaving ? Voters().FindVoter(mSelf.host) : nullptr;
}

// Only the leader can tell, and a new one only after a while: learners turn to it once they miss
// the former one.
bool ReplicatedLog::MayFindSuccessor() const
{
  const bool isNewLeader =
    mNow - mLeaderSince < mSettings.electionTimeoutMax * kLearnerSearchTimeouts;
  if (isNewLeader || Voters().voters.size() > mSettings.openGroupVoters) {
    return true;
  }
  return std::any_of(mProgress.begin(), mProgress.end(), [this](const auto& aItem) {
    const auto& [member, progress] = aItem;
    return !progress.isLeaving && !Voters().FindVoter(member.host) && member.host != mSelf.host &&
           WasActiveWithin(member, mSettings.electionTimeoutMax);
  });
}

// Changes one voter at a time (dissertation 4.1), and only after an entry of the leader's own term
// is committed (Ongaro 2015, "bug in single-server membership changes", raft-dev).
void ReplicatedLog::ChangeVoters()
{
  if (!HasCommittedInTerm() || mLog.LatestConfigurationIndex() > mCommitIndex) {
    return;
  }
  const auto next = NextConfiguration();
  if (!next || !IsQuorumActive(*next)) {
    return;
  }
  CUMINFIELD_INVARIANT("log.one-change-at-a-time",
                       Configuration::CountDifferences(Voters(), *next) == 1);
  proto::Entry entry;
  *entry.mutable_configuration() = ToProto(*next);
  AppendAsLeader(std::move(entry));
}

std::optional<Configuration> ReplicatedLog::NextConfiguration() const
{
  // A silent voter may come back, unlike a former incarnation: it is removed only once its
  // successor votes. Otherwise the loss of one more voter could leave no majority although it is
  // back. A voter that leaves is handled alike, so that the group never has too few voters.
  const std::size_t voterCount = Voters().voters.size();
  const Member* replaceable = FindVoterToReplace();
  if (replaceable && voterCount > mSettings.openGroupVoters) {
    return Voters().WithoutVoter(*replaceable);
  }
  for (const auto& [member, progress] : mProgress) {
    if (!IsReadyToVote(member, progress)) {
      continue;
    }
    const Member* former = Voters().FindVoter(member.host);
    if (!former) {
      const bool isClosed = mSettings.openGroupVoters == 0;
      const bool isMissing = voterCount < mSettings.openGroupVoters;
      const bool isSuccessor = replaceable && voterCount == mSettings.openGroupVoters;
      if (isClosed || isMissing || isSuccessor) {
        return Voters().WithVoter(member);
      }
      continue;
    }
    if (MayReplaceFormer(*former, progress)) {
      return Voters().WithoutVoter(*former).WithVoter(member);
    }
  }
  for (const Member& it : Voters().voters) {
    if (!IsEligibleVoter(it.host) && !WasActiveWithin(it, mSettings.electionTimeoutMax)) {
      return Voters().WithoutVoter(it);
    }
  }
  return std::nullopt;
}

// The host's disk was lost. Its former incarnation never votes or acknowledges again, so all
// quorums without it share a voter with all quorums of the new configuration, and one change
// suffices: between two, the rest of the voters would bear no further loss. What the former
// incarnation sent before counts for nothing at those who have confirmed this leader since.
bool ReplicatedLog::MayReplaceFormer(const Member& aFormer, const Progress& aSuccessor) const
{
  const auto confirmed = QuorumConfirmedAt();
  return !WasActiveWithin(aFormer, mSettings.electionTimeoutMax) && confirmed &&
         *confirmed > aSuccessor.knownSince;
}

bool ReplicatedLog::IsReadyToVote(const Member& aMember, const Progress& aProgress) const
{
  const bool caughtUp = !aProgress.snapshot && aProgress.matchIndex > 0 &&
                        aProgress.matchIndex + mSettings.maxLearnerLag >= mCommitIndex;
  return caughtUp && !aProgress.isLeaving && !Voters().Contains(aMember) &&
         aMember.host != mSelf.host && IsEligibleVoter(aMember.host) &&
         WasActiveWithin(aMember, mSettings.electionTimeoutMin);
}

std::optional<GroupHealth> ReplicatedLog::Health() const
{
  if (mRole != Role::Leader) {
    return std::nullopt;
  }
  GroupHealth::Options options{ .voters = Voters(),
                                .silence = { { mSelf, core::Duration::zero() } },
                                .silentAfter = mSettings.electionTimeoutMax,
                                .targetVoters = mSettings.openGroupVoters > 0
                                                  ? mSettings.openGroupVoters
                                                  : mConfiguredHosts.size() };
  for (const auto& [member, progress] : mProgress) {
    options.silence.emplace(member, mNow - progress.lastReceivedAt);
    if (IsReadyToVote(member, progress)) {
      options.readyHosts.push_back(member.host);
    }
  }
  return GroupHealth(std::move(options));
}

} // namespace cuminfield::process::log
