#pragma once

#include "cuminfield/connection/caller/CallerChannel.h"
#include "cuminfield/core/Error.h"
#include "cuminfield/core/EventLoop.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <cstdint>
#include <memory>
#include <set>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace cuminfield::connection::caller {

/// Limits and timeouts of one listening address.
struct HttpServerSettings
{
  core::Bytes maxBodySize{ 4 * 1024 * 1024 };            ///< Larger request bodies get 413.
  core::Bytes maxHeaderSize{ 16 * 1024 };                ///< Larger request headers are rejected.
  core::Bytes maxUnsentBytes{ 256 * 1024 };              ///< More unsent bytes are a backlog.
  std::uint64_t maxOpenRequests = 4000;                  ///< Requests beyond this get 503.
  core::Duration idleTimeout = std::chrono::seconds(60); ///< Idle connections are closed.
};

/// HTTP server based on evhttp; passes each complete request to a handler.
class HttpServer
{
public:
  struct Options
  {
    HttpServerSettings settings{};
    process::settings::Endpoint listen;
    core::EventLoop& loop;
    CallerHandler& handler;
  };

  explicit HttpServer(Options aOptions);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the address and starts listening. Fails with Io if the address cannot be bound.
  core::Result<void> Start();

  /// Accepts no new connections; open connections continue.
  void StopAccepting();

  /// Closes connections without a request in progress. A request that is still in transit is lost,
  /// but none of it has been read, so the caller can safely send it again.
  void CloseIdleConnections();

  /// True while bytes of responses wait to be sent.
  bool HasUnsentBytes() const;

  /// Number of requests without a complete response.
  std::size_t OpenRequestCount() const { return mOpenRequestCount; }

private:
  class Channel;

  void HandleRequest(evhttp_request* aRequest);
  void DeferClose(evhttp_connection* aConnection);
  static void OnIdleClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnClosingClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnRequest(evhttp_request* aRequest, void* aSelf);

  Options mOptions;
  evhttp* mServer = nullptr;
  evhttp_bound_socket* mListeningSocket = nullptr;
  std::size_t mOpenRequestCount = 0;
  std::set<evhttp_connection*> mClosingConnections; ///< To be freed from the loop.
  std::set<evhttp_connection*> mIdleConnections;    ///< Without a request in progress.
};

} // namespace cuminfield::connection::caller
