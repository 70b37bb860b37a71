#include "cuminfield/process/control/ControlHandler.h"

#include "cuminfield/connection/Query.h"
#include "cuminfield/process/control/UpstreamMessages.h"
#include "cuminfield/process/metrics/MetricsPath.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace cuminfield::process::control {

namespace {

using connection::HttpHeaders;
using connection::caller::CallerChannel;
using connection::caller::CallerRequest;

constexpr std::string_view kUpstreamsPathPrefix = "/upstreams/";
constexpr std::string_view kDocumentsPathPrefix = "/documents/";
constexpr std::string_view kPromotePathSuffix = "/promote";

/// Makes the headers of a response; they repeat the request's X-Request-Id.
HttpHeaders MakeResponseHeaders(const CallerRequest& aRequest, const char* aContentType)
{
  HttpHeaders headers{ { .name = std::string(connection::kContentTypeHeader),
                         .value = aContentType } };
  const std::string_view id =
    connection::FindHeader(aRequest.headers, connection::kRequestIdHeader);
  if (!id.empty()) {
    headers.push_back(
      { .name = std::string(connection::kRequestIdHeader), .value = std::string(id) });
  }
  return headers;
}

void SendJson(const CallerRequest& aRequest, CallerChannel& aChannel, int aStatus,
              const std::string& aBody)
{
  aChannel.SendResponse(aStatus, MakeResponseHeaders(aRequest, "application/json"), aBody);
}

void SendError(const CallerRequest& aRequest, CallerChannel& aChannel, int aStatus,
               const std::string& aDetail)
{
  const nlohmann::json body{ { "status", aStatus }, { "detail", aDetail } };
  SendJson(aRequest, aChannel, aStatus,
           body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

int ToHttpStatus(const core::Error& aError)
{
  switch (aError.kind) {
    case core::ErrorKind::NotFound:
      return connection::kStatusNotFound;
    case core::ErrorKind::Conflict:
      return connection::kStatusConflict;
    case core::ErrorKind::InvalidRequest:
      return connection::kStatusBadRequest;
    default:
      return connection::kStatusUnavailable;
  }
}

} // namespace

ControlHandler::ControlHandler(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void ControlHandler::OnRequest(CallerRequest aRequest, std::shared_ptr<CallerChannel> aChannel)
{
  if (aRequest.path.starts_with(kUpstreamsPathPrefix)) {
    HandleUpstreamRequest(aRequest, aChannel);
    return;
  }
  if (aRequest.path.starts_with(kDocumentsPathPrefix)) {
    HandleDocumentRequest(aRequest, aChannel);
    return;
  }
  if (aRequest.path == "/show") {
    SendJson(aRequest, *aChannel, connection::kStatusOk, mOptions.getShowReport());
    return;
  }
  if (aRequest.path == metrics::kMetricsPath) {
    aChannel->SendResponse(connection::kStatusOk,
                           MakeResponseHeaders(aRequest, "text/plain; version=0.0.4"),
                           mOptions.getMetrics());
    return;
  }
  if (aRequest.path == "/health") {
    const bool stopping = mOptions.isStopping();
    aChannel->SendResponse(stopping ? connection::kStatusUnavailable : connection::kStatusOk,
                           MakeResponseHeaders(aRequest, "text/plain"),
                           stopping ? "stopping\n" : "ready\n");
    return;
  }
  SendError(aRequest, *aChannel, connection::kStatusNotFound,
            "no such path; docs/Protocols.md lists them");
}

void ControlHandler::HandleUpstreamRequest(const Request& aRequest, const ChannelPtr& aChannel)
{
  const std::string action = aRequest.path.substr(kUpstreamsPathPrefix.size());
  core::Result<void> result = core::Success();
  if (action == "announce") {
    if (mOptions.isStopping()) {
      SendError(aRequest, *aChannel, connection::kStatusUnavailable,
                "this host is stopping; announce to another host");
      return;
    }
    const auto announcement = ParseAnnouncement(aRequest.body);
    result = announcement ? mOptions.upstreamDirectory.Announce(announcement.value())
                          : core::Result<void>(announcement.error());
  } else {
    const auto renewal = ParseRenewal(aRequest.body);
    if (!renewal) {
      result = renewal.error();
    } else if (action == "renew" && mOptions.isStopping()) {
      result = core::Error{ .kind = core::ErrorKind::NotFound,
                            .message = "this host is stopping; announce to another host" };
    } else if (action == "renew") {
      const UpstreamRenewal& it = renewal.value();
      result =
        mOptions.upstreamDirectory.Renew(it.id, it.incarnation, it.loadReport, it.cacheEvents);
    } else if (action == "leave") {
      mOptions.upstreamDirectory.Leave(renewal.value().id, renewal.value().incarnation);
    } else {
      result = core::Error{ .kind = core::ErrorKind::NotFound,
                            .message = "no such path; docs/Protocols.md lists them" };
    }
  }
  if (!result) {
    SendError(aRequest, *aChannel, ToHttpStatus(result.error()), result.error().message);
    return;
  }
  const auto milliseconds = [](core::Duration aDuration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  };
  const auto& settings = mOptions.upstreamDirectory.Settings();
  const nlohmann::json body{ { "lease_ms", milliseconds(settings.leaseDuration) },
                             { "renew_ms", milliseconds(settings.renewPeriod) } };
  SendJson(aRequest, *aChannel, connection::kStatusOk, body.dump());
}

void ControlHandler::HandleDocumentRequest(const Request& aRequest, const ChannelPtr& aChannel)
{
  std::string name = aRequest.path.substr(kDocumentsPathPrefix.size());
  const bool promote = name.ends_with(kPromotePathSuffix);
  if (promote) {
    name.resize(name.size() - kPromotePathSuffix.size());
  }
  const core::EnvironmentId environment(name);
  if (aRequest.method == "GET" && !promote) {
    SendDocument(environment, aRequest, aChannel);
    return;
  }
  auto query = connection::ParseQuery(aRequest.target);
  const std::string& base = query["base"];
  std::uint64_t revision = 0;
  const auto [end, ec] = std::from_chars(base.data(), base.data() + base.size(), revision);
  const bool hasBase = !base.empty() && ec == std::errc() && end == base.data() + base.size();
  const bool validMethod = promote ? aRequest.method == "POST" : aRequest.method == "PUT";
  if (!validMethod || !hasBase || (promote && query["from"].empty())) {
    SendError(aRequest, *aChannel, connection::kStatusBadRequest,
              "give base, operator and request (and from, to promote); see docs/Protocols.md");
    return;
  }
  const documents::DocumentChange change{ .environment = environment,
                                          .sourceEnvironment =
                                            core::EnvironmentId(promote ? query["from"] : ""),
                                          .baseRevision = revision,
                                          .operatorName = query["operator"],
                                          .requestId = query["request"],
                                          .text = aRequest.body };
  mOptions.operatorService.SubmitChange(
    change, [aRequest, aChannel](const documents::OperatorResponse& aAnswer) {
      SendJson(aRequest, *aChannel, aAnswer.status, aAnswer.body);
    });
}

void ControlHandler::SendDocument(const core::EnvironmentId& aEnvironment, const Request& aRequest,
                                  const ChannelPtr& aChannel)
{
  mOptions.operatorService.ReadRecord(
    aEnvironment,
    [aRequest, aChannel](const core::Result<state::proto::EnvironmentRecord>& aRecord) {
      if (!aRecord) {
        SendError(aRequest, *aChannel, ToHttpStatus(aRecord.error()), aRecord.error().message);
        return;
      }
      HttpHeaders headers = MakeResponseHeaders(aRequest, "text/plain; charset=utf-8");
      headers.push_back(
        { .name = "ETag", .value = "\"" + std::to_string(aRecord.value().revision()) + "\"" });
      aChannel->SendResponse(connection::kStatusOk, headers, aRecord.value().text());
    });
}

} // namespace cuminfield::process::control
