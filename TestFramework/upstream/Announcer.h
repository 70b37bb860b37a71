#pragma once

#include "TestFramework/upstream/ControlTransport.h"
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
  core::Duration renewalInterval =
    std::chrono::milliseconds(500); ///< Until a host sets another interval.
};

/// Announces an upstream, renews its lease and deregisters it. If a host does not respond or
/// returns an error, announces the upstream again at the next host.
class Announcer
{
public:
  /// Returns the members `load` and `cache` of a renewal.
  using ReportCallback = std::function<nlohmann::json()>;

  Announcer(core::TimerService& aTimers, ControlTransport& aTransport, AnnouncerOptions aOptions,
            ReportCallback aReportCallback);

  /// Sends the first announcement.
  void Start();

  /// Deregisters the upstream at one host after another until one confirms it or all were tried,
  /// then calls aOnDeregistered.
  void Deregister(std::function<void()> aOnDeregistered);

  /// Whether the last call succeeded.
  bool IsAnnounced() const { return mAnnounced; }

private:
  void Announce();
  void Renew();
  void OnResponse(int aStatus, const nlohmann::json& aBody);
  void TryNextHost();
  void ScheduleCall(core::Duration aDelay);
  void SendDeregistration(std::size_t aRemainingAttempts);
  const process::settings::Endpoint& CurrentHost() const { return mOptions.hosts[mHostIndex]; }

  core::TimerService& mTimers;
  ControlTransport& mTransport;
  AnnouncerOptions mOptions;
  ReportCallback mReportCallback;
  std::size_t mHostIndex = 0;
  bool mAnnounced = false;
  bool mDeregistering = false;
  std::function<void()> mDeregisteredCallback;
  core::TimerHandle mTimer;
};

} // namespace cuminfield::test_framework::upstream
