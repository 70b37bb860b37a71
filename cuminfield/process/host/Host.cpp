#include "cuminfield/process/host/Host.h"

#include "cuminfield/process/host/ShowReport.h"
#include "cuminfield/process/logging/EventLog.h"

#include <random>
#include <utility>

namespace cuminfield::process::host {

namespace {

constexpr core::Duration kDocumentPublishPeriod = std::chrono::milliseconds(100);
constexpr core::Duration kDrainCheckPeriod = std::chrono::milliseconds(20);
/// Time for the last response bytes to be written to the socket.
constexpr core::Duration kFinalWriteDelay = std::chrono::milliseconds(200);

std::uint64_t ChooseSeed(const settings::HostSettings& aSettings)
{
  return aSettings.seed != 0 ? aSettings.seed : std::random_device()();
}

connection::caller::HttpServerSettings MakeServerSettings(const settings::HostSettings& aSettings)
{
  return { .maxBodySize = aSettings.maxRequestBody,
           .maxUnsentBytes = aSettings.maxCallerBuffer,
           .maxOpenRequests = aSettings.maxCallerConnections,
           .idleTimeout = aSettings.callerIdleTimeout };
}

} // namespace

Host::Host(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(ChooseSeed(mOptions.settings))
  , mIncarnation(static_cast<std::uint64_t>(mOptions.loop.WallNow().time_since_epoch().count()))
  , mCapacityClient({}, mOptions.loop)
  , mMetrics({})
  , mObservationRecorder(mOptions.settings.id, mOptions.settings.dataCentre,
                         core::Incarnation(mIncarnation))
  , mMoveShares(mOptions.settings.dataCentre, mOptions.loop)
  , mRequestObserver(mMetrics, mObservationRecorder)
  , mTransport({ .settings = { .connectTimeout = mOptions.settings.upstreamConnectTimeout,
                               .stallTimeout = mOptions.settings.upstreamStallTimeout },
                 .loop = mOptions.loop })
{
  const settings::HostSettings& settings = mOptions.settings;
  core::EventLoop& loop = mOptions.loop;

  // Components shared with other hosts.
  mLinks = std::make_unique<peer::GrpcPeerLinks>(peer::GrpcPeerLinks::Options{
    .self = settings.id, .listen = settings.peerEndpoint, .peers = settings.peers, .loop = loop });
  mGroups = std::make_unique<Groups>(
    Groups::Options{ .settings = settings, .loop = loop, .links = *mLinks, .random = mRandom });
  mDocumentDistributor = std::make_unique<documents::DocumentDistributor>(
    documents::DocumentDistributor::Options{ .dataCentre = settings.dataCentre,
                                             .peers = settings.peers,
                                             .timers = loop,
                                             .random = mRandom,
                                             .links = *mLinks });
  mOperatorService = std::make_unique<documents::OperatorService>(
    documents::OperatorService::Options{ .timers = loop,
                                         .group = mGroups->DocumentsGroup().Group(),
                                         .distributor = *mDocumentDistributor });
  mUpstreamDirectory =
    std::make_unique<membership::UpstreamDirectory>(membership::UpstreamDirectory::Options{
      .settings = { .leaseDuration = settings.upstreamLeaseDuration },
      .self = settings.id,
      .dataCentre = settings.dataCentre,
      .peers = settings.peers,
      .timers = loop,
      .links = *mLinks });
  mCapacityService = std::make_unique<capacity::CapacityService>(
    capacity::CapacityService::Options{ .host = mOptions.settings,
                                        .timers = loop,
                                        .groups = *mGroups,
                                        .links = *mLinks,
                                        .directory = *mUpstreamDirectory,
                                        .client = mCapacityClient });
  mClaimStore = std::make_unique<claims::GroupClaimStorage>(claims::GroupClaimStorage::Options{
    .host = settings.id, .timers = loop, .groups = mGroups->GroupsByDataCentre() });
  mMoveService = std::make_unique<moves::MoveService>(
    moves::MoveService::Options{ .host = mOptions.settings,
                                 .timers = loop,
                                 .groups = *mGroups,
                                 .links = *mLinks,
                                 .directory = *mUpstreamDirectory,
                                 .shares = mMoveShares,
                                 .observations = mObservationRecorder });

  // Request path.
  mExchanges = std::make_unique<request::exchange::ExchangeTable>(
    request::exchange::ExchangeTable::Options{ .host = settings.id,
                                               .incarnation = mIncarnation,
                                               .timers = loop,
                                               .claims = *mClaimStore,
                                               .transport = mTransport,
                                               .observer = mRequestObserver,
                                               .document = [this] { return mDocumentIndex; } });
  // Grants are issued by the group of the data centre; without that group there are none.
  const bool sharesCapacity = mGroups->Find(core::GroupId(settings.dataCentre.Text())) != nullptr;
  mScheduler = std::make_unique<request::admission::TieredScheduler>(
    request::admission::TieredSchedulerOptions{ .settings = {},
                                                .timers = loop,
                                                .random = mRandom,
                                                .listener = *mExchanges,
                                                .versions = mMoveShares,
                                                .capacity =
                                                  sharesCapacity ? &mCapacityClient : nullptr,
                                                .host = settings.id,
                                                .dataCentre = settings.dataCentre,
                                                .region = settings.region });
  mExchanges->SetScheduler(*mScheduler);
  mCapacityService->SetScheduler(*mScheduler);

  // Listening addresses.
  mControlHandler = std::make_unique<control::ControlHandler>(
    control::ControlHandler::Options{ .upstreamDirectory = *mUpstreamDirectory,
                                      .operatorService = *mOperatorService,
                                      .getShowReport = [this] { return MakeShowReport(); },
                                      .getMetrics = [this] { return ExposeMetrics(); },
                                      .isStopping = [this] { return mStopping; } });
  mCallerServer = std::make_unique<connection::caller::HttpServer>(
    connection::caller::HttpServer::Options{ .settings = MakeServerSettings(settings),
                                             .listen = settings.callerEndpoint,
                                             .loop = loop,
                                             .handler = *mExchanges });
  mControlServer = std::make_unique<connection::caller::HttpServer>(
    connection::caller::HttpServer::Options{ .settings = MakeServerSettings(settings),
                                             .listen = settings.controlEndpoint,
                                             .loop = loop,
                                             .handler = *mControlHandler });
  ConnectSignals();
}

Host::~Host()
{
  mLinks->Stop();
}

void Host::ConnectSignals()
{
  mUpstreamDirectory->OnUpstreamAvailable().connect(
    [this](const request::UpstreamAnnouncement& aUpstream) {
      logging::Event(logging::Level::Info, "upstream-up",
                     { { "upstream", aUpstream.id.Text() },
                       { "service", aUpstream.service.Text() },
                       { "version", aUpstream.version.Text() } });
      mScheduler->AddOrUpdateUpstream(aUpstream);
    });
  mUpstreamDirectory->OnUpstreamUnavailable().connect([this](const core::UpstreamId& aUpstream) {
    logging::Event(logging::Level::Info, "upstream-gone", { { "upstream", aUpstream.Text() } });
    mScheduler->RemoveUpstream(aUpstream);
  });
  mUpstreamDirectory->OnLoadReport().connect(
    [this](const request::LoadReport& aReport) { mScheduler->OnLoadReport(aReport); });
  mUpstreamDirectory->OnCacheEvent().connect(
    [this](const request::CacheEvent& aEvent) { mScheduler->OnCacheEvent(aEvent); });
  mDocumentDistributor->OnNewerRecord().connect(
    [this](const state::proto::EnvironmentRecord& aRecord) { OnEnvironmentRecord(aRecord); });
  mRequestObserver.OnSample().connect(
    [this](const version::moves::RequestSample& aSample) { mMoveService->OnSample(aSample); });
  mGroups->OnFailure().connect([this](const core::Error& aError) { OnStorageFailure(aError); });
}

core::Result<void> Host::Start()
{
  if (auto started = mGroups->Start(); !started) {
    return started.error();
  }
  if (auto started = mLinks->Start(); !started) {
    return started.error();
  }
  if (auto started = mControlServer->Start(); !started) {
    return started.error();
  }
  if (auto started = mCallerServer->Start(); !started) {
    return started.error();
  }
  mPublishTimer =
    mOptions.loop.ScheduleEvery(kDocumentPublishPeriod, [this] { PublishCommittedDocuments(); });
  const settings::HostSettings& settings = mOptions.settings;
  logging::Event(logging::Level::Info, "host-started",
                 { { "host", settings.id.Text() },
                   { "data_centre", settings.dataCentre.Text() },
                   { "callers", settings.callerEndpoint.ToString() },
                   { "control", settings.controlEndpoint.ToString() },
                   { "peers", settings.peerEndpoint.ToString() } });
  return core::Success();
}

void Host::PublishCommittedDocuments()
{
  // Only voters have the committed documents in their state machine; they send them to all hosts.
  const Groups::Entry& group = mGroups->DocumentsGroup();
  if (!group.stateMachine || mPublishedIndex == group.voter->AppliedIndex()) {
    return;
  }
  mPublishedIndex = group.voter->AppliedIndex();
  const auto& machine = group.stateMachine;
  state::proto::Query revisionsQuery;
  revisionsQuery.mutable_revisions();
  const state::proto::QueryAnswer revisions = machine->ExecuteQuery(revisionsQuery);
  for (const auto& it : revisions.revisions().environments()) {
    state::proto::Query query;
    query.mutable_environment()->set_environment(it.environment());
    mDocumentDistributor->StoreIfNewer(machine->ExecuteQuery(query).environment().record());
  }
}

void Host::OnEnvironmentRecord(const state::proto::EnvironmentRecord& aRecord)
{
  mMoveService->OnEnvironmentRecord(aRecord);
  if (aRecord.environment() != mOptions.settings.environment.Text()) {
    return;
  }
  if (mDocumentIndex && mDocumentIndex->Revision().Value() == aRecord.revision()) {
    return;
  }
  auto parsed = version::document::ParseDocument(aRecord.text(), aRecord.environment());
  if (!parsed) {
    // Accepted by a host with a newer version of the program: the current document stays in force.
    logging::Event(logging::Level::Error, "document-unreadable",
                   { { "revision", aRecord.revision() }, { "error", parsed.error().message } });
    return;
  }
  mMoveShares.SetDocument(parsed.value());
  mDocumentIndex = std::make_shared<const version::document::DocumentIndex>(
    std::move(parsed.value()), core::Revision(aRecord.revision()));
  logging::Event(logging::Level::Info, "document-in-force",
                 { { "environment", aRecord.environment() },
                   { "revision", aRecord.revision() },
                   { "by", aRecord.by() } });
}

void Host::Shutdown()
{
  if (std::exchange(mStopping, true)) {
    AbortRequests();
    return;
  }
  logging::Event(logging::Level::Info, "shutdown-begun", { { "in_flight", mExchanges->Size() } });
  mExchanges->BeginShutdown();
  mCallerServer->StopAccepting();
  mDrainTimer = mOptions.loop.ScheduleEvery(kDrainCheckPeriod, [this] { CheckDrained(); });
  mShutdownLimitTimer =
    mOptions.loop.ScheduleAfter(mOptions.settings.shutdownTimeout, [this] { AbortRequests(); });
}

void Host::CheckDrained()
{
  // The process must not end before the callers have the last bytes of their responses.
  if (mExchanges->Size() > 0 || mCallerServer->HasUnsentBytes()) {
    return;
  }
  logging::Event(logging::Level::Info, "shutdown-done", { { "cut", 0 } });
  mDrainTimer = mOptions.loop.ScheduleAfter(kFinalWriteDelay, [this] { mOptions.loop.Stop(); });
}

void Host::AbortRequests()
{
  const std::size_t cut = mExchanges->Size();
  mExitCode = cut > 0 ? 1 : mExitCode;
  logging::Event(logging::Level::Warning, "shutdown-done", { { "cut", cut } });
  mExchanges->AbortAll();
  mDrainTimer = mOptions.loop.ScheduleAfter(kFinalWriteDelay, [this] { mOptions.loop.Stop(); });
}

void Host::OnStorageFailure(const core::Error& aError)
{
  // The content of the disk is unknown; a restart reads it again.
  logging::Event(logging::Level::Error, "storage-failed", { { "error", core::Describe(aError) } });
  mExitCode = 1;
  AbortRequests();
}

std::string Host::MakeShowReport()
{
  return ShowReport({ .settings = mOptions.settings,
                      .groups = *mGroups,
                      .distributor = *mDocumentDistributor,
                      .directory = *mUpstreamDirectory,
                      .metrics = mMetrics,
                      .shares = mMoveShares,
                      .links = *mLinks,
                      .document = mDocumentIndex,
                      .inFlight = mExchanges->Size(),
                      .stopping = mStopping })
    .ToJson();
}

std::string Host::ExposeMetrics()
{
  mMetrics.SetGauge("requests_in_flight", static_cast<double>(mExchanges->Size()));
  mMetrics.SetGauge("upstreams_known", static_cast<double>(mUpstreamDirectory->List().size()));
  mMetrics.SetGauge("document_revision",
                    mDocumentIndex ? static_cast<double>(mDocumentIndex->Revision().Value()) : 0.0);
  mMetrics.SetGauge("peer_bytes_sent", static_cast<double>(mLinks->BytesSent().value));
  mMetrics.SetGauge("peer_bytes_received", static_cast<double>(mLinks->BytesReceived().value));
  return mMetrics.ToPrometheusText();
}

} // namespace cuminfield::process::host
