#pragma once

#include "cuminfield/connection/Http.h"
#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cuminfield::connection::upstream {

/// One HTTP call to an upstream.
struct UpstreamRequest
{
  core::RequestId id; ///< Sent as X-Request-Id; the answer must carry the same.
  std::string method; ///< GET, POST, PUT or DELETE.
  std::string target; ///< Path and query.
  HttpHeaders headers;
  std::string body;
  /// The call may take effect when sent: it gets a connection of its own, since one kept open may
  /// have been closed by the upstream while the request is on its way.
  bool freshConnection = false;
};

/// Why a call ended without a whole answer.
struct UpstreamFailure
{
  /// False only where no byte of the request can have reached the upstream.
  bool mayHaveRun = true;
  core::Error error;
};

/// Receives what becomes of one call. Callbacks come from the loop, never from inside Start().
class UpstreamCallListener
{
public:
  virtual ~UpstreamCallListener() = default;
  virtual void OnHead(int aStatus, const HttpHeaders& aHeaders) = 0;
  virtual void OnBody(std::string_view aBytes) = 0;
  /// The whole answer has arrived.
  virtual void OnEnd() = 0;
  /// No more callbacks come.
  virtual void OnFailed(const UpstreamFailure& aFailure) = 0;
};

/// A call under way. Destroying it drops the rest of the answer and closes its connection; it may
/// be destroyed from inside a callback.
class UpstreamCall
{
public:
  virtual ~UpstreamCall() = default;

  /// Stops or goes on reading the answer, so that a slow caller slows its upstream.
  virtual void Pause(bool aPaused) = 0;
};

/// Carries calls to upstreams.
class UpstreamTransport
{
public:
  virtual ~UpstreamTransport() = default;

  /// Starts a call; aListener must outlive the returned object.
  virtual std::unique_ptr<UpstreamCall> Start(const std::string& aAddress, std::uint16_t aPort,
                                              UpstreamRequest aRequest,
                                              UpstreamCallListener& aListener) = 0;

  /// Sends a call whose answer does not matter, such as a cancel.
  virtual void Notify(const std::string& aAddress, std::uint16_t aPort,
                      UpstreamRequest aRequest) = 0;
};

} // namespace cuminfield::connection::upstream
