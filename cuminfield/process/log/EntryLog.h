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
/// the base were dropped; a snapshot stands for them.
class EntryLog
{
public:
  /// The last dropped position; 0 when nothing was dropped.
  std::uint64_t BaseIndex() const { return mBaseIndex; }

  /// The last position; the base when there is none.
  std::uint64_t LastIndex() const { return mBaseIndex + mEntries.size(); }

  /// The term of the last position.
  std::uint64_t LastTerm() const;

  /// The term at a position; nothing when it is dropped or not there yet.
  std::optional<std::uint64_t> TermAt(std::uint64_t aIndex) const;

  /// The entry at a position in (Base, Last].
  const proto::Entry& At(std::uint64_t aIndex) const { return mEntries[aIndex - mBaseIndex - 1]; }

  /// The first position that has the same term as aIndex, as far as held.
  std::uint64_t FirstIndexOfTerm(std::uint64_t aIndex) const;

  /// Adds the entry that follows the last one.
  void Append(proto::Entry aEntry);

  /// Drops aIndex and everything after it.
  void TruncateFrom(std::uint64_t aIndex);

  /// Drops everything up to aIndex, which is held.
  void CompactTo(std::uint64_t aIndex);

  /// Drops everything and starts over behind a snapshot.
  void Reset(const proto::Snapshot& aSnapshot);

  /// The latest configuration, committed or not: it is in force as soon as it is in the log.
  const Configuration& LatestConfiguration() const { return mConfigurations.back().configuration; }

  /// The position of the latest configuration.
  std::uint64_t LatestConfigurationIndex() const { return mConfigurations.back().index; }

  /// The configuration in force at a position.
  const Configuration& ConfigurationAt(std::uint64_t aIndex) const;

  /// Bytes of the commands of all entries.
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
  std::vector<IndexedConfiguration> mConfigurations{
    IndexedConfiguration{}
  }; ///< By index; never empty.
};

} // namespace cuminfield::process::log
