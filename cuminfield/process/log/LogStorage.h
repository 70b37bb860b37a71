#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/process/log/log.pb.h"

#include <functional>
#include <memory>
#include <vector>

namespace cuminfield::process::log {

/// Everything that a voter stores for a group.
struct LogContents
{
  core::Incarnation incarnation; ///< The incarnation of this data folder.
  proto::HardState hardState{};
  std::shared_ptr<const proto::Snapshot> snapshot{}; ///< Null when there is none.
  std::vector<proto::Entry> entries{}; ///< The entries after the snapshot, without gaps.
};

/// A batch becomes durable as a whole: after a crash, all or none of it is stored.
struct PersistBatch
{
  proto::HardState hardState;
  /// When set, this batch replaces everything stored before.
  std::shared_ptr<const proto::Snapshot> snapshot;
  std::vector<proto::Entry> entries; ///< Replace the stored entries from the first one's index on.
};

/// Durable storage of one voter in one group. Called from the event loop's thread only.
class LogStorage
{
public:
  using Completion = std::function<void(const core::Result<void>&)>;

  virtual ~LogStorage() = default;

  /// Loads what is stored. A folder without state durably gets aInitial, as a whole, which has no
  /// snapshot. Fails with Corrupt when acknowledged bytes are damaged; the message names the
  /// remedy.
  virtual core::Result<LogContents> Load(LogContents aInitial) = 0;

  /// Makes a batch durable and then calls aDone on the event loop's thread, possibly before
  /// returning. Only one batch may be pending. After DiskFull nothing of the batch counts as
  /// stored, and a later batch that contains all of it may be persisted. After any other error
  /// nothing more may be persisted: the contents of the disk are unknown until the next Load().
  virtual void Persist(PersistBatch aBatch, Completion aDone) = 0;
};

} // namespace cuminfield::process::log
