#include "cuminfield/request/forward/ForwardTable.h"

#include <utility>

namespace cuminfield::request::forward {

namespace {

/// Told to callers that come before this host knows its first catalogue.
constexpr core::Duration kNotYetReady = std::chrono::milliseconds(500);

/// Told to callers of a host that stops: another host can serve them at once.
constexpr core::Duration kOtherHost = std::chrono::milliseconds(10);

} // namespace

ForwardTable::ForwardTable(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void ForwardTable::OnRequest(connection::caller::CallerRequest aRequest,
                             std::shared_ptr<connection::caller::CallerChannel> aChannel)
{
  if (mRefusing) {
    Refuse(
      *aChannel, {}, {},
      { .status = connection::kStatusUnavailable, .reason = "stopping", .retryAfter = kOtherHost });
    return;
  }
  if (!mOptions.catalogue()) {
    Hold(std::move(aRequest), std::move(aChannel));
    return;
  }
  Begin(std::move(aRequest), std::move(aChannel), mOptions.timers.Now());
}

void ForwardTable::Hold(connection::caller::CallerRequest aRequest,
                        std::shared_ptr<connection::caller::CallerChannel> aChannel)
{
  const ForwardFailure failure{ .status = connection::kStatusUnavailable,
                                .reason = "no-catalogue",
                                .retryAfter = kNotYetReady };
  if (mEarly.size() >= mOptions.settings.maxEarly) {
    Refuse(*aChannel, {}, {}, failure);
    return;
  }
  const auto early = mEarly.insert(mEarly.end(), { .request = std::move(aRequest),
                                                   .channel = std::move(aChannel),
                                                   .arrival = mOptions.timers.Now(),
                                                   .timer = {} });
  early->channel->onGone = [this, early] { mEarly.erase(early); };
  early->timer = mOptions.timers.After(mOptions.settings.holdEarly, [this, early, failure] {
    early->channel->onGone = nullptr;
    Refuse(*early->channel, {}, {}, failure);
    mEarly.erase(early);
  });
}

void ForwardTable::CatalogueCame()
{
  std::list<Early> early = std::move(mEarly);
  mEarly.clear();
  for (Early& it : early) {
    it.timer.Cancel();
    it.channel->onGone = nullptr;
    Begin(std::move(it.request), std::move(it.channel), it.arrival);
  }
}

void ForwardTable::Begin(connection::caller::CallerRequest aRequest,
                         std::shared_ptr<connection::caller::CallerChannel> aChannel,
                         core::Instant aArrival)
{
  const auto catalogue = mOptions.catalogue();
  const core::Instant now = mOptions.timers.Now();
  auto read = mOptions.codec.Read(std::move(aRequest), *catalogue, aArrival);
  if (const auto* failure = std::get_if<ForwardFailure>(&read)) {
    Refuse(*aChannel, {}, {}, *failure);
    return;
  }
  auto& request = std::get<ForwardRequest>(read);
  const core::RequestId id = request.spec.id;
  if (mForwards.contains(id)) {
    Refuse(*aChannel, id, request.spec.workspace,
           { .status = connection::kStatusBadRequest,
             .reason = "request-id-in-use",
             .retryAfter = std::nullopt });
    return;
  }
  if (const auto* rule = catalogue->FindWorkspace(request.spec.workspace)) {
    if (const auto wait = mOptions.quota.Take(*rule, request.quotaUnits, now)) {
      Refuse(*aChannel, id, request.spec.workspace,
             { .status = connection::kStatusTooMany, .reason = "quota", .retryAfter = *wait });
      return;
    }
  }
  auto giveBack = [this, workspace = request.spec.workspace, units = request.quotaUnits] {
    mOptions.quota.Return(workspace, units, mOptions.timers.Now());
  };
  auto forward =
    std::make_unique<Forward>(Forward::Options{ .settings = mOptions.settings,
                                                .timers = mOptions.timers,
                                                .scheduler = *mScheduler,
                                                .transport = mOptions.transport,
                                                .codec = mOptions.codec,
                                                .observer = mOptions.observer,
                                                .caller = std::move(aChannel),
                                                .request = std::move(request),
                                                .onNotRun = std::move(giveBack),
                                                .closing = [this] { return mStopping; },
                                                .onFinished = [this, id] { Remove(id); } });
  Forward* started = forward.get();
  mForwards.emplace(id, std::move(forward));
  started->Start();
}

void ForwardTable::OnDispatch(const core::RequestId& aRequest,
                              const UpstreamAnnouncement& aUpstream)
{
  const auto it = mForwards.find(aRequest);
  if (it != mForwards.end()) {
    it->second->Dispatch(aUpstream);
  }
}

void ForwardTable::OnShed(const core::RequestId& aRequest, ShedReason aReason,
                          core::Duration aRetryAfter)
{
  const auto it = mForwards.find(aRequest);
  if (it != mForwards.end()) {
    it->second->Shed(aReason, aRetryAfter);
  }
}

void ForwardTable::Refuse(connection::caller::CallerChannel& aChannel, const core::RequestId& aId,
                          const core::WorkspaceId& aWorkspace, const ForwardFailure& aFailure)
{
  connection::HttpHeaders headers = mOptions.codec.OwnAnswer(aId, aFailure);
  if (mStopping) {
    headers.push_back({ .name = "Connection", .value = "close" });
  }
  aChannel.SendWhole(aFailure.status, headers, aFailure.reason + "\n");
  mOnRefused.emit(aId, aWorkspace, aFailure);
}

void ForwardTable::CutOffAll()
{
  std::vector<Forward*> left;
  left.reserve(mForwards.size());
  for (const auto& [id, forward] : mForwards) {
    left.push_back(forward.get());
  }
  for (Forward* it : left) {
    it->CutOff();
  }
}

void ForwardTable::Remove(const core::RequestId& aId)
{
  const auto it = mForwards.find(aId);
  if (it == mForwards.end()) {
    return;
  }
  // The forward that ends is on the stack: it is destroyed from the loop.
  mEnded.push_back(std::move(it->second));
  mForwards.erase(it);
  if (!mSweep.Active()) {
    mSweep = mOptions.timers.After(core::Duration::zero(), [this] { mEnded.clear(); });
  }
}

} // namespace cuminfield::request::forward
