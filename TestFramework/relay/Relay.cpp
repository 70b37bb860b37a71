#include "TestFramework/relay/Relay.h"

#include "TestFramework/relay/RelayLink.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <utility>

namespace cuminfield::test_framework::relay {

namespace {

constexpr int kListenBacklog = 64;

} // namespace

Relay::Relay(event_base* aBase, const process::settings::Endpoint& aListen,
             process::settings::Endpoint aTarget)
  : mBase(aBase)
  , mTarget(std::move(aTarget))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aListen.port);
  inet_pton(AF_INET, aListen.address.c_str(), &address.sin_addr);
  mListener = evconnlistener_new_bind(aBase, &Relay::OnAccept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kListenBacklog,
                                      reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (mListener == nullptr) {
    spdlog::error("relay cannot listen on {}; choose free ports", aListen.ToString());
    std::exit(1);
  }
}

Relay::~Relay()
{
  evconnlistener_free(mListener);
}

void Relay::SetBlocked(bool aForward, bool aBackward)
{
  mForwardBlocked = aForward;
  mBackwardBlocked = aBackward;
  for (const auto& it : mLinks) {
    it->SetBlocked(aForward, aBackward);
  }
}

void Relay::SilenceOpenLinks()
{
  for (const auto& it : mLinks) {
    it->Silence();
  }
}

void Relay::OnAccept(evconnlistener* /*aListener*/, int aSocket, sockaddr* /*aAddress*/,
                     int /*aSize*/, void* aSelf)
{
  auto* self = static_cast<Relay*>(aSelf);
  // The close callback identifies the link by its address, which is known only after construction.
  auto linkAddress = std::make_shared<RelayLink*>(nullptr);
  auto link = std::make_unique<RelayLink>(self->mBase, aSocket, self->mTarget, self->mOpeningDelay,
                                          [self, linkAddress] { self->CloseLink(*linkAddress); });
  *linkAddress = link.get();
  link->SetBlocked(self->mForwardBlocked, self->mBackwardBlocked);
  self->mLinks.insert(std::move(link));
}

void Relay::CloseLink(RelayLink* aLink)
{
  const auto it = std::find_if(mLinks.begin(), mLinks.end(),
                               [&](const auto& aOther) { return aOther.get() == aLink; });
  if (it != mLinks.end()) {
    mLinks.erase(it);
  }
}

} // namespace cuminfield::test_framework::relay
