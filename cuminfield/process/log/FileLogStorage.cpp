#include "cuminfield/process/log/FileLogStorage.h"

#include "cuminfield/core/Invariant.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <filesystem>
#include <optional>
#include <utility>
#include <xxhash.h>

namespace cuminfield::process::log {

namespace {

constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);
constexpr std::size_t kFrameHeaderBytes = kLengthBytes + sizeof(std::uint64_t);

/// Starts the payload of a seal. No record starts with these bytes, because 0xff is not the tag of
/// any field of proto::Record.
constexpr std::string_view kSealMagic = "\xff\xff"
                                        "cfseal";
constexpr std::size_t kSealBytes = kSealMagic.size() + 2 * sizeof(std::uint64_t);

template<typename Integer>
void AppendInteger(std::string& aBuffer, Integer aValue)
{
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    aBuffer.push_back(static_cast<char>(aValue >> (8 * i)));
  }
}

template<typename Integer>
Integer ReadInteger(std::string_view aBuffer)
{
  Integer value = 0;
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    value |= static_cast<Integer>(static_cast<unsigned char>(aBuffer[i])) << (8 * i);
  }
  return value;
}

std::string MakeFrame(std::string_view aPayload)
{
  std::string frame;
  frame.reserve(kFrameHeaderBytes + aPayload.size());
  AppendInteger(frame, static_cast<std::uint32_t>(aPayload.size()));
  AppendInteger(frame, static_cast<std::uint64_t>(XXH3_64bits(aPayload.data(), aPayload.size())));
  frame.append(aPayload);
  return frame;
}

/// Returns the payload of the frame at the start of aBytes, or nothing when the frame is incomplete
/// or damaged.
std::optional<std::string_view> ParseFrame(std::string_view aBytes)
{
  if (aBytes.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const auto length = ReadInteger<std::uint32_t>(aBytes);
  const auto checksum = ReadInteger<std::uint64_t>(aBytes.substr(kLengthBytes));
  const std::string_view payload = aBytes.substr(kFrameHeaderBytes, length);
  if (length == 0 || payload.size() != length ||
      XXH3_64bits(payload.data(), payload.size()) != checksum) {
    return std::nullopt;
  }
  return payload;
}

std::string ParentFolder(const std::string& aFolder)
{
  std::filesystem::path path = std::filesystem::absolute(aFolder).lexically_normal();
  if (!path.has_filename()) {
    path = path.parent_path(); // The path ended with a slash.
  }
  return path.parent_path();
}

bool IsSeal(std::string_view aPayload)
{
  return aPayload.size() == kSealBytes && aPayload.starts_with(kSealMagic);
}

} // namespace

FileLogStorage::FileLogStorage(FileLogStorageOptions aOptions)
  : mDataFolder(std::move(aOptions.folder))
  , mDataFolderParent(ParentFolder(mDataFolder))
  , mGroupFolder(mDataFolder + "/" + aOptions.group.Text())
  , mFilePath(mGroupFolder + "/log")
  , mNewFilePath(mGroupFolder + "/log.new")
  , mDisk(aOptions.disk)
{
}

core::Result<LogContents> FileLogStorage::Load(LogContents aInitial)
{
  BOOST_OUTCOME_TRYV(mDisk.MakeFolder(mGroupFolder));
  BOOST_OUTCOME_TRYV(mDisk.SyncFolder(mDataFolderParent));
  BOOST_OUTCOME_TRYV(mDisk.SyncFolder(mDataFolder));
  BOOST_OUTCOME_TRYV(mDisk.Lock(mGroupFolder + "/lock"));
  BOOST_OUTCOME_TRYV(mDisk.Remove(mNewFilePath));
  BOOST_OUTCOME_TRY(bytes, mDisk.Read(mFilePath));
  if (!bytes) {
    return CreateFile(std::move(aInitial));
  }
  return ParseFile(*bytes);
}

core::Result<LogContents> FileLogStorage::CreateFile(LogContents aInitial)
{
  mIncarnation = aInitial.incarnation;
  proto::Record first;
  first.set_incarnation(mIncarnation.Value());
  *first.mutable_hard_state() = aInitial.hardState;
  for (const proto::Entry& it : aInitial.entries) {
    *first.add_entries() = it;
  }
  BOOST_OUTCOME_TRYV(ReplaceFile(first));
  return aInitial;
}

core::Result<LogContents> FileLogStorage::ParseFile(const std::string& aBytes)
{
  const std::string_view bytes = aBytes;
  LogContents contents;
  std::uint64_t offset = 0;
  while (offset < bytes.size()) {
    const auto payload = ParseFrame(bytes.substr(offset));
    if (!payload) {
      break;
    }
    if (!IsSeal(*payload)) {
      proto::Record record;
      if (!record.ParseFromArray(payload->data(), static_cast<int>(payload->size()))) {
        return core::Fail(core::ErrorKind::Corrupt, DamageMessage(offset));
      }
      BOOST_OUTCOME_TRYV(ApplyRecord(std::move(record), contents));
    }
    offset += kFrameHeaderBytes + payload->size();
  }
  mIncarnation = contents.incarnation;
  if (mIncarnation == core::Incarnation()) {
    // ReplaceFile() never leaves a file without an incarnation.
    return core::Fail(core::ErrorKind::Corrupt, DamageMessage(0));
  }
  BOOST_OUTCOME_TRYV(RecoverTail(aBytes, offset));
  // The bytes read may have been written but not synced. They must be durable before the log acts
  // on them.
  BOOST_OUTCOME_TRYV(mDisk.Sync(mFilePath));
  BOOST_OUTCOME_TRYV(mDisk.SyncFolder(mGroupFolder));
  BOOST_OUTCOME_TRYV(AppendSeal());
  return contents;
}

core::Result<void> FileLogStorage::ApplyRecord(proto::Record aRecord, LogContents& aContents) const
{
  if (aRecord.incarnation() != 0) {
    aContents.incarnation = core::Incarnation(aRecord.incarnation());
  }
  if (aRecord.has_hard_state()) {
    aContents.hardState = std::move(*aRecord.mutable_hard_state());
  }
  if (aRecord.has_snapshot()) {
    aContents.snapshot =
      std::make_shared<const proto::Snapshot>(std::move(*aRecord.mutable_snapshot()));
  }
  const std::uint64_t base = aContents.snapshot ? aContents.snapshot->index() : 0;
  for (proto::Entry& it : *aRecord.mutable_entries()) {
    if (it.index() <= base || it.index() > base + aContents.entries.size() + 1) {
      return core::Fail(core::ErrorKind::Corrupt, DamageMessage(mFileSize));
    }
    aContents.entries.resize(it.index() - base - 1);
    aContents.entries.push_back(std::move(it));
  }
  return core::Success();
}

core::Result<void> FileLogStorage::RecoverTail(const std::string& aBytes, std::uint64_t aValidSize)
{
  mFileSize = aValidSize;
  if (aValidSize == aBytes.size()) {
    return core::Success();
  }
  if (IsSealedBeyond(aBytes, aValidSize)) {
    return core::Fail(core::ErrorKind::Corrupt, DamageMessage(aValidSize));
  }
  mMayHaveTornTail = true;
  auto dropped = DropTornTail();
  if (!dropped && dropped.error().kind == core::ErrorKind::DiskFull) {
    return core::Success(); // The tail is dropped before the next write.
  }
  return dropped;
}

bool FileLogStorage::IsSealedBeyond(std::string_view aBytes, std::uint64_t aOffset) const
{
  std::size_t at = aBytes.find(kSealMagic, aOffset);
  while (at != std::string_view::npos) {
    const std::size_t begin = at - std::min(at, kFrameHeaderBytes);
    const auto payload = ParseFrame(aBytes.substr(begin));
    if (payload && IsSeal(*payload)) {
      const std::string_view numbers = payload->substr(kSealMagic.size());
      const auto incarnation = ReadInteger<std::uint64_t>(numbers);
      const auto size = ReadInteger<std::uint64_t>(numbers.substr(sizeof(std::uint64_t)));
      if (incarnation == mIncarnation.Value() && size > aOffset) {
        return true;
      }
    }
    at = aBytes.find(kSealMagic, at + 1);
  }
  return false;
}

std::string FileLogStorage::DamageMessage(std::uint64_t aOffset) const
{
  return mFilePath + " is damaged at byte " + std::to_string(aOffset) +
         ", in acknowledged data; move the folder " + mGroupFolder +
         " away and start again: this host then rejoins the group and copies the log from the "
         "other voters";
}

void FileLogStorage::Persist(PersistBatch aBatch, Completion aDone)
{
  aDone(WriteBatch(aBatch));
}

core::Result<void> FileLogStorage::WriteBatch(const PersistBatch& aBatch)
{
  if (!aBatch.snapshot) {
    return AppendBatch(aBatch);
  }
  proto::Record first;
  first.set_incarnation(mIncarnation.Value());
  *first.mutable_hard_state() = aBatch.hardState;
  *first.mutable_snapshot() = *aBatch.snapshot;
  for (const proto::Entry& it : aBatch.entries) {
    *first.add_entries() = it;
  }
  return ReplaceFile(first);
}

core::Result<void> FileLogStorage::DropTornTail()
{
  if (!mMayHaveTornTail) {
    return core::Success();
  }
  BOOST_OUTCOME_TRYV(mDisk.Truncate(mFilePath, mFileSize));
  mMayHaveTornTail = false;
  return core::Success();
}

core::Result<void> FileLogStorage::AppendBatch(const PersistBatch& aBatch)
{
  BOOST_OUTCOME_TRYV(DropTornTail());
  proto::Record record;
  *record.mutable_hard_state() = aBatch.hardState;
  for (const proto::Entry& it : aBatch.entries) {
    *record.add_entries() = it;
  }
  const std::string frame = MakeFrame(record.SerializeAsString());
  mMayHaveTornTail = true; // A write that fails may leave part of the frame.
  BOOST_OUTCOME_TRYV(mDisk.Append(mFilePath, frame));
  BOOST_OUTCOME_TRYV(mDisk.Sync(mFilePath));
  mMayHaveTornTail = false;
  mFileSize += frame.size();
  return AppendSeal();
}

std::string FileLogStorage::MakeSeal(std::uint64_t aSize) const
{
  std::string payload(kSealMagic);
  AppendInteger(payload, mIncarnation.Value());
  AppendInteger(payload, aSize);
  return MakeFrame(payload);
}

core::Result<void> FileLogStorage::AppendSeal()
{
  if (mMayHaveTornTail) {
    return core::Success(); // A seal after a torn tail could not be read; the next batch drops it.
  }
  // Not synced: the seal becomes durable with the next batch, or when the operating system writes
  // it back.
  const std::string seal = MakeSeal(mFileSize);
  auto appended = mDisk.Append(mFilePath, seal);
  if (appended) {
    mFileSize += seal.size();
    return core::Success();
  }
  mMayHaveTornTail = true;
  if (appended.error().kind == core::ErrorKind::DiskFull) {
    return core::Success(); // The sealed bytes are stored, and a file may end without a seal.
  }
  return appended.error();
}

core::Result<void> FileLogStorage::ReplaceFile(const proto::Record& aFirst)
{
  std::string bytes = MakeFrame(aFirst.SerializeAsString());
  bytes += MakeSeal(bytes.size());
  BOOST_OUTCOME_TRYV(mDisk.Remove(mNewFilePath));
  BOOST_OUTCOME_TRYV(mDisk.Append(mNewFilePath, bytes));
  BOOST_OUTCOME_TRYV(mDisk.Sync(mNewFilePath));
  BOOST_OUTCOME_TRYV(mDisk.Rename(mNewFilePath, mFilePath));
  BOOST_OUTCOME_TRYV(mDisk.SyncFolder(mGroupFolder));
  mFileSize = bytes.size();
  mMayHaveTornTail = false;
  return core::Success();
}

} // namespace cuminfield::process::log
