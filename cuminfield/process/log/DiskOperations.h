#pragma once

#include "cuminfield/core/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cuminfield::process::log {

/// The few disk operations that a log is made of, so that a test can stop between any two of them.
/// Bytes and names last only once they are synced: bytes by Sync() of their file, names by
/// SyncFolder() of the folder that holds them. Errors are of kind Io.
class DiskOperations
{
public:
  virtual ~DiskOperations() = default;

  /// Makes a folder, and those above it, unless it exists. Its name must be synced by the caller.
  virtual core::Result<void> MakeFolder(const std::string& aPath) = 0;

  /// Keeps a file locked until this object ends or locks another; an error when another process has
  /// locked it.
  virtual core::Result<void> Lock(const std::string& aPath) = 0;

  /// The bytes of a file; nothing when there is no such file.
  virtual core::Result<std::optional<std::string>> Read(const std::string& aPath) = 0;

  /// Adds bytes at the end of a file and makes the file when there is none.
  virtual core::Result<void> Append(const std::string& aPath, std::string_view aBytes) = 0;

  /// Cuts a file to aSize bytes.
  virtual core::Result<void> Truncate(const std::string& aPath, std::uint64_t aSize) = 0;

  /// Makes a file's bytes and size durable.
  virtual core::Result<void> Sync(const std::string& aPath) = 0;

  /// Gives a file another name, in place of what had that name.
  virtual core::Result<void> Rename(const std::string& aFrom, const std::string& aTo) = 0;

  /// Removes a file; not an error when there is none.
  virtual core::Result<void> Remove(const std::string& aPath) = 0;

  /// Makes the names in a folder durable.
  virtual core::Result<void> SyncFolder(const std::string& aPath) = 0;
};

} // namespace cuminfield::process::log
