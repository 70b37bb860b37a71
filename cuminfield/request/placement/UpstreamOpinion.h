#pragma once

#include <cstdint>

namespace cuminfield::request::placement {

/// What hosts have found out about an upstream lately: of one host, or added up over several. The
/// sums count an observation less the older it is.
struct UpstreamOpinion
{
  double answers = 0;     ///< Tries that ended with an answer or a failure.
  double failures = 0;    ///< Those of them that failed.
  double paces = 0;       ///< Stretches of streams that were timed.
  double tokenMs = 0;     ///< Their milliseconds between tokens.
  double firsts = 0;      ///< First events that were timed.
  double firstFactor = 0; ///< Their time, relative to what an upstream of usual speed would take.

  std::uint32_t doubting = 0; ///< Hosts that hear nothing from it, or cannot connect to it.
  std::uint32_t trusting = 0; ///< Hosts that heard from it just now.

  /// Lets the observations count for less.
  void Fade(double aFactor)
  {
    for (double* it : { &answers, &failures, &paces, &tokenMs, &firsts, &firstFactor }) {
      *it *= aFactor;
    }
  }
};

} // namespace cuminfield::request::placement
