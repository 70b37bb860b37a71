#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <memory>
#include <set>

struct event_base;
struct evconnlistener;
struct sockaddr;

namespace cuminfield::test_framework::relay {

class RelayLink;

/// TCP relay that can simulate a network partition. While a direction is blocked, its bytes are
/// held back and no connection is closed, as if the network dropped packets. They are delivered
/// once the direction is unblocked.
class Relay
{
public:
  Relay(event_base* aBase, const process::settings::Endpoint& aListen,
        process::settings::Endpoint aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Blocks or unblocks each direction. Forward is from the connecting side to the target.
  void SetBlocked(bool aForward, bool aBackward);

  /// Holds back all bytes of the connections that are open now, in both directions and for good;
  /// new connections work.
  void SilenceOpenLinks();

  /// Holds back all bytes of each new connection for this long, like a host that is too busy to
  /// answer it.
  void SetOpeningDelay(core::Duration aDelay) { mOpeningDelay = aDelay; }

  /// Number of open connections.
  std::size_t LinkCount() const { return mLinks.size(); }

private:
  static void OnAccept(evconnlistener* aListener, int aSocket, sockaddr* aAddress, int aSize,
                       void* aSelf);
  void CloseLink(RelayLink* aLink);

  event_base* mBase;
  process::settings::Endpoint mTarget;
  evconnlistener* mListener;
  bool mForwardBlocked = false;
  bool mBackwardBlocked = false;
  core::Duration mOpeningDelay{ 0 };
  std::set<std::unique_ptr<RelayLink>> mLinks;
};

} // namespace cuminfield::test_framework::relay
