#pragma once

#include "cuminfield/request/Scheduler.h"

namespace cuminfield::version::moves {

/// Tunables of HostTrip.
struct HostCircuitBreakerSettings
{
  double targetFailureRate = 0.8;     ///< Failure rate that is looked for.
  double toleratedFailureRate = 0.25; ///< Failure rate that no host leaves for,
  double toleratedFailureRatio = 3;   ///< nor for this many times the old version's.
  double errorRate = 1e-5;            ///< Chance that one host leaves a tolerable version.
  double baselineRequests = 30;       ///< Requests that the old version's rate is learned from.
};

/// Watches on one host for a glaring fault of a move's new version, so that the host can leave it
/// without asking anyone. Wald's sequential probability ratio test (Wald 1945), floored at its
/// start so that a late fault shows as quickly as an early one (Page's cumulative sum, 1954).
class HostCircuitBreaker
{
public:
  explicit HostCircuitBreaker(const HostCircuitBreakerSettings& aSettings = {});

  /// A request to the old version ended.
  void RecordOld(request::AttemptOutcome aOutcome);

  /// A request to the new version ended.
  void RecordNew(request::AttemptOutcome aOutcome);

  /// True from the moment a glaring fault has shown on this host; stays true.
  bool IsTripped() const { return mTripped; }

private:
  HostCircuitBreakerSettings mSettings;
  double mOldRequests = 0.0;
  double mOldFailures = 0.0;
  double mLogLikelihoodRatio = 0.0;
  bool mTripped = false;
};

} // namespace cuminfield::version::moves
