#include "cuminfield/process/state/LeaseStore.h"

#include "cuminfield/core/Invariant.h"

#include <algorithm>

namespace cuminfield::process::state {

namespace {

constexpr std::size_t kMaxFieldBytes = 256;

proto::LeaseAnswer MakeAnswer(proto::LeaseVerdict aVerdict)
{
  proto::LeaseAnswer answer;
  answer.set_verdict(aVerdict);
  return answer;
}

proto::LeaseAnswer MakeAnswer(proto::LeaseVerdict aVerdict, const proto::LeaseRecord& aRecord)
{
  proto::LeaseAnswer answer = MakeAnswer(aVerdict);
  answer.set_fencing(aRecord.fencing());
  answer.set_holder(aRecord.holder());
  return answer;
}

proto::LeaseAnswer MakeGrantedAnswer(const proto::LeaseRecord& aRecord)
{
  proto::LeaseAnswer answer = MakeAnswer(proto::LEASE_VERDICT_GRANTED, aRecord);
  answer.set_wait(aRecord.wait());
  return answer;
}

bool HasValidSize(const std::string& aField)
{
  return !aField.empty() && aField.size() <= kMaxFieldBytes;
}

/// Returns the maximum time for which a holder may consider the lease valid after its last renewal
/// was committed.
core::Duration MaxValidity(const proto::LeaseRecord& aRecord)
{
  const core::Duration duration(aRecord.duration());
  return duration + MaxClockDrift(duration);
}

} // namespace

LeaseStore::LeaseStore(const GroupClock& aClock, Settings aSettings)
  : mClock(aClock)
  , mSettings(aSettings)
{
}

bool LeaseStore::IsValid(const proto::AcquireLease& aCommand) const
{
  const core::Duration duration(aCommand.duration());
  const bool isInRange = duration >= mSettings.minDuration && duration <= mSettings.maxDuration;
  const bool hasNames = HasValidSize(aCommand.name()) && HasValidSize(aCommand.holder()) &&
                        HasValidSize(aCommand.request_id());
  const bool hasRoom = mRecords.size() < mSettings.maxLeases || mRecords.contains(aCommand.name());
  return isInRange && hasNames && hasRoom;
}

core::WallTime LeaseStore::ExpiryTime(const proto::LeaseRecord& aRecord) const
{
  return FromMicros(aRecord.renewed_at()) + MaxValidity(aRecord);
}

bool LeaseStore::IsExpired(const proto::LeaseRecord& aRecord) const
{
  return mClock.Now() > ExpiryTime(aRecord);
}

proto::LeaseAnswer LeaseStore::Acquire(const proto::AcquireLease& aCommand)
{
  if (!IsValid(aCommand)) {
    return MakeAnswer(proto::LEASE_VERDICT_INVALID);
  }
  proto::LeaseRecord& record = mRecords[aCommand.name()];
  const bool resent =
    record.holder() == aCommand.holder() && record.request_id() == aCommand.request_id();
  if (resent && record.held()) {
    return MakeGrantedAnswer(record);
  }
  if (resent) {
    return MakeAnswer(proto::LEASE_VERDICT_STALE, record);
  }
  if (record.held() && !IsExpired(record)) {
    proto::LeaseAnswer answer = MakeAnswer(proto::LEASE_VERDICT_HELD, record);
    answer.set_retry_after((ExpiryTime(record) - mClock.Now()).count());
    return answer;
  }
  return Grant(aCommand, record);
}

proto::LeaseAnswer LeaseStore::Grant(const proto::AcquireLease& aCommand,
                                     proto::LeaseRecord& aRecord)
{
  // The former holder did not release the lease and may consider it valid for as long as this.
  if (aRecord.held()) {
    aRecord.set_wait(std::max(aRecord.wait(), MaxValidity(aRecord).count()));
  }
  // Numbers are at least the wall clock time in milliseconds, so that they also increase when the
  // group is founded anew: upstreams remember the numbers of the former group.
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(mClock.Now().time_since_epoch());
  const auto fromClock = static_cast<std::uint64_t>(std::max<std::int64_t>(millis.count(), 0));
  const std::uint64_t fencing = std::max(mLastFencing + 1, fromClock);
  CUMINFIELD_INVARIANT("lease.fencing-grows",
                       fencing > mLastFencing && fencing > aRecord.fencing());
  mLastFencing = fencing;
  aRecord.set_name(aCommand.name());
  aRecord.set_holder(aCommand.holder());
  aRecord.set_request_id(aCommand.request_id());
  aRecord.set_fencing(fencing);
  aRecord.set_duration(aCommand.duration());
  aRecord.set_renewed_at(ToMicros(mClock.Now()));
  aRecord.set_held(true);
  return MakeGrantedAnswer(aRecord);
}

proto::LeaseRecord* LeaseStore::FindCurrentGrant(const std::string& aName,
                                                 const std::string& aHolder, std::uint64_t aFencing)
{
  const auto it = mRecords.find(aName);
  if (it == mRecords.end()) {
    return nullptr;
  }
  proto::LeaseRecord& record = it->second;
  const bool isSame = record.held() && record.holder() == aHolder && record.fencing() == aFencing;
  return isSame ? &record : nullptr;
}

proto::LeaseAnswer LeaseStore::Renew(const proto::RenewLease& aCommand)
{
  proto::LeaseRecord* record =
    FindCurrentGrant(aCommand.name(), aCommand.holder(), aCommand.fencing());
  if (!record) {
    return MakeAnswer(proto::LEASE_VERDICT_STALE);
  }
  if (aCommand.waited()) {
    record->set_wait(0);
  }
  record->set_renewed_at(ToMicros(mClock.Now()));
  return MakeAnswer(proto::LEASE_VERDICT_RENEWED, *record);
}

proto::LeaseAnswer LeaseStore::Release(const proto::ReleaseLease& aCommand)
{
  const auto it = mRecords.find(aCommand.name());
  if (it == mRecords.end()) {
    return MakeAnswer(proto::LEASE_VERDICT_STALE);
  }
  proto::LeaseRecord& record = it->second;
  if (record.holder() != aCommand.holder() || record.fencing() != aCommand.fencing()) {
    return MakeAnswer(proto::LEASE_VERDICT_STALE);
  }
  if (record.held() && aCommand.waited()) {
    record.set_wait(0);
  }
  record.set_held(false);
  return MakeAnswer(proto::LEASE_VERDICT_RELEASED, record);
}

proto::LeaseFound LeaseStore::LookUp(const proto::LeaseLookup& aQuery) const
{
  proto::LeaseFound found;
  const auto it = mRecords.find(aQuery.name());
  if (it != mRecords.end()) {
    found.set_found(true);
    *found.mutable_record() = it->second;
  }
  return found;
}

proto::LeaseSnapshot LeaseStore::Snapshot() const
{
  proto::LeaseSnapshot snapshot;
  snapshot.set_last_fencing(mLastFencing);
  for (const auto& [name, record] : mRecords) {
    *snapshot.add_records() = record;
  }
  return snapshot;
}

void LeaseStore::Restore(const proto::LeaseSnapshot& aSnapshot)
{
  mLastFencing = aSnapshot.last_fencing();
  mRecords.clear();
  for (const proto::LeaseRecord& record : aSnapshot.records()) {
    mRecords[record.name()] = record;
  }
}

} // namespace cuminfield::process::state
