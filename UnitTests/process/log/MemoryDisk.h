#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/process/log/DiskOperations.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>

namespace cuminfield::unit_tests::log {

/// A disk in memory that forgets unsynced bytes and names in a crash, and that can stop working
/// between any two operations.
class MemoryDisk : public process::log::DiskOperations
{
public:
  /// After aCount more operations every further one fails, until Crash().
  void FailAfter(std::uint64_t aCount) { mOperationsRemaining = aCount; }

  /// While full, a write takes a part of its bytes and fails.
  void SetFull(bool aFull) { mFull = aFull; }

  /// Truncate() finds no room, though there may be some for the next write.
  void SetTruncateFails(bool aRefuse) { mTruncateFails = aRefuse; }

  /// What the machine finds after a power loss: synced bytes, and any part of the rest.
  void Crash(core::Random& aRandom);

  /// A new, empty disk.
  void Erase();

  /// Planted fault: Sync() and SyncFolder() succeed and do nothing.
  void SetIgnoreSync(bool aIgnore) { mIgnoreSync = aIgnore; }

  /// The bytes of a file, for a test that damages them.
  std::string& Bytes(const std::string& aPath);

  core::Result<void> MakeFolder(const std::string& aPath) override;
  core::Result<void> Lock(const std::string& aPath) override;
  core::Result<std::optional<std::string>> Read(const std::string& aPath) override;
  core::Result<void> Append(const std::string& aPath, std::string_view aBytes) override;
  core::Result<void> Truncate(const std::string& aPath, std::uint64_t aSize) override;
  core::Result<void> Sync(const std::string& aPath) override;
  core::Result<void> Rename(const std::string& aFrom, const std::string& aTo) override;
  core::Result<void> Remove(const std::string& aPath) override;
  core::Result<void> SyncFolder(const std::string& aPath) override;

private:
  struct File
  {
    std::string current;
    std::string synced;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  core::Result<void> CountOperation();
  static void DropUnsynced(File& aFile, core::Random& aRandom);

  Names mCurrentFiles;
  Names mSyncedFiles;
  std::uint64_t mOperationsRemaining = std::numeric_limits<std::uint64_t>::max();
  bool mIgnoreSync = false;
  bool mFull = false;
  bool mTruncateFails = false;
};

} // namespace cuminfield::unit_tests::log
