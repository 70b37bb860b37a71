#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cuminfield::version::moves {

/// Upper bounds of the latency classes used for observations; the last class has no upper bound.
/// The classes are roughly logarithmic, so that a slowdown by half moves a request by at least one
/// class.
inline constexpr std::array<core::Duration, 15> kLatencyBounds{
  std::chrono::milliseconds(5),   std::chrono::milliseconds(8),    std::chrono::milliseconds(12),
  std::chrono::milliseconds(18),  std::chrono::milliseconds(27),   std::chrono::milliseconds(40),
  std::chrono::milliseconds(60),  std::chrono::milliseconds(90),   std::chrono::milliseconds(135),
  std::chrono::milliseconds(200), std::chrono::milliseconds(300),  std::chrono::milliseconds(480),
  std::chrono::milliseconds(720), std::chrono::milliseconds(1500), std::chrono::milliseconds(5000),
};

/// Number of requests per latency class.
using LatencyCounts = std::array<std::uint32_t, kLatencyBounds.size() + 1>;

/// Normalized value of a time to first token that equals its prediction; in the middle of the
/// classes.
inline constexpr core::Duration kReferenceFirstToken = std::chrono::milliseconds(50);

/// Counters of one host for one version on one route since its last observation. Observations are
/// merged by addition.
struct Observation
{
  core::ServiceId service;
  core::VersionId version;
  core::RouteId route;
  std::uint32_t succeeded = 0;
  /// AttemptOutcome::Failed only; rejections and invalid input are not counted.
  std::uint32_t failed = 0;
  /// Requests by normalized time to first token (NormalizeFirstToken).
  LatencyCounts firstToken{};
  /// Requests by mean gap between tokens.
  LatencyCounts tokenGap{};

  /// Number of counted requests.
  std::uint32_t RequestCount() const { return succeeded + failed; }

  /// True for the same version of the same service on the same route.
  bool HasSameKey(const Observation& aOther) const;

  /// Adds the counts of aOther, which must have the same key.
  void Add(const Observation& aOther);

  /// Returns the difference to aEarlier, an earlier state of the same counters. If any counter has
  /// decreased, the counters were reset and the result is the complete current state.
  Observation DeltaSince(const Observation& aEarlier) const;
};

/// Returns the index of the latency class for aLatency.
std::size_t LatencyClass(core::Duration aLatency);

/// Makes times to first token comparable across request lengths by dividing them by the prediction:
/// kReferenceFirstToken if aMeasured equals aPredicted, twice that if it is twice as long.
core::Duration NormalizeFirstToken(core::Duration aMeasured, core::Duration aPredicted);

} // namespace cuminfield::version::moves
