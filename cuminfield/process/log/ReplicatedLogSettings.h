#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::process::log {

/// Every tunable of a replicated log.
struct ReplicatedLogSettings
{
  /// A voter that heard no leader for a random time between these two asks for votes. The lower
  /// one is also how long a voter refuses votes after it heard a leader.
  core::Duration electionTimeoutMin = std::chrono::milliseconds(600);
  core::Duration electionTimeoutMax = std::chrono::milliseconds(1200);

  /// A leader sends each follower something at least this often.
  core::Duration heartbeatInterval = std::chrono::milliseconds(150);

  /// How long after a confirmed quorum no other leader can exist. Below electionTimeoutMin by the
  /// drift of two clocks that is tolerated.
  core::Duration leaseDuration = std::chrono::milliseconds(450);

  /// A host that is not led announces itself to the other hosts this often.
  core::Duration announceInterval = std::chrono::milliseconds(250);

  /// A piece of a snapshot without answer is sent again after this long.
  core::Duration snapshotResendTimeout = std::chrono::milliseconds(400);

  /// Bytes of commands in one append message.
  std::uint64_t maxAppendBytes = std::uint64_t{ 256 } * 1024;

  /// Entries sent to a follower without an answer yet.
  std::uint64_t maxInFlightEntries = 4096;

  /// Bytes of a snapshot in one message.
  std::uint64_t snapshotChunkBytes = std::uint64_t{ 256 } * 1024;

  /// Entries kept before a snapshot for followers that lag a little.
  std::uint64_t trailingEntries = 1000;

  /// Bytes of commands in those entries above which the oldest go, too: a follower that lags by
  /// more gets the snapshot.
  std::uint64_t trailingBytes = std::uint64_t{ 4 } * 1024 * 1024;

  /// A learner with fewer entries missing than this may become a voter.
  std::uint64_t maxLearnerLag = 100;

  /// Entries proposed but not committed above which new proposals are refused.
  std::uint64_t maxUncommittedEntries = 20'000;

  /// How many voters an open group wants; 0: the group is closed, and votes are for the hosts of
  /// the settings alone. Any host may join an open group: as a voter while it has fewer than this,
  /// or in the place of a voter that is silent.
  std::uint32_t openGroupVoters = 0;

  /// A voter of an open group that is silent for longer may be replaced.
  core::Duration replaceSilentAfter = std::chrono::milliseconds(3000);
};

} // namespace cuminfield::process::log
