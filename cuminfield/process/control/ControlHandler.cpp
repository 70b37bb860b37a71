#include "cuminfield/process/control/ControlHandler.h"

#include "cuminfield/connection/Query.h"
#include "cuminfield/process/control/UpstreamMessages.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace cuminfield::process::control {

namespace {

using connection::HttpHeaders;
using connection::caller::CallerChannel;
using connection::caller::CallerRequest;

constexpr std::string_view kUpstreamsPath = "/upstreams/";
constexpr std::string_view kDocumentsPath = "/documents/";
constexpr std::string_view kPromoteSuffix = "/promote";

/// Makes the headers of a response; they repeat the request's X-Request-Id.
HttpHeaders AnswerHeaders(const CallerRequest& aRequest, const char* aContentType)
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
  aChannel.SendWhole(aStatus, AnswerHeaders(aRequest, "application/json"), aBody);
}

void SendDetail(const CallerRequest& aRequest, CallerChannel& aChannel, int aStatus,
                const std::string& aDetail)
{
  const nlohmann::json body{ { "status", aStatus }, { "detail", aDetail } };
  SendJson(aRequest, aChannel, aStatus,
           body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

int ToStatus(const core::Error& aError)
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
  if (aRequest.path.starts_with(kUpstreamsPath)) {
    HandleUpstream(aRequest, aChannel);
    return;
  }
  if (aRequest.path.starts_with(kDocumentsPath)) {
    HandleDocument(aRequest, aChannel);
    return;
  }
  if (aRequest.path == "/show") {
    SendJson(aRequest, *aChannel, connection::kStatusOk, mOptions.show());
    return;
  }
  if (aRequest.path == "/metrics") {
    aChannel->SendWhole(connection::kStatusOk, AnswerHeaders(aRequest, "text/plain; version=0.0.4"),
                        mOptions.metrics());
    return;
  }
  if (aRequest.path == "/health") {
    const bool stopping = mOptions.stopping();
    aChannel->SendWhole(stopping ? connection::kStatusUnavailable : connection::kStatusOk,
                        AnswerHeaders(aRequest, "text/plain"), stopping ? "stopping\n" : "ready\n");
    return;
  }
  SendDetail(aRequest, *aChannel, connection::kStatusNotFound,
             "no such path; docs/Protocols.md lists them");
}

void ControlHandler::HandleUpstream(const Request& aRequest, const Channel& aChannel)
{
  const std::string action = aRequest.path.substr(kUpstreamsPath.size());
  core::Result<void> result = core::Done();
  if (action == "announce") {
    if (mOptions.stopping()) {
      SendDetail(aRequest, *aChannel, connection::kStatusUnavailable,
                 "this host is stopping; announce to another host");
      return;
    }
    const auto announcement = ReadAnnouncement(aRequest.body);
    result = announcement ? mOptions.directory.Announce(announcement.value())
                          : core::Result<void>(announcement.error());
  } else {
    const auto renewal = ReadRenewal(aRequest.body);
    if (!renewal) {
      result = renewal.error();
    } else if (action == "renew" && mOptions.stopping()) {
      result = core::Error{ .kind = core::ErrorKind::NotFound,
                            .message = "this host is stopping; announce to another host" };
    } else if (action == "renew") {
      const Renewal& it = renewal.value();
      result = mOptions.directory.Renew(it.id, it.incarnation, it.load, it.cache);
    } else if (action == "leave") {
      mOptions.directory.Leave(renewal.value().id, renewal.value().incarnation);
    } else {
      result = core::Error{ .kind = core::ErrorKind::NotFound,
                            .message = "no such path; docs/Protocols.md lists them" };
    }
  }
  if (!result) {
    SendDetail(aRequest, *aChannel, ToStatus(result.error()), result.error().message);
    return;
  }
  const auto milliseconds = [](core::Duration aDuration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  };
  const auto& settings = mOptions.directory.Settings();
  const nlohmann::json body{ { "lease_ms", milliseconds(settings.leaseDuration) },
                             { "renew_ms", milliseconds(settings.renewPeriod) } };
  SendJson(aRequest, *aChannel, connection::kStatusOk, body.dump());
}

void ControlHandler::HandleDocument(const Request& aRequest, const Channel& aChannel)
{
  std::string name = aRequest.path.substr(kDocumentsPath.size());
  const bool promote = name.ends_with(kPromoteSuffix);
  if (promote) {
    name.resize(name.size() - kPromoteSuffix.size());
  }
  const core::EnvironmentId environment(name);
  if (aRequest.method == "GET" && !promote) {
    ReadDocument(environment, aRequest, aChannel);
    return;
  }
  auto query = connection::ParseQuery(aRequest.target);
  const std::string& base = query["base"];
  std::uint64_t revision = 0;
  const auto [end, ec] = std::from_chars(base.data(), base.data() + base.size(), revision);
  const bool hasBase = !base.empty() && ec == std::errc() && end == base.data() + base.size();
  const bool validMethod = promote ? aRequest.method == "POST" : aRequest.method == "PUT";
  if (!validMethod || !hasBase || (promote && query["from"].empty())) {
    SendDetail(aRequest, *aChannel, connection::kStatusBadRequest,
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
  mOptions.operators.SubmitChange(change,
                                  [aRequest, aChannel](const documents::OperatorResponse& aAnswer) {
                                    SendJson(aRequest, *aChannel, aAnswer.status, aAnswer.body);
                                  });
}

void ControlHandler::ReadDocument(const core::EnvironmentId& aEnvironment, const Request& aRequest,
                                  const Channel& aChannel)
{
  mOptions.operators.ReadRecord(
    aEnvironment,
    [aRequest, aChannel](const core::Result<state::proto::EnvironmentRecord>& aRecord) {
      if (!aRecord) {
        SendDetail(aRequest, *aChannel, ToStatus(aRecord.error()), aRecord.error().message);
        return;
      }
      HttpHeaders headers = AnswerHeaders(aRequest, "text/plain; charset=utf-8");
      headers.push_back(
        { .name = "ETag", .value = "\"" + std::to_string(aRecord.value().revision()) + "\"" });
      aChannel->SendWhole(connection::kStatusOk, headers, aRecord.value().text());
    });
}

} // namespace cuminfield::process::control
