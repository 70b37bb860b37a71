#pragma once

#include "cuminfield/connection/Http.h"
#include "cuminfield/core/Ids.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cuminfield::connection::caller {

/// A request as it came from a caller, whole.
struct CallerRequest
{
  std::string method;
  std::string target; ///< Path and query.
  std::string path;
  HttpHeaders headers;
  std::string body;
};

/// The way back to one caller. All methods do nothing once the caller has left.
class CallerChannel
{
public:
  virtual ~CallerChannel() = default;

  /// Status and headers of an answer that follows in parts.
  virtual void SendHead(int aStatus, const HttpHeaders& aHeaders) = 0;

  /// A part of the answer; after SendHead().
  virtual void SendBody(std::string_view aBytes) = 0;

  /// The answer is whole.
  virtual void End() = 0;

  /// Breaks the answer off so that the caller sees that it is not whole.
  virtual void Abort() = 0;

  /// A whole answer at once, in place of SendHead().
  virtual void SendWhole(int aStatus, const HttpHeaders& aHeaders, std::string_view aBody) = 0;

  /// Called once when the caller leaves before the answer is whole.
  std::function<void()> onGone;

  /// Called with true when too many bytes wait for the caller, with false when it has caught up.
  std::function<void(bool)> onBacklog;
};

/// Receives the requests of all callers.
class CallerHandler
{
public:
  virtual ~CallerHandler() = default;

  /// A whole request arrived. The handler owns the channel and answers through it once.
  virtual void OnRequest(CallerRequest aRequest, std::shared_ptr<CallerChannel> aChannel) = 0;
};

} // namespace cuminfield::connection::caller
