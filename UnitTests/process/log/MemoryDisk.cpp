#include "UnitTests/process/log/MemoryDisk.h"

#include <boost/outcome/try.hpp>

#include <algorithm>

namespace cuminfield::unit_tests::log {

core::Result<void> MemoryDisk::Step()
{
  if (mLeft == 0) {
    return core::Fail(core::ErrorKind::Io, "the disk has stopped; restart the host");
  }
  --mLeft;
  return core::Done();
}

void MemoryDisk::Crash(core::Random& aRandom)
{
  constexpr double kHalf = 0.5;
  if (aRandom.Chance(kHalf)) {
    mNow = mSynced;
  }
  for (auto& [name, file] : mNow) {
    LoseUnsynced(*file, aRandom);
  }
  mSynced = mNow;
  mLeft = std::numeric_limits<std::uint64_t>::max();
}

void MemoryDisk::LoseUnsynced(File& aFile, core::Random& aRandom)
{
  constexpr double kTorn = 0.3;
  const std::size_t kept = std::min(aFile.synced.size(), aFile.now.size());
  std::string rest = aFile.now.substr(kept);
  aFile.now.resize(kept);
  rest.resize(aRandom.Below(rest.size() + 1));
  if (!rest.empty() && aRandom.Chance(kTorn)) {
    const std::size_t hole = aRandom.Below(rest.size());
    std::fill(rest.begin() + static_cast<std::ptrdiff_t>(hole / 2),
              rest.begin() + static_cast<std::ptrdiff_t>(hole), '\0');
  }
  aFile.now += rest;
  aFile.synced = aFile.now;
}

void MemoryDisk::Lose()
{
  mNow.clear();
  mSynced.clear();
  mLeft = std::numeric_limits<std::uint64_t>::max();
}

std::string& MemoryDisk::Bytes(const std::string& aPath)
{
  return mNow.at(aPath)->now;
}

core::Result<void> MemoryDisk::MakeFolder(const std::string& /*aPath*/)
{
  return Step();
}

core::Result<void> MemoryDisk::Lock(const std::string& /*aPath*/)
{
  return Step();
}

core::Result<std::optional<std::string>> MemoryDisk::Read(const std::string& aPath)
{
  BOOST_OUTCOME_TRYV(Step());
  const auto it = mNow.find(aPath);
  if (it == mNow.end()) {
    return std::optional<std::string>();
  }
  return std::optional<std::string>(it->second->now);
}

core::Result<void> MemoryDisk::Append(const std::string& aPath, std::string_view aBytes)
{
  BOOST_OUTCOME_TRYV(Step());
  auto& file = mNow[aPath];
  if (!file) {
    file = std::make_shared<File>();
  }
  if (mFull) {
    file->now += aBytes.substr(0, aBytes.size() / 2);
    return core::Fail(core::ErrorKind::DiskFull, "the disk is full; make room");
  }
  file->now += aBytes;
  return core::Done();
}

core::Result<void> MemoryDisk::Truncate(const std::string& aPath, std::uint64_t aSize)
{
  BOOST_OUTCOME_TRYV(Step());
  if (mFull || mRefuseTruncate) {
    return core::Fail(core::ErrorKind::DiskFull, "the disk is full; make room");
  }
  mNow.at(aPath)->now.resize(aSize);
  return core::Done();
}

core::Result<void> MemoryDisk::Sync(const std::string& aPath)
{
  BOOST_OUTCOME_TRYV(Step());
  if (!mIgnoreSync) {
    File& file = *mNow.at(aPath);
    file.synced = file.now;
  }
  return core::Done();
}

core::Result<void> MemoryDisk::Rename(const std::string& aFrom, const std::string& aTo)
{
  BOOST_OUTCOME_TRYV(Step());
  mNow[aTo] = mNow.at(aFrom);
  mNow.erase(aFrom);
  return core::Done();
}

core::Result<void> MemoryDisk::Remove(const std::string& aPath)
{
  BOOST_OUTCOME_TRYV(Step());
  mNow.erase(aPath);
  return core::Done();
}

core::Result<void> MemoryDisk::SyncFolder(const std::string& /*aPath*/)
{
  BOOST_OUTCOME_TRYV(Step());
  if (!mIgnoreSync) {
    mSynced = mNow;
  }
  return core::Done();
}

} // namespace cuminfield::unit_tests::log
