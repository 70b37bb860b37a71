#pragma once

#include "cuminfield/connection/caller/CallerChannel.h"
#include "cuminfield/connection/upstream/UpstreamTransport.h"
#include "cuminfield/request/Scheduler.h"

#include <memory>
#include <string>
#include <string_view>

namespace cuminfield::unit_tests::request {

/// Counts started and live calls, and keeps the last request and listener.
class FakeTransport : public connection::upstream::UpstreamTransport
{
public:
  std::unique_ptr<connection::upstream::UpstreamCall> Start(
    const std::string&, std::uint16_t, connection::upstream::UpstreamRequest aRequest,
    connection::upstream::UpstreamCallListener& aListener) override
  {
    ++startedCalls;
    ++liveCalls;
    lastRequest = std::move(aRequest);
    listener = &aListener;
    return std::make_unique<Call>(*this);
  }
  void Notify(const std::string&, std::uint16_t,
              connection::upstream::UpstreamRequest aRequest) override
  {
    lastNotification = aRequest.method + " " + aRequest.target;
  }

  int startedCalls = 0;
  int liveCalls = 0;
  std::string lastNotification;
  connection::upstream::UpstreamRequest lastRequest;
  connection::upstream::UpstreamCallListener* listener = nullptr;

private:
  struct Call : connection::upstream::UpstreamCall
  {
    explicit Call(FakeTransport& aTransport)
      : transport(aTransport)
    {
    }
    ~Call() override { --transport.liveCalls; }
    void Pause(bool) override {}

    FakeTransport& transport;
  };
};

/// Leaves the choice of an upstream's version open.
class AnyVersionChooser : public cuminfield::request::VersionChooser
{
public:
  core::VersionId Choose(const core::ServiceId&, const core::RouteId&, double) const override
  {
    return {};
  }
};

/// Records the response sent to a caller.
class FakeCaller : public connection::caller::CallerChannel
{
public:
  void SendHead(int aStatus, const connection::HttpHeaders& aHeaders) override
  {
    status = aStatus;
    headers = aHeaders;
  }
  void SendBody(std::string_view aBytes) override { body += aBytes; }
  void End() override { ended = true; }
  void Abort() override { aborted = true; }
  void SendResponse(int aStatus, const connection::HttpHeaders& aHeaders,
                    std::string_view aBody) override
  {
    status = aStatus;
    headers = aHeaders;
    body = aBody;
    ended = true;
  }

  bool HasOutcome(const char* aOutcome) const
  {
    return body.find(std::string("\"outcome\":\"") + aOutcome + "\"") != std::string::npos;
  }

  int status = 0;
  connection::HttpHeaders headers;
  std::string body;
  bool ended = false;
  bool aborted = false;
};

} // namespace cuminfield::unit_tests::request
