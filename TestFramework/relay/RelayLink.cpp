#include "TestFramework/relay/RelayLink.h"

#include "cuminfield/core/Timeval.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <utility>

namespace cuminfield::test_framework::relay {

RelayLink::RelayLink(event_base* aBase, int aSocket, const process::settings::Endpoint& aTarget,
                     core::Duration aOpeningDelay, std::function<void()> aCloseCallback)
  : mCaller(bufferevent_socket_new(aBase, aSocket, BEV_OPT_CLOSE_ON_FREE))
  , mTarget(bufferevent_socket_new(aBase, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
  , mOpeningTimer(evtimer_new(aBase, &RelayLink::OnOpeningDelayEnded, this))
  , mCloseCallback(std::move(aCloseCallback))
{
  for (bufferevent* it : { mCaller, mTarget }) {
    bufferevent_setcb(it, &RelayLink::OnDataReceived, nullptr, &RelayLink::OnConnectionEvent, this);
    bufferevent_enable(it, EV_WRITE);
  }
  const timeval delay = core::ToTimeval(aOpeningDelay);
  event_add(mOpeningTimer, &delay);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aTarget.port);
  inet_pton(AF_INET, aTarget.address.c_str(), &address.sin_addr);
  bufferevent_socket_connect(mTarget, reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

RelayLink::~RelayLink()
{
  event_free(mOpeningTimer);
  bufferevent_free(mCaller);
  bufferevent_free(mTarget);
}

void RelayLink::SetBlocked(bool aForward, bool aBackward)
{
  mForwardBlocked = aForward;
  mBackwardBlocked = aBackward;
  UpdateReading();
}

void RelayLink::UpdateReading()
{
  const auto setBlocked = [](bufferevent* aFrom, bool aBlocked) {
    if (aBlocked) {
      bufferevent_disable(aFrom, EV_READ);
    } else {
      bufferevent_enable(aFrom, EV_READ);
    }
  };
  setBlocked(mCaller, mForwardBlocked || mIsSilenced || mIsOpening);
  setBlocked(mTarget, mBackwardBlocked || mIsSilenced || mIsOpening);
}

void RelayLink::OnOpeningDelayEnded(int /*aSocket*/, short /*aWhat*/, void* aSelf)
{
  auto* self = static_cast<RelayLink*>(aSelf);
  self->mIsOpening = false;
  self->UpdateReading();
}

void RelayLink::Silence()
{
  mIsSilenced = true;
  UpdateReading();
}

void RelayLink::OnDataReceived(bufferevent* aFrom, void* aSelf)
{
  const auto* self = static_cast<RelayLink*>(aSelf);
  bufferevent* to = aFrom == self->mCaller ? self->mTarget : self->mCaller;
  bufferevent_write_buffer(to, bufferevent_get_input(aFrom));
}

void RelayLink::OnConnectionEvent(bufferevent* /*aSide*/, short aEvents, void* aSelf)
{
  if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<RelayLink*>(aSelf)->mCloseCallback();
  }
}

} // namespace cuminfield::test_framework::relay
