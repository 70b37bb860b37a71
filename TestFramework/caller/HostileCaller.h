#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <string>

struct bufferevent;
struct event_base;

namespace cuminfield::test_framework::caller {

/// How a hostile caller misuses its connections.
enum class HostileBehavior
{
  Slow,       ///< Sends a request byte by byte and never completes it.
  HalfClosed, ///< Sends a request, shuts down its sending side and waits for the response.
  Garbage,    ///< Sends random bytes, malformed request heads or thousands of header lines.
};

/// Connects to a host repeatedly and misuses each connection. Responses are not checked.
class HostileCaller
{
public:
  HostileCaller(event_base* aBase, core::TimerService& aTimers, process::settings::Endpoint aHost,
                HostileBehavior aBehavior, std::uint64_t aSeed);
  ~HostileCaller();
  HostileCaller(const HostileCaller&) = delete;
  HostileCaller& operator=(const HostileCaller&) = delete;

private:
  static void OnConnectionEvent(bufferevent* aConnection, short aEvents, void* aSelf);
  static void OnDataReceived(bufferevent* aConnection, void* aSelf);

  void Connect();
  void SendNext();
  void SendGarbage();
  void HalfClose();
  void Close();

  event_base* mBase;
  core::TimerService& mTimers;
  process::settings::Endpoint mHost;
  HostileBehavior mBehavior;
  core::Random mRandom;
  bufferevent* mConnection = nullptr;
  std::size_t mSentBytes = 0; ///< Bytes of a slow request sent so far.
  core::TimerHandle mTimer;
};

} // namespace cuminfield::test_framework::caller
