#pragma once

#include <cstdint>

namespace cuminfield::request::placement {

/// What hosts have found out about an upstream lately: of one host, or added up over several. The
/// sums count an observation less the older it is.
struct UpstreamObservations
{
  double attemptCount = 0;       ///< Tries that ended with an answer or a failure.
  double failureCount = 0;       ///< Those of them that failed.
  double tokenIntervalCount = 0; ///< Stretches of streams that were timed.
  double tokenIntervalSumMs = 0; ///< Their milliseconds between tokens.
  double firstEventCount = 0;    ///< First events that were timed.
  double firstEventFactorSum =
    0; ///< Their time, relative to what an upstream of usual speed would take.

  std::uint32_t suspectingHosts = 0; ///< Hosts that hear nothing from it, or cannot connect to it.
  std::uint32_t confirmingHosts = 0; ///< Hosts that heard from it just now.

  /// Lets the observations count for less.
  void Decay(double aFactor)
  {
    for (double* it : { &attemptCount, &failureCount, &tokenIntervalCount, &tokenIntervalSumMs,
                        &firstEventCount, &firstEventFactorSum }) {
      *it *= aFactor;
    }
  }
};

} // namespace cuminfield::request::placement
