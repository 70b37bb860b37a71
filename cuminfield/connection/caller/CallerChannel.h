#pragma once

#include "cuminfield/connection/Http.h"
#include "cuminfield/core/Ids.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cuminfield::connection::caller {

/// A complete request from a caller.
struct CallerRequest
{
  std::string method;
  std::string target; ///< Path and query.
  std::string path;
  HttpHeaders headers;
  std::string body;
};

/// Sends the response to one caller. All methods do nothing once the caller has disconnected.
class CallerChannel
{
public:
  virtual ~CallerChannel() = default;

  /// Sends the status and headers of a response whose body follows through SendBody().
  virtual void SendHead(int aStatus, const HttpHeaders& aHeaders) = 0;

  /// Sends a part of the response body; requires SendHead().
  virtual void SendBody(std::string_view aBytes) = 0;

  /// Completes a response that SendHead() started.
  virtual void End() = 0;

  /// Closes the connection without completing the response, so that the caller can detect it.
  virtual void Abort() = 0;

  /// Sends a complete response; replaces SendHead(), SendBody() and End().
  virtual void SendResponse(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody) = 0;

  /// Called once if the caller disconnects before the response is complete.
  std::function<void()> onDisconnected;

  /// Called with true when too many bytes are unsent, with false when they have been written.
  std::function<void(bool)> onBacklog;
};

/// Handles the requests of all callers.
class CallerHandler
{
public:
  virtual ~CallerHandler() = default;

  /// Handles a complete request. The handler owns the channel and sends one response through it.
  virtual void OnRequest(CallerRequest aRequest, std::shared_ptr<CallerChannel> aChannel) = 0;
};

} // namespace cuminfield::connection::caller
