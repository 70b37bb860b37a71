#pragma once

#include "cuminfield/core/Units.h"

namespace cuminfield::process::log {

/// Tunable parameters of GroupClient.
struct GroupClientSettings
{
  /// How often timeouts are checked and, while no leader is known, voters are probed.
  core::Duration tickInterval = std::chrono::milliseconds(50);

  /// A request without a reply is sent again after this time, to the leader of that moment.
  core::Duration resendTimeout = std::chrono::milliseconds(400);

  /// How often a host that does not vote asks for the leader, also without requests.
  core::Duration leaderProbeInterval = std::chrono::seconds(1);
};

} // namespace cuminfield::process::log
