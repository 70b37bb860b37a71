#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"

#include <array>
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

/// What a host saw of one version on one route since its last observation: mergeable by adding.
struct Observation
{
  core::ServiceId service;
  core::VersionId version;
  core::RouteId route;
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0; ///< TryOutcome::Failed only: refusals and bad input do not count.
  /// Requests by time to first token, divided by what their length predicts (see LoadClass).
  std::array<std::uint32_t, kLatencyBounds.size() + 1> firstToken{};
  /// Requests by mean gap between tokens.
  std::array<std::uint32_t, kLatencyBounds.size() + 1> tokenGap{};
};

} // namespace cuminfield::version::moves
