#include "UnitTests/process/log/LogCluster.h"

#include <algorithm>
#include <utility>

namespace cuminfield::unit_tests::log {

using namespace std::chrono_literals;
using process::log::Role;

void ClusterLinks::Send(const core::HostId& aTo, process::peer::PeerMessage aMessage)
{
  mCluster.SendPacket(mHost, aTo, aMessage);
}

std::string ListStateMachine::Apply(core::LogIndex /*aIndex*/, std::string_view aCommand)
{
  mCommands.emplace_back(aCommand);
  mCluster.CheckApplied(mCommands.size(), mCommands.back());
  return std::to_string(mCommands.size());
}

std::string ListStateMachine::Query(std::string_view /*aQuery*/) const
{
  return std::to_string(mCommands.size());
}

std::string ListStateMachine::Snapshot() const
{
  std::string text;
  for (const std::string& it : mCommands) {
    text += it + "\n";
  }
  return text;
}

void ListStateMachine::Restore(std::string_view aSnapshot)
{
  mCommands.clear();
  std::size_t end = 0;
  while ((end = aSnapshot.find('\n')) != std::string_view::npos) {
    mCommands.emplace_back(aSnapshot.substr(0, end));
    mCluster.CheckApplied(mCommands.size(), mCommands.back());
    aSnapshot.remove_prefix(end + 1);
  }
}

core::Result<process::log::LogContents> SlowStorage::Load(process::log::LogContents aInitial)
{
  if (mForcedIncarnation != core::Incarnation()) {
    aInitial.incarnation = mForcedIncarnation;
  }
  return mInner.Load(std::move(aInitial));
}

void SlowStorage::Persist(process::log::PersistBatch aBatch, Completion aDone)
{
  constexpr std::uint64_t kMaxDelayMicros = 12'000;
  auto batch = std::make_shared<process::log::PersistBatch>(std::move(aBatch));
  mPersistTimer =
    mTimers.ScheduleAfter(core::Duration(mRandom.UniformBelow(kMaxDelayMicros)),
                          [this, batch, aDone] { PersistUnlessStalled(batch, aDone); });
}

void SlowStorage::PersistUnlessStalled(const std::shared_ptr<process::log::PersistBatch>& aBatch,
                                       const Completion& aDone)
{
  if (mIsStalled) {
    constexpr core::Duration kRetryInterval = 5ms;
    mPersistTimer = mTimers.ScheduleAfter(
      kRetryInterval, [this, aBatch, aDone] { PersistUnlessStalled(aBatch, aDone); });
    return;
  }
  mInner.Persist(std::move(*aBatch), aDone);
}

LogCluster::LogCluster(ClusterSettings aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.seed)
  , mHosts(aSettings.hosts)
  , mRemoteLinks(*this, aSettings.hosts)
{
  for (std::size_t i = 0; i < mSettings.hosts; ++i) {
    mIds.emplace_back("h" + std::to_string(i));
  }
  const bool open = mSettings.openGroupVoters > 0;
  const std::size_t seeds = open ? mSettings.seedHosts : mSettings.hosts;
  mSeedIds.assign(mIds.begin(), mIds.begin() + static_cast<std::ptrdiff_t>(seeds));
  mRemote = std::make_unique<process::log::RemoteGroup>(
    process::log::RemoteGroupOptions{ .group = core::GroupId("g"),
                                      .self = core::HostId("remote"),
                                      .voters = mIds,
                                      .peers = mRemoteLinks,
                                      .timers = mRemoteTimers,
                                      .settings = {} });
}

process::log::Group& LogCluster::GroupOf(std::size_t aHost)
{
  if (aHost == RemoteHost()) {
    return *mRemote;
  }
  return *mHosts[aHost].group;
}

void LogCluster::LoseDiskKeepingIncarnation(std::size_t aHost)
{
  mHosts[aHost].forcedIncarnation = mHosts[aHost].group->Self().incarnation;
  LoseDisk(aHost);
}

void LogCluster::StartHost(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  host.clockRate = 1.0 + mSettings.maxClockDrift * (2.0 * mRandom.Uniform() - 1.0);
  host.failed = false;
  // Wall-clock time goes on while the host is down; monotonic time may start anywhere.
  host.timers = std::make_unique<test_framework::time::ManualTimerService>(
    std::chrono::duration_cast<core::Duration>(mNow.time_since_epoch()) + 1000s);
  host.links = std::make_unique<ClusterLinks>(*this, aHost);
  host.fileStorage =
    std::make_unique<process::log::FileLogStorage>(process::log::FileLogStorageOptions{
      .folder = "data", .group = core::GroupId("g"), .disk = host.disk });
  host.storage = std::make_unique<SlowStorage>(*host.fileStorage, *host.timers, mRandom,
                                               host.forcedIncarnation, host.diskStalled);
  host.stateMachine = std::make_unique<ListStateMachine>(*this);
  process::log::LogGroupSettings settings = mSettings.group;
  settings.snapshotAfterEntries = 40;
  settings.log.trailingEntries = 10;
  settings.log.snapshotChunkBytes = 300;
  settings.log.openGroupVoters = mSettings.openGroupVoters;
  const bool open = mSettings.openGroupVoters > 0;
  const bool isFirstStart =
    mIsFirstStart && !std::exchange(host.hasStarted, true) && aHost < mSettings.seedHosts;
  host.group = std::make_unique<process::log::LogGroup>(process::log::LogGroupOptions{
    .group = core::GroupId("g"),
    .self = mIds[aHost],
    .voters = mSeedIds,
    .mayFoundGroup = !open,
    .isFirstStart = open && isFirstStart,
    .peers = *host.links,
    .timers = *host.timers,
    .storage = *host.storage,
    .stateMachine = *host.stateMachine,
    .random = core::Random(mSettings.sameRandomness ? 1 : mRandom.Bits()),
    .settings = settings });
  host.group->OnFailure().connect([&host](const core::Error&) { host.failed = true; });
  const auto started = host.group->Start();
  // A blank host needs room for its first record; without it the process ends, as on a failed disk.
  const bool expected = started.has_error() && (started.error().kind == core::ErrorKind::Io ||
                                                started.error().kind == core::ErrorKind::DiskFull);
  if (started.has_error() && !expected) {
    ReportViolation("start failed: " + core::Describe(started.error()));
  }
  host.failed = host.failed || started.has_error();
}

void LogCluster::SetSeeds(const std::vector<std::size_t>& aSeeds)
{
  mSeedIds.clear();
  for (const std::size_t host : aSeeds) {
    mSeedIds.push_back(mIds[host]);
  }
}

void LogCluster::Kill(std::size_t aHost)
{
  mHosts[aHost].unread.clear();
  mHosts[aHost].stalledUntil = {};
  Host& host = mHosts[aHost];
  host.group.reset();
  host.stateMachine.reset();
  host.storage.reset();
  host.fileStorage.reset();
  host.links.reset();
  host.timers.reset();
  host.disk.Crash(mRandom);
}

void LogCluster::LoseDisk(std::size_t aHost)
{
  Kill(aHost);
  mHosts[aHost].disk.Erase();
}

void LogCluster::SetLinkBlocked(std::size_t aFrom, std::size_t aTo, bool aBlocked)
{
  if (aBlocked) {
    mBlockedLinks.emplace(aFrom, aTo);
  } else {
    mBlockedLinks.erase({ aFrom, aTo });
  }
}

void LogCluster::SetIsolated(std::size_t aHost, bool aIsolated)
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    SetLinkBlocked(i, aHost, aIsolated);
    SetLinkBlocked(aHost, i, aIsolated);
  }
}

void LogCluster::Heal()
{
  mBlockedLinks.clear();
}

std::size_t LogCluster::IndexOf(const core::HostId& aHost) const
{
  const auto it = std::find(mIds.begin(), mIds.end(), aHost);
  return static_cast<std::size_t>(it - mIds.begin());
}

void LogCluster::SendPacket(std::size_t aFrom, const core::HostId& aTo,
                            const process::peer::PeerMessage& aMessage)
{
  mBytesSent += aMessage.payload.size();
  const std::size_t to = IndexOf(aTo);
  if (mBlockedLinks.contains({ aFrom, to }) || mRandom.Chance(mSettings.lossProbability)) {
    return;
  }
  const int copies = mRandom.Chance(mSettings.duplicateProbability) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const std::uint64_t delayRangeMicros =
      mRandom.Chance(mSettings.delayProbability) ? 300'000 : 4'000;
    const auto delay = core::Duration(500 + mRandom.UniformBelow(delayRangeMicros));
    mPacketsInFlight.emplace(mNow + delay, Packet{ .from = aFrom, .to = to, .message = aMessage });
  }
}

void LogCluster::Run(core::Duration aDuration)
{
  const core::Instant end = mNow + aDuration;
  while (mNow < end && mViolation.empty()) {
    Step();
  }
}

bool LogCluster::RunUntil(core::Duration aLimit, const std::function<bool()>& aCondition)
{
  const core::Instant end = mNow + aLimit;
  while (mNow < end && mViolation.empty() && !aCondition()) {
    Step();
  }
  return aCondition();
}

void LogCluster::Step()
{
  constexpr core::Duration kStep = 2ms;
  mNow += kStep;
  DeliverPackets();
  mRemoteTimers.Advance(kStep);
  for (Host& it : mHosts) {
    if (it.group && !it.failed) {
      RunHost(it, std::chrono::duration_cast<core::Duration>(kStep * it.clockRate));
    }
  }
  CheckLeaders();
}

void LogCluster::RunHost(Host& aHost, core::Duration aStep)
{
  if (mNow < aHost.stalledUntil) {
    aHost.timers->Stall(aStep);
    return;
  }
  // Late timers run before the messages that waited: the order that is most likely to take a
  // stall of this host for the silence of others.
  aHost.timers->Advance(aStep);
  for (const auto& [from, message] : std::exchange(aHost.unread, {})) {
    aHost.links->OnMessage().emit(from, message);
  }
}

void LogCluster::StallHost(std::size_t aHost, core::Duration aDuration)
{
  mHosts[aHost].stalledUntil = mNow + aDuration;
}

void LogCluster::DeliverPackets()
{
  while (!mPacketsInFlight.empty() && mPacketsInFlight.begin()->first <= mNow) {
    const auto packet = mPacketsInFlight.extract(mPacketsInFlight.begin());
    const Packet& it = packet.mapped();
    const core::HostId from = it.from == RemoteHost() ? core::HostId("remote") : mIds[it.from];
    if (it.to == RemoteHost()) {
      mRemoteLinks.OnMessage().emit(from, it.message);
      continue;
    }
    Host& host = mHosts[it.to];
    if (host.group && !host.failed && mNow < host.stalledUntil) {
      host.unread.emplace_back(from, it.message);
    } else if (host.group && !host.failed) {
      host.links->OnMessage().emit(from, it.message);
    }
  }
}

void LogCluster::CheckLeaders()
{
  std::size_t leases = 0;
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    const Host& host = mHosts[i];
    if (!host.group || host.failed) {
      continue;
    }
    leases += host.group->HoldsLease() ? 1 : 0;
    if (host.group->CurrentRole() != Role::Leader) {
      continue;
    }
    const auto [it, isNew] = mLeaderByTerm.emplace(host.group->CurrentTerm().Value(), i);
    if (!isNew && it->second != i) {
      ReportViolation("two leaders in one term");
    }
  }
  if (leases > 1) {
    ReportViolation("two leases at once");
  }
}

void LogCluster::ReportViolation(const std::string& aDescription)
{
  if (mViolation.empty()) {
    mViolation = aDescription + DescribeHosts();
  }
}

std::string LogCluster::DescribeHosts() const
{
  std::string text;
  for (const Host& it : mHosts) {
    if (!it.group) {
      text += "\n  down";
      continue;
    }
    const process::log::LogGroup& group = *it.group;
    text += "\n  " + group.Self().host.Text() + "/" +
            std::to_string(group.Self().incarnation.Value()) + " " +
            process::log::ToString(group.CurrentRole()) + " term " +
            std::to_string(group.CurrentTerm().Value()) + " commit " +
            std::to_string(group.CommitIndex().Value()) + " applied " +
            std::to_string(group.AppliedIndex().Value()) + (it.failed ? " failed" : "") +
            " leader " + group.Leader().Text() + " voters";
    for (const process::log::Member& voter : group.Voters().voters) {
      text += " " + voter.host.Text() + "/" + std::to_string(voter.incarnation.Value());
    }
  }
  return text;
}

void LogCluster::CheckApplied(std::size_t aPosition, const std::string& aCommand)
{
  if (aPosition > mAppliedCommands.size()) {
    mAppliedCommands.push_back(aCommand);
  }
  if (mAppliedCommands[aPosition - 1] != aCommand) {
    ReportViolation("committed prefix changed at " + std::to_string(aPosition));
  }
  if (mNotRun.contains(aCommand)) {
    ReportViolation("applied after being reported as not run: " + aCommand);
  }
}

void LogCluster::Propose(std::size_t aHost, core::Duration aTimeout)
{
  const std::string command = "c" + std::to_string(mNextCommand++);
  GroupOf(aHost).Propose(command, aTimeout, [this, command](core::Result<std::string> aDone) {
    if (aDone.has_value()) {
      const std::size_t position = std::stoul(aDone.value());
      mAcknowledged[command] = position;
      mHighestReported = std::max(mHighestReported, position);
      return;
    }
    if (aDone.error().kind != core::ErrorKind::Unavailable) {
      return;
    }
    mNotRun.insert(command);
    if (std::find(mAppliedCommands.begin(), mAppliedCommands.end(), command) !=
        mAppliedCommands.end()) {
      ReportViolation("reported as not run although applied: " + command);
    }
  });
}

void LogCluster::Query(std::size_t aHost)
{
  const std::size_t highestBefore = mHighestReported;
  GroupOf(aHost).Query("length", 2s, [this, highestBefore](core::Result<std::string> aDone) {
    if (!aDone.has_value()) {
      return;
    }
    const std::size_t length = std::stoul(aDone.value());
    ++mCompletedReads;
    mHighestReported = std::max(mHighestReported, length);
    if (length < highestBefore) {
      ReportViolation("stale read: " + std::to_string(length) + " < " +
                      std::to_string(highestBefore));
    }
  });
}

std::size_t LogCluster::LeaderHost() const
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    if (mHosts[i].group && !mHosts[i].failed && mHosts[i].group->HoldsLease()) {
      return i;
    }
  }
  return mHosts.size();
}

bool LogCluster::AllHostsVote() const
{
  const std::size_t leader = LeaderHost();
  if (leader == mHosts.size()) {
    return false;
  }
  const process::log::LogGroup& group = *mHosts[leader].group;
  const auto voters = group.Voters();
  return group.VotersIndex() <= group.CommitIndex() && voters.voters.size() == mHosts.size() &&
         std::all_of(mHosts.begin(), mHosts.end(), [&](const Host& aHost) {
           return aHost.group && !aHost.failed && voters.Contains(aHost.group->Self());
         });
}

void LogCluster::CheckRecovery()
{
  Heal();
  mSettings.lossProbability = 0.0;
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    mHosts[i].disk.FailAfter(std::numeric_limits<std::uint64_t>::max());
    mHosts[i].disk.SetFull(false);
    if (!IsUp(i) || mHosts[i].failed) {
      Kill(i);
      StartHost(i);
    }
  }
  if (!RunUntil(20s, [this] { return AllHostsVote(); })) {
    ReportViolation("no recovery");
    return;
  }
  const std::size_t before = mAcknowledged.size();
  Propose(0);
  if (!RunUntil(3s, [&] { return mAcknowledged.size() > before; })) {
    ReportViolation("no commit after recovery");
  }
  CheckAgreement();
}

void LogCluster::CheckAgreement()
{
  const bool allEqual = RunUntil(5s, [this] {
    std::set<core::LogIndex> applied;
    for (const Host& it : mHosts) {
      if (it.group) {
        applied.insert(it.group->AppliedIndex());
      }
    }
    return applied.size() == 1;
  });
  if (!allEqual) {
    ReportViolation("hosts differ after recovery");
  }
  for (const auto& [command, position] : mAcknowledged) {
    if (mAppliedCommands.size() < position || mAppliedCommands[position - 1] != command) {
      ReportViolation("acknowledged command lost: " + command);
    }
  }
}

} // namespace cuminfield::unit_tests::log
