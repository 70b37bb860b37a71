#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cuminfield::version::moves {

/// Upper bounds of the latency classes that observations are counted in; the last is open.
/// Roughly logarithmic, so that a slowdown by half moves a request at least one class.
inline constexpr std::array<core::Duration, 15> kLatencyBounds{
  std::chrono::milliseconds(5),   std::chrono::milliseconds(8),    std::chrono::milliseconds(12),
  std::chrono::milliseconds(18),  std::chrono::milliseconds(27),   std::chrono::milliseconds(40),
  std::chrono::milliseconds(60),  std::chrono::milliseconds(90),   std::chrono::milliseconds(135),
  std::chrono::milliseconds(200), std::chrono::milliseconds(300),  std::chrono::milliseconds(480),
  std::chrono::milliseconds(720), std::chrono::milliseconds(1500), std::chrono::milliseconds(5000),
};

/// Requests by latency class.
using LatencyCounts = std::array<std::uint32_t, kLatencyBounds.size() + 1>;

/// What a time to first token that equals its prediction is counted as: the middle of the classes.
inline constexpr core::Duration kReferenceFirstToken = std::chrono::milliseconds(50);

/// What a host saw of one version on one route since its last observation: mergeable by adding.
struct Observation
{
  core::ServiceId service;
  core::VersionId version;
  core::RouteId route;
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0; ///< TryOutcome::Failed only: refusals and bad input do not count.
  /// Requests by time to first token, divided by what their length predicts (ScaleFirstToken).
  LatencyCounts firstToken{};
  /// Requests by mean gap between tokens.
  LatencyCounts tokenGap{};

  /// Requests counted.
  std::uint32_t RequestCount() const { return succeeded + failed; }

  /// True for the same version of the same service on the same route.
  bool HasSameKey(const Observation& aOther) const;

  /// Adds the counts of aOther, which has the same key.
  void Add(const Observation& aOther);

  /// The counts that came after aEarlier, an older state of the same counters. Counters that have
  /// fallen have started over, so all of this is new.
  Observation DeltaSince(const Observation& aEarlier) const;
};

/// Index of the class that a latency is counted in.
std::size_t LatencyClass(core::Duration aLatency);

/// A time to first token made comparable over lengths: kReferenceFirstToken when it took as long as
/// predicted, twice that when it took twice as long.
core::Duration NormalizeFirstToken(core::Duration aMeasured, core::Duration aPredicted);

} // namespace cuminfield::version::moves
