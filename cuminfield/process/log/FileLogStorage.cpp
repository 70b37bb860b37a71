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
constexpr std::size_t kHeaderBytes = kLengthBytes + sizeof(std::uint64_t);

/// Begins a seal's payload. No record begins with it: 0xff is no protobuf field of ours.
constexpr std::string_view kSealMark = "\xff\xff"
                                       "cfseal";
constexpr std::size_t kSealBytes = kSealMark.size() + 2 * sizeof(std::uint64_t);

template<typename Integer>
void Put(std::string& aBuf, Integer aValue)
{
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    aBuf.push_back(static_cast<char>(aValue >> (8 * i)));
  }
}

template<typename Integer>
Integer Get(std::string_view aBuf)
{
  Integer value = 0;
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    value |= static_cast<Integer>(static_cast<unsigned char>(aBuf[i])) << (8 * i);
  }
  return value;
}

std::string Frame(std::string_view aPayload)
{
  std::string frame;
  frame.reserve(kHeaderBytes + aPayload.size());
  Put(frame, static_cast<std::uint32_t>(aPayload.size()));
  Put(frame, static_cast<std::uint64_t>(XXH3_64bits(aPayload.data(), aPayload.size())));
  frame.append(aPayload);
  return frame;
}

/// The payload of the frame that begins aBytes; nothing when it is cut short or damaged.
std::optional<std::string_view> Unframe(std::string_view aBytes)
{
  if (aBytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  const auto length = Get<std::uint32_t>(aBytes);
  const auto sum = Get<std::uint64_t>(aBytes.substr(kLengthBytes));
  const std::string_view payload = aBytes.substr(kHeaderBytes, length);
  if (length == 0 || payload.size() != length ||
      XXH3_64bits(payload.data(), payload.size()) != sum) {
    return std::nullopt;
  }
  return payload;
}

std::string ParentOf(const std::string& aFolder)
{
  std::filesystem::path path = std::filesystem::absolute(aFolder).lexically_normal();
  if (!path.has_filename()) {
    path = path.parent_path(); // It ended with a slash.
  }
  return path.parent_path();
}

bool IsSeal(std::string_view aPayload)
{
  return aPayload.size() == kSealBytes && aPayload.starts_with(kSealMark);
}

} // namespace

FileLogStorage::FileLogStorage(FileLogStorageOptions aOptions)
  : mRoot(std::move(aOptions.folder))
  , mParent(ParentOf(mRoot))
  , mFolder(mRoot + "/" + aOptions.group.Text())
  , mFile(mFolder + "/log")
  , mNewFile(mFolder + "/log.new")
  , mDisk(aOptions.disk)
{
}

core::Result<LogContents> FileLogStorage::Load(core::Incarnation aNewIncarnation)
{
  BOOST_OUTCOME_TRYV(mDisk.MakeFolder(mFolder));
  BOOST_OUTCOME_TRYV(mDisk.SyncFolder(mParent));
  BOOST_OUTCOME_TRYV(mDisk.SyncFolder(mRoot));
  BOOST_OUTCOME_TRYV(mDisk.Lock(mFolder + "/lock"));
  BOOST_OUTCOME_TRYV(mDisk.Remove(mNewFile));
  BOOST_OUTCOME_TRY(bytes, mDisk.Read(mFile));
  if (!bytes) {
    return Create(aNewIncarnation);
  }
  return Parse(*bytes);
}

core::Result<LogContents> FileLogStorage::Create(core::Incarnation aIncarnation)
{
  mIncarnation = aIncarnation;
  proto::Record first;
  first.set_incarnation(aIncarnation.Value());
  BOOST_OUTCOME_TRYV(Replace(first));
  LogContents contents;
  contents.incarnation = aIncarnation;
  return contents;
}

core::Result<LogContents> FileLogStorage::Parse(const std::string& aBytes)
{
  const std::string_view bytes = aBytes;
  LogContents contents;
  std::uint64_t offset = 0;
  while (offset < bytes.size()) {
    const auto payload = Unframe(bytes.substr(offset));
    if (!payload) {
      break;
    }
    if (!IsSeal(*payload)) {
      proto::Record record;
      if (!record.ParseFromArray(payload->data(), static_cast<int>(payload->size()))) {
        return core::Fail(core::ErrorKind::Corrupt, Damaged(offset));
      }
      BOOST_OUTCOME_TRYV(Apply(std::move(record), contents));
    }
    offset += kHeaderBytes + payload->size();
  }
  mIncarnation = contents.incarnation;
  if (mIncarnation == core::Incarnation()) {
    return core::Fail(core::ErrorKind::Corrupt, Damaged(0)); // Such a file is never put in place.
  }
  BOOST_OUTCOME_TRYV(CutTail(aBytes, offset));
  // What was read may have been written and not synced: it must not be acted upon before it is.
  BOOST_OUTCOME_TRYV(mDisk.Sync(mFile));
  BOOST_OUTCOME_TRYV(mDisk.SyncFolder(mFolder));
  BOOST_OUTCOME_TRYV(AppendSeal());
  return contents;
}

core::Result<void> FileLogStorage::Apply(proto::Record aRecord, LogContents& aContents) const
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
      return core::Fail(core::ErrorKind::Corrupt, Damaged(mSize));
    }
    aContents.entries.resize(it.index() - base - 1);
    aContents.entries.push_back(std::move(it));
  }
  return core::Done();
}

core::Result<void> FileLogStorage::CutTail(const std::string& aBytes, std::uint64_t aGood)
{
  mSize = aGood;
  if (aGood == aBytes.size()) {
    return core::Done();
  }
  if (SealedBeyond(aBytes, aGood)) {
    return core::Fail(core::ErrorKind::Corrupt, Damaged(aGood));
  }
  mTorn = true;
  auto dropped = DropTornTail();
  if (!dropped && dropped.error().kind == core::ErrorKind::DiskFull) {
    return core::Done(); // Dropped before the next write.
  }
  return dropped;
}

bool FileLogStorage::SealedBeyond(std::string_view aBytes, std::uint64_t aOffset) const
{
  std::size_t at = aBytes.find(kSealMark, aOffset);
  while (at != std::string_view::npos) {
    const std::size_t begin = at - std::min(at, kHeaderBytes);
    const auto payload = Unframe(aBytes.substr(begin));
    if (payload && IsSeal(*payload)) {
      const std::string_view numbers = payload->substr(kSealMark.size());
      const auto incarnation = Get<std::uint64_t>(numbers);
      const auto size = Get<std::uint64_t>(numbers.substr(sizeof(std::uint64_t)));
      if (incarnation == mIncarnation.Value() && size > aOffset) {
        return true;
      }
    }
    at = aBytes.find(kSealMark, at + 1);
  }
  return false;
}

std::string FileLogStorage::Damaged(std::uint64_t aOffset) const
{
  return mFile + " is damaged at byte " + std::to_string(aOffset) +
         ", where it had been acknowledged; move the folder " + mFolder +
         " away and start again: this host then joins the group anew and copies the log from the "
         "other voters";
}

void FileLogStorage::Persist(PersistBatch aBatch, Completion aDone)
{
  aDone(Store(aBatch));
}

core::Result<void> FileLogStorage::Store(const PersistBatch& aBatch)
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
  return Replace(first);
}

core::Result<void> FileLogStorage::DropTornTail()
{
  if (!mTorn) {
    return core::Done();
  }
  BOOST_OUTCOME_TRYV(mDisk.Truncate(mFile, mSize));
  mTorn = false;
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
  const std::string frame = Frame(record.SerializeAsString());
  mTorn = true; // A write that fails may leave a part of the frame.
  BOOST_OUTCOME_TRYV(mDisk.Append(mFile, frame));
  BOOST_OUTCOME_TRYV(mDisk.Sync(mFile));
  mTorn = false;
  mSize += frame.size();
  return AppendSeal();
}

std::string FileLogStorage::Seal(std::uint64_t aSize) const
{
  std::string payload(kSealMark);
  Put(payload, mIncarnation.Value());
  Put(payload, aSize);
  return Frame(payload);
}

core::Result<void> FileLogStorage::AppendSeal()
{
  if (mTorn) {
    return core::Done(); // Behind a torn tail nothing could be read; the next batch drops it.
  }
  // Not synced: it becomes durable with the next batch, or when the system writes it back.
  const std::string seal = Seal(mSize);
  auto appended = mDisk.Append(mFile, seal);
  if (appended) {
    mSize += seal.size();
    return core::Done();
  }
  mTorn = true;
  if (appended.error().kind == core::ErrorKind::DiskFull) {
    return core::Done(); // What it seals is stored; a file may end without a seal.
  }
  return appended.error();
}

core::Result<void> FileLogStorage::Replace(const proto::Record& aFirst)
{
  std::string bytes = Frame(aFirst.SerializeAsString());
  bytes += Seal(bytes.size());
  BOOST_OUTCOME_TRYV(mDisk.Remove(mNewFile));
  BOOST_OUTCOME_TRYV(mDisk.Append(mNewFile, bytes));
  BOOST_OUTCOME_TRYV(mDisk.Sync(mNewFile));
  BOOST_OUTCOME_TRYV(mDisk.Rename(mNewFile, mFile));
  BOOST_OUTCOME_TRYV(mDisk.SyncFolder(mFolder));
  mSize = bytes.size();
  mTorn = false;
  return core::Done();
}

} // namespace cuminfield::process::log
