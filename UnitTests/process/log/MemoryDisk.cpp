#include "UnitTests/process/log/MemoryDisk.h"

#include <boost/outcome/try.hpp>

#include <algorithm>

namespace cuminfield::unit_tests::log {

namespace {

constexpr std::uint64_t kUnlimited = std::numeric_limits<std::uint64_t>::max();

} // namespace

void MemoryDisk::AddRoom(std::uint64_t aBytes)
{
  if (mRoom != kUnlimited) {
    mRoom += aBytes;
  }
}

core::Result<void> MemoryDisk::CountOperation()
{
  if (mOperationsRemaining == 0) {
    return core::Fail(core::ErrorKind::Io, "the disk has stopped; restart the host");
  }
  --mOperationsRemaining;
  return core::Success();
}

void MemoryDisk::Crash(core::Random& aRandom)
{
  constexpr double kNameLossProbability = 0.5;
  if (aRandom.Chance(kNameLossProbability)) {
    mCurrentFiles = mSyncedFiles;
  }
  for (auto& [name, file] : mCurrentFiles) {
    DropUnsynced(*file, aRandom);
  }
  mSyncedFiles = mCurrentFiles;
  mOperationsRemaining = std::numeric_limits<std::uint64_t>::max();
}

void MemoryDisk::DropUnsynced(File& aFile, core::Random& aRandom)
{
  constexpr double kTornProbability = 0.3;
  const std::size_t syncedSize = std::min(aFile.synced.size(), aFile.current.size());
  std::string unsynced = aFile.current.substr(syncedSize);
  aFile.current.resize(syncedSize);
  unsynced.resize(aRandom.UniformBelow(unsynced.size() + 1));
  if (!unsynced.empty() && aRandom.Chance(kTornProbability)) {
    const std::size_t hole = aRandom.UniformBelow(unsynced.size());
    std::fill(unsynced.begin() + static_cast<std::ptrdiff_t>(hole / 2),
              unsynced.begin() + static_cast<std::ptrdiff_t>(hole), '\0');
  }
  aFile.current += unsynced;
  aFile.synced = aFile.current;
}

void MemoryDisk::Erase()
{
  mCurrentFiles.clear();
  mSyncedFiles.clear();
  mOperationsRemaining = std::numeric_limits<std::uint64_t>::max();
}

std::string& MemoryDisk::Bytes(const std::string& aPath)
{
  return mCurrentFiles.at(aPath)->current;
}

core::Result<void> MemoryDisk::MakeFolder(const std::string& /*aPath*/)
{
  return CountOperation();
}

core::Result<void> MemoryDisk::Lock(const std::string& /*aPath*/)
{
  return CountOperation();
}

core::Result<std::optional<std::string>> MemoryDisk::Read(const std::string& aPath)
{
  BOOST_OUTCOME_TRYV(CountOperation());
  const auto it = mCurrentFiles.find(aPath);
  if (it == mCurrentFiles.end()) {
    return std::optional<std::string>();
  }
  return std::optional<std::string>(it->second->current);
}

core::Result<void> MemoryDisk::Append(const std::string& aPath, std::string_view aBytes)
{
  BOOST_OUTCOME_TRYV(CountOperation());
  auto& file = mCurrentFiles[aPath];
  if (!file) {
    file = std::make_shared<File>();
  }
  if (mFull) {
    file->current += aBytes.substr(0, aBytes.size() / 2);
    return core::Fail(core::ErrorKind::DiskFull, "the disk is full; make room");
  }
  file->current += aBytes.substr(0, mRoom);
  if (aBytes.size() > mRoom) {
    mRoom = 0;
    return core::Fail(core::ErrorKind::DiskFull, "the disk is full; make room");
  }
  if (mRoom != kUnlimited) {
    mRoom -= aBytes.size();
  }
  return core::Success();
}

core::Result<void> MemoryDisk::Truncate(const std::string& aPath, std::uint64_t aSize)
{
  BOOST_OUTCOME_TRYV(CountOperation());
  if (mFull || mTruncateFails) {
    return core::Fail(core::ErrorKind::DiskFull, "the disk is full; make room");
  }
  std::string& bytes = mCurrentFiles.at(aPath)->current;
  AddRoom(bytes.size() - aSize);
  bytes.resize(aSize);
  return core::Success();
}

core::Result<void> MemoryDisk::Sync(const std::string& aPath)
{
  BOOST_OUTCOME_TRYV(CountOperation());
  if (mSyncFails) {
    return core::Fail(core::ErrorKind::Io, "cannot sync: the disk is full");
  }
  if (!mIgnoreSync) {
    File& file = *mCurrentFiles.at(aPath);
    file.synced = file.current;
  }
  return core::Success();
}

core::Result<void> MemoryDisk::Rename(const std::string& aFrom, const std::string& aTo)
{
  BOOST_OUTCOME_TRYV(CountOperation());
  if (const auto replaced = mCurrentFiles.find(aTo); replaced != mCurrentFiles.end()) {
    AddRoom(replaced->second->current.size());
  }
  mCurrentFiles[aTo] = mCurrentFiles.at(aFrom);
  mCurrentFiles.erase(aFrom);
  return core::Success();
}

core::Result<void> MemoryDisk::Remove(const std::string& aPath)
{
  BOOST_OUTCOME_TRYV(CountOperation());
  if (const auto removed = mCurrentFiles.find(aPath); removed != mCurrentFiles.end()) {
    AddRoom(removed->second->current.size());
    mCurrentFiles.erase(removed);
  }
  return core::Success();
}

core::Result<void> MemoryDisk::SyncFolder(const std::string& /*aPath*/)
{
  BOOST_OUTCOME_TRYV(CountOperation());
  if (!mIgnoreSync) {
    mSyncedFiles = mCurrentFiles;
  }
  return core::Success();
}

} // namespace cuminfield::unit_tests::log
