#include "cuminfield/process/cluster/EntryHost.h"

#include "cuminfield/process/cluster/CrashMessages.h"
#include "cuminfield/process/logging/EventLog.h"
#include "cuminfield/process/metrics/GaugeText.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::cluster {

namespace {

constexpr core::Duration kDrainCheckInterval = std::chrono::milliseconds(50);

/// Observations of upstreams are sent with one in this many reports, since they change over
/// seconds.
constexpr std::uint64_t kReportsPerObserved = 4;

/// Observations whose decayed sum is below this are no longer reported.
constexpr double kMinObservedWeight = 0.05;

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
  mFollower.OnFeed().connect([this](const proto::Feed& aFeed) { OnFeed(aFeed); });
  mFollower.OnQuarantine().connect(
    [this](const proto::Quarantine& aQuarantine) { ApplyQuarantine(aQuarantine); });
  mScheduler.Quarantine().OnBreakOff().connect(
    [this](const request::quarantine::Crash& aCrash) { CheckUpstream(aCrash); });
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
    // Accepted by a control host that runs a newer version of the program; the catalogue in force
    // stays.
    logging::Event(logging::Level::Error, "document-unreadable",
                   { { "number", aDocument.number() }, { "error", parsed.error().message } });
    return;
  }
  mCatalogue =
    std::make_shared<const version::catalogue::CatalogueIndex>(std::move(parsed.value()));
  mFollower.SetDocumentNumber(aDocument.number());
  mRegionPolicy.SetCatalogue(mCatalogue);
  mScheduler.OnRegionsChanged();
  mForwards.OnCatalogueAvailable();
  logging::Event(
    logging::Level::Info, "document-in-force",
    { { "number", aDocument.number() }, { "routes", mCatalogue->Content().routes.size() } });
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
      mScheduler.Quarantine().RecordCheck(aCrash, aIsReachable);
    });
}

void EntryHost::ApplyRegistry(const proto::Feed& aFeed)
{
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
    mScheduler.AddOrUpdateUpstream(ToAnnouncement(it));
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

void EntryHost::ApplyRemoteLoad(const proto::Feed& aFeed)
{
  const core::Instant now = mOptions.loop.Now();
  std::set<core::UpstreamId> reported;
  for (const proto::InFlight& it : aFeed.in_flight()) {
    const core::UpstreamId id(it.upstream());
    reported.insert(id);
    mScheduler.Upstreams().SetRemoteLoad(id, it.requests(), it.prompt_tokens(), now);
    mScheduler.Upstreams().SetRemoteReachability(id, it.doubting(), it.trusting(), now);
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
    }
  }
  request::placement::PlacementScheduler::RequestsByRank demand;
  for (const proto::Wanted& it : aFeed.wanted()) {
    demand[{ core::ServiceId(it.service()), it.rank() }] = it.requests();
  }
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
    if (entry.localInFlight > 0 || observations.suspectingHosts > 0 ||
        observations.confirmingHosts > 0) {
      proto::InFlight* it = aReport.add_in_flight();
      it->set_upstream(id.Text());
      it->set_requests(entry.localInFlight);
      it->set_prompt_tokens(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, entry.localPromptTokens)));
      it->set_doubting(observations.suspectingHosts);
      it->set_trusting(observations.confirmingHosts);
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
  for (const auto& [key, requests] : mScheduler.LocalDemand()) {
    proto::Wanted* it = aReport.add_wanted();
    it->set_service(key.first.Text());
    it->set_rank(key.second);
    it->set_requests(requests);
  }
  const double historyShare = mQuota.HistoryShare(now);
  aReport.set_quota_memory(historyShare);
  aReport.set_forgetful(historyShare < 1 ? 1 : 0);
  mVersionShares.FillReport(aReport);
  FillCrashReports(aReport);
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

std::string EntryHost::Metrics()
{
  metrics::GaugeText gauges;
  gauges.Add("requests_in_flight", mForwards.Size());
  gauges.Add("requests_waiting", mScheduler.QueueSize());
  // Negative before the first feed.
  gauges.AddAge("feed_age_ms", mFollower.FeedAge());
  gauges.AddAge("state_age_ms", mFollower.StateAge());
  gauges.Add("upstreams_known", mKnownUpstreams.size());
  gauges.Add("evacuated_data_centres", mEvacuationLog.Count());
  gauges.Add("prompt_parts_quarantined", mScheduler.Quarantine().QuarantinedCount());
  gauges.Add("log_lines_dropped", logging::DroppedLineCount());
  mOptions.links.AddMetrics(gauges);
  return mMonitor.FormatMetrics() + gauges.Text();
}

} // namespace cuminfield::process::cluster
