#include "cuminfield/connection/upstream/ReachabilityChecker.h"

#include "cuminfield/core/Timeval.h"

#include <event2/bufferevent.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <utility>

namespace cuminfield::connection::upstream {

ReachabilityChecker::ReachabilityChecker(const Options& aOptions)
  : mOptions(aOptions)
{
}

ReachabilityChecker::~ReachabilityChecker()
{
  for (const auto& [connection, done] : mChecks) {
    bufferevent_free(connection);
  }
}

void ReachabilityChecker::Start(const std::string& aAddress, std::uint16_t aPort, Callback aDone)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  // Callbacks are deferred, so that none runs inside this function.
  bufferevent* connection = bufferevent_socket_new(mOptions.loop.EventBase(), -1,
                                                   BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  mChecks.emplace(connection, std::move(aDone));
  bufferevent_setcb(connection, nullptr, nullptr, OnEvent, this);
  const timeval timeout = core::ToTimeval(mOptions.settings.timeout);
  bufferevent_set_timeouts(connection, nullptr, &timeout);
  if (evutil_inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr) != 1 ||
      bufferevent_socket_connect(connection, reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    bufferevent_trigger_event(connection, BEV_EVENT_CONNECTED, BEV_OPT_DEFER_CALLBACKS);
  }
}

void ReachabilityChecker::OnEvent(bufferevent* aConnection, short aWhat, void* aSelf)
{
  static_cast<ReachabilityChecker*>(aSelf)->End(aConnection, (aWhat & BEV_EVENT_CONNECTED) != 0);
}

void ReachabilityChecker::End(bufferevent* aConnection, bool aIsReachable)
{
  const auto check = mChecks.extract(aConnection);
  bufferevent_free(aConnection);
  if (!check.empty()) {
    check.mapped()(aIsReachable);
  }
}

} // namespace cuminfield::connection::upstream
