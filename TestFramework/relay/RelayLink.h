#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <functional>

struct bufferevent;
struct event;
struct event_base;

namespace cuminfield::test_framework::relay {

/// One connection through a relay, with a socket on either side.
class RelayLink
{
public:
  /// Owns the accepted aSocket and connects to aTarget. Holds back all bytes for the first
  /// aOpeningDelay. aCloseCallback is called when either side closes.
  RelayLink(event_base* aBase, int aSocket, const process::settings::Endpoint& aTarget,
            core::Duration aOpeningDelay, std::function<void()> aCloseCallback);
  ~RelayLink();
  RelayLink(const RelayLink&) = delete;
  RelayLink& operator=(const RelayLink&) = delete;

  /// Blocks or unblocks each direction.
  void SetBlocked(bool aForward, bool aBackward);

  /// Blocks both directions for good.
  void Silence();

private:
  static void OnDataReceived(bufferevent* aFrom, void* aSelf);
  static void OnConnectionEvent(bufferevent* aSide, short aEvents, void* aSelf);
  static void OnOpeningDelayEnded(int aSocket, short aWhat, void* aSelf);
  void UpdateReading();

  bufferevent* mCaller;
  bufferevent* mTarget;
  event* mOpeningTimer;
  bool mIsOpening = true;
  bool mForwardBlocked = false;
  bool mBackwardBlocked = false;
  bool mIsSilenced = false;
  std::function<void()> mCloseCallback;
};

} // namespace cuminfield::test_framework::relay
