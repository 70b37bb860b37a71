#pragma once

#include "cuminfield/connection/upstream/UpstreamTransport.h"
#include "cuminfield/core/EventLoop.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct evhttp_connection;

namespace cuminfield::connection::upstream {

/// Limits and timeouts of calls to upstreams.
struct HttpUpstreamTransportSettings
{
  core::Duration connectTimeout = std::chrono::seconds(1); ///< Timeout of connecting.
  core::Duration stallTimeout = std::chrono::seconds(30);  ///< Timeout without received bytes.
  std::size_t maxIdlePerUpstream = 64;                     ///< Limit of pooled connections.
  /// A connection idle for longer is closed: the upstream may be about to close it, too, and until
  /// then it counts towards the connections that the upstream accepts from all hosts together.
  core::Duration maxIdleTime = std::chrono::hours(1);
  /// Limits of the response size, so that an upstream that never stops sending is disconnected.
  /// Each is four times the corresponding limit of caller requests.
  core::Bytes maxHeadSize{ 64 * 1024 };
  core::Bytes maxResponseSize{ 16 * 1024 * 1024 };
  /// Limit of buffered unread bytes of one call. Only complete chunks are passed on, so this also
  /// limits the chunk size.
  core::Bytes maxUnreadBytes{ 1024 * 1024 };
  /// Header with the request id, which the upstream echoes.
  std::string requestIdHeader{ kRequestIdHeader };
};

/// Upstream transport based on evhttp, with a pool of idle connections. A connection whose response
/// was incomplete or carried the id of another request is closed and never reused.
class HttpUpstreamTransport : public UpstreamTransport
{
public:
  struct Options
  {
    HttpUpstreamTransportSettings settings{};
    core::EventLoop& loop;
  };

  explicit HttpUpstreamTransport(Options aOptions);
  ~HttpUpstreamTransport() override;

  std::unique_ptr<UpstreamCall> Start(const std::string& aAddress, std::uint16_t aPort,
                                      UpstreamRequest aRequest,
                                      UpstreamCallListener& aListener) override;

  void Notify(const std::string& aAddress, std::uint16_t aPort, UpstreamRequest aRequest) override;

private:
  class Call;
  class Notification;
  struct CallState;
  using Endpoint = std::pair<std::string, std::uint16_t>;

  struct IdleConnection
  {
    evhttp_connection* connection = nullptr;
    core::Instant idleSince{};
  };

  void CloseExpiredConnections();
  evhttp_connection* AcquireConnection(const Endpoint& aKey);
  evhttp_connection* CreateConnection(const Endpoint& aKey);
  void ReleaseConnection(const Endpoint& aKey, evhttp_connection* aConnection);
  void DeferClose(evhttp_connection* aConnection, std::shared_ptr<CallState>* aState);
  static void OnIdleClosed(evhttp_connection* aConnection, void* aSelf);

  Options mOptions;
  std::map<Endpoint, std::vector<IdleConnection>> mIdleConnections;
  core::TimerHandle mIdleTimer; ///< Active while there are idle connections.
  std::map<const Notification*, std::unique_ptr<Notification>> mNotifications;
};

} // namespace cuminfield::connection::upstream
