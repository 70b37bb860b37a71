#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/log/log.pb.h"

#include <cstdint>
#include <memory>

namespace cuminfield::process::log {

/// The leader's state of replication to one follower.
struct Progress
{
  std::uint64_t matchIndex = 0;   ///< Everything up to this index is durable at the follower.
  std::uint64_t nextIndex = 1;    ///< Index of the next entry to send.
  std::uint64_t ackedRound = 0;   ///< The latest heartbeat round that the follower replied to.
  core::Instant knownSince{};     ///< When the leader first heard of the follower.
  core::Instant lastReceivedAt{}; ///< Time of the follower's last reply or announcement.
  bool probing = true;        ///< Where the logs diverge is unknown: send one message at a time.
  bool awaitingReply = false; ///< While probing: a message is in flight.
  bool isLeaving = false;     ///< The follower is about to stop, see ReplicatedLog::Leave().

  std::shared_ptr<const proto::Snapshot> snapshot{}; ///< Snapshot being sent; null when none.
  std::uint64_t snapshotOffset = 0; ///< Offset of the first byte that the follower lacks.
  core::Instant snapshotSentAt{};
};

} // namespace cuminfield::process::log
