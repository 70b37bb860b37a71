#pragma once

#include "cuminfield/core/EventLoop.h"

#include <cstdint>
#include <functional>
#include <string>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace cuminfield::unit_tests::connection {

/// Upstream that answers each request with the bytes that a script returns. Keeps one connection.
class ScriptedUpstream
{
public:
  /// Returns the response to a request, given its number from 1 and its head.
  using Script = std::function<std::string(int, const std::string&)>;

  /// What happens to the connection after a response.
  enum class After
  {
    KeepOpen,
    Close,
    Reset,
    Crash, ///< It is reset, and no further connection is accepted.
  };

  ScriptedUpstream(core::EventLoop& aLoop, Script aScript, After aAfter);
  ~ScriptedUpstream();

  std::uint16_t Port() const;
  int ConnectionCount() const { return mConnections; }
  bool IsConnected() const { return mChannel != nullptr; }

private:
  void Disconnect();
  void StopListening();
  static void OnAccept(evconnlistener* aListener, int aSocket, sockaddr* aFrom, int aSize,
                       void* aSelf);
  static void OnRead(bufferevent* aChannel, void* aSelf);
  static void OnWritten(bufferevent* aChannel, void* aSelf);
  static void OnEvent(bufferevent* aChannel, short aWhat, void* aSelf);

  core::EventLoop& mLoop;
  Script mScript;
  After mAfter;
  evconnlistener* mListener = nullptr;
  bufferevent* mChannel = nullptr;
  core::TimerHandle mCloseTimer;
  int mConnections = 0;
  int mRequests = 0;
};

} // namespace cuminfield::unit_tests::connection
