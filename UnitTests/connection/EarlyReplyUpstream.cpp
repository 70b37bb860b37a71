#include "UnitTests/connection/EarlyReplyUpstream.h"

#include <event2/listener.h>

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cuminfield::unit_tests::connection {

using namespace std::chrono_literals;

namespace {

/// The kernel doubles it.
constexpr int kReceiveBufferBytes = 4 * 1024;

} // namespace

struct EarlyReplyUpstream::Connection
{
  Connection(core::EventLoop& aLoop, int aSocket, EarlyReply aReply)
    : loop(aLoop)
    , socket(aSocket)
    , reply(std::move(aReply))
    , bytesLeftToRead(reply.readBytes)
  {
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Disconnect(); }

  core::EventLoop& loop;
  int socket;
  EarlyReply reply;
  std::size_t bytesLeftToRead;
  std::size_t nextPart = 0;
  core::TimerHandle turn;

  void Disconnect()
  {
    if (socket >= 0) {
      ::close(std::exchange(socket, -1));
    }
  }

  void RunAfter(int aTurns, void (Connection::*aStep)())
  {
    turn = loop.ScheduleAfter(0ms, [this, aTurns, aStep] {
      if (aTurns > 0) {
        RunAfter(aTurns - 1, aStep);
      } else {
        (this->*aStep)();
      }
    });
  }

  void SendNextPart()
  {
    if (nextPart == reply.parts.size()) {
      RunAfter(reply.turnsBeforeEnding, &Connection::Finish);
      return;
    }
    const std::string& part = reply.parts[nextPart++];
    static_cast<void>(::send(socket, part.data(), part.size(), MSG_NOSIGNAL));
    RunAfter(0, nextPart == 1 ? &Connection::Read : &Connection::SendNextPart);
  }

  void Read()
  {
    std::array<char, 64 * 1024> bytes{};
    while (bytesLeftToRead > 0) {
      const ssize_t size =
        ::recv(socket, bytes.data(), std::min(bytes.size(), bytesLeftToRead), MSG_DONTWAIT);
      if (size <= 0) {
        RunAfter(0, &Connection::Read);
        return;
      }
      bytesLeftToRead -= static_cast<std::size_t>(size);
    }
    SendNextPart();
  }

  void Finish()
  {
    switch (reply.ending) {
      case EarlyEnding::KeepOpen:
        break;
      case EarlyEnding::Close:
        ::shutdown(socket, SHUT_WR);
        break;
      case EarlyEnding::CloseThenReset:
        ::shutdown(socket, SHUT_WR);
        Reset();
        break;
      case EarlyEnding::Reset:
        Reset();
        break;
    }
  }

  void Reset()
  {
    const linger option{ .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    Disconnect();
  }
};

EarlyReplyUpstream::EarlyReplyUpstream(core::EventLoop& aLoop, std::vector<EarlyReply> aReplies)
  : mLoop(aLoop)
  , mReplies(std::move(aReplies))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  mListener = evconnlistener_new_bind(aLoop.EventBase(), OnAccept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  ::setsockopt(evconnlistener_get_fd(mListener), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof kReceiveBufferBytes);
}

EarlyReplyUpstream::~EarlyReplyUpstream()
{
  evconnlistener_free(mListener);
}

std::uint16_t EarlyReplyUpstream::Port() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(evconnlistener_get_fd(mListener), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void EarlyReplyUpstream::OnAccept(evconnlistener*, int aSocket, sockaddr*, int, void* aSelf)
{
  auto* self = static_cast<EarlyReplyUpstream*>(aSelf);
  const std::size_t index = self->mConnections.size();
  auto connection = std::make_unique<Connection>(
    self->mLoop, aSocket, index < self->mReplies.size() ? self->mReplies[index] : EarlyReply());
  if (index < self->mReplies.size()) {
    connection->RunAfter(connection->reply.turnsBefore, &Connection::SendNextPart);
  }
  self->mConnections.push_back(std::move(connection));
}

} // namespace cuminfield::unit_tests::connection
