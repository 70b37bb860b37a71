#pragma once

#include "cuminfield/connection/Http.h"
#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cuminfield::connection::upstream {

/// An HTTP request to an upstream.
struct UpstreamRequest
{
  core::RequestId id; ///< Sent as X-Request-Id; the response must echo it.
  std::string method; ///< GET, POST, PUT or DELETE.
  std::string target; ///< Path and query.
  HttpHeaders headers;
  std::string body;
  /// Uses a new connection. For calls that are not safe to send twice: the upstream may close a
  /// pooled connection while the request is in transit.
  bool freshConnection = false;
};

/// Reason why a call ended without a complete response.
struct UpstreamFailure
{
  /// False only if no byte of the request can have reached the upstream.
  bool mayHaveRun = true;
  core::Error error;
};

/// Receives the response to one call. Callbacks run on the loop, never inside Start().
class UpstreamCallListener
{
public:
  virtual ~UpstreamCallListener() = default;
  virtual void OnHead(int aStatus, const HttpHeaders& aHeaders) = 0;
  virtual void OnBody(std::string_view aBytes) = 0;
  /// The response is complete.
  virtual void OnEnd() = 0;
  /// The call failed; no callback follows.
  virtual void OnFailed(const UpstreamFailure& aFailure) = 0;
};

/// A call in progress. Destroying it discards the rest of the response and closes the connection.
/// It may be destroyed inside a callback.
class UpstreamCall
{
public:
  virtual ~UpstreamCall() = default;

  /// Pauses or resumes reading the response, which applies backpressure of a slow caller.
  virtual void Pause(bool aPaused) = 0;
};

/// Sends calls to upstreams.
class UpstreamTransport
{
public:
  virtual ~UpstreamTransport() = default;

  /// Starts a call; aListener must outlive the returned object.
  virtual std::unique_ptr<UpstreamCall> Start(const std::string& aAddress, std::uint16_t aPort,
                                              UpstreamRequest aRequest,
                                              UpstreamCallListener& aListener) = 0;

  /// Sends a call whose response is ignored, such as a cancel.
  virtual void Notify(const std::string& aAddress, std::uint16_t aPort,
                      UpstreamRequest aRequest) = 0;
};

} // namespace cuminfield::connection::upstream
