#include "cuminfield/process/state/RegisterStore.h"

#include "cuminfield/core/Invariant.h"

namespace cuminfield::process::state {

namespace {

constexpr std::size_t kMaxNameBytes = 256;

proto::RegisterAnswer MakeAnswer(proto::RegisterVerdict aVerdict,
                                 const proto::RegisterRecord& aRecord)
{
  proto::RegisterAnswer answer;
  answer.set_verdict(aVerdict);
  *answer.mutable_record() = aRecord;
  return answer;
}

/// Returns true if aCommand is the write that led to aRecord.
bool IsResent(const proto::RegisterRecord& aRecord, const proto::WriteRegister& aCommand)
{
  return aRecord.version() == aCommand.base_version() + 1 && aRecord.value() == aCommand.value() &&
         aRecord.fencing() == aCommand.fencing();
}

} // namespace

RegisterStore::RegisterStore(Settings aSettings)
  : mSettings(aSettings)
{
}

bool RegisterStore::IsValid(const proto::WriteRegister& aCommand) const
{
  const bool hasName = !aCommand.name().empty() && aCommand.name().size() <= kMaxNameBytes;
  const bool hasValidSize =
    aCommand.value().size() <= static_cast<std::size_t>(mSettings.maxValueSize.value);
  const bool hasRoom =
    mRecords.size() < mSettings.maxRegisters || mRecords.contains(aCommand.name());
  return hasName && hasValidSize && hasRoom;
}

proto::RegisterAnswer RegisterStore::Write(const proto::WriteRegister& aCommand)
{
  const auto it = mRecords.find(aCommand.name());
  const proto::RegisterRecord current = it == mRecords.end() ? proto::RegisterRecord() : it->second;
  if (!IsValid(aCommand)) {
    return MakeAnswer(proto::REGISTER_VERDICT_INVALID, current);
  }
  if (IsResent(current, aCommand)) {
    return MakeAnswer(proto::REGISTER_VERDICT_WRITTEN, current);
  }
  if (aCommand.fencing() < current.fencing()) {
    return MakeAnswer(proto::REGISTER_VERDICT_OLD_FENCING, current);
  }
  if (aCommand.base_version() != current.version()) {
    return MakeAnswer(proto::REGISTER_VERDICT_CONFLICT, current);
  }
  proto::RegisterRecord& record = mRecords[aCommand.name()];
  CUMINFIELD_INVARIANT("register.version-grows", current.version() + 1 > record.version());
  record.set_name(aCommand.name());
  record.set_version(current.version() + 1);
  record.set_value(aCommand.value());
  record.set_fencing(aCommand.fencing());
  return MakeAnswer(proto::REGISTER_VERDICT_WRITTEN, record);
}

proto::RegisterFound RegisterStore::LookUp(const proto::RegisterLookup& aQuery) const
{
  proto::RegisterFound found;
  const auto it = mRecords.find(aQuery.name());
  if (it != mRecords.end()) {
    found.set_found(true);
    *found.mutable_record() = it->second;
  }
  return found;
}

proto::RegisterSnapshot RegisterStore::Snapshot() const
{
  proto::RegisterSnapshot snapshot;
  for (const auto& [name, record] : mRecords) {
    *snapshot.add_records() = record;
  }
  return snapshot;
}

void RegisterStore::Restore(const proto::RegisterSnapshot& aSnapshot)
{
  mRecords.clear();
  for (const proto::RegisterRecord& record : aSnapshot.records()) {
    mRecords[record.name()] = record;
  }
}

} // namespace cuminfield::process::state
