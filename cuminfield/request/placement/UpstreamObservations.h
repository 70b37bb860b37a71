#pragma once

#include <cstdint>

namespace cuminfield::request::placement {

/// Recent observations of an upstream by one host, or summed over several hosts. Older observations
/// have decayed and count less.
struct UpstreamObservations
{
  double attemptCount = 0;       ///< Attempts that ended with a response or a failure.
  double failureCount = 0;       ///< Attempts that failed.
  double tokenIntervalCount = 0; ///< Measured samples of the token interval.
  double tokenIntervalSumMs = 0; ///< Sum of these samples.
  double firstEventCount = 0;    ///< Measured first event latencies.
  /// Sum of these latencies, each relative to the one predicted at nominal speed.
  double firstEventFactorSum = 0;

  std::uint32_t suspectingHosts =
    0; ///< Hosts that receive nothing from it or cannot connect to it.
  std::uint32_t confirmingHosts = 0; ///< Hosts that received data from it just now.

  /// Scales the weight of all observations so far by aFactor.
  void Decay(double aFactor)
  {
    for (double* it : { &attemptCount, &failureCount, &tokenIntervalCount, &tokenIntervalSumMs,
                        &firstEventCount, &firstEventFactorSum }) {
      *it *= aFactor;
    }
  }
};

} // namespace cuminfield::request::placement
