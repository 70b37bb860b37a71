#include "cuminfield/process/log/PosixDisk.h"

#include <boost/outcome/try.hpp>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>

namespace cuminfield::process::log {

namespace {

constexpr mode_t kFileMode = 0640;
constexpr std::size_t kReadBufferBytes = std::size_t{ 1024 } * 1024;

auto IoError(const char* aOperation, const std::string& aPath, int aCode)
{
  return core::Fail(core::ErrorKind::Io,
                    std::string("cannot ") + aOperation + " " + aPath + ": " +
                      std::strerror(aCode) +
                      "; check the disk and the folder's permissions, then start again");
}

/// The error of an operation that leaves earlier bytes unchanged, so that it may be repeated when
/// the disk was full.
auto WriteError(const char* aOperation, const std::string& aPath, int aCode)
{
  if (aCode != ENOSPC && aCode != EDQUOT) {
    return IoError(aOperation, aPath, aCode);
  }
  return core::Fail(core::ErrorKind::DiskFull, std::string("cannot ") + aOperation + " " + aPath +
                                                 ": " + std::strerror(aCode) +
                                                 "; make room on the disk");
}

} // namespace

PosixDisk::~PosixDisk()
{
  CloseFile();
  Unlock();
}

void PosixDisk::Unlock()
{
  if (mLockFd >= 0) {
    ::close(mLockFd);
  }
  mLockFd = -1;
}

void PosixDisk::CloseFile()
{
  if (mOpenFd >= 0) {
    ::close(mOpenFd);
  }
  mOpenFd = -1;
  mOpenPath.clear();
}

core::Result<void> PosixDisk::OpenForAppend(const std::string& aPath)
{
  if (mOpenFd >= 0 && mOpenPath == aPath) {
    return core::Success();
  }
  CloseFile();
  mOpenFd = ::open(aPath.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode);
  if (mOpenFd < 0) {
    return WriteError("open", aPath, errno);
  }
  mOpenPath = aPath;
  return core::Success();
}

core::Result<void> PosixDisk::MakeFolder(const std::string& aPath)
{
  std::error_code ec;
  std::filesystem::create_directories(aPath, ec);
  if (ec) {
    return IoError("make folder", aPath, ec.value());
  }
  return core::Success();
}

core::Result<void> PosixDisk::Lock(const std::string& aPath)
{
  Unlock();
  const int file = ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return IoError("open", aPath, errno);
  }
  if (::flock(file, LOCK_EX | LOCK_NB) != 0) {
    ::close(file);
    return core::Fail(core::ErrorKind::Io,
                      aPath + " is locked by another process; stop that one, or give each process "
                              "a data folder of its own");
  }
  mLockFd = file;
  return core::Success();
}

core::Result<std::optional<std::string>> PosixDisk::Read(const std::string& aPath)
{
  const int file = ::open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0 && errno == ENOENT) {
    return std::optional<std::string>();
  }
  if (file < 0) {
    return IoError("read", aPath, errno);
  }
  std::string bytes;
  std::string buf(kReadBufferBytes, '\0');
  ssize_t n = 0;
  while ((n = ::read(file, buf.data(), buf.size())) > 0) {
    bytes.append(buf, 0, static_cast<std::size_t>(n));
  }
  const int code = errno;
  ::close(file);
  if (n < 0) {
    return IoError("read", aPath, code);
  }
  return std::optional<std::string>(std::move(bytes));
}

core::Result<void> PosixDisk::Append(const std::string& aPath, std::string_view aBytes)
{
  BOOST_OUTCOME_TRYV(OpenForAppend(aPath));
  while (!aBytes.empty()) {
    const ssize_t n = ::write(mOpenFd, aBytes.data(), aBytes.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      return WriteError("write", aPath, errno);
    }
    aBytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return core::Success();
}

core::Result<void> PosixDisk::Truncate(const std::string& aPath, std::uint64_t aSize)
{
  if (::truncate(aPath.c_str(), static_cast<off_t>(aSize)) != 0) {
    return WriteError("truncate", aPath, errno);
  }
  return core::Success();
}

core::Result<void> PosixDisk::Sync(const std::string& aPath)
{
  BOOST_OUTCOME_TRYV(OpenForAppend(aPath));
  if (::fdatasync(mOpenFd) != 0) {
    return IoError("sync", aPath, errno);
  }
  return core::Success();
}

core::Result<void> PosixDisk::Rename(const std::string& aFrom, const std::string& aTo)
{
  CloseFile();
  if (::rename(aFrom.c_str(), aTo.c_str()) != 0) {
    return IoError("rename", aFrom, errno);
  }
  return core::Success();
}

core::Result<void> PosixDisk::Remove(const std::string& aPath)
{
  CloseFile();
  if (::unlink(aPath.c_str()) != 0 && errno != ENOENT) {
    return IoError("remove", aPath, errno);
  }
  return core::Success();
}

core::Result<void> PosixDisk::SyncFolder(const std::string& aPath)
{
  const int folder = ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return IoError("open folder", aPath, errno);
  }
  const int status = ::fsync(folder);
  const int code = errno;
  ::close(folder);
  if (status != 0) {
    return IoError("sync folder", aPath, code);
  }
  return core::Success();
}

} // namespace cuminfield::process::log
