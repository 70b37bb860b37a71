#include "cuminfield/request/forward/ForwardTable.h"

#include <utility>

namespace cuminfield::request::forward {

namespace {

/// Retry-After for callers that arrive before this host has its first catalogue.
constexpr core::Duration kNotReadyRetryAfter = std::chrono::milliseconds(500);

/// Retry-After for callers of a stopping host: another host can serve them at once.
constexpr core::Duration kStoppingRetryAfter = std::chrono::milliseconds(10);

/// Retry-After for callers that were refused by an outdated catalogue: another host can tell.
constexpr core::Duration kOutdatedRetryAfter = std::chrono::milliseconds(100);

/// True for the answers that a newer catalogue may turn into another one. Callers don't retry after
/// them.
bool DependsOnCatalogue(int aStatus)
{
  return aStatus == connection::kStatusUnauthorized || aStatus == connection::kStatusForbidden ||
         aStatus == connection::kStatusNotFound;
}

} // namespace

ForwardTable::ForwardTable(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void ForwardTable::OnRequest(connection::caller::CallerRequest aRequest,
                             std::shared_ptr<connection::caller::CallerChannel> aChannel)
{
  if (mIsRejectingNew) {
    Reject(*aChannel, {}, {},
           { .status = connection::kStatusUnavailable,
             .reason = "stopping",
             .retryAfter = kStoppingRetryAfter });
    return;
  }
  if (!mOptions.catalogue()) {
    HoldUntilCatalogue(std::move(aRequest), std::move(aChannel));
    return;
  }
  StartForwarding(std::move(aRequest), std::move(aChannel), mOptions.timers.Now());
}

void ForwardTable::HoldUntilCatalogue(connection::caller::CallerRequest aRequest,
                                      std::shared_ptr<connection::caller::CallerChannel> aChannel)
{
  const ForwardFailure failure{ .status = connection::kStatusUnavailable,
                                .reason = "no-catalogue",
                                .retryAfter = kNotReadyRetryAfter };
  if (mEarlyRequests.size() >= mOptions.settings.maxEarlyRequests) {
    Reject(*aChannel, {}, {}, failure);
    return;
  }
  const auto early = mEarlyRequests.insert(mEarlyRequests.end(), { .request = std::move(aRequest),
                                                                   .channel = std::move(aChannel),
                                                                   .arrival = mOptions.timers.Now(),
                                                                   .timeoutTimer = {} });
  early->channel->onDisconnected = [this, early] { mEarlyRequests.erase(early); };
  early->timeoutTimer =
    mOptions.timers.ScheduleAfter(mOptions.settings.earlyRequestTimeout, [this, early, failure] {
      early->channel->onDisconnected = nullptr;
      Reject(*early->channel, {}, {}, failure);
      mEarlyRequests.erase(early);
    });
}

void ForwardTable::OnCatalogueAvailable()
{
  std::list<EarlyRequest> early = std::move(mEarlyRequests);
  mEarlyRequests.clear();
  for (EarlyRequest& it : early) {
    it.timeoutTimer.Cancel();
    it.channel->onDisconnected = nullptr;
    StartForwarding(std::move(it.request), std::move(it.channel), it.arrival);
  }
}

void ForwardTable::StartForwarding(connection::caller::CallerRequest aRequest,
                                   std::shared_ptr<connection::caller::CallerChannel> aChannel,
                                   core::Instant aArrival)
{
  const auto catalogue = mOptions.catalogue();
  const core::Instant now = mOptions.timers.Now();
  auto parsed = mOptions.codec.ParseRequest(std::move(aRequest), *catalogue, aArrival);
  if (const auto* failure = std::get_if<ForwardFailure>(&parsed)) {
    const bool mayBeOutdated =
      DependsOnCatalogue(failure->status) && !mOptions.isCatalogueCurrent();
    Reject(*aChannel, {}, {},
           mayBeOutdated ? ForwardFailure{ .status = connection::kStatusUnavailable,
                                           .reason = "outdated-catalogue",
                                           .retryAfter = kOutdatedRetryAfter }
                         : *failure);
    return;
  }
  auto& request = std::get<ForwardRequest>(parsed);
  const core::RequestId id = request.spec.id;
  if (mForwarders.contains(id)) {
    Reject(*aChannel, id, request.spec.workspace,
           { .status = connection::kStatusBadRequest,
             .reason = "request-id-in-use",
             .retryAfter = std::nullopt });
    return;
  }
  if (const auto* rule = catalogue->FindWorkspace(request.spec.workspace)) {
    if (const auto wait = mOptions.quota.Take(*rule, request.quotaUnits, now)) {
      Reject(*aChannel, id, request.spec.workspace,
             { .status = connection::kStatusTooMany, .reason = "quota", .retryAfter = *wait });
      return;
    }
  }
  auto returnUnits = [this, workspace = request.spec.workspace, units = request.quotaUnits] {
    mOptions.quota.Return(workspace, units, mOptions.timers.Now());
  };
  auto forwarder = std::make_unique<RequestForwarder>(
    RequestForwarder::Options{ .settings = mOptions.settings,
                               .timers = mOptions.timers,
                               .scheduler = *mScheduler,
                               .transport = mOptions.transport,
                               .codec = mOptions.codec,
                               .observer = mOptions.observer,
                               .caller = std::move(aChannel),
                               .request = std::move(request),
                               .onNotRun = std::move(returnUnits),
                               .shouldCloseConnection = [this] { return mIsStopping; },
                               .onFinished = [this, id] { Remove(id); } });
  RequestForwarder* started = forwarder.get();
  mForwarders.emplace(id, std::move(forwarder));
  started->Start();
}

void ForwardTable::OnDispatch(const core::RequestId& aRequest,
                              const UpstreamAnnouncement& aUpstream)
{
  const auto it = mForwarders.find(aRequest);
  if (it != mForwarders.end()) {
    it->second->Dispatch(aUpstream);
  }
}

void ForwardTable::OnShed(const core::RequestId& aRequest, ShedReason aReason,
                          core::Duration aRetryAfter)
{
  const auto it = mForwarders.find(aRequest);
  if (it != mForwarders.end()) {
    it->second->Shed(aReason, aRetryAfter);
  }
}

void ForwardTable::Reject(connection::caller::CallerChannel& aChannel, const core::RequestId& aId,
                          const core::WorkspaceId& aWorkspace, const ForwardFailure& aFailure)
{
  connection::HttpHeaders headers = mOptions.codec.MakeFailureHeaders(aId, aFailure);
  if (mIsStopping) {
    headers.push_back({ .name = "Connection", .value = "close" });
  }
  aChannel.SendResponse(aFailure.status, headers, aFailure.reason + "\n");
  mOnRejected.emit(aId, aWorkspace, aFailure);
}

std::vector<RequestForwarder*> ForwardTable::Active() const
{
  std::vector<RequestForwarder*> active;
  active.reserve(mForwarders.size());
  for (const auto& [id, forwarder] : mForwarders) {
    active.push_back(forwarder.get());
  }
  return active;
}

void ForwardTable::AbortQuarantined(const quarantine::QuarantineTable& aQuarantine)
{
  for (RequestForwarder* it : Active()) {
    it->AbortIfQuarantined(aQuarantine);
  }
}

void ForwardTable::AbortAll()
{
  for (RequestForwarder* it : Active()) {
    it->Abort();
  }
}

void ForwardTable::Remove(const core::RequestId& aId)
{
  const auto it = mForwarders.find(aId);
  if (it == mForwarders.end()) {
    return;
  }
  // The forwarder is still on the call stack, so it is destroyed later from the event loop.
  mEndedForwarders.push_back(std::move(it->second));
  mForwarders.erase(it);
  if (!mSweepTimer.IsActive()) {
    mSweepTimer =
      mOptions.timers.ScheduleAfter(core::Duration::zero(), [this] { mEndedForwarders.clear(); });
  }
}

} // namespace cuminfield::request::forward
