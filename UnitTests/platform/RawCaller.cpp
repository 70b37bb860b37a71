#include "UnitTests/platform/RawCaller.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <utility>

namespace cuminfield::unit_tests::platform {

RawCaller::RawCaller(Options aOptions)
  : mOptions(std::move(aOptions))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(mOptions.port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  mChannel = bufferevent_socket_new(mOptions.loop.EventBase(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(mChannel, OnRead, nullptr, OnEvent, this);
  bufferevent_enable(mChannel, EV_READ | EV_WRITE);
  bufferevent_socket_connect(mChannel, reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address));
  bufferevent_write(mChannel, mOptions.request.data(), mOptions.request.size());
}

RawCaller::~RawCaller()
{
  bufferevent_free(mChannel);
}

void RawCaller::OnRead(bufferevent* aChannel, void* aSelf)
{
  auto* self = static_cast<RawCaller*>(aSelf);
  evbuffer* input = bufferevent_get_input(aChannel);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  self->received += bytes;
  const std::string& lastBytes = self->mOptions.lastBytes;
  if (!lastBytes.empty() && self->received.ends_with(lastBytes)) {
    self->mOptions.loop.Stop();
  }
}

void RawCaller::OnEvent(bufferevent*, short aWhat, void* aSelf)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    auto* self = static_cast<RawCaller*>(aSelf);
    self->closed = true;
    self->reset = (aWhat & BEV_EVENT_ERROR) != 0;
    self->mOptions.loop.Stop();
  }
}

} // namespace cuminfield::unit_tests::platform
