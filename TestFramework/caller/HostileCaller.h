#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <string>

struct bufferevent;
struct event_base;

namespace cuminfield::test_framework::caller {

/// What a hostile caller does with its connections.
enum class Hostility
{
  Slow,       ///< Sends a request byte by byte and never ends it.
  HalfClosed, ///< Sends a request, closes its sending side and waits for the answer.
  Garbage,    ///< Sends random bytes, broken heads and endless header lines.
};

/// A caller that disturbs a host: connects over and over. Its answers are not checked.
class HostileCaller
{
public:
  HostileCaller(event_base* aBase, core::TimerService& aTimers, process::settings::Endpoint aHost,
                Hostility aHostility, std::uint64_t aSeed);
  ~HostileCaller();
  HostileCaller(const HostileCaller&) = delete;
  HostileCaller& operator=(const HostileCaller&) = delete;

private:
  static void Changed(bufferevent* aConnection, short aWhat, void* aSelf);
  static void Received(bufferevent* aConnection, void* aSelf);

  void Connect();
  void Send();
  void SendGarbage();
  void HalfClose();
  void Close();

  event_base* mBase;
  core::TimerService& mTimers;
  process::settings::Endpoint mHost;
  Hostility mHostility;
  core::Random mRandom;
  bufferevent* mConnection = nullptr;
  std::size_t mSent = 0; ///< Bytes of a slow request.
  core::TimerHandle mTimer;
};

} // namespace cuminfield::test_framework::caller
