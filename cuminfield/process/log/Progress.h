#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/log/log.pb.h"

#include <cstdint>
#include <memory>

namespace cuminfield::process::log {

/// What a leader knows of one follower.
struct Progress
{
  std::uint64_t matchIndex = 0; ///< Everything up to here is durable at the follower.
  std::uint64_t nextIndex = 1;  ///< The next entry to send.
  std::uint64_t ackedRound = 0; ///< The latest round of heartbeats that it answered.
  core::Instant heard;          ///< When it last answered.
  bool probing = true;          ///< Where the logs part is unknown: send one message at a time.
  bool awaitingReply = false;   ///< While probing: the message is on its way.

  std::shared_ptr<const proto::Snapshot> snapshot; ///< Being sent; null when none is.
  std::uint64_t snapshotOffset = 0;                ///< Its first byte that the follower lacks.
  core::Instant snapshotSentAt;                    ///< When the last piece was sent.
};

} // namespace cuminfield::process::log
