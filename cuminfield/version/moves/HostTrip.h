#pragma once

#include "cuminfield/request/Scheduler.h"

namespace cuminfield::version::moves {

/// Tunables of HostTrip.
struct HostTripSettings
{
  double glaringRate = 0.8;  ///< Failure rate that is looked for.
  double tolerable = 0.25;   ///< Failure rate that no host leaves for,
  double tolerableRatio = 3; ///< nor for this many times the old version's.
  double errorRate = 1e-5;   ///< Chance that one host leaves a tolerable version.
  double memory = 30;        ///< Requests that the old version's rate is learned from.
};

/// Watches on one host for a glaring fault of a move's new version, so that the host can leave it
/// without asking anyone. Wald's sequential probability ratio test (Wald 1945), floored at its
/// start so that a late fault shows as quickly as an early one (Page's cumulative sum, 1954).
class HostTrip
{
public:
  explicit HostTrip(const HostTripSettings& aSettings = {});

  /// A request to the old version ended.
  void RecordOld(request::AttemptOutcome aOutcome);

  /// A request to the new version ended.
  void RecordNew(request::AttemptOutcome aOutcome);

  /// True from the moment a glaring fault has shown on this host; stays true.
  bool Tripped() const { return mTripped; }

private:
  HostTripSettings mSettings;
  double mOldRequests = 0.0;
  double mOldFailures = 0.0;
  double mLogRatio = 0.0;
  bool mTripped = false;
};

} // namespace cuminfield::version::moves
