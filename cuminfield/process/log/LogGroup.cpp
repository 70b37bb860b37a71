#include "cuminfield/process/log/LogGroup.h"

#include <boost/outcome/try.hpp>

#include <functional>
#include <utility>

namespace cuminfield::process::log {

namespace {

/// Random low bits of an incarnation; they tell apart two folders created in the same microsecond.
constexpr int kIncarnationRandomBits = 10;

/// Returns an incarnation that grows with wall-clock time and differs from that of any lost folder.
core::Incarnation MakeIncarnation(core::WallTime aNow, core::Random& aRandom)
{
  const auto micros = static_cast<std::uint64_t>(aNow.time_since_epoch().count());
  return core::Incarnation(
    (micros << kIncarnationRandomBits) + 1 +
    aRandom.UniformBelow((std::uint64_t{ 1 } << kIncarnationRandomBits) - 1));
}

} // namespace

LogGroup::LogGroup(LogGroupOptions aOptions)
  : mOptions(std::move(aOptions))
  , mClient(
      { .group = mOptions.group,
        .self = mOptions.self,
        .voters = mOptions.voters,
        .timers = mOptions.timers,
        .send = [this](const core::HostId& aTo,
                       const proto::GroupMessage& aMessage) { SendGroupMessage(aTo, aMessage); },
        .settings = mOptions.settings.client })
  , mStalls(mOptions.settings.stallTolerance)
{
}

LogGroup::~LogGroup()
{
  *mAlive = false;
}

core::Result<void> LogGroup::Start()
{
  const auto incarnation = MakeIncarnation(mOptions.timers.WallNow(), mOptions.random);
  BOOST_OUTCOME_TRY(contents, mOptions.storage.Load(mOptions.isFirstStart
                                                      ? Founding::MakeFirstContents(mOptions.voters)
                                                      : LogContents{ .incarnation = incarnation }));
  // Hosts with the same seed must not draw the same election timeouts, or votes would be split
  // forever. Founders have the same incarnation, too.
  const std::uint64_t own = std::hash<core::HostId>()(mOptions.self);
  const core::Random random(mOptions.random.Bits() ^ contents.incarnation.Value() ^ own);
  mLog.emplace(ReplicatedLogOptions{ .group = mOptions.group,
                                     .self = mOptions.self,
                                     .voters = mOptions.voters,
                                     .mayFoundGroup = mOptions.mayFoundGroup,
                                     .contents = std::move(contents),
                                     .random = random,
                                     .now = mOptions.timers.Now(),
                                     .settings = mOptions.settings.log });
  mServer.emplace(GroupServerOptions{
    .group = mOptions.group,
    .self = mOptions.self,
    .log = *mLog,
    .stateMachine = mOptions.stateMachine,
    .send = [this](const core::HostId& aTo,
                   const proto::GroupMessage& aMessage) { SendGroupMessage(aTo, aMessage); },
  });
  mOptions.peers.OnMessage().connect(sigc::mem_fun(*this, &LogGroup::OnMessage));
  mTickTimer = mOptions.timers.ScheduleEvery(mOptions.settings.tickInterval, [this] { Tick(); });
  SchedulePump();
  return core::Success();
}

void LogGroup::AddContact(const core::HostId& aHost)
{
  if (mLog) {
    mLog->AddContact(aHost);
  }
}

void LogGroup::Leave()
{
  if (mLog) {
    mLog->Leave();
  }
}

bool LogGroup::CanStop() const
{
  return !mLog || mFailed || mLog->CanStop();
}

void LogGroup::Propose(std::string aCommand, core::Duration aTimeout, Completion aDone)
{
  mClient.Submit(false, std::move(aCommand), aTimeout, std::move(aDone));
}

void LogGroup::Query(std::string aQuery, core::Duration aTimeout, Completion aDone)
{
  mClient.Submit(true, std::move(aQuery), aTimeout, std::move(aDone));
}

core::HostId LogGroup::Leader() const
{
  return mLog ? mLog->Leader() : core::HostId();
}

Role LogGroup::CurrentRole() const
{
  return mLog ? mLog->CurrentRole() : Role::Learner;
}

core::Term LogGroup::CurrentTerm() const
{
  return mLog ? mLog->CurrentTerm() : core::Term();
}

core::LogIndex LogGroup::CommitIndex() const
{
  return mLog ? mLog->CommitIndex() : core::LogIndex();
}

core::LogIndex LogGroup::LastIndex() const
{
  return mLog ? mLog->LastIndex() : core::LogIndex();
}

core::LogIndex LogGroup::AppliedIndex() const
{
  return mServer ? mServer->AppliedIndex() : core::LogIndex();
}

std::optional<core::Duration> LogGroup::StateAge() const
{
  const auto current = mLog ? mLog->CurrentAsOf() : std::nullopt;
  return current ? std::optional(mOptions.timers.Now() - *current) : std::nullopt;
}

Member LogGroup::Self() const
{
  return mLog ? mLog->Self() : Member{ .host = mOptions.self, .incarnation = {} };
}

Configuration LogGroup::Voters() const
{
  return mLog ? mLog->Voters() : Configuration();
}

std::vector<MemberLag> LogGroup::MemberLags() const
{
  return mLog ? mLog->MemberLags(mOptions.timers.Now()) : std::vector<MemberLag>();
}

core::LogIndex LogGroup::VotersIndex() const
{
  return mLog ? mLog->VotersIndex() : core::LogIndex();
}

std::optional<GroupHealth> LogGroup::Health() const
{
  return mLog && !mFailed ? mLog->Health() : std::nullopt;
}

std::vector<LeaderSearch::Host> LogGroup::SearchedHosts() const
{
  return mLog ? mLog->Search().Hosts(mOptions.timers.Now()) : std::vector<LeaderSearch::Host>();
}

std::optional<core::Instant> LogGroup::LeaderSince() const
{
  return mLog && !mFailed ? mLog->LeaderSince() : std::nullopt;
}

std::optional<core::Instant> LogGroup::LeaseExpiry() const
{
  if (!mLog || mFailed || !mLog->HasCommittedInTerm()) {
    return std::nullopt;
  }
  const auto confirmed = mLog->QuorumConfirmedAt();
  if (!confirmed) {
    return std::nullopt;
  }
  return *confirmed + mOptions.settings.log.leaseDuration;
}

bool LogGroup::HoldsLease() const
{
  const auto expiry = LeaseExpiry();
  return expiry && *expiry > mOptions.timers.Now();
}

void LogGroup::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  if (mFailed) {
    return;
  }
  if (aMessage.channel == peer::Channel::Log) {
    OnLogMessage(aFrom, aMessage.payload);
  } else if (aMessage.channel == peer::Channel::Group) {
    OnGroupMessage(aFrom, aMessage.payload);
  }
}

void LogGroup::OnLogMessage(const core::HostId& aFrom, const std::string& aPayload)
{
  proto::LogMessage message;
  if (!message.ParseFromString(aPayload) || message.group() != mOptions.group.Text()) {
    return;
  }
  ExcuseStall();
  mLog->Receive(aFrom, message, mOptions.timers.Now());
  SchedulePump();
}

void LogGroup::OnGroupMessage(const core::HostId& aFrom, const std::string& aPayload)
{
  proto::GroupMessage message;
  if (!message.ParseFromString(aPayload) || message.group() != mOptions.group.Text()) {
    return;
  }
  HandleGroupMessage(aFrom, message);
  SchedulePump();
}

void LogGroup::HandleGroupMessage(const core::HostId& aFrom, const proto::GroupMessage& aMessage)
{
  mServer->Receive(aFrom, aMessage, mOptions.timers.Now());
  mClient.Receive(aFrom, aMessage);
}

void LogGroup::SendGroupMessage(const core::HostId& aTo, const proto::GroupMessage& aMessage)
{
  if (aTo == mOptions.self) {
    mLocalMessages.push_back(aMessage);
    SchedulePump();
    return;
  }
  mOptions.peers.Send(aTo,
                      { .channel = peer::Channel::Group, .payload = aMessage.SerializeAsString() });
}

void LogGroup::Tick()
{
  if (mFailed) {
    return;
  }
  ExcuseStall();
  mLog->Tick(mOptions.timers.Now());
  Pump();
}

void LogGroup::ExcuseStall()
{
  const core::Duration stall = mStalls.Update(mOptions.timers.Now());
  if (stall > core::Duration::zero()) {
    mLog->OnStall(stall);
  }
}

void LogGroup::SchedulePump()
{
  if (mPumping) {
    mPumpAgain = true;
    return;
  }
  if (!mPumpTimer.IsActive()) {
    mPumpTimer = mOptions.timers.ScheduleAfter(core::Duration::zero(), [this] { Pump(); });
  }
}

void LogGroup::Pump()
{
  if (mPumping) {
    mPumpAgain = true;
    return;
  }
  mPumping = true;
  do {
    mPumpAgain = false;
    PumpOnce();
  } while (mPumpAgain && !mFailed);
  mPumping = false;
}

void LogGroup::PumpOnce()
{
  if (mFailed || !mLog) {
    return;
  }
  DeliverLocalMessages();
  SendMessages();
  Persist();
  if (mFailed) {
    return;
  }
  Apply();
  mServer->CompleteReads();
  MaybeSnapshot();
  UpdateLeader();
}

void LogGroup::DeliverLocalMessages()
{
  const std::vector<proto::GroupMessage> messages = std::exchange(mLocalMessages, {});
  for (const proto::GroupMessage& it : messages) {
    HandleGroupMessage(mOptions.self, it);
  }
}

void LogGroup::SendMessages()
{
  for (const OutgoingMessage& it : mLog->TakeMessages()) {
    mOptions.peers.Send(
      it.to, { .channel = peer::Channel::Log, .payload = it.message.SerializeAsString() });
  }
}

void LogGroup::Persist()
{
  if (!mLog->HasBatch() || mOptions.timers.Now() < mPersistRetryAt) {
    return;
  }
  mOptions.storage.Persist(mLog->TakeBatch(),
                           [this, alive = mAlive](const core::Result<void>& aResult) {
                             if (*alive) {
                               OnPersisted(aResult);
                             }
                           });
}

void LogGroup::SetDiskFull(bool aFull)
{
  if (std::exchange(mDiskFull, aFull) != aFull) {
    mOnDiskFull.emit(aFull);
  }
}

void LogGroup::OnPersisted(const core::Result<void>& aResult)
{
  if (aResult.has_error() && aResult.error().kind == core::ErrorKind::DiskFull) {
    mLog->OnPersistFailed();
    mPersistRetryAt = mOptions.timers.Now() + mOptions.settings.diskFullRetryInterval;
    SetDiskFull(true);
    return;
  }
  if (aResult.has_error()) {
    mFailed = true;
    mTickTimer.Cancel();
    mOnFailure.emit(aResult.error());
    return;
  }
  SetDiskFull(false);
  mLog->OnPersisted(mOptions.timers.Now());
  Pump();
}

void LogGroup::Apply()
{
  if (const auto snapshot = mLog->TakeSnapshotToRestore()) {
    mServer->Restore(*snapshot);
    mEntriesSinceSnapshot = 0;
    mBytesSinceSnapshot = 0;
  }
  while (const proto::Entry* entry = mLog->NextCommitted()) {
    ++mEntriesSinceSnapshot;
    mBytesSinceSnapshot += entry->command().size();
    mServer->Apply(*entry);
  }
}

void LogGroup::MaybeSnapshot()
{
  const LogGroupSettings& settings = mOptions.settings;
  if (mEntriesSinceSnapshot < settings.snapshotAfterEntries &&
      mBytesSinceSnapshot < settings.snapshotAfterBytes) {
    return;
  }
  mEntriesSinceSnapshot = 0;
  mBytesSinceSnapshot = 0;
  mLog->Compact(mServer->AppliedIndex(), mOptions.stateMachine.Snapshot());
  mPumpAgain = true;
}

void LogGroup::UpdateLeader()
{
  if (mOptions.settings.log.openGroupVoters > 0) {
    mClient.AddVoters(mLog->Voters());
  }
  const core::HostId leader = mLog->Leader();
  if (leader.IsEmpty()) {
    mClient.UnconfirmLeader();
  } else {
    mClient.ConfirmLeader(leader, mLog->CurrentTerm());
  }
  if (leader != mKnownLeader) {
    mKnownLeader = leader;
    mOnLeaderChanged.emit(leader);
  }
}

} // namespace cuminfield::process::log
