#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/process/log/Configuration.h"
#include "cuminfield/process/log/log.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cuminfield::process::log {

/// The entries of a log that are held in memory, and the configurations among them. Entries up to
/// the base index are dropped and replaced by a snapshot.
class EntryLog
{
public:
  /// Index of the last dropped entry; 0 when none was dropped.
  std::uint64_t BaseIndex() const { return mBaseIndex; }

  /// Index of the last entry; the base index when there is none.
  std::uint64_t LastIndex() const { return mBaseIndex + mEntries.size(); }

  /// Term of the entry at LastIndex().
  std::uint64_t LastTerm() const;

  /// The term at an index; nothing when the entry is dropped or does not exist yet.
  std::optional<std::uint64_t> TermAt(std::uint64_t aIndex) const;

  /// The entry at an index in (BaseIndex(), LastIndex()].
  const proto::Entry& At(std::uint64_t aIndex) const { return mEntries[aIndex - mBaseIndex - 1]; }

  /// The lowest index held here with the same term as aIndex.
  std::uint64_t FirstIndexOfTerm(std::uint64_t aIndex) const;

  /// Appends the entry that follows the last one.
  void Append(proto::Entry aEntry);

  /// Removes the entry at aIndex and all later ones.
  void TruncateFrom(std::uint64_t aIndex);

  /// Drops all entries up to aIndex, which must be held.
  void CompactTo(std::uint64_t aIndex);

  /// Drops all entries and continues after a snapshot.
  void Reset(const proto::Snapshot& aSnapshot);

  /// The latest configuration, committed or not: it takes effect as soon as it is in the log.
  const Configuration& LatestConfiguration() const { return mConfigurations.back().configuration; }

  std::uint64_t LatestConfigurationIndex() const { return mConfigurations.back().index; }

  /// The configuration in effect at an index.
  const Configuration& ConfigurationAt(std::uint64_t aIndex) const;

  /// Total size of the commands of all entries held.
  std::uint64_t CommandBytes() const { return mCommandBytes; }

private:
  struct IndexedConfiguration
  {
    std::uint64_t index = 0;
    Configuration configuration;
  };

  std::uint64_t mBaseIndex = 0;
  std::uint64_t mBaseTerm = 0;
  std::deque<proto::Entry> mEntries;
  std::uint64_t mCommandBytes = 0;
  /// Sorted by index; never empty.
  std::vector<IndexedConfiguration> mConfigurations{ IndexedConfiguration{} };
};

} // namespace cuminfield::process::log
