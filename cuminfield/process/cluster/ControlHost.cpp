#include "cuminfield/process/cluster/ControlHost.h"

#include "cuminfield/process/cluster/ControlGroupSettings.h"
#include "cuminfield/process/cluster/GroupMetrics.h"
#include "cuminfield/process/cluster/MovePhase.h"
#include "cuminfield/process/log/FileLogStorage.h"
#include "cuminfield/process/log/PosixDisk.h"
#include "cuminfield/process/log/ThreadedLogStorage.h"
#include "cuminfield/process/logging/EventLog.h"
#include "cuminfield/request/forward/WorkspaceQuota.h"
#include "cuminfield/request/placement/RendezvousSet.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::cluster {

namespace {

const core::GroupId kGroupId("cluster");

/// Minimum time between two proposals of the leader's own tasks, so that the first one can be
/// applied.
constexpr core::Duration kProposalInterval = std::chrono::milliseconds(300);

/// A service must be known for this long before its version is recorded as the version in force.
constexpr core::Duration kVersionSettleDuration = std::chrono::milliseconds(500);

/// Ticks that may be missed before this process counts as stalled.
constexpr int kTicksUntilStall = 3;

/// Time between two records of the workspaces' quota usage. If all hosts stop at once, the usage
/// since the last record is lost.
constexpr core::Duration kQuotaRecordInterval = std::chrono::milliseconds(1000);

/// No new record is made while a larger share of the hosts has restarted recently.
constexpr double kMaxMissingHistoryWeight = 0.3;

/// A control host whose state is older than this may have missed heartbeats of upstreams, too. The
/// election of a leader takes less.
constexpr core::Duration kMaxStateAgeOfComplete = std::chrono::seconds(2);

/// Time between two lines on the load of a control host that knows no leader.
constexpr core::Duration kLeaderlessLoadLogInterval = std::chrono::seconds(1);

/// Observations of upstreams are sent once in this many rounds: they are as large as the rest of a
/// feed and change over seconds.
constexpr std::uint64_t kRoundsPerObserved = 4;

const char* ToString(proto::MovePhase aPhase)
{
  switch (aPhase) {
    case proto::CANARY:
      return "canary";
    case proto::SHIFTED:
      return "shifted";
    case proto::COMPLETED:
      return "completed";
    default:
      return "rolled-back";
  }
}

std::int64_t ToMilliseconds(core::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

FollowerTableSettings MakeFollowerTableSettings(const ControlHost::Options& aOptions)
{
  FollowerTableSettings settings = aOptions.settings.followers;
  settings.quotaWindow = aOptions.cluster.quotaWindow;
  return settings;
}

bool IsSeed(const ClusterSettings& aCluster)
{
  const auto& seeds = aCluster.seeds;
  return std::find(seeds.begin(), seeds.end(), aCluster.id) != seeds.end();
}

} // namespace

ControlHost::ControlHost(Options aOptions)
  : mOptions(std::move(aOptions))
  , mIncarnation(static_cast<std::uint64_t>(mOptions.loop.WallNow().time_since_epoch().count()))
  , mStartedAt(mOptions.loop.Now())
  , mCurrentSince(mStartedAt)
  , mRegistry(mOptions.settings.registry)
  , mFollowers(MakeFollowerTableSettings(mOptions))
  , mFeedSelector(mOptions.settings.feeds)
  , mMoveCoordinator(mOptions.settings.moves)
  , mControlRequests(mOptions.settings.controlRequests)
  , mGroupHealthLog(mOptions.settings.groupHealth)
  , mPacer(mOptions.settings.rounds)
  , mStalls(mOptions.settings.tickInterval * kTicksUntilStall)
{
  const ClusterSettings& cluster = mOptions.cluster;
  mDisk = std::make_unique<log::PosixDisk>();
  mFileStorage = std::make_unique<log::FileLogStorage>(
    log::FileLogStorageOptions{ .folder = cluster.dataFolder, .group = kGroupId, .disk = *mDisk });
  // A separate thread keeps a slow disk from delaying heartbeats.
  mStorage = std::make_unique<log::ThreadedLogStorage>(log::ThreadedLogStorageOptions{
    .inner = *mFileStorage, .post = [&loop = mOptions.loop](std::function<void()> aWork) {
      loop.Post(std::move(aWork), core::TaskPriority::High);
    } });
  mGroup = std::make_unique<log::LogGroup>(
    log::LogGroupOptions{ .group = kGroupId,
                          .self = cluster.id,
                          .voters = cluster.seeds,
                          .mayFoundGroup = false,
                          .isFirstStart = cluster.firstStart && IsSeed(cluster),
                          .peers = mOptions.links,
                          .timers = mOptions.loop,
                          .storage = *mStorage,
                          .stateMachine = mState,
                          .random = core::Random(mOptions.random.Bits()),
                          .settings = MakeControlGroupSettings(cluster.voterCount) });
}

core::Result<void> ControlHost::Start()
{
  if (auto started = mGroup->Start(); !started) {
    return started.error();
  }
  mGroup->OnDiskFull().connect([](bool aFull) {
    logging::Event(aFull ? logging::Level::Error : logging::Level::Info,
                   aFull ? "disk-full" : "disk-regained", {});
  });
  mOptions.links.OnMessage().connect(sigc::mem_fun(*this, &ControlHost::OnMessage));
  // Sent at once: each further request with a fatal part costs an upstream.
  mState.OnQuarantineChanged().connect(sigc::mem_fun(*this, &ControlHost::SendQuarantine));
  mTickTimer = mOptions.loop.ScheduleEvery(mOptions.settings.tickInterval, [this] { Tick(); });
  return core::Success();
}

void ControlHost::UpdateSeeds(std::vector<core::HostId> aSeeds)
{
  mOptions.cluster.seeds = std::move(aSeeds);
}

void ControlHost::Shutdown(std::function<void()> aDone)
{
  if (mShutdownAt != core::Instant()) {
    return;
  }
  mShutdownAt = mOptions.loop.Now();
  mShutdownDone = std::move(aDone);
  logging::Event(
    logging::Level::Info, "shutdown-begun",
    { { "role", log::ToString(mGroup->CurrentRole()) }, { "leader", mGroup->Leader().Text() } });
  mGroup->Leave();
}

void ControlHost::CheckShutdown()
{
  const core::Duration elapsed = mOptions.loop.Now() - mShutdownAt;
  if (!mShutdownDone || elapsed < mOptions.settings.shutdownDelay) {
    return;
  }
  const bool canStop = mGroup->CanStop();
  if (!canStop && elapsed < mOptions.settings.shutdownTimeout) {
    return;
  }
  const bool isVoter = mGroup->Voters().Contains(mGroup->Self());
  logging::Event(canStop ? logging::Level::Info : logging::Level::Warning, "shutdown-done",
                 { { "waited_ms", ToMilliseconds(elapsed) },
                   { "votes", isVoter ? 1 : 0 },
                   { "timed_out", canStop ? 0 : 1 } });
  std::exchange(mShutdownDone, nullptr)();
}

std::uint64_t ControlHost::WallClockMs() const
{
  const auto now = mOptions.loop.WallNow().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void ControlHost::Submit(bool aIsQuery, const google::protobuf::MessageLite& aMessage,
                         core::Duration aTimeout, Callback aDone)
{
  auto callback = [aDone = std::move(aDone)](core::Result<std::string> aReply) {
    if (!aReply) {
      aDone(aReply.error());
      return;
    }
    proto::QueryAnswer reply;
    if (!reply.ParseFromString(aReply.value())) {
      aDone(core::Error{ .kind = core::ErrorKind::Internal,
                         .message = "unreadable answer of the group; update all control hosts" });
      return;
    }
    aDone(std::move(reply));
  };
  if (aIsQuery) {
    mGroup->Query(aMessage.SerializeAsString(), aTimeout, std::move(callback));
  } else {
    mGroup->Propose(aMessage.SerializeAsString(), aTimeout, std::move(callback));
  }
}

void ControlHost::SubmitControlRequest(const char* aKind, const std::string& aName,
                                       const proto::Command& aCommand, core::Duration aTimeout,
                                       Callback aDone)
{
  const std::uint64_t number = mControlRequests.Begin({ .kind = aKind,
                                                        .name = aName,
                                                        .bytes = aCommand.ByteSizeLong(),
                                                        .receivedAt = mOptions.loop.Now() });
  Submit(false, aCommand, aTimeout,
         [this, number, aDone = std::move(aDone)](const core::Result<proto::QueryAnswer>& aReply) {
           const ControlRequestTracker::Request request = mControlRequests.End(number);
           logging::Event(
             aReply ? logging::Level::Info : logging::Level::Warning, "order-answered",
             { { "order", request.kind },
               { "name", request.name },
               { "bytes", request.bytes },
               { "waited_ms", ToMilliseconds(mOptions.loop.Now() - request.receivedAt) },
               { "leader", mGroup->Leader().Text() },
               { "outcome", aReply ? "committed" : aReply.error().message } });
           aDone(aReply);
         });
}

void ControlHost::LogPendingRequests()
{
  const core::Instant now = mOptions.loop.Now();
  const auto report = mControlRequests.TakeReport(now);
  if (!report) {
    return;
  }
  std::string lags;
  for (const log::MemberLag& it : mGroup->MemberLags()) {
    lags += (lags.empty() ? "" : " ") + it.member.host.Text() + (it.voter ? ":" : "(learner):") +
            std::to_string(it.entriesBehind) + "/" +
            std::to_string(ToMilliseconds(it.sinceLastReceived)) + "ms";
  }
  logging::Event(logging::Level::Warning, "orders-wait",
                 { { "waiting", report->pending },
                   { "oldest", report->oldest.kind },
                   { "name", report->oldest.name },
                   { "waited_ms", ToMilliseconds(report->oldestWait) },
                   { "role", log::ToString(mGroup->CurrentRole()) },
                   { "leader", mGroup->Leader().Text() },
                   { "term", mGroup->CurrentTerm().Value() },
                   { "commit", mGroup->CommitIndex().Value() },
                   { "last", mGroup->LastIndex().Value() },
                   { "storing", mGroup->IsStoring() ? 1 : 0 },
                   { "voters", mGroup->Voters().voters.size() },
                   { "behind_silent", lags } });
}

void ControlHost::PutDocument(std::uint64_t aNumber, std::string aText, Callback aDone)
{
  proto::Command command;
  command.mutable_document()->set_number(aNumber);
  command.mutable_document()->set_text(std::move(aText));
  SubmitControlRequest("document", std::to_string(aNumber), command,
                       mOptions.settings.commandTimeout, std::move(aDone));
}

void ControlHost::GetDocument(Callback aDone)
{
  proto::Query query;
  query.set_document(true);
  Submit(true, query, mOptions.settings.readTimeout, std::move(aDone));
}

void ControlHost::StartMove(const std::string& aService, const std::string& aTarget,
                            core::Duration aDuration, Callback aDone)
{
  proto::Command command;
  proto::Move* move = command.mutable_move();
  move->set_service(aService);
  move->set_target(aTarget);
  move->set_duration_ms(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count()));
  move->set_ordered_ms(WallClockMs());
  SubmitControlRequest("move", aService, command, mOptions.settings.commandTimeout,
                       std::move(aDone));
}

void ControlHost::GetMove(const std::string& aService, Callback aDone)
{
  proto::Query query;
  query.set_move_of(aService);
  Submit(true, query, mOptions.settings.readTimeout, std::move(aDone));
}

bool ControlHost::KnowsDataCentre(const core::DataCentreId& aDataCentre) const
{
  const ClusterSettings& cluster = mOptions.cluster;
  if (aDataCentre == cluster.dataCentre || cluster.regions.contains(aDataCentre) ||
      mState.Evacuations().contains(aDataCentre.Text())) {
    return true;
  }
  const auto isThere = [&](const proto::Upstream& aUpstream) {
    return aUpstream.data_centre() == aDataCentre.Text();
  };
  const auto& stored = mState.KnownUpstreams().upstreams();
  const auto& registered = mRegistry.List();
  return std::any_of(registered.begin(), registered.end(), isThere) ||
         std::any_of(stored.begin(), stored.end(), isThere);
}

void ControlHost::OrderEvacuation(const core::DataCentreId& aDataCentre, bool aActive,
                                  std::function<bool()> aIsWanted, Callback aDone)
{
  const core::Instant receivedAt = mOptions.loop.Now();
  proto::Query query;
  query.set_evacuation_of(aDataCentre.Text());
  Submit(true, query, mOptions.settings.evacuationReadTimeout,
         [this, receivedAt, aActive, isWanted = std::move(aIsWanted),
          done = std::move(aDone)](const core::Result<proto::QueryAnswer>& aAnswer) {
           if (!aAnswer) {
             done(aAnswer.error());
             return;
           }
           if (!aAnswer.value().has_evacuation()) {
             done(core::Error{ .kind = core::ErrorKind::Unavailable,
                               .message = "the leader knows no evacuations; update all control "
                                          "hosts" });
             return;
           }
           const proto::Evacuation& current = aAnswer.value().evacuation();
           if (current.active() == aActive) {
             done(aAnswer);
             return;
           }
           const core::Duration remaining =
             mOptions.settings.readTimeout - (mOptions.loop.Now() - receivedAt);
           // The caller may have sent the order to another control host, and revoked it there.
           if (!isWanted() || remaining <= core::Duration::zero()) {
             done(core::Error{ .kind = core::ErrorKind::Unavailable,
                               .message = "the order was not proposed in time; send it again" });
             return;
           }
           ProposeEvacuation(current, aActive, remaining, done);
         });
}

void ControlHost::ProposeEvacuation(const proto::Evacuation& aCurrent, bool aActive,
                                    core::Duration aTimeout, Callback aDone)
{
  proto::Command command;
  proto::EvacuationOrder* order = command.mutable_evacuation();
  order->set_data_centre(aCurrent.data_centre());
  order->set_active(aActive);
  order->set_base_revision(aCurrent.revision());
  logging::Event(logging::Level::Info, "evacuation-ordered",
                 { { "data_centre", aCurrent.data_centre() },
                   { "active", aActive ? 1 : 0 },
                   { "base", aCurrent.revision() } });
  SubmitControlRequest(
    "evacuation", aCurrent.data_centre(), command, aTimeout,
    [aActive, done = std::move(aDone)](const core::Result<proto::QueryAnswer>& aAnswer) {
      if (aAnswer && aAnswer.value().evacuation().active() != aActive) {
        done(core::Error{ .kind = core::ErrorKind::Conflict,
                          .message = "another order for this data centre was committed first; send "
                                     "this one again if it is still wanted" });
        return;
      }
      done(aAnswer);
    });
}

std::set<core::DataCentreId> ControlHost::EvacuatedDataCentres() const
{
  std::set<core::DataCentreId> evacuated;
  for (const auto& [dataCentre, evacuation] : mState.Evacuations()) {
    if (evacuation.active()) {
      evacuated.emplace(dataCentre);
    }
  }
  return evacuated;
}

void ControlHost::HandleHeartbeat(const proto::Upstream& aUpstream, Callback aDone)
{
  const bool isKnown = mRegistry.IncarnationOf(aUpstream.id()) == aUpstream.incarnation();
  if (!mRegistry.HandleHeartbeat(aUpstream, mOptions.loop.Now())) {
    logging::Event(logging::Level::Info, "heartbeat-old",
                   { { "upstream", aUpstream.id() }, { "sequence", aUpstream.sequence() } });
    aDone(proto::QueryAnswer());
    return;
  }
  mReceivedHeartbeats[aUpstream.id()] = aUpstream;
  if (!isKnown) {
    logging::Event(logging::Level::Info, "upstream-up",
                   { { "upstream", aUpstream.id() },
                     { "service", aUpstream.service() },
                     { "version", aUpstream.version() },
                     { "address", aUpstream.address() } });
  }
  const auto leave = mState.Leaves().find(aUpstream.id());
  const bool isLeaveCommitted =
    leave != mState.Leaves().end() && leave->second.incarnation() >= aUpstream.incarnation();
  if (!aUpstream.leaving() || isLeaveCommitted) {
    aDone(proto::QueryAnswer());
    return;
  }
  ProposeLeave(aUpstream.id(), aUpstream.incarnation(), std::move(aDone));
}

void ControlHost::MarkLeaving(const std::string& aUpstream, Callback aDone)
{
  const std::uint64_t known = mRegistry.IncarnationOf(aUpstream);
  // Incarnations are wall clock start times, so the current time covers every incarnation so far.
  ProposeLeave(aUpstream, known != 0 ? known : WallClockMs(), std::move(aDone));
}

void ControlHost::ProposeLeave(const std::string& aUpstream, std::uint64_t aIncarnation,
                               Callback aDone)
{
  logging::Event(logging::Level::Info, "upstream-leaving",
                 { { "upstream", aUpstream }, { "life", aIncarnation } });
  mRegistry.MarkLeaving(aUpstream, aIncarnation);
  proto::Command command;
  proto::Leave* leave = command.mutable_leave();
  leave->set_upstream(aUpstream);
  leave->set_incarnation(aIncarnation);
  leave->set_at_ms(WallClockMs());
  // Committed before it is acknowledged, so that it holds even if this host fails right after.
  SubmitControlRequest("leave", aUpstream, command, mOptions.settings.readTimeout,
                       std::move(aDone));
}

void ControlHost::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  if (aMessage.channel != peer::Channel::Cluster) {
    return;
  }
  proto::Message message;
  if (!message.ParseFromString(aMessage.payload)) {
    logging::Event(logging::Level::Warning, "message-unreadable", { { "from", aFrom.Text() } });
    return;
  }
  const core::Instant now = mOptions.loop.Now();
  if (message.has_report()) {
    ++mReportsSinceLoadLog;
    const auto known = mFollowers.Followers().find(aFrom);
    const bool isFollower = known != mFollowers.Followers().end() && !known->second.isTrial;
    if (!message.report().unfollows() && !message.report().trial() && !isFollower) {
      logging::Event(logging::Level::Info, "host-follows", { { "host", aFrom.Text() } });
    }
    mFollowers.OnReport(aFrom, std::move(*message.mutable_report()), now);
    if (const auto it = mFollowers.Followers().find(aFrom); it != mFollowers.Followers().end()) {
      mCrashEvidence.Collect(it->second, mState.Crashes());
      ProposeCrashEvidence();
    }
  } else if (message.has_exchange()) {
    for (const proto::Upstream& it : message.exchange().upstreams()) {
      mRegistry.HandleHeartbeat(it, now);
    }
    mFollowers.OnExchange(aFrom, std::move(*message.mutable_exchange()), now);
  }
}

void ControlHost::Tick()
{
  const core::Instant now = mOptions.loop.Now();
  const auto stateAge = mGroup->StateAge();
  if (!stateAge || *stateAge > kMaxStateAgeOfComplete) {
    mCurrentSince = now;
  }
  RestoreKnownUpstreams();
  ApplyLeaves();
  mRegistry.Expire(now);
  const core::Duration stall = mStalls.Update(now);
  if (stall > core::Duration::zero()) {
    logging::Event(logging::Level::Warning, "host-stalled", { { "ms", ToMilliseconds(stall) } });
    mFollowers.OnStall(stall);
  }
  mFollowers.Expire(now);
  AddContacts();
  ProposeCrashEvidence();
  if (mPacer.IsDue(now, mFollowers.HasBacklog())) {
    SendRound();
  }
  LogPacing();
  LogLeaderlessLoad();
  RunLeaderTasks();
  LogPendingRequests();
  LogChanges();
  CheckShutdown();
}

void ControlHost::SendRound()
{
  const core::Instant start = mOptions.loop.Now();
  mIncludeObserved = mMessageRounds++ % kRoundsPerObserved == 0;
  SendExchange();
  // Before the feed: a host that starts serves its first requests as soon as it has a document.
  SendQuarantine();
  SendFeeds();
  mPacer.OnRoundSent(start, mOptions.loop.Now());
  ++mRoundsSinceLoadLog;
}

void ControlHost::LogPacing()
{
  const bool isSlowed = mPacer.IsSlowed();
  if (std::exchange(mLoggedSlowed, isSlowed) == isSlowed) {
    return;
  }
  logging::Event(isSlowed ? logging::Level::Warning : logging::Level::Info,
                 isSlowed ? "rounds-slowed" : "rounds-regular",
                 { { "interval_ms", ToMilliseconds(mPacer.Interval(mFollowers.HasBacklog())) },
                   { "round_ms", ToMilliseconds(mPacer.MeanDuration()) },
                   { "followers", mFollowers.Followers().size() } });
}

void ControlHost::LogLeaderlessLoad()
{
  const core::Instant now = mOptions.loop.Now();
  if (KnowsLeader()) {
    mReportsSinceLoadLog = 0;
    mRoundsSinceLoadLog = 0;
    return;
  }
  if (mFollowers.Followers().empty() || now < mLoadLogDue) {
    return;
  }
  mLoadLogDue = now + kLeaderlessLoadLogInterval;
  logging::Event(logging::Level::Info, "leaderless-load",
                 { { "followers", mFollowers.Followers().size() },
                   { "reports", std::exchange(mReportsSinceLoadLog, 0) },
                   { "rounds", std::exchange(mRoundsSinceLoadLog, 0) },
                   { "round_ms", ToMilliseconds(mPacer.MeanDuration()) } });
}

void ControlHost::ApplyLeaves()
{
  for (const auto& [id, leave] : mState.Leaves()) {
    mRegistry.MarkLeaving(id, leave.incarnation());
  }
}

std::vector<core::HostId> ControlHost::ListOtherControlHosts() const
{
  std::vector<core::HostId> hosts = mOptions.cluster.seeds;
  for (const log::Member& it : mGroup->Voters().voters) {
    hosts.push_back(it.host);
  }
  for (const auto& [host, dataCentre] : mFollowers.ControlHosts()) {
    hosts.push_back(host);
  }
  // Two that are neither voters nor seeds of each other learn of each other from a third one.
  for (const core::HostId& it : mFollowers.NamedControlHosts()) {
    hosts.push_back(it);
  }
  std::sort(hosts.begin(), hosts.end());
  hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
  std::erase(hosts, mOptions.cluster.id);
  return hosts;
}

void ControlHost::AddContacts()
{
  // The group knows the seeds of the start and the voters of its log, all of which may be gone.
  if (KnowsLeader()) {
    return;
  }
  for (const core::HostId& it : ListOtherControlHosts()) {
    mGroup->AddContact(it);
  }
}

void ControlHost::SendExchange()
{
  proto::Message message;
  proto::Exchange* exchange = message.mutable_exchange();
  exchange->set_life(mIncarnation);
  exchange->set_data_centre(mOptions.cluster.dataCentre.Text());
  for (const auto& [id, upstream] : mReceivedHeartbeats) {
    *exchange->add_upstreams() = upstream;
  }
  mReceivedHeartbeats.clear();
  for (const auto& [host, dataCentre] : mFollowers.ControlHosts()) {
    exchange->add_control_hosts(host.Text());
  }
  mFollowers.AddLocalSums(*exchange, mIncludeObserved);
  const std::string payload = message.SerializeAsString();
  for (const core::HostId& it : ListOtherControlHosts()) {
    mOptions.links.Send(
      it, { .channel = peer::Channel::Cluster, .payload = payload, .compress = true });
  }
}

proto::Feed ControlHost::BuildCommonFeed() const
{
  const core::Instant now = mOptions.loop.Now();
  proto::Feed feed;
  feed.set_life(mIncarnation);
  const auto stateAge = mGroup->StateAge();
  feed.set_led(!mGroup->Leader().IsEmpty() && stateAge);
  feed.set_state_age_ms(
    static_cast<std::uint64_t>(ToMilliseconds(stateAge.value_or(now - mStartedAt))));
  feed.set_complete(now - mCurrentSince > mOptions.settings.warmUpDuration);
  feed.set_document_number(mState.Document().number());
  feed.set_state_applied(mState.LastChangeIndex());
  for (const auto& [service, move] : mState.Moves()) {
    *feed.add_moves() = move;
  }
  for (const auto& [service, version] : mState.Versions()) {
    proto::ServiceVersion* it = feed.add_versions();
    it->set_service(service);
    it->set_version(version);
  }
  for (const auto& [dataCentre, evacuation] : mState.Evacuations()) {
    if (evacuation.active()) {
      *feed.add_evacuations() = evacuation;
    }
  }
  feed.set_registry_revision(mRegistry.Revision());
  feed.set_interval_ms(
    static_cast<std::uint32_t>(ToMilliseconds(mPacer.Interval(mFollowers.HasBacklog()))));
  if (IsQuotaRecordValid()) {
    feed.set_has_recorded(true);
    *feed.mutable_recorded() = mState.QuotaRecord().uses();
  }
  mFollowers.AddDeparted(feed);
  if (mIncludeObserved) {
    mRegistry.AddColdStates(feed, now);
  }
  proto::ControlHost* self = feed.add_control_hosts();
  self->set_host(mOptions.cluster.id.Text());
  self->set_data_centre(mOptions.cluster.dataCentre.Text());
  for (const auto& [host, dataCentre] : mFollowers.ControlHosts()) {
    proto::ControlHost* it = feed.add_control_hosts();
    it->set_host(host.Text());
    it->set_data_centre(dataCentre);
  }
  return feed;
}

void ControlHost::SendFeeds()
{
  // Concatenated messages are merged when they are parsed, so the part that is the same for all
  // followers is serialized only once.
  proto::Message common;
  *common.mutable_feed() = BuildCommonFeed();
  const std::string commonBytes = common.SerializeAsString();
  UpdateMembers();
  const core::Instant now = mOptions.loop.Now();
  for (auto& [host, follower] : mFollowers.Followers()) {
    const FeedContent content = mFeedSelector.Select(follower, common.feed(), now);
    if (content == FeedContent::None) {
      continue;
    }
    follower.feedSentAt = now;
    const std::string ownPart =
      content == FeedContent::Full ? BuildOwnPart(host, follower) : std::string();
    const bool isRemote = follower.report.data_centre() != mOptions.cluster.dataCentre.Text();
    mOptions.links.Send(host, { .channel = peer::Channel::Cluster,
                                .payload = commonBytes + ownPart,
                                .compress = isRemote });
  }
}

void ControlHost::UpdateMembers()
{
  const std::uint64_t number = mState.Document().number();
  if (mOptions.hasPacedService && number != mPacedDocument) {
    mPacedDocument = number;
    mHasPacedService = mOptions.hasPacedService(mState.Document().text());
  }
  const bool isSent =
    mHasPacedService && mOptions.loop.Now() - mStartedAt >= mOptions.settings.membersDelay;
  mMembers = isSent ? mFollowers.Members() : std::vector<std::uint32_t>();
  mMembersRevision = mMembers.empty() ? 0 : request::placement::RendezvousSet::RevisionOf(mMembers);
}

void ControlHost::AddMembers(FollowerTable::Follower& aFollower, proto::Feed& aFeed) const
{
  const core::Instant now = mOptions.loop.Now();
  const bool isSent = aFollower.sentMembersRevision == mMembersRevision &&
                      now - aFollower.membersSentAt < mOptions.settings.resendInterval;
  if (mMembers.empty() || aFollower.isTrial || isSent ||
      aFollower.report.members_revision() == mMembersRevision) {
    return;
  }
  aFeed.mutable_members()->Assign(mMembers.begin(), mMembers.end());
  aFeed.set_members_revision(mMembersRevision);
  aFollower.sentMembersRevision = mMembersRevision;
  aFollower.membersSentAt = now;
}

std::string ControlHost::BuildOwnPart(const core::HostId& aHost, FollowerTable::Follower& aFollower)
{
  const core::Instant now = mOptions.loop.Now();
  const core::Duration resendInterval = mOptions.settings.resendInterval;
  proto::Message message;
  proto::Feed* feed = message.mutable_feed();
  mFollowers.AddRemoteSums(aHost, *feed, mIncludeObserved);
  const std::uint64_t revision = mRegistry.Revision();
  const bool isRegistryConfirmed =
    aFollower.report.registry_revision() == revision && aFollower.sentRegistryRevision == revision;
  const bool isRegistrySent =
    aFollower.sentRegistryRevision == revision && now - aFollower.registrySentAt < resendInterval;
  if (!isRegistryConfirmed && !isRegistrySent) {
    feed->set_registry(true);
    mRegistry.AddUpstreams(*feed, now);
    aFollower.sentRegistryRevision = revision;
    aFollower.registrySentAt = now;
  }
  const std::uint64_t number = mState.Document().number();
  const bool isDocumentSent =
    aFollower.sentDocumentNumber == number && now - aFollower.documentSentAt < resendInterval;
  if (aFollower.report.document_number() < number && !isDocumentSent) {
    *feed->mutable_document() = mState.Document();
    aFollower.sentDocumentNumber = number;
    aFollower.documentSentAt = now;
  }
  AddMembers(aFollower, *feed);
  mRegistry.AddAwaitedStates(aFollower.awaited, *feed, now);
  aFollower.awaited.Clear();
  feed->set_crashes_received(aFollower.crashesReceived);
  return message.SerializeAsString();
}

void ControlHost::SendQuarantine()
{
  const core::Instant now = mOptions.loop.Now();
  const std::uint64_t revision = mState.QuarantineRevision();
  std::string payload;
  for (auto& [host, follower] : mFollowers.Followers()) {
    const bool isSent = follower.sentQuarantineRevision == revision &&
                        now - follower.quarantineSentAt < mOptions.settings.resendInterval;
    if (follower.report.quarantine_revision() >= revision || isSent) {
      continue;
    }
    if (payload.empty()) {
      proto::Message message;
      *message.mutable_quarantine() = mState.Quarantine();
      payload = message.SerializeAsString();
    }
    mOptions.links.Send(host, { .channel = peer::Channel::Cluster, .payload = payload });
    follower.sentQuarantineRevision = revision;
    follower.quarantineSentAt = now;
  }
}

void ControlHost::RunLeaderTasks()
{
  if (mGroup->CurrentRole() != log::Role::Leader) {
    mMoveStartedAt.clear();
    mUnversionedSince.clear();
    return;
  }
  ProposeQuotaRecord();
  if (mOptions.loop.Now() - mLastProposalAt < kProposalInterval) {
    return;
  }
  ProposeVersions();
  ProposeRegistry();
  for (const auto& [service, move] : mState.Moves()) {
    if (IsRunning(move)) {
      CoordinateMove(move);
    }
  }
}

void ControlHost::CoordinateMove(const proto::Move& aMove)
{
  const core::Instant now = mOptions.loop.Now();
  const auto [startedAt, isNew] = mMoveStartedAt.try_emplace(aMove.number(), now);
  if (isNew) {
    // A new leader derives the time that passed before its term from the wall clock, limited to the
    // duration of the move.
    const std::uint64_t wallMs = WallClockMs();
    const std::uint64_t elapsedMs = wallMs > aMove.ordered_ms() ? wallMs - aMove.ordered_ms() : 0;
    startedAt->second =
      now - std::chrono::milliseconds(std::min<std::uint64_t>(elapsedMs, aMove.duration_ms()));
  }
  const auto decision =
    mMoveCoordinator.Decide(aMove, now - startedAt->second, mFollowers.CollectEvidence());
  if (!decision) {
    return;
  }
  proto::Command command;
  command.mutable_settle()->set_service(aMove.service());
  command.mutable_settle()->set_number(aMove.number());
  command.mutable_settle()->set_phase(decision->phase);
  logging::Event(logging::Level::Info, "move-decided",
                 { { "service", aMove.service() },
                   { "target", aMove.target() },
                   { "phase", ToString(decision->phase) },
                   { "reason", decision->reason },
                   { "figures", decision->summary } });
  mLastProposalAt = now;
  Submit(false, command, mOptions.settings.commandTimeout,
         [](const core::Result<proto::QueryAnswer>&) {
           // If it was not applied, the step is decided again from the state.
         });
}

void ControlHost::ProposeRegistry()
{
  if (mRegistry.Revision() == mProposedRegistryRevision || !mKnownUpstreamsRestored ||
      mLastProposalAt == mOptions.loop.Now()) {
    return;
  }
  mProposedRegistryRevision = mRegistry.Revision();
  proto::Command command;
  for (const proto::Upstream& it : mRegistry.List()) {
    *command.mutable_known()->add_upstreams() = it;
  }
  mLastProposalAt = mOptions.loop.Now();
  Submit(false, command, mOptions.settings.commandTimeout,
         [this](const core::Result<proto::QueryAnswer>& aReply) {
           if (!aReply) {
             mProposedRegistryRevision = 0; // Not stored; proposed again later.
           }
         });
}

void ControlHost::ProposeCrashEvidence()
{
  auto evidence = mCrashEvidence.TakeBatch();
  const bool hasExpired = mGroup->CurrentRole() == log::Role::Leader &&
                          mState.Crashes().HasExpired(WallClockMs()) &&
                          mOptions.loop.Now() - mLastProposalAt >= kProposalInterval;
  if (!evidence && !hasExpired) {
    return;
  }
  const bool isBatch = evidence.has_value();
  proto::Command command;
  if (isBatch) {
    *command.mutable_crashes() = std::move(*evidence);
  } else {
    mLastProposalAt = mOptions.loop.Now();
  }
  command.mutable_crashes()->set_at_ms(WallClockMs());
  Submit(false, command, mOptions.settings.commandTimeout,
         [this, isBatch](const core::Result<proto::QueryAnswer>& aReply) {
           // An expiry that was not applied is proposed again.
           if (isBatch) {
             mCrashEvidence.OnProposed(aReply.has_value());
           }
         });
}

bool ControlHost::IsQuotaRecordValid() const
{
  const std::uint64_t nowMs = WallClockMs();
  const std::uint64_t recordMs = mState.QuotaRecord().at_ms();
  const auto windowMs = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(mOptions.cluster.quotaWindow).count());
  return recordMs != 0 && nowMs < recordMs + windowMs && recordMs < nowMs + windowMs;
}

void ControlHost::ProposeQuotaRecord()
{
  const core::Instant now = mOptions.loop.Now();
  if (now - mLastQuotaRecordAt < kQuotaRecordInterval) {
    return;
  }
  proto::Feed sums;
  mFollowers.AddRemoteSums({}, sums, false);
  mFollowers.AddDeparted(sums);
  if (sums.demand_size() == 0 && sums.departed_size() == 0) {
    return;
  }
  // Usage that hosts have forgotten since the last record still counts. If too many hosts restarted
  // recently, the old record stays, because a new one would count their usage since then twice.
  const double missingHistoryWeight = request::forward::WorkspaceQuota::MissingHistoryWeight(
    { .reportingHosts = sums.hosts(), .partialHistoryHosts = sums.forgetful() });
  if (missingHistoryWeight > kMaxMissingHistoryWeight && IsQuotaRecordValid()) {
    return;
  }
  mLastQuotaRecordAt = now;
  std::map<std::string, double> recorded;
  if (IsQuotaRecordValid()) {
    for (const proto::Demand& it : mState.QuotaRecord().uses()) {
      recorded[it.workspace()] = it.used() * missingHistoryWeight;
    }
  }
  // The departed are a part of what hosts have forgotten.
  for (const proto::Demand& it : sums.departed()) {
    recorded[it.workspace()] = std::max(recorded[it.workspace()], it.used());
  }
  for (const proto::Demand& it : sums.demand()) {
    recorded[it.workspace()] += it.used();
  }
  proto::Command command;
  command.mutable_quota()->set_at_ms(WallClockMs());
  for (const auto& [workspace, used] : recorded) {
    proto::Demand* it = command.mutable_quota()->add_uses();
    it->set_workspace(workspace);
    it->set_used(used);
  }
  Submit(false, command, mOptions.settings.commandTimeout,
         [](const core::Result<proto::QueryAnswer>&) {
           // The next record follows within a second.
         });
}

void ControlHost::RestoreKnownUpstreams()
{
  // A state that was never current, as after a start with an old disk, may list upstreams that are
  // gone.
  if (mKnownUpstreamsRestored || !mGroup->StateAge() || mState.Document().number() == 0) {
    return;
  }
  mKnownUpstreamsRestored = true;
  const core::Instant now = mOptions.loop.Now();
  for (const proto::Upstream& it : mState.KnownUpstreams().upstreams()) {
    mRegistry.Restore(it, now);
  }
}

void ControlHost::ProposeVersions()
{
  const core::Instant now = mOptions.loop.Now();
  std::map<std::string, std::string> oldestVersions;
  std::map<std::string, std::uint64_t> oldestIncarnations;
  for (const proto::Upstream& it : mRegistry.List()) {
    if (mState.Versions().contains(it.service())) {
      continue;
    }
    const auto [oldest, isNew] = oldestIncarnations.try_emplace(it.service(), it.incarnation());
    if (isNew || it.incarnation() < oldest->second) {
      oldest->second = it.incarnation();
      oldestVersions[it.service()] = it.version();
    }
  }
  for (const auto& [service, version] : oldestVersions) {
    const auto firstSeen = mUnversionedSince.try_emplace(service, now).first;
    if (now - firstSeen->second < kVersionSettleDuration) {
      continue;
    }
    proto::Command command;
    command.mutable_version()->set_service(service);
    command.mutable_version()->set_version(version);
    mLastProposalAt = now;
    Submit(false, command, mOptions.settings.commandTimeout,
           [](const core::Result<proto::QueryAnswer>&) {
             // If it was not applied, it is proposed again from the registry.
           });
  }
}

void ControlHost::LogQuarantine()
{
  if (std::exchange(mLoggedQuarantineRevision, mState.QuarantineRevision()) ==
      mState.QuarantineRevision()) {
    return;
  }
  const request::quarantine::CrashAttribution& crashes = mState.Crashes();
  std::string groups;
  for (const request::quarantine::PartGroup& group : crashes.Quarantined()) {
    groups += groups.empty() ? "" : ",";
    for (const core::PromptPartId& it : group) {
      groups += (it == group.front() ? "" : "+") + it.Text() + ":" +
                std::to_string(crashes.Records().at(it).crashes.size());
    }
  }
  const bool isNews = std::exchange(mLoggedQuarantine, groups) != groups;
  logging::Event(isNews ? logging::Level::Warning : logging::Level::Info, "prompt-parts-suspected",
                 { { "revision", mLoggedQuarantineRevision },
                   { "suspected", crashes.Records().size() },
                   { "quarantined", groups } });
}

std::string ControlHost::Metrics()
{
  metrics::GaugeText gauges;
  AddGroupMetrics(ViewGroup(*mGroup), gauges);
  gauges.AddAge("state_age_ms", mGroup->StateAge());
  gauges.Add("disk_full", mGroup->IsDiskFull() ? 1 : 0);
  gauges.Add("followers", FollowerCount());
  gauges.Add("upstreams_known", UpstreamCount());
  gauges.Add("evacuated_data_centres", EvacuatedDataCentres().size());
  gauges.Add("log_lines_dropped", logging::DroppedLineCount());
  mOptions.links.AddMetrics(gauges);
  return gauges.Text();
}

void ControlHost::LogChanges()
{
  LogQuarantine();
  mEvacuationLog.Update(EvacuatedDataCentres());
  mGroupHealthLog.Update(ViewGroup(*mGroup), mOptions.loop.Now());
  if (mGroup->Leader() != mLoggedLeader) {
    mLoggedLeader = mGroup->Leader();
    logging::Event(logging::Level::Info, mLoggedLeader.IsEmpty() ? "leader-lost" : "leader-known",
                   { { "leader", mLoggedLeader.Text() },
                     { "role", log::ToString(mGroup->CurrentRole()) },
                     { "term", mGroup->CurrentTerm().Value() },
                     { "voters", mGroup->Voters().voters.size() } });
  }
  if (mState.Document().number() != mLoggedDocumentNumber) {
    mLoggedDocumentNumber = mState.Document().number();
    logging::Event(
      logging::Level::Info, "document-accepted",
      { { "number", mLoggedDocumentNumber }, { "bytes", mState.Document().text().size() } });
  }
  if (mState.LastChangeIndex() != mLoggedChangeIndex) {
    mLoggedChangeIndex = mState.LastChangeIndex();
    for (const auto& [service, move] : mState.Moves()) {
      logging::Event(logging::Level::Info, "move",
                     { { "service", service },
                       { "target", move.target() },
                       { "former", move.former() },
                       { "phase", ToString(move.phase()) },
                       { "index", mLoggedChangeIndex } });
    }
  }
}

} // namespace cuminfield::process::cluster
