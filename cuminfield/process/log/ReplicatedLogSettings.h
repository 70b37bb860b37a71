#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::process::log {

/// Tunable parameters of ReplicatedLog.
struct ReplicatedLogSettings
{
  /// A voter that receives nothing from a leader for a random time between these two requests
  /// votes. The minimum is also how long a voter rejects vote requests after it received from a
  /// leader.
  core::Duration electionTimeoutMin = std::chrono::milliseconds(600);
  core::Duration electionTimeoutMax = std::chrono::milliseconds(1200);

  /// A leader sends something to each follower at least this often.
  core::Duration heartbeatInterval = std::chrono::milliseconds(150);

  /// How long after a confirmed quorum no other leader can exist. Shorter than electionTimeoutMin
  /// by the tolerated drift between two clocks.
  core::Duration leaseDuration = std::chrono::milliseconds(450);

  /// How often a host without a leader announces itself to the other hosts.
  core::Duration announceInterval = std::chrono::milliseconds(250);

  /// A snapshot chunk without a reply is sent again after this time.
  core::Duration snapshotResendTimeout = std::chrono::milliseconds(400);

  /// Maximum size of the commands in one append message.
  std::uint64_t maxAppendBytes = std::uint64_t{ 256 } * 1024;

  /// Maximum entries sent to a follower without a reply yet.
  std::uint64_t maxInFlightEntries = 4096;

  /// Maximum size of snapshot data in one message.
  std::uint64_t snapshotChunkBytes = std::uint64_t{ 256 } * 1024;

  /// Entries retained before a snapshot for followers that lag a little.
  std::uint64_t trailingEntries = 1000;

  /// Maximum size of the commands in those entries. Above it the oldest are dropped, too, and a
  /// follower that lags by more gets the snapshot.
  std::uint64_t trailingBytes = std::uint64_t{ 4 } * 1024 * 1024;

  /// A learner that lacks at most this many entries may become a voter.
  std::uint64_t maxLearnerLag = 100;

  /// With this many proposed but uncommitted entries, new proposals are rejected.
  std::uint64_t maxUncommittedEntries = 20'000;

  /// Maximum number of messages that wait until something is durable. A disk that is full for hours
  /// must not fill the memory, nor its last byte flood the leader. Above it the oldest are lost.
  std::uint64_t maxHeldMessages = 1000;

  /// Target number of voters of an open group; 0: the group is closed, and only the hosts of the
  /// settings may vote. Any host may join an open group: as a voter while the group has fewer than
  /// this, or in place of a silent voter, which is removed afterwards.
  std::uint32_t openGroupVoters = 0;

  /// A voter of an open group that is silent for longer may be replaced.
  core::Duration replaceSilentAfter = std::chrono::milliseconds(3000);
};

} // namespace cuminfield::process::log
