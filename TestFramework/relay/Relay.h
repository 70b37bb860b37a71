#pragma once

#include "cuminfield/process/settings/HostSettings.h"

#include <memory>
#include <set>

struct event_base;
struct evconnlistener;
struct sockaddr;

namespace cuminfield::test_framework::relay {

class RelayLink;

/// Passes TCP connections on to a target, and can be cut silently: bytes then stay where they are
/// and no connection is closed, as when a network drops packets. Healed, the bytes go on.
class Relay
{
public:
  Relay(event_base* aBase, const process::settings::Endpoint& aListen,
        process::settings::Endpoint aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Cuts or heals each direction: forward is from the connecting side to the target.
  void Cut(bool aForward, bool aBackward);

  /// Connections now open.
  std::size_t Links() const { return mLinks.size(); }

private:
  static void Accepted(evconnlistener* aListener, int aSocket, sockaddr* aAddress, int aSize,
                       void* aSelf);
  void Close(RelayLink* aLink);

  event_base* mBase;
  process::settings::Endpoint mTarget;
  evconnlistener* mListener;
  bool mForwardCut = false;
  bool mBackwardCut = false;
  std::set<std::unique_ptr<RelayLink>> mLinks;
};

} // namespace cuminfield::test_framework::relay
