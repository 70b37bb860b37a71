#pragma once

#include "TestFramework/upstream/ControlCalls.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Upstream.h"

#include <functional>
#include <vector>

namespace cuminfield::test_framework::upstream {

/// What an announcer tells, and to whom.
struct AnnouncerOptions
{
  std::vector<process::settings::Endpoint> hosts; ///< Control addresses, tried in this order.
  request::UpstreamAnnouncement announcement;
  core::Duration renewal = std::chrono::milliseconds(500); ///< Until a host names another.
};

/// Announces an upstream, renews its lease and takes it out again. Goes to the next host when one
/// does not answer or refuses, and announces there afresh.
class Announcer
{
public:
  /// Gives the members `load` and `cache` of a renewal.
  using Report = std::function<nlohmann::json()>;

  Announcer(core::TimerService& aTimers, ControlCalls& aCalls, AnnouncerOptions aOptions,
            Report aReport);

  /// Begins to announce.
  void Start();

  /// Says that the upstream leaves, at one host after the other until one knows; then aDone.
  void Leave(std::function<void()> aDone);

  /// True while the last call was a success.
  bool Announced() const { return mAnnounced; }

private:
  void Announce();
  void Renew();
  void Answered(int aStatus, const nlohmann::json& aBody);
  void MoveOn();
  void CallLater(core::Duration aDelay);
  void SendLeave(std::size_t aTriesLeft);
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
