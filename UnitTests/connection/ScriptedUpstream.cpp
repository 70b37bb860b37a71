#include "UnitTests/connection/ScriptedUpstream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace cuminfield::unit_tests::connection {

using namespace std::chrono_literals;

ScriptedUpstream::ScriptedUpstream(core::EventLoop& aLoop, Script aScript, After aAfter)
  : mLoop(aLoop)
  , mScript(std::move(aScript))
  , mAfter(aAfter)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  mListener = evconnlistener_new_bind(aLoop.EventBase(), OnAccept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

ScriptedUpstream::~ScriptedUpstream()
{
  Disconnect();
  StopListening();
}

std::uint16_t ScriptedUpstream::Port() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(evconnlistener_get_fd(mListener), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void ScriptedUpstream::Disconnect()
{
  if (mChannel) {
    bufferevent_free(std::exchange(mChannel, nullptr));
  }
}

void ScriptedUpstream::StopListening()
{
  if (mListener) {
    evconnlistener_free(std::exchange(mListener, nullptr));
  }
}

void ScriptedUpstream::OnAccept(evconnlistener*, int aSocket, sockaddr*, int, void* aSelf)
{
  auto* self = static_cast<ScriptedUpstream*>(aSelf);
  self->Disconnect();
  ++self->mConnections;
  self->mChannel = bufferevent_socket_new(self->mLoop.EventBase(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(self->mChannel, OnRead, OnWritten, OnEvent, self);
  bufferevent_enable(self->mChannel, EV_READ | EV_WRITE);
}

void ScriptedUpstream::OnRead(bufferevent* aChannel, void* aSelf)
{
  auto* self = static_cast<ScriptedUpstream*>(aSelf);
  evbuffer* input = bufferevent_get_input(aChannel);
  const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
  if (end.pos < 0) {
    return;
  }
  std::string head(static_cast<std::size_t>(end.pos) + 4, '\0');
  evbuffer_remove(input, head.data(), head.size());
  const std::string response = self->mScript(++self->mRequests, head);
  bufferevent_write(aChannel, response.data(), response.size());
}

void ScriptedUpstream::OnWritten(bufferevent* aChannel, void* aSelf)
{
  auto* self = static_cast<ScriptedUpstream*>(aSelf);
  if (self->mAfter == After::KeepOpen || self->mRequests == 0) {
    return;
  }
  if (self->mAfter != After::Close) {
    const linger option{ .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(bufferevent_getfd(aChannel), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  }
  // The response must have been read before the reset discards it.
  self->mCloseTimer = self->mLoop.ScheduleAfter(50ms, [self] {
    if (self->mAfter == After::Crash) {
      self->StopListening();
    }
    self->Disconnect();
  });
}

void ScriptedUpstream::OnEvent(bufferevent*, short aWhat, void* aSelf)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<ScriptedUpstream*>(aSelf)->Disconnect();
  }
}

} // namespace cuminfield::unit_tests::connection
