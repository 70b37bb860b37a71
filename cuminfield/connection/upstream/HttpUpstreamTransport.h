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

/// Tunables of calls to upstreams.
struct HttpUpstreamTransportSettings
{
  core::Duration connect = std::chrono::seconds(1); ///< A slower connect has failed.
  core::Duration stall = std::chrono::seconds(30);  ///< Longer silence during an answer: failed.
  std::size_t idlePerUpstream = 64;                 ///< Idle connections kept for one upstream.
  /// A connection idle for longer is not used again: the upstream may be about to close it.
  core::Duration reuseWithin = std::chrono::hours(1);
  /// Bounds of what an upstream may send: one that sends without end is cut off. A head of 64 KiB
  /// is four times what callers may send; an answer, four times the largest request body.
  core::Bytes maxHead{ 64 * 1024 };
  core::Bytes maxAnswer{ 16 * 1024 * 1024 };
  /// Bytes of one call that wait here to be read. A chunk must be whole to be passed on, so none is
  /// larger.
  core::Bytes maxUnread{ 1024 * 1024 };
  /// Header that names the request, echoed by the upstream.
  std::string idHeader{ kRequestIdHeader };
};

/// Calls upstreams by evhttp and keeps whole, idle connections for further calls. A connection
/// whose answer is unfinished, or carried another request's id, is closed and never used again.
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
  using Key = std::pair<std::string, std::uint16_t>;

  struct Idle
  {
    evhttp_connection* connection = nullptr;
    core::Instant since{};
  };

  evhttp_connection* Take(const Key& aKey);
  evhttp_connection* Connect(const Key& aKey);
  void GiveBack(const Key& aKey, evhttp_connection* aConnection);
  void CloseSoon(evhttp_connection* aConnection, std::shared_ptr<CallState>* aState);
  static void OnIdleClosed(evhttp_connection* aConnection, void* aSelf);

  Options mOptions;
  std::map<Key, std::vector<Idle>> mIdle;
  std::map<const Notification*, std::unique_ptr<Notification>> mNotifications;
};

} // namespace cuminfield::connection::upstream
