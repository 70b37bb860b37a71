#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/process/log/DiskOperations.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>

namespace cuminfield::unit_tests::log {

/// A simulated disk that loses unsynced bytes and names in a crash and can fail between any two
/// operations.
class MemoryDisk : public process::log::DiskOperations
{
public:
  /// Makes every operation after the next aCount fail, until Crash().
  void FailAfter(std::uint64_t aCount) { mOperationsRemaining = aCount; }

  /// While the disk is full, a write stores part of its bytes and fails.
  void SetFull(bool aFull) { mFull = aFull; }

  /// Leaves room for this many bytes. A write that needs more stores what fits and fails; bytes
  /// that are cut off or removed make room again.
  void SetRoom(std::uint64_t aBytes) { mRoom = aBytes; }

  /// Makes Sync() fail, as where room is only looked for when bytes are written back.
  void SetSyncFails(bool aFails) { mSyncFails = aFails; }

  /// Makes Truncate() fail for lack of space even when the next write succeeds.
  void SetTruncateFails(bool aFails) { mTruncateFails = aFails; }

  /// Simulates a power failure: synced bytes remain, and any part of the others may.
  void Crash(core::Random& aRandom);

  /// Replaces the disk by an empty one.
  void Erase();

  /// Planted fault: Sync() and SyncFolder() succeed without syncing.
  void SetIgnoreSync(bool aIgnore) { mIgnoreSync = aIgnore; }

  /// The contents of a file, for tests that damage them.
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
  void AddRoom(std::uint64_t aBytes);
  static void DropUnsynced(File& aFile, core::Random& aRandom);

  Names mCurrentFiles;
  Names mSyncedFiles;
  std::uint64_t mOperationsRemaining = std::numeric_limits<std::uint64_t>::max();
  bool mIgnoreSync = false;
  bool mFull = false;
  std::uint64_t mRoom = std::numeric_limits<std::uint64_t>::max();
  bool mTruncateFails = false;
  bool mSyncFails = false;
};

} // namespace cuminfield::unit_tests::log
