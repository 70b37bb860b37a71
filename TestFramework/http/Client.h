#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <functional>
#include <map>
#include <string>

struct event_base;

namespace cuminfield::test_framework::http {

struct ClientRequest
{
  process::settings::Endpoint endpoint;
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  core::Duration timeout = std::chrono::seconds(5); ///< Fails after this time without data.
};

/// The response received so far. Status 0 means that no headers were received.
struct ClientResponse
{
  int status = 0;
  std::map<std::string, std::string> headers; ///< Names in lower case.
  std::string body;                           ///< Empty if a data callback received it.
  bool complete = false;                      ///< Received up to its end.

  /// Returns the value of a header, or an empty string.
  std::string Header(const std::string& aName) const;
};

/// HTTP client that opens a new connection for each request.
class Client
{
public:
  using ResponseCallback = std::function<void(const ClientResponse&)>;
  using DataCallback = std::function<void(const ClientResponse&, const std::string&)>;

  explicit Client(event_base* aBase)
    : mBase(aBase)
  {
  }

  /// Sends aRequest. aOnResponse is called once, asynchronously. If aOnData is set, it receives the
  /// parts of the body as they arrive, after the headers.
  void Send(const ClientRequest& aRequest, ResponseCallback aOnResponse,
            DataCallback aOnData = nullptr);

private:
  event_base* mBase;
};

} // namespace cuminfield::test_framework::http
