#pragma once

#include "cuminfield/process/log/DiskOperations.h"
#include "cuminfield/process/log/LogStorage.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminfield::process::log {

/// Construction parameters of FileLogStorage.
struct FileLogStorageOptions
{
  std::string folder;  ///< The host's data folder.
  core::GroupId group; ///< Name of the subfolder.
  DiskOperations& disk;
};

/// Stores the log of one group in one file, `FOLDER/GROUP/log`, which is written strictly in order.
///
/// The file is a sequence of frames: 4 bytes length, 8 bytes XXH3 of the payload, payload. A batch
/// is one frame with a proto::Record, so it is stored completely or not at all. After a batch is
/// synced and before it is acknowledged, a seal is written: a frame with the file's incarnation and
/// the synced size. A damaged frame is taken for a torn write and truncated only when no later seal
/// covers it. Otherwise acknowledged bytes are damaged, and the file is rejected.
///
/// A snapshot, the incarnation and the entries after the snapshot are written to a new file, which
/// is synced and then renamed over the old one. `FOLDER/GROUP/lock` keeps out a second process,
/// since two processes would vote as one member.
class FileLogStorage : public LogStorage
{
public:
  explicit FileLogStorage(FileLogStorageOptions aOptions);

  core::Result<LogContents> Load(LogContents aInitial) override;
  void Persist(PersistBatch aBatch, Completion aDone) override;

private:
  /// Makes a batch durable.
  core::Result<void> WriteBatch(const PersistBatch& aBatch);
  core::Result<void> AppendBatch(const PersistBatch& aBatch);
  core::Result<void> DropTornTail();
  core::Result<void> AppendSeal();

  /// Writes a new file that starts with this record and renames it over the old one.
  core::Result<void> ReplaceFile(const proto::Record& aFirst);

  core::Result<LogContents> CreateFile(LogContents aInitial);
  core::Result<LogContents> ParseFile(const std::string& aBytes);
  core::Result<void> ApplyRecord(proto::Record aRecord, LogContents& aContents) const;
  core::Result<void> RecoverTail(const std::string& aBytes, std::uint64_t aValidSize);
  bool IsSealedBeyond(std::string_view aBytes, std::uint64_t aOffset) const;
  std::string DamageMessage(std::uint64_t aOffset) const;
  std::string MakeSeal(std::uint64_t aSize) const;

  const std::string mDataFolder;
  const std::string mDataFolderParent; ///< Synced so that the name of mDataFolder is durable, too.
  const std::string mGroupFolder;
  const std::string mFilePath;
  const std::string mNewFilePath;
  DiskOperations& mDisk;
  core::Incarnation mIncarnation;
  std::uint64_t mFileSize = 0;
  bool mMayHaveTornTail = false; ///< Bytes that must not be read may follow at mFileSize.
};

} // namespace cuminfield::process::log
