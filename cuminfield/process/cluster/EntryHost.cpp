#include "cuminfield/process/cluster/EntryHost.h"

#include "cuminfield/process/cluster/CrashMessages.h"
#include "cuminfield/process/logging/EventLog.h"
#include "cuminfield/process/metrics/GaugeText.h"
#include "cuminfield/request/placement/RendezvousSet.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace cuminfield::process::cluster {

namespace {

constexpr core::Duration kDrainCheckInterval = std::chrono::milliseconds(50);

/// Observations of upstreams are sent with one in this many reports, since they change over
/// seconds.
constexpr std::uint64_t kReportsPerObserved = 4;

/// Observations whose decayed sum is below this are no longer reported.
constexpr double kMinObservedWeight = 0.05;

/// Upstreams whose heartbeats a report may await. Others follow with the next reports: a host that
/// starts awaits those of all upstreams.
constexpr std::size_t kMaxAwaitedHeartbeats = 128;

/// Age of an upstream's last heartbeat up to which a host that has just started takes the upstream
/// for in use: the interval of heartbeats and their way.
constexpr core::Duration kMaxHeartbeatAge = std::chrono::milliseconds(1500);

/// Sums of responses in slow start are sent in hundredths.
constexpr double kAnswerScale = 100;

std::uint64_t MakeIncarnation(const core::EventLoop& aLoop)
{
  return static_cast<std::uint64_t>(aLoop.WallNow().time_since_epoch().count());
}

} // namespace

EntryHost::EntryHost(Options aOptions)
  : mOptions(std::move(aOptions))
  , mQuota(mOptions.settings.quota, mOptions.loop.Now(), mOptions.cluster.firstStart)
  , mVersionShares(mOptions.settings.versions)
  , mMonitor(mVersionShares)
  , mTransport({ .settings = mOptions.settings.transport, .loop = mOptions.loop })
  , mForwards({ .settings = mOptions.settings.forward,
                .timers = mOptions.loop,
                .transport = mTransport,
                .codec = mOptions.codec,
                .observer = mMonitor,
                .quota = mQuota,
                .catalogue = [this] { return mCatalogue; },
                .isCatalogueCurrent = [this] { return !mFollower.IsOutdated(); } })
  , mScheduler({ .settings = mOptions.settings.placement,
                 .timers = mOptions.loop,
                 .random = mOptions.random,
                 .listener = mForwards,
                 .versions = mVersionShares,
                 .dataCentre = mOptions.cluster.dataCentre,
                 .regions = &mRegionPolicy })
  , mReachability({ .settings = mOptions.settings.reachability, .loop = mOptions.loop })
  , mServer({ .settings = mOptions.settings.server,
              .listen = mOptions.callerEndpoint,
              .loop = mOptions.loop,
              .handler = mForwards })
  , mFollower({ .cluster = mOptions.cluster,
                .incarnation = MakeIncarnation(mOptions.loop),
                .timers = mOptions.loop,
                .links = mOptions.links,
                .random = mOptions.random,
                .hasBacklog = [this] { return mScheduler.QueueSize() > 0; },
                .fillReport = [this](proto::Report& aReport) { FillReport(aReport); } })
{
  mForwards.SetScheduler(mScheduler);
  mForwards.OnRejected().connect([this](const core::RequestId& aId,
                                        const core::WorkspaceId& aWorkspace,
                                        const request::forward::ForwardFailure& aFailure) {
    mMonitor.OnRejected(aId, aWorkspace, aFailure);
  });
  mScheduler.OnWaitRejected().connect(
    [this](const request::RequestSpec& aSpec, const request::placement::WaitRejection& aRejection) {
      mMonitor.OnWaitRejected(aSpec, aRejection);
    });
  mFollower.OnFeed().connect([this](const proto::Feed& aFeed) { OnFeed(aFeed); });
  mFollower.OnQuarantine().connect(
    [this](const proto::Quarantine& aQuarantine) { ApplyQuarantine(aQuarantine); });
  mScheduler.OnEvacuationEnded().connect([this](const request::UpstreamAnnouncement& aUpstream) {
    mScheduler.Upstreams().ReleaseUpstreams({ aUpstream.id }, mOptions.loop.Now());
  });
  mScheduler.Quarantine().OnBreakOff().connect(
    [this](const request::quarantine::Crash& aCrash) { CheckUpstream(aCrash); });
  mScheduler.Upstreams().Pacer().OnPaced().connect(
    [](const core::UpstreamId& aId, request::placement::PaceReason aReason) {
      logging::Event(logging::Level::Info, "upstream-paced",
                     { { "upstream", aId.Text() }, { "reason", ToString(aReason) } });
    });
  mScheduler.Upstreams().Pacer().OnUnpaced().connect(
    [](const core::UpstreamId& aId, core::Duration aDuration) {
      logging::Event(logging::Level::Info, "upstream-unpaced",
                     { { "upstream", aId.Text() },
                       { "paced_ms", static_cast<std::int64_t>(core::Milliseconds(aDuration)) } });
    });
  // Reported at once: each further request with a fatal part costs an upstream.
  mScheduler.Quarantine().OnCrashRecorded().connect([this] { mFollower.HastenReport(); });
}

core::Result<void> EntryHost::Start()
{
  if (auto started = mServer.Start(); !started) {
    return started.error();
  }
  mFollower.Start();
  logging::Event(logging::Level::Info, "host-started",
                 { { "host", mOptions.cluster.name },
                   { "data_centre", mOptions.cluster.dataCentre.Text() },
                   { "callers", mOptions.callerEndpoint.ToString() } });
  return core::Success();
}

bool EntryHost::IsReady() const
{
  return mCatalogue && !mKnownUpstreams.empty() && !mStopping;
}

void EntryHost::OnFeed(const proto::Feed& aFeed)
{
  mVersionShares.ApplyFeed(aFeed);
  if (aFeed.state_applied() != 0 && aFeed.state_applied() != mStateApplied) {
    mStateApplied = aFeed.state_applied();
    mScheduler.RecheckQueued();
  }
  // Before the registry, which may list further upstreams of an evacuated data centre.
  ApplyEvacuations(aFeed);
  if (aFeed.registry()) {
    ApplyRegistry(aFeed);
  }
  ApplyMembers(aFeed);
  ApplyUpstreamStates(aFeed);
  ApplyRemoteLoad(aFeed);
  mScheduler.Quarantine().Acknowledge(aFeed.crashes_received());
  // The document comes last, so that requests waiting for the first one find all other state in
  // place.
  if (aFeed.has_document()) {
    ApplyDocument(aFeed.document());
  }
}

void EntryHost::ApplyEvacuations(const proto::Feed& aFeed)
{
  if (aFeed.state_applied() == 0) {
    return; // The control host lags behind the one that was followed before.
  }
  std::set<core::DataCentreId> evacuated;
  for (const proto::Evacuation& it : aFeed.evacuations()) {
    evacuated.emplace(it.data_centre());
  }
  mEvacuationLog.Update(evacuated);
  mScheduler.SetEvacuated(std::move(evacuated));
}

void EntryHost::ApplyDocument(const proto::Document& aDocument)
{
  auto parsed = mOptions.parseCatalogue(aDocument.text());
  if (!parsed) {
    // Accepted by a control host that runs another version of the program; the catalogue in force
    // stays.
    logging::Event(logging::Level::Error, "document-unreadable",
                   { { "number", aDocument.number() }, { "error", parsed.error().message } });
    return;
  }
  mCatalogue =
    std::make_shared<const version::catalogue::CatalogueIndex>(std::move(parsed.value()));
  std::map<core::ServiceId, request::placement::PacedService> paced;
  for (const version::catalogue::ServiceRule& it : mCatalogue->Content().services) {
    if (it.coldPerSecond > 0) {
      paced[it.id] = { .coldPerSecond = it.coldPerSecond, .coldStart = it.coldStart };
    }
  }
  mScheduler.Upstreams().SetPacedServices(std::move(paced));
  mFollower.SetDocumentNumber(aDocument.number());
  mRegionPolicy.SetCatalogue(mCatalogue);
  mScheduler.OnRegionsChanged();
  mScheduler.SetTightServices(mCatalogue->ServicesWithTightTargets());
  mForwards.OnCatalogueAvailable();
  logging::Event(logging::Level::Info, "document-in-force",
                 { { "number", aDocument.number() },
                   { "routes", mCatalogue->Content().routes.size() },
                   { "workspaces", mCatalogue->Content().workspaces.size() },
                   { "keys", mCatalogue->Content().requiresKeys ? "required" : "not-required" } });
  LogUnknownRegions();
}

void EntryHost::LogUnknownRegions() const
{
  const auto& regions = mOptions.cluster.regions;
  std::map<core::RegionId, std::string> unknown;
  const auto collect = [&](const auto& aRules) {
    for (const auto& rule : aRules) {
      for (const core::RegionId& it :
           rule.allowedRegions ? rule.allowedRegions->Regions() : std::vector<core::RegionId>()) {
        if (std::none_of(regions.begin(), regions.end(),
                         [&](const auto& aItem) { return aItem.second == it; })) {
          unknown.emplace(it, rule.id.Text());
        }
      }
    }
  };
  collect(mCatalogue->Content().routes);
  collect(mCatalogue->Content().workspaces);
  for (const auto& [region, rule] : unknown) {
    logging::Event(logging::Level::Warning, "region-unknown",
                   { { "region", region.Text() },
                     { "named_by", rule },
                     { "number", mCatalogue->Content().number } });
  }
}

request::UpstreamAnnouncement EntryHost::ToAnnouncement(const proto::Upstream& aUpstream) const
{
  const core::DataCentreId dataCentre(aUpstream.data_centre());
  const auto region = mOptions.cluster.regions.find(dataCentre);
  return { .id = core::UpstreamId(aUpstream.id()),
           .incarnation = core::Incarnation(aUpstream.incarnation()),
           .service = core::ServiceId(aUpstream.service()),
           .version = core::VersionId(aUpstream.version()),
           .dataCentre = dataCentre,
           .region = region == mOptions.cluster.regions.end() ? core::RegionId() : region->second,
           .address = aUpstream.address(),
           .port = static_cast<std::uint16_t>(aUpstream.port()),
           .slots = aUpstream.slots(),
           .cacheCapacity = {},
           .supportsResume = false,
           .isEngine = aUpstream.model() };
}

void EntryHost::ApplyQuarantine(const proto::Quarantine& aQuarantine)
{
  request::quarantine::QuarantineTable::State state{
    .revision = aQuarantine.revision(),
    .suspects = ToServiceParts(aQuarantine.suspects()),
    .repeatSuspects = ToServiceParts(aQuarantine.repeat_suspects()),
    .suspectsWithoutStart = ToServiceParts(aQuarantine.suspects_without_start()),
    .quarantined = {},
  };
  for (const proto::PartGroup& it : aQuarantine.groups()) {
    state.quarantined.emplace_back(it.parts().begin(), it.parts().end());
  }
  if (mScheduler.UpdateQuarantine(std::move(state))) {
    logging::Event(logging::Level::Info, "quarantine-updated",
                   { { "revision", aQuarantine.revision() },
                     { "suspected", aQuarantine.suspects_size() },
                     { "quarantined", aQuarantine.groups_size() } });
    mForwards.AbortQuarantined(mScheduler.Quarantine());
  }
}

void EntryHost::CheckUpstream(const request::quarantine::Crash& aCrash)
{
  const request::placement::UpstreamEntry* entry = mScheduler.Upstreams().Find(aCrash.upstream);
  if (!entry || entry->upstream.incarnation != aCrash.incarnation) {
    mScheduler.Quarantine().RecordCheck(aCrash, false);
    return;
  }
  mReachability.Start(
    entry->upstream.address, entry->upstream.port, [this, aCrash](bool aIsReachable) {
      logging::Event(logging::Level::Info, "upstream-checked",
                     { { "upstream", aCrash.upstream.Text() }, { "reachable", aIsReachable } });
      if (!aIsReachable) {
        mScheduler.Upstreams().RecordOutOfReach(aCrash.upstream, aCrash.incarnation,
                                                mOptions.loop.Now());
      }
      mScheduler.Quarantine().RecordCheck(aCrash, aIsReachable);
    });
}

void EntryHost::ApplyRegistry(const proto::Feed& aFeed)
{
  const bool isFirst = !std::exchange(mHasRegistry, true);
  std::set<core::UpstreamId> known;
  for (const proto::Upstream& it : aFeed.upstreams()) {
    const core::UpstreamId id(it.id());
    if (it.leaving()) {
      mScheduler.RemoveUpstream(id);
      continue;
    }
    known.insert(id);
    if (!mKnownUpstreams.contains(id)) {
      logging::Event(logging::Level::Info, "upstream-up",
                     { { "upstream", it.id() },
                       { "service", it.service() },
                       { "version", it.version() },
                       { "registry", aFeed.registry_revision() } });
    }
    // What is known of the upstream comes before requests are sent to it.
    const core::Instant now = mOptions.loop.Now();
    const request::UpstreamAnnouncement upstream = ToAnnouncement(it);
    mScheduler.Upstreams().AddOrUpdateUpstream(upstream, now);
    mScheduler.Upstreams().RecordColdTime(id, upstream.incarnation, it.sequence(),
                                          std::chrono::milliseconds(it.warming_ms()), now);
    const bool isRecent = std::chrono::milliseconds(it.heard_ms()) <= kMaxHeartbeatAge;
    if (isFirst && isRecent && it.warming_ms() == 0) {
      mScheduler.Upstreams().RecordFoundInUse(id);
    }
    mScheduler.OnUpstreamUpdated(upstream.service);
  }
  for (const core::UpstreamId& it : mKnownUpstreams) {
    if (known.contains(it)) {
      continue;
    }
    // A control host that has just started does not know every upstream yet.
    if (!aFeed.complete()) {
      known.insert(it);
      continue;
    }
    logging::Event(logging::Level::Info, "upstream-gone",
                   { { "upstream", it.Text() }, { "registry", aFeed.registry_revision() } });
    mScheduler.RemoveUpstream(it);
  }
  mKnownUpstreams = std::move(known);
}

void EntryHost::ApplyMembers(const proto::Feed& aFeed)
{
  if (aFeed.members_revision() == 0) {
    return;
  }
  mMembersRevision = aFeed.members_revision();
  mScheduler.Upstreams().Pacer().SetMembers(
    request::placement::RendezvousSet::HashOf(mOptions.cluster.id.Text()),
    { aFeed.members().begin(), aFeed.members().end() }, mOptions.loop.Now());
}

void EntryHost::ApplyUpstreamStates(const proto::Feed& aFeed)
{
  for (const proto::UpstreamState& it : aFeed.upstream_states()) {
    if (const core::UpstreamId* id = mScheduler.Upstreams().Pacer().FindByHash(it.upstream())) {
      mScheduler.Upstreams().RecordColdTime(*id, core::Incarnation(it.incarnation()), it.sequence(),
                                            std::chrono::milliseconds(it.cold_ms()),
                                            mOptions.loop.Now());
    }
  }
}

void EntryHost::ApplyRemoteLoad(const proto::Feed& aFeed)
{
  const core::Instant now = mOptions.loop.Now();
  std::set<core::UpstreamId> reported;
  for (const proto::InFlight& it : aFeed.in_flight()) {
    const core::UpstreamId id(it.upstream());
    reported.insert(id);
    mScheduler.Upstreams().SetRemoteLoad(id, it.requests(), it.prompt_tokens(), now);
    mScheduler.Upstreams().SetRemoteReachability(id, it.doubting(), it.trusting(), now);
    mScheduler.Upstreams().SetRemotePacedAnswers(id, it.slow_start_good() / kAnswerScale,
                                                 it.slow_start_bad() / kAnswerScale, now);
    mScheduler.Upstreams().SetRemoteSpeed(id, it.speed_percent(), it.speed_samples(), now);
  }
  for (const proto::Observed& it : aFeed.observed()) {
    mScheduler.Upstreams().SetRemoteObservations(core::UpstreamId(it.upstream()),
                                                 { .attemptCount = it.answers(),
                                                   .failureCount = it.failures(),
                                                   .tokenIntervalCount = it.paces(),
                                                   .tokenIntervalSumMs = it.token_ms(),
                                                   .firstEventCount = it.firsts(),
                                                   .firstEventFactorSum = it.first_factor() });
  }
  for (auto& [id, entry] : mScheduler.Upstreams().Entries()) {
    if (!reported.contains(id)) {
      mScheduler.Upstreams().SetRemoteLoad(id, 0, 0, now);
      mScheduler.Upstreams().SetRemoteReachability(id, 0, 0, now);
      if (entry.isPaced) {
        mScheduler.Upstreams().SetRemotePacedAnswers(id, 0, 0, now);
      }
    }
  }
  request::placement::PlacementScheduler::RequestsByRank demand;
  request::placement::PlacementScheduler::LoadByRank load;
  for (const proto::Wanted& it : aFeed.wanted()) {
    const std::pair key(core::ServiceId(it.service()), it.rank());
    demand[key] = it.requests();
    load[key] = { .requests = static_cast<double>(it.requests()),
                  .waiting = static_cast<double>(it.waiting()),
                  .donePerSecond = it.done_per_s() };
  }
  mScheduler.SetRemoteLoad(std::move(load));
  mScheduler.SetRemoteDemand(std::move(demand));
  std::map<core::WorkspaceId, request::forward::QuotaUse> quotaUse;
  for (const proto::Demand& it : aFeed.demand()) {
    quotaUse[core::WorkspaceId(it.workspace())] = { .used = it.used(), .demand = it.units_per_s() };
  }
  for (const proto::Demand& it : aFeed.recorded()) {
    quotaUse[core::WorkspaceId(it.workspace())].recorded = it.used();
  }
  for (const proto::Demand& it : aFeed.departed()) {
    quotaUse[core::WorkspaceId(it.workspace())].departed = it.used();
  }
  mQuota.SetRemoteUse(std::move(quotaUse),
                      { .reportingHosts = aFeed.hosts(),
                        .knownHosts = aFeed.hosts_known(),
                        .historySum = aFeed.quota_memory(),
                        .partialHistoryHosts = aFeed.forgetful(),
                        .hasRecord = aFeed.has_recorded() },
                      now);
}

void EntryHost::FillReport(proto::Report& aReport)
{
  const core::Instant now = mOptions.loop.Now();
  aReport.set_has_observed(mReportCount++ % kReportsPerObserved == 0);
  for (auto& [id, entry] : mScheduler.Upstreams().Entries()) {
    const auto observations = mScheduler.Upstreams().LocalObservations(entry, now);
    const auto answers = mScheduler.Upstreams().LocalPacedAnswers(entry, now);
    const auto speed = mScheduler.Upstreams().TakeSpeedReport(entry, now);
    if (entry.localInFlight > 0 || observations.suspectingHosts > 0 ||
        observations.confirmingHosts > 0 || answers.good + answers.bad > kMinObservedWeight ||
        speed) {
      proto::InFlight* it = aReport.add_in_flight();
      it->set_upstream(id.Text());
      it->set_requests(entry.localInFlight);
      it->set_prompt_tokens(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, entry.localPromptTokens)));
      it->set_doubting(observations.suspectingHosts);
      it->set_trusting(observations.confirmingHosts);
      it->set_slow_start_good(static_cast<std::uint32_t>(answers.good * kAnswerScale));
      it->set_slow_start_bad(static_cast<std::uint32_t>(answers.bad * kAnswerScale));
      if (speed) {
        it->set_speed_percent(*speed);
        it->set_speed_samples(1);
      }
    }
    if (aReport.has_observed() &&
        observations.attemptCount + observations.firstEventCount + observations.tokenIntervalCount >
          kMinObservedWeight) {
      proto::Observed* it = aReport.add_observed();
      it->set_upstream(id.Text());
      it->set_answers(static_cast<float>(observations.attemptCount));
      it->set_failures(static_cast<float>(observations.failureCount));
      it->set_paces(static_cast<float>(observations.tokenIntervalCount));
      it->set_token_ms(static_cast<float>(observations.tokenIntervalSumMs));
      it->set_firsts(static_cast<float>(observations.firstEventCount));
      it->set_first_factor(static_cast<float>(observations.firstEventFactorSum));
    }
  }
  for (const auto& [workspace, use] : mQuota.ReportUse(mOptions.loop.Now())) {
    proto::Demand* it = aReport.add_demand();
    it->set_workspace(workspace.Text());
    it->set_units_per_s(use.demand);
    it->set_used(use.used);
  }
  const request::placement::PlacementScheduler::LoadByRank load = mScheduler.LocalLoad();
  for (const auto& [key, requests] : mScheduler.LocalDemand()) {
    proto::Wanted* it = aReport.add_wanted();
    it->set_service(key.first.Text());
    it->set_rank(key.second);
    it->set_requests(requests);
    if (const auto tight = load.find(key); tight != load.end()) {
      it->set_waiting(static_cast<std::uint32_t>(tight->second.waiting));
      it->set_done_per_s(tight->second.donePerSecond);
    }
  }
  const double historyShare = mQuota.HistoryShare(now);
  aReport.set_quota_memory(historyShare);
  aReport.set_forgetful(historyShare < 1 ? 1 : 0);
  mVersionShares.FillReport(aReport);
  aReport.set_members_revision(mMembersRevision);
  if (aReport.has_observed()) {
    FillAwaitedHeartbeats(aReport);
  }
  FillCrashReports(aReport);
}

void EntryHost::FillAwaitedHeartbeats(proto::Report& aReport)
{
  const auto awaited =
    mScheduler.Upstreams().Pacer().AwaitedHeartbeats(kMaxAwaitedHeartbeats, mOptions.loop.Now());
  for (const auto& it : awaited) {
    proto::AwaitedHeartbeat* message = aReport.add_awaited();
    message->set_upstream(it.upstream);
    message->set_from_sequence(it.fromSequence);
  }
}

void EntryHost::FillCrashReports(proto::Report& aReport)
{
  const request::quarantine::QuarantineTable& quarantine = mScheduler.Quarantine();
  aReport.set_quarantine_revision(quarantine.Revision());
  for (const auto& pending : quarantine.PendingReports()) {
    proto::CrashReport* it = aReport.add_crashes();
    *it = ToProto(pending.report);
    it->set_sequence(pending.sequence);
  }
  *aReport.mutable_started() = ToServicePartList(quarantine.Started());
  *aReport.mutable_started_before() = ToServicePartList(quarantine.StartedBefore());
}

void EntryHost::Shutdown()
{
  if (std::exchange(mStopping, true)) {
    return;
  }
  logging::Event(logging::Level::Info, "shutdown-begun", { { "in_flight", mForwards.Size() } });
  mStopRequestedAt = mOptions.loop.Now();
  mForwards.BeginShutdown();
  mDrainTimer = mOptions.loop.ScheduleEvery(kDrainCheckInterval, [this] { CheckDrained(); });
}

void EntryHost::CheckDrained()
{
  const EntryHostSettings& settings = mOptions.settings;
  const core::Duration elapsed = mOptions.loop.Now() - mStopRequestedAt;
  // What is taken in must have time to be answered.
  if (elapsed < std::min(settings.acceptAfterStop, settings.shutdownTimeout / 2)) {
    return;
  }
  mForwards.RejectNewRequests();
  mServer.StopAccepting();
  mServer.CloseIdleConnections();
  if (elapsed >= settings.shutdownTimeout) {
    mAbortedRequests += mForwards.Size();
    mForwards.AbortAll();
  }
  // The process must not end before the callers have the last bytes of their responses.
  const bool isWritten = mForwards.Size() == 0 && !mServer.HasUnsentBytes();
  if (isWritten || elapsed >= settings.shutdownTimeout + settings.finalWriteTimeout) {
    logging::Event(mAbortedRequests > 0 || !isWritten ? logging::Level::Warning
                                                      : logging::Level::Info,
                   "shutdown-done", { { "cut", mAbortedRequests }, { "all_written", isWritten } });
    mDrainTimer =
      mOptions.loop.ScheduleAfter(kDrainCheckInterval, [this] { mOptions.loop.Stop(); });
  }
}

std::string EntryHost::WaitMetrics() const
{
  std::ostringstream text;
  const auto write = [&](const char* aName, const core::ServiceId& aService,
                         request::TierRank aRank, double aValue) {
    text << "cuminfield_" << aName << "{service=\"" << aService.Text() << "\",rank=\"" << aRank
         << "\"} " << static_cast<std::int64_t>(aValue) << "\n";
  };
  for (const auto& [service, policy] : mScheduler.WaitPolicies()) {
    for (const request::TierRank rank : policy->Ranks()) {
      write("predicted_wait_ms", service, rank, core::Milliseconds(policy->PredictWait(rank)));
      write("waiting_ahead", service, rank, policy->WaitingUpTo(rank));
    }
  }
  for (const auto& [key, placements] : mScheduler.FloorPlacements()) {
    write("floor_placements_total", key.first, key.second, static_cast<double>(placements));
  }
  return text.str();
}

std::string EntryHost::Metrics()
{
  metrics::GaugeText gauges;
  gauges.Add("requests_in_flight", mForwards.Size());
  gauges.Add("requests_waiting", mScheduler.QueueSize());
  // Negative before the first feed.
  gauges.AddAge("feed_age_ms", mFollower.FeedAge());
  gauges.AddAge("state_age_ms", mFollower.StateAge());
  gauges.Add("upstreams_known", mKnownUpstreams.size());
  const auto paced = mScheduler.Upstreams().Pacer().Count(mOptions.loop.Now());
  gauges.Add("upstreams_cold", paced.cold);
  gauges.Add("upstreams_in_slow_start", paced.inSlowStart);
  gauges.Add("hosts_listed", mScheduler.Upstreams().Pacer().MemberCount());
  gauges.Add("upstream_speeds_known", mScheduler.Upstreams().CountSpeedsKnown());
  gauges.Add("evacuated_data_centres", mEvacuationLog.Count());
  gauges.Add("prompt_parts_quarantined", mScheduler.Quarantine().QuarantinedCount());
  gauges.Add("log_lines_dropped", logging::DroppedLineCount());
  mOptions.links.AddMetrics(gauges);
  return mMonitor.FormatMetrics() + WaitMetrics() + gauges.Text();
}

} // namespace cuminfield::process::cluster
