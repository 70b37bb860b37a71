#pragma once

#include "cuminfield/core/Units.h"

namespace cuminfield::process::log {

/// Every tunable of a GroupClient.
struct GroupClientSettings
{
  /// How often timeouts are checked and, while no leader is known, voters are asked for it.
  core::Duration tickInterval = std::chrono::milliseconds(50);

  /// A request without answer for this long is sent again, to whoever leads then.
  core::Duration resendTimeout = std::chrono::milliseconds(400);

  /// How often a host that does not vote asks who leads while it has no request.
  core::Duration leaderProbeInterval = std::chrono::seconds(1);
};

} // namespace cuminfield::process::log
