#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/process/log/log.pb.h"

#include <functional>
#include <memory>
#include <vector>

namespace cuminfield::process::log {

/// Everything that a voter remembers of a group.
struct LogContents
{
  core::Incarnation incarnation; ///< The life of this data folder.
  proto::HardState hardState;
  std::shared_ptr<const proto::Snapshot> snapshot; ///< Null when there is none.
  std::vector<proto::Entry> entries;               ///< Those after the snapshot, without gaps.
};

/// What becomes durable together: all of it, or after a crash perhaps nothing.
struct PersistBatch
{
  proto::HardState hardState;
  /// When set, this batch replaces everything that was stored before.
  std::shared_ptr<const proto::Snapshot> snapshot;
  std::vector<proto::Entry> entries; ///< Replace what is stored from the first one's index on.
};

/// Durable memory of one voter in one group. Every call is made from the loop's thread.
class LogStorage
{
public:
  using Completion = std::function<void(const core::Result<void>&)>;

  virtual ~LogStorage() = default;

  /// Reads what is stored. A folder without state gets aNewIncarnation as its incarnation, durably.
  /// Corrupt: acknowledged bytes are damaged, and the message names the remedy.
  virtual core::Result<LogContents> Load(core::Incarnation aNewIncarnation) = 0;

  /// Makes a batch durable and then calls aDone on the loop's thread, perhaps before returning.
  /// One batch at a time. After DiskFull nothing of the batch counts as stored, and a later one
  /// that holds all of it may be persisted. After any other error nothing more may be: what reached
  /// the disk is unknown until the next Load().
  virtual void Persist(PersistBatch aBatch, Completion aDone) = 0;
};

} // namespace cuminfield::process::log
