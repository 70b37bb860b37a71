#pragma once

#include "TestFramework/upstream/ControlCalls.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Upstream.h"

#include <functional>
#include <vector>

namespace cuminfield::test_framework::upstream {

/// The announcement of an upstream and the hosts that receive it.
struct AnnouncerOptions
{
  std::vector<process::settings::Endpoint> hosts; ///< Control addresses in order of preference.
  request::UpstreamAnnouncement announcement;
  core::Duration renewal = std::chrono::milliseconds(500); ///< Until a host sets another interval.
};

/// Announces an upstream, renews its lease and deregisters it. If a host does not respond or
/// returns an error, announces the upstream again at the next host.
class Announcer
{
public:
  /// Returns the members `load` and `cache` of a renewal.
  using Report = std::function<nlohmann::json()>;

  Announcer(core::TimerService& aTimers, ControlCalls& aTransport, AnnouncerOptions aOptions,
            Report aReportCallback);

  /// Sends the first announcement.
  void Start();

  /// Deregisters the upstream at one host after another until one confirms it or all were tried,
  /// then calls aOnDeregistered.
  void Leave(std::function<void()> aOnDeregistered);

  /// Whether the last call succeeded.
  bool Announced() const { return mAnnounced; }

private:
  void Announce();
  void Renew();
  void Answered(int aStatus, const nlohmann::json& aBody);
  void MoveOn();
  void CallLater(core::Duration aDelay);
  void SendLeave(std::size_t aRemainingAttempts);
  const process::settings::Endpoint& Host() const { return mOptions.hosts[mHost]; }

  core::TimerService& mTimers;
  ControlCalls& mCalls;
  AnnouncerOptions mOptions;
  Report mReport;
  std::size_t mHost = 0;
  bool mAnnounced = false;
  bool mLeaving = false;
  std::function<void()> mLeft;
  core::TimerHandle mTimer;
};

} // namespace cuminfield::test_framework::upstream
