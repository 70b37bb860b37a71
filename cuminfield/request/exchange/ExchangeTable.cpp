#include "cuminfield/request/exchange/ExchangeTable.h"

#include <utility>

namespace cuminfield::request::exchange {

namespace {
constexpr const char* kHealthPath = "/health";
} // namespace

ExchangeTable::ExchangeTable(Options aOptions)
  : mOptions(std::move(aOptions))
  , mReader(
      { .host = mOptions.host, .incarnation = mOptions.incarnation, .timers = mOptions.timers })
{
}

void ExchangeTable::OnRequest(connection::caller::CallerRequest aRequest,
                              std::shared_ptr<connection::caller::CallerChannel> aChannel)
{
  if (aRequest.path == kHealthPath) {
    RespondHealth(*aChannel);
    return;
  }
  const bool hasKey =
    !connection::FindHeader(aRequest.headers, connection::kIdempotencyKeyHeader).empty();
  if (mStopping) {
    Reject(*aChannel, hasKey,
           { .status = connection::kStatusUnavailable,
             .title = "stopping",
             .detail = "This host is stopping; send again through another host.",
             .outcome = Outcome::NotRun,
             .retryAfter = std::chrono::seconds(1) });
    return;
  }
  const auto document = mOptions.document();
  if (!document) {
    Reject(*aChannel, hasKey,
           { .status = connection::kStatusUnavailable,
             .title = "no document",
             .detail = "No document is in force here yet; send again later.",
             .outcome = Outcome::NotRun,
             .retryAfter = std::chrono::seconds(1) });
    return;
  }
  auto result = mReader.Read(std::move(aRequest), *document);
  if (const auto* problem = std::get_if<Problem>(&result)) {
    Reject(*aChannel, hasKey, *problem);
    return;
  }
  StartExchange(std::move(std::get<IncomingRequest>(result)), std::move(aChannel));
}

void ExchangeTable::RespondHealth(connection::caller::CallerChannel& aChannel) const
{
  const bool ready = !mStopping && mOptions.document() != nullptr;
  const char* reason = mStopping ? "stopping\n" : "no document\n";
  aChannel.SendResponse(
    ready ? connection::kStatusOk : connection::kStatusUnavailable,
    { { .name = std::string(connection::kContentTypeHeader), .value = "text/plain" } },
    ready ? "ready\n" : reason);
}

void ExchangeTable::Reject(connection::caller::CallerChannel& aChannel, bool aHasKey,
                           Problem aProblem) const
{
  if (aHasKey) {
    // The claim was not looked up, so an earlier arrival with this key may have run.
    aProblem.outcome = Outcome::Unknown;
    aProblem.detail += " Whether an earlier request with this key ran is not known here.";
  }
  connection::HttpHeaders headers = ToHeaders(aProblem);
  headers.push_back(
    { .name = std::string(connection::kHostHeader), .value = mOptions.host.Text() });
  if (mStopping) {
    headers.push_back({ .name = "Connection", .value = "close" });
  }
  aChannel.SendResponse(aProblem.status, headers, ToJson(aProblem));
}

void ExchangeTable::StartExchange(IncomingRequest aRequest,
                                  std::shared_ptr<connection::caller::CallerChannel> aChannel)
{
  const core::RequestId id = aRequest.spec.id;
  auto exchange = std::make_unique<Exchange>(Exchange::Options{
    .settings = mOptions.settings,
    .host = mOptions.host,
    .timers = mOptions.timers,
    .scheduler = *mScheduler,
    .claims = mOptions.claims,
    .transport = mOptions.transport,
    .observer = mOptions.observer,
    .caller = std::move(aChannel),
    .request = std::move(aRequest),
    .onFinished = [this, id] { Remove(id); },
  });
  Exchange* started = exchange.get();
  mExchanges.emplace(id, std::move(exchange));
  started->Start();
}

void ExchangeTable::OnDispatch(const core::RequestId& aRequest,
                               const UpstreamAnnouncement& aUpstream)
{
  const auto it = mExchanges.find(aRequest);
  if (it != mExchanges.end()) {
    it->second->Dispatch(aUpstream);
  }
}

void ExchangeTable::OnShed(const core::RequestId& aRequest, ShedReason aReason,
                           core::Duration aRetryAfter)
{
  const auto it = mExchanges.find(aRequest);
  if (it != mExchanges.end()) {
    it->second->Shed(aReason, aRetryAfter);
  }
}

void ExchangeTable::AbortAll()
{
  std::vector<Exchange*> remaining;
  for (const auto& [id, exchange] : mExchanges) {
    remaining.push_back(exchange.get());
  }
  for (Exchange* it : remaining) {
    it->Abort();
  }
}

void ExchangeTable::Remove(const core::RequestId& aId)
{
  // The exchange is still on the call stack, so destroy it later from the event loop.
  const auto it = mExchanges.find(aId);
  mEndedExchanges.push_back(std::move(it->second));
  mExchanges.erase(it);
  if (!mCleanupTimer.IsActive()) {
    mCleanupTimer =
      mOptions.timers.ScheduleAfter(core::Duration::zero(), [this] { mEndedExchanges.clear(); });
  }
}

} // namespace cuminfield::request::exchange
