#pragma once

#include "cuminfield/process/settings/HostSettings.h"

#include <functional>

struct bufferevent;
struct event_base;

namespace cuminfield::test_framework::relay {

/// One connection through a relay, with a socket on either side.
class RelayLink
{
public:
  /// Owns the accepted aSocket and connects to aTarget. aCloseCallback is called when either side
  /// closes.
  RelayLink(event_base* aBase, int aSocket, const process::settings::Endpoint& aTarget,
            std::function<void()> aCloseCallback);
  ~RelayLink();
  RelayLink(const RelayLink&) = delete;
  RelayLink& operator=(const RelayLink&) = delete;

  /// Blocks or unblocks each direction.
  void SetBlocked(bool aForward, bool aBackward);

  /// Blocks both directions for good.
  void Silence();
  bool IsSilenced() const { return mIsSilenced; }

private:
  static void OnDataReceived(bufferevent* aFrom, void* aSelf);
  static void OnConnectionEvent(bufferevent* aSide, short aEvents, void* aSelf);

  bufferevent* mCaller;
  bufferevent* mTarget;
  bool mIsSilenced = false;
  std::function<void()> mCloseCallback;
};

} // namespace cuminfield::test_framework::relay
