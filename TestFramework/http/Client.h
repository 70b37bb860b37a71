#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <functional>
#include <map>
#include <string>

struct event_base;

namespace cuminfield::test_framework::http {

/// A request to send.
struct ClientRequest
{
  process::settings::Endpoint to;
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  core::Duration timeout = std::chrono::seconds(5); ///< Longest silence before it has failed.
};

/// The answer so far. Status 0 means that no head arrived.
struct ClientResponse
{
  int status = 0;
  std::map<std::string, std::string> headers; ///< Names in lower case.
  std::string body;                           ///< Empty where a data callback took it.
  bool whole = false;                         ///< Arrived to its end.

  /// The named header, or empty.
  std::string Header(const std::string& aName) const;
};

/// Sends HTTP requests, each on a connection of its own.
class Client
{
public:
  using End = std::function<void(const ClientResponse&)>;
  using Data = std::function<void(const ClientResponse&, const std::string&)>;

  explicit Client(event_base* aBase)
    : mBase(aBase)
  {
  }

  /// Sends aRequest; aEnd is called once, later. With aData, parts of the body go there as they
  /// arrive, after the head.
  void Send(const ClientRequest& aRequest, End aEnd, Data aData = nullptr);

private:
  event_base* mBase;
};

} // namespace cuminfield::test_framework::http
