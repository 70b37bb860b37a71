#pragma once

#include "cuminfield/request/Scheduler.h"

namespace cuminfield::version::moves {

/// Settings of HostCircuitBreaker.
struct HostCircuitBreakerSettings
{
  double targetFailureRate = 0.8;     ///< Failure rate to be detected.
  double toleratedFailureRate = 0.25; ///< Failure rate that never trips the breaker.
  /// Multiple of the old version's failure rate that never trips the breaker.
  double toleratedFailureRatio = 3;
  /// Probability that one host leaves a version within the tolerated rates.
  double errorRate = 1e-5;
  double baselineRequests = 30; ///< Requests that the old version's failure rate is estimated from.
};

/// Detects severe faults of a move's new version on one host, so that the host can leave the move
/// on its own. Uses Wald's sequential probability ratio test (Wald 1945) with a lower bound at its
/// start value, so that late faults are detected as quickly as early ones (Page's cumulative sum,
/// 1954).
class HostCircuitBreaker
{
public:
  explicit HostCircuitBreaker(const HostCircuitBreakerSettings& aSettings = {});

  /// Records the outcome of a request to the old version.
  void RecordOld(request::AttemptOutcome aOutcome);

  /// Records the outcome of a request to the new version.
  void RecordNew(request::AttemptOutcome aOutcome);

  /// True once a severe fault has been detected on this host; never reset.
  bool IsTripped() const { return mTripped; }

private:
  HostCircuitBreakerSettings mSettings;
  double mOldRequests = 0.0;
  double mOldFailures = 0.0;
  double mLogLikelihoodRatio = 0.0;
  bool mTripped = false;
};

} // namespace cuminfield::version::moves
