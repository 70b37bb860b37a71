#pragma once

#include "cuminfield/core/EventLoop.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace cuminfield::unit_tests::connection {

/// What follows the last part of an early reply.
enum class EarlyEnding
{
  KeepOpen,
  Close, ///< An orderly end of what the upstream sends.
  Reset,
  CloseThenReset,
};

/// A reply that begins before the request's body has been read.
struct EarlyReply
{
  std::vector<std::string> parts; ///< Each is sent in a turn of the loop of its own.
  EarlyEnding ending = EarlyEnding::KeepOpen;
  int turnsBefore = 0;       ///< Turns of the loop between the connection and the first part.
  int turnsBeforeEnding = 0; ///< Turns between the last part and the ending.
  /// Bytes of the request that are read between the first part and the others.
  std::size_t readBytes = 0;
};

/// Upstream that replies to a request without reading its body, on one connection for each reply.
/// Its receive buffer is small, so that most of a body remains with the sender.
class EarlyReplyUpstream
{
public:
  EarlyReplyUpstream(core::EventLoop& aLoop, std::vector<EarlyReply> aReplies);
  ~EarlyReplyUpstream();
  EarlyReplyUpstream(const EarlyReplyUpstream&) = delete;
  EarlyReplyUpstream& operator=(const EarlyReplyUpstream&) = delete;

  std::uint16_t Port() const;
  std::size_t ConnectionCount() const { return mConnections.size(); }

private:
  struct Connection;

  static void OnAccept(evconnlistener* aListener, int aSocket, sockaddr* aFrom, int aSize,
                       void* aSelf);

  core::EventLoop& mLoop;
  std::vector<EarlyReply> mReplies;
  evconnlistener* mListener = nullptr;
  std::vector<std::unique_ptr<Connection>> mConnections;
};

} // namespace cuminfield::unit_tests::connection
