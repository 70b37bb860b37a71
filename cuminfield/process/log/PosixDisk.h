#pragma once

#include "cuminfield/process/log/DiskOperations.h"

#include <string>

namespace cuminfield::process::log {

/// Implements DiskOperations with POSIX files. The file appended to last stays open, so each
/// storage needs its own object, used by one thread at a time.
class PosixDisk : public DiskOperations
{
public:
  PosixDisk() = default;
  ~PosixDisk() override;
  PosixDisk(const PosixDisk&) = delete;
  PosixDisk& operator=(const PosixDisk&) = delete;

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
  /// Opens a file for appending unless it is open already.
  core::Result<void> OpenForAppend(const std::string& aPath);
  void CloseFile();
  void Unlock();

  std::string mOpenPath;
  int mOpenFd = -1;
  int mLockFd = -1;
};

} // namespace cuminfield::process::log
