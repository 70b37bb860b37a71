#pragma once

#include "cuminfield/process/log/DiskOperations.h"
#include "cuminfield/process/log/LogStorage.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminfield::process::log {

/// How to construct a FileLogStorage.
struct FileLogStorageOptions
{
  std::string folder;  ///< The host's data folder.
  core::GroupId group; ///< Names the subfolder.
  DiskOperations& disk;
};

/// One group's log in one file, `FOLDER/GROUP/log`, written strictly in order.
///
/// The file is a sequence of frames: 4 bytes length, 8 bytes XXH3 of the payload, payload. A batch
/// is one frame with a proto::Record, so it is stored whole or not at all. After a batch is synced
/// and before it is acknowledged, a seal is written: a frame that holds the file's incarnation and
/// the size that was synced. A damaged frame may be a torn write, and cut off, only when no seal
/// behind it covers it; else acknowledged bytes are damaged and the file is refused.
///
/// A snapshot, the incarnation and what follows are written to a new file, which is synced and
/// then renamed over the old one. `FOLDER/GROUP/lock` keeps a second process out: two of them would
/// vote as one member.
class FileLogStorage : public LogStorage
{
public:
  explicit FileLogStorage(FileLogStorageOptions aOptions);

  core::Result<LogContents> Load(core::Incarnation aNewIncarnation) override;
  void Persist(PersistBatch aBatch, Completion aDone) override;

private:
  /// Makes a batch durable.
  core::Result<void> WriteBatch(const PersistBatch& aBatch);
  core::Result<void> AppendBatch(const PersistBatch& aBatch);
  core::Result<void> DropTornTail();
  core::Result<void> AppendSeal();

  /// Writes the whole file anew, from this first record, and puts it in place of the old one.
  core::Result<void> ReplaceFile(const proto::Record& aFirst);

  core::Result<LogContents> CreateFile(core::Incarnation aIncarnation);
  core::Result<LogContents> ParseFile(const std::string& aBytes);
  core::Result<void> ApplyRecord(proto::Record aRecord, LogContents& aContents) const;
  core::Result<void> RecoverTail(const std::string& aBytes, std::uint64_t aGood);
  bool IsSealedBeyond(std::string_view aBytes, std::uint64_t aOffset) const;
  std::string DamageMessage(std::uint64_t aOffset) const;
  std::string MakeSeal(std::uint64_t aSize) const;

  const std::string mDataFolder;
  const std::string mDataFolderParent; ///< Of the root, whose name must last too.
  const std::string mGroupFolder;
  const std::string mFilePath;
  const std::string mNewFilePath;
  DiskOperations& mDisk;
  core::Incarnation mIncarnation;
  std::uint64_t mFileSize = 0;   ///< Of the file.
  bool mMayHaveTornTail = false; ///< The file may go on behind mSize, with what must not be read.
};

} // namespace cuminfield::process::log
