#pragma once

#include "cuminfield/core/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cuminfield::process::log {

/// The disk operations that a log storage needs. They form an interface so that a test can fail
/// between any two of them. Bytes and names are durable only once they are synced: bytes by Sync()
/// of their file, names by SyncFolder() of their folder. Errors have kind Io, or DiskFull when
/// there is no room.
class DiskOperations
{
public:
  virtual ~DiskOperations() = default;

  /// Creates a folder and its missing parents. The caller must sync its name.
  virtual core::Result<void> MakeFolder(const std::string& aPath) = 0;

  /// Locks a file until this object is destroyed or locks another file. Fails when another process
  /// holds the lock.
  virtual core::Result<void> Lock(const std::string& aPath) = 0;

  /// Returns the contents of a file, or nothing when it does not exist.
  virtual core::Result<std::optional<std::string>> Read(const std::string& aPath) = 0;

  /// Appends bytes to a file, which is created when it does not exist.
  virtual core::Result<void> Append(const std::string& aPath, std::string_view aBytes) = 0;

  virtual core::Result<void> Truncate(const std::string& aPath, std::uint64_t aSize) = 0;

  /// Makes a file's bytes and size durable.
  virtual core::Result<void> Sync(const std::string& aPath) = 0;

  /// Renames a file and replaces any file of the new name.
  virtual core::Result<void> Rename(const std::string& aFrom, const std::string& aTo) = 0;

  /// Removes a file; not an error when it does not exist.
  virtual core::Result<void> Remove(const std::string& aPath) = 0;

  /// Makes the names in a folder durable.
  virtual core::Result<void> SyncFolder(const std::string& aPath) = 0;
};

} // namespace cuminfield::process::log
