#pragma once

#include "cuminfield/core/EventLoop.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace cuminfield::unit_tests::connection {

enum class Ending
{
  KeepOpen,
  Close,
  Reset,
};

/// What an upstream sends in reply to a request: each part in a turn of the loop of its own.
struct Reply
{
  std::vector<std::string> parts;
  Ending ending = Ending::KeepOpen;
};

/// Upstream that sends replies in the order of the requests, whichever connection they come on.
/// Requests have no body. Waits for nothing but turns of the loop, so that thousands of replies
/// take a second.
class ReplyingUpstream
{
public:
  explicit ReplyingUpstream(core::EventLoop& aLoop);
  ~ReplyingUpstream();
  ReplyingUpstream(const ReplyingUpstream&) = delete;
  ReplyingUpstream& operator=(const ReplyingUpstream&) = delete;

  std::uint16_t Port() const;

  /// Sets the next replies and closes earlier connections.
  void Prepare(std::vector<Reply> aReplies);

  /// Connections since Prepare().
  std::size_t ConnectionCount() const { return mConnections.size(); }

private:
  struct Connection;

  static void OnAccept(evconnlistener* aListener, int aSocket, sockaddr* aFrom, int aSize,
                       void* aSelf);
  static void OnRead(bufferevent* aChannel, void* aConnection);
  static void OnEvent(bufferevent* aChannel, short aWhat, void* aConnection);

  core::EventLoop& mLoop;
  evconnlistener* mListener = nullptr;
  std::vector<std::unique_ptr<Connection>> mConnections;
  std::vector<Reply> mReplies; ///< The next one last.
};

} // namespace cuminfield::unit_tests::connection
