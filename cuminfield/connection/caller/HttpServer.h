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

/// Tunables of one listening address.
struct HttpServerSettings
{
  core::Bytes maxBody{ 4 * 1024 * 1024 };         ///< A larger request body is refused with 413.
  core::Bytes maxHeaders{ 16 * 1024 };            ///< Larger request headers are refused.
  core::Bytes callerBuffer{ 256 * 1024 };         ///< More unsent bytes for one caller: backlog.
  std::uint64_t maxOpen = 4000;                   ///< More requests at once are refused with 503.
  core::Duration idle = std::chrono::seconds(60); ///< A connection that sends nothing is closed.
};

/// Listens for HTTP requests by evhttp and hands each whole one to its handler.
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

  /// Binds the address. Io when it is taken.
  core::Result<void> Start();

  /// Takes no new connections; those open go on.
  void StopAccepting();

  /// Closes the connections that wait for a caller's next request. One whose request is on its way
  /// is closed all the same: nothing of that request was read, so it is safe to send again.
  void CloseIdle();

  /// Requests being answered now.
  std::size_t Open() const { return mOpen; }

private:
  class Channel;

  void Handle(evhttp_request* aRequest);
  void CloseSoon(evhttp_connection* aConnection);
  static void OnIdleClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnClosingClosed(evhttp_connection* aConnection, void* aSelf);
  static void OnRequest(evhttp_request* aRequest, void* aSelf);

  Options mOptions;
  evhttp* mServer = nullptr;
  evhttp_bound_socket* mSocket = nullptr;
  std::size_t mOpen = 0;
  std::set<evhttp_connection*> mClosing; ///< Broken off, to be freed from the loop.
  std::set<evhttp_connection*> mIdle;    ///< Answered; wait for the next request.
};

} // namespace cuminfield::connection::caller
