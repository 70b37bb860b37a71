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

/// Begins a seal's payload. No record begins with it: 0xff is no protobuf field of ours.
constexpr std::string_view kSealMagic = "\xff\xff"
                                        "cfseal";
constexpr std::size_t kSealBytes = kSealMagic.size() + 2 * sizeof(std::uint64_t);

template<typename Integer>
void AppendInteger(std::string& aBuf, Integer aValue)
{
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    aBuf.push_back(static_cast<char>(aValue >> (8 * i)));
  }
}

template<typename Integer>
Integer ReadInteger(std::string_view aBuf)
{
  Integer value = 0;
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    value |= static_cast<Integer>(static_cast<unsigned char>(aBuf[i])) << (8 * i);
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

/// The payload of the frame that begins aBytes; nothing when it is cut short or damaged.
std::optional<std::string_view> ParseFrame(std::string_view aBytes)
{
  if (aBytes.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const auto length = ReadInteger<std::uint32_t>(aBytes);
  const auto sum = ReadInteger<std::uint64_t>(aBytes.substr(kLengthBytes));
  const std::string_view payload = aBytes.substr(kFrameHeaderBytes, length);
  if (length == 0 || payload.size() != length ||
      XXH3_64bits(payload.data(), payload.size()) != sum) {
    return std::nullopt;
  }
  return payload;
}

std::string ParentFolder(const std::string& aFolder)
{
  std::filesystem::path path = std::filesystem::absolute(aFolder).lexically_normal();
  if (!path.has_filename()) {
    path = path.parent_path(); // It ended with a slash.
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

core::Result<LogContents> FileLogStorage::Load(core::Incarnation aNewIncarnation)
{
  BOOST_OUTCOME_TRYV(mDisk.MakeFolder(mGroupFolder));
  BOOST_OUTCOME_TRYV(mDisk.SyncFolder(mDataFolderParent));
  BOOST_OUTCOME_TRYV(mDisk.SyncFolder(mDataFolder));
  BOOST_OUTCOME_TRYV(mDisk.Lock(mGroupFolder + "/lock"));
  BOOST_OUTCOME_TRYV(mDisk.Remove(mNewFilePath));
  BOOST_OUTCOME_TRY(bytes, mDisk.Read(mFilePath));
  if (!bytes) {
    return CreateFile(aNewIncarnation);
  }
  return ParseFile(*bytes);
}

core::Result<LogContents> FileLogStorage::CreateFile(core::Incarnation aIncarnation)
{
  mIncarnation = aIncarnation;
  proto::Record first;
  first.set_incarnation(aIncarnation.Value());
  BOOST_OUTCOME_TRYV(ReplaceFile(first));
  LogContents contents;
  contents.incarnation = aIncarnation;
  return contents;
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
    return core::Fail(core::ErrorKind::Corrupt,
                      DamageMessage(0)); // Such a file is never put in place.
  }
  BOOST_OUTCOME_TRYV(RecoverTail(aBytes, offset));
  // What was read may have been written and not synced: it must not be acted upon before it is.
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
  return core::Done();
}

core::Result<void> FileLogStorage::RecoverTail(const std::string& aBytes, std::uint64_t aGood)
{
  mFileSize = aGood;
  if (aGood == aBytes.size()) {
    return core::Done();
  }
  if (IsSealedBeyond(aBytes, aGood)) {
    return core::Fail(core::ErrorKind::Corrupt, DamageMessage(aGood));
  }
  mMayHaveTornTail = true;
  auto dropped = DropTornTail();
  if (!dropped && dropped.error().kind == core::ErrorKind::DiskFull) {
    return core::Done(); // Dropped before the next write.
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
         ", where it had been acknowledged; move the folder " + mGroupFolder +
         " away and start again: this host then joins the group anew and copies the log from the "
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
    return core::Done();
  }
  BOOST_OUTCOME_TRYV(mDisk.Truncate(mFilePath, mFileSize));
  mMayHaveTornTail = false;
  return core::Done();
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
  mMayHaveTornTail = true; // A write that fails may leave a part of the frame.
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
    return core::Done(); // Behind a torn tail nothing could be read; the next batch drops it.
  }
  // Not synced: it becomes durable with the next batch, or when the system writes it back.
  const std::string seal = MakeSeal(mFileSize);
  auto appended = mDisk.Append(mFilePath, seal);
  if (appended) {
    mFileSize += seal.size();
    return core::Done();
  }
  mMayHaveTornTail = true;
  if (appended.error().kind == core::ErrorKind::DiskFull) {
    return core::Done(); // What it seals is stored; a file may end without a seal.
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
  return core::Done();
}

} // namespace cuminfield::process::log
