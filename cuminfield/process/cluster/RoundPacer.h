#pragma once

#include "cuminfield/core/Units.h"

namespace cuminfield::process::cluster {

/// Settings of RoundPacer.
struct RoundPacerSettings
{
  /// Time between two rounds while requests wait on any host, when hosts compete for free slots.
  core::Duration backlogInterval = std::chrono::milliseconds(50);
  /// The same while no request waits.
  core::Duration idleInterval = std::chrono::milliseconds(100);
  /// Upper bound, well below the time after which followers hold a control host for silent.
  core::Duration maxInterval = std::chrono::milliseconds(250);
  /// Part of the time that rounds may take. About as much is spent on the reports that are
  /// received; the rest is left to the replicated log and to operators.
  double maxLoad = 0.2;
  /// Weight of the newest round in the mean duration.
  double learningRate = 0.3;
};

/// Decides when a control host sends its next round of feeds and exchanges. Rounds that take long,
/// because the machine is slow or has many followers, are sent less often: a host that is saturated
/// by its own rounds loses its leader and its followers, which adds to the load. Performs no I/O.
class RoundPacer
{
public:
  explicit RoundPacer(const RoundPacerSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// True if a round should be sent now.
  bool IsDue(core::Instant aNow, bool aHasBacklog) const;

  /// Records a round that was sent.
  void OnRoundSent(core::Instant aStart, core::Instant aEnd);

  /// Current time between two rounds.
  core::Duration Interval(bool aHasBacklog) const;

  /// True if rounds take so long that they are sent less often than a backlog needs.
  bool IsSlowed() const { return Interval(true) > mSettings.backlogInterval; }

  /// Mean duration of the last rounds.
  core::Duration MeanDuration() const { return mMeanDuration; }

private:
  RoundPacerSettings mSettings;
  core::Instant mLastStart{};
  core::Duration mMeanDuration{ 0 };
};

} // namespace cuminfield::process::cluster
