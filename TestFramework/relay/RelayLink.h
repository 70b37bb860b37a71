#pragma once

#include "cuminfield/process/settings/HostSettings.h"

#include <functional>

struct bufferevent;
struct event_base;

namespace cuminfield::test_framework::relay {

/// One connection through a relay: two sockets and the bytes between them.
class RelayLink
{
public:
  /// Takes the accepted aSocket and connects to aTarget; aClosed is called when either side ends.
  RelayLink(event_base* aBase, int aSocket, const process::settings::Endpoint& aTarget,
            std::function<void()> aClosed);
  ~RelayLink();
  RelayLink(const RelayLink&) = delete;
  RelayLink& operator=(const RelayLink&) = delete;

  /// Holds or passes the bytes of each direction.
  void Cut(bool aForward, bool aBackward);

private:
  static void Received(bufferevent* aFrom, void* aSelf);
  static void Changed(bufferevent* aSide, short aWhat, void* aSelf);

  bufferevent* mCaller;
  bufferevent* mTarget;
  std::function<void()> mClosed;
};

} // namespace cuminfield::test_framework::relay
