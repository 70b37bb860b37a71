#include "UnitTests/connection/ReplyingUpstream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace cuminfield::unit_tests::connection {

using namespace std::chrono_literals;

struct ReplyingUpstream::Connection
{
  ReplyingUpstream* upstream = nullptr;
  bufferevent* channel = nullptr;
  Reply reply;
  std::size_t nextPart = 0;
  core::TimerHandle turn;

  void Disconnect()
  {
    turn.Cancel();
    if (channel) {
      bufferevent_free(std::exchange(channel, nullptr));
    }
  }

  void SendNextPart()
  {
    if (nextPart < reply.parts.size()) {
      const std::string& part = reply.parts[nextPart++];
      // Not through the buffer, so that the bytes are sent before this turn ends.
      static_cast<void>(::send(bufferevent_getfd(channel), part.data(), part.size(), MSG_NOSIGNAL));
      turn = upstream->mLoop.ScheduleAfter(0ms, [this] { SendNextPart(); });
      return;
    }
    if (reply.ending == Ending::KeepOpen) {
      return;
    }
    if (reply.ending == Ending::Reset) {
      const linger option{ .l_onoff = 1, .l_linger = 0 };
      ::setsockopt(bufferevent_getfd(channel), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }
    Disconnect();
  }
};

ReplyingUpstream::ReplyingUpstream(core::EventLoop& aLoop)
  : mLoop(aLoop)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  mListener = evconnlistener_new_bind(aLoop.EventBase(), OnAccept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

ReplyingUpstream::~ReplyingUpstream()
{
  Prepare({});
  evconnlistener_free(mListener);
}

void ReplyingUpstream::Prepare(std::vector<Reply> aReplies)
{
  for (const auto& it : mConnections) {
    it->Disconnect();
  }
  mConnections.clear();
  mReplies = std::move(aReplies);
  std::reverse(mReplies.begin(), mReplies.end());
}

std::uint16_t ReplyingUpstream::Port() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(evconnlistener_get_fd(mListener), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void ReplyingUpstream::OnAccept(evconnlistener*, int aSocket, sockaddr*, int, void* aSelf)
{
  auto* self = static_cast<ReplyingUpstream*>(aSelf);
  Connection& connection = *self->mConnections.emplace_back(std::make_unique<Connection>());
  connection.upstream = self;
  connection.channel =
    bufferevent_socket_new(self->mLoop.EventBase(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(connection.channel, OnRead, nullptr, OnEvent, &connection);
  bufferevent_enable(connection.channel, EV_READ | EV_WRITE);
}

void ReplyingUpstream::OnRead(bufferevent* aChannel, void* aConnection)
{
  auto& connection = *static_cast<Connection*>(aConnection);
  evbuffer* input = bufferevent_get_input(aChannel);
  if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0) {
    return;
  }
  evbuffer_drain(input, evbuffer_get_length(input));
  std::vector<Reply>& replies = connection.upstream->mReplies;
  if (replies.empty()) {
    return;
  }
  connection.reply = std::move(replies.back());
  replies.pop_back();
  connection.nextPart = 0;
  connection.SendNextPart();
}

void ReplyingUpstream::OnEvent(bufferevent*, short aWhat, void* aConnection)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<Connection*>(aConnection)->Disconnect();
  }
}

} // namespace cuminfield::unit_tests::connection
