#include "cuminfield/process/state/ClaimStore.h"

#include "cuminfield/core/Invariant.h"

#include <algorithm>

namespace cuminfield::process::state {

namespace {

/// Memory of a record and of a grant in addition to their texts.
constexpr std::size_t kRecordOverheadBytes = 512;
constexpr std::size_t kGrantOverheadBytes = 64;
/// Maximum size of an id, address or digest in a command.
constexpr std::size_t kMaxFieldBytes = 256;
/// Stored content types are truncated to this size.
constexpr std::size_t kMaxContentTypeBytes = 256;

proto::ClaimAnswer MakeAnswer(proto::ClaimVerdict aVerdict)
{
  proto::ClaimAnswer answer;
  answer.set_verdict(aVerdict);
  return answer;
}

proto::ClaimAnswer MakeAnswer(proto::ClaimVerdict aVerdict, const proto::ClaimRecord& aRecord)
{
  proto::ClaimAnswer answer = MakeAnswer(aVerdict);
  *answer.mutable_record() = aRecord;
  return answer;
}

proto::ClaimAnswer MakeGrantedAnswer(std::uint64_t aAttempt)
{
  proto::ClaimAnswer answer = MakeAnswer(proto::CLAIM_VERDICT_GRANTED);
  answer.set_attempt(aAttempt);
  return answer;
}

std::size_t EstimateBytes(const proto::Upstream& aUpstream)
{
  return aUpstream.id().size() + aUpstream.address().size();
}

std::size_t EstimateBytes(const proto::ClaimRecord& aRecord)
{
  std::size_t bytes = kRecordOverheadBytes + aRecord.workspace().size() + aRecord.key().size();
  bytes += aRecord.digest().size() + aRecord.request_id().size() + aRecord.host().size();
  bytes += EstimateBytes(aRecord.upstream());
  for (const proto::Grant& grant : aRecord.grants()) {
    bytes += kGrantOverheadBytes + grant.request_id().size();
  }
  return bytes;
}

bool IsSameUpstream(const proto::Upstream& aLeft, const proto::Upstream& aRight)
{
  return aLeft.id() == aRight.id() && aLeft.address() == aRight.address() &&
         aLeft.port() == aRight.port() && aLeft.resumes() == aRight.resumes();
}

const proto::Grant* FindGrant(const proto::ClaimRecord& aRecord, const std::string& aRequestId)
{
  const auto it = std::ranges::find(aRecord.grants(), aRequestId, &proto::Grant::request_id);
  return it == aRecord.grants().end() ? nullptr : &*it;
}

/// Returns true if the request holds the key: it got the last grant and has not released it.
bool IsHeldBy(const proto::ClaimRecord& aRecord, const std::string& aRequestId)
{
  return aRecord.state() != proto::CLAIM_STATE_RELEASED && aRecord.request_id() == aRequestId;
}

/// Returns true while the key is held by a request that has not been dispatched.
bool IsAwaitingDispatch(const proto::ClaimRecord& aRecord)
{
  return aRecord.state() == proto::CLAIM_STATE_CLAIMED && aRecord.upstream().id().empty();
}

/// Returns true if a new request may claim the key.
bool IsFree(const proto::ClaimRecord& aRecord)
{
  return aRecord.state() == proto::CLAIM_STATE_RELEASED || IsAwaitingDispatch(aRecord);
}

bool HasValidSize(const std::string& aField)
{
  return !aField.empty() && aField.size() <= kMaxFieldBytes;
}

bool HasValidSize(const proto::Upstream& aUpstream)
{
  return aUpstream.id().size() <= kMaxFieldBytes && aUpstream.address().size() <= kMaxFieldBytes;
}

/// Returns the answer to a Release by a request that does not hold the key and never will. The
/// caller may be told that nothing ran only if no other request holds the key.
proto::ClaimAnswer MakeReleaseAnswer(const proto::ClaimRecord& aRecord)
{
  if (aRecord.state() == proto::CLAIM_STATE_RELEASED) {
    return MakeAnswer(proto::CLAIM_VERDICT_RELEASED);
  }
  return MakeAnswer(proto::CLAIM_VERDICT_HELD, aRecord);
}

} // namespace

ClaimStore::ClaimStore(const GroupClock& aClock, Settings aSettings)
  : mClock(aClock)
  , mSettings(aSettings)
{
}

core::WallTime ClaimStore::MinKeyTime() const
{
  return std::max(mClock.FoundedAt() - mSettings.foundingSkew, mClock.Now() - mSettings.retention);
}

bool ClaimStore::CheckKey(const std::string& aWorkspace, const std::string& aKey, ClaimId& aId,
                          proto::ClaimAnswer& aAnswer) const
{
  const std::optional<UuidV7> key = UuidV7::Parse(aKey);
  if (!key || !HasValidSize(aWorkspace)) {
    aAnswer.set_verdict(proto::CLAIM_VERDICT_INVALID);
    return false;
  }
  if (key->Timestamp() < MinKeyTime()) {
    aAnswer.set_verdict(proto::CLAIM_VERDICT_TOO_OLD);
    return false;
  }
  if (key->Timestamp() > mClock.Now() + mSettings.futureAllowance) {
    aAnswer.set_verdict(proto::CLAIM_VERDICT_FROM_FUTURE);
    return false;
  }
  aId = ClaimId{ .key = key->Text(), .workspace = aWorkspace };
  return true;
}

proto::ClaimAnswer ClaimStore::Claim(const proto::Claim& aCommand)
{
  ClaimId id;
  proto::ClaimAnswer rejection;
  if (!CheckKey(aCommand.workspace(), aCommand.key(), id, rejection)) {
    return rejection;
  }
  const bool fits = HasValidSize(aCommand.request_id()) && HasValidSize(aCommand.digest()) &&
                    HasValidSize(aCommand.host()) && HasValidSize(aCommand.upstream());
  if (!fits) {
    return MakeAnswer(proto::CLAIM_VERDICT_INVALID);
  }
  proto::ClaimRecord* record = Find(id);
  if (record && !record->digest().empty() && record->digest() != aCommand.digest()) {
    return MakeAnswer(proto::CLAIM_VERDICT_DIGEST_DIFFERS);
  }
  if (record && FindGrant(*record, aCommand.request_id())) {
    return HandleResentClaim(aCommand, *record);
  }
  if (record && !IsFree(*record)) {
    return MakeAnswer(proto::CLAIM_VERDICT_HELD, *record);
  }
  return GrantAttempt(aCommand, id);
}

proto::ClaimAnswer ClaimStore::HandleResentClaim(const proto::Claim& aCommand,
                                                 proto::ClaimRecord& aRecord)
{
  if (!IsHeldBy(aRecord, aCommand.request_id())) {
    return MakeAnswer(proto::CLAIM_VERDICT_STALE);
  }
  const std::uint64_t attempt = FindGrant(aRecord, aCommand.request_id())->attempt();
  // A Claim with another upstream is not a resent one: it would be a dispatch that is not recorded.
  const bool differs = !IsSameUpstream(aRecord.upstream(), aCommand.upstream());
  if (aRecord.attempt() == attempt && differs) {
    return MakeAnswer(proto::CLAIM_VERDICT_STALE);
  }
  return MakeGrantedAnswer(attempt);
}

proto::ClaimAnswer ClaimStore::GrantAttempt(const proto::Claim& aCommand, const ClaimId& aId)
{
  const std::size_t bytes = aCommand.digest().size() + 2 * aCommand.request_id().size() +
                            aCommand.host().size() + EstimateBytes(aCommand.upstream());
  proto::ClaimRecord* existing = Find(aId);
  if (!HasRoom(existing, bytes)) {
    return MakeAnswer(proto::CLAIM_VERDICT_FULL);
  }
  proto::ClaimRecord& record = existing ? *existing : Insert(aId);
  CUMINFIELD_INVARIANT("claim.one-dispatch-per-attempt", IsFree(record));
  mRecordBytes -= EstimateBytes(record);
  record.set_digest(aCommand.digest());
  record.set_request_id(aCommand.request_id());
  record.set_host(aCommand.host());
  *record.mutable_upstream() = aCommand.upstream();
  record.set_attempt(record.attempt() + 1);
  record.set_state(proto::CLAIM_STATE_CLAIMED);
  record.set_claimed_at(ToMicros(mClock.Now()));
  record.set_changed_at(ToMicros(mClock.Now()));
  mRecordBytes += EstimateBytes(record);
  AddGrant(record, aCommand.request_id(), record.attempt());
  return MakeGrantedAnswer(record.attempt());
}

proto::ClaimAnswer ClaimStore::Retarget(const proto::Retarget& aCommand)
{
  ClaimId id;
  proto::ClaimAnswer rejection;
  if (!CheckKey(aCommand.workspace(), aCommand.key(), id, rejection)) {
    return rejection;
  }
  proto::ClaimRecord* record = Find(id);
  if (aCommand.upstream().id().empty() || !HasValidSize(aCommand.upstream())) {
    return MakeAnswer(proto::CLAIM_VERDICT_INVALID);
  }
  const bool isCurrent = record && record->state() == proto::CLAIM_STATE_CLAIMED &&
                         record->request_id() == aCommand.request_id();
  if (!isCurrent) {
    return MakeAnswer(proto::CLAIM_VERDICT_STALE);
  }
  const std::uint64_t claimedAttempt = FindGrant(*record, aCommand.request_id())->attempt();
  const bool resent = record->attempt() == aCommand.attempt() + 1 &&
                      record->attempt() > claimedAttempt &&
                      IsSameUpstream(record->upstream(), aCommand.upstream());
  if (resent) {
    return MakeGrantedAnswer(record->attempt());
  }
  if (record->attempt() != aCommand.attempt()) {
    return MakeAnswer(proto::CLAIM_VERDICT_STALE);
  }
  mRecordBytes -= EstimateBytes(*record);
  *record->mutable_upstream() = aCommand.upstream();
  record->set_attempt(record->attempt() + 1);
  record->set_changed_at(ToMicros(mClock.Now()));
  mRecordBytes += EstimateBytes(*record);
  return MakeGrantedAnswer(record->attempt());
}

proto::ClaimAnswer ClaimStore::Release(const proto::Release& aCommand)
{
  ClaimId id;
  proto::ClaimAnswer rejection;
  if (!CheckKey(aCommand.workspace(), aCommand.key(), id, rejection)) {
    return rejection;
  }
  if (!HasValidSize(aCommand.request_id())) {
    return MakeAnswer(proto::CLAIM_VERDICT_INVALID);
  }
  proto::ClaimRecord* record = Find(id);
  const proto::Grant* grant = record ? FindGrant(*record, aCommand.request_id()) : nullptr;
  if (!grant) {
    return ReleaseBeforeClaim(aCommand, id);
  }
  if (!IsHeldBy(*record, aCommand.request_id())) {
    return MakeReleaseAnswer(*record);
  }
  // Attempt 0: the host received no grant, so it dispatched nothing and sent no Retarget.
  const std::uint64_t attempt = aCommand.attempt() == 0 ? grant->attempt() : aCommand.attempt();
  if (record->state() == proto::CLAIM_STATE_DONE || record->attempt() != attempt) {
    return MakeAnswer(proto::CLAIM_VERDICT_STALE);
  }
  record->set_state(proto::CLAIM_STATE_RELEASED);
  record->set_changed_at(ToMicros(mClock.Now()));
  return MakeAnswer(proto::CLAIM_VERDICT_RELEASED);
}

proto::ClaimAnswer ClaimStore::ReleaseBeforeClaim(const proto::Release& aCommand,
                                                  const ClaimId& aId)
{
  proto::ClaimRecord* existing = Find(aId);
  if (!HasRoom(existing, aCommand.request_id().size())) {
    return MakeAnswer(proto::CLAIM_VERDICT_FULL);
  }
  proto::ClaimRecord& record = existing ? *existing : Insert(aId);
  AddGrant(record, aCommand.request_id(), 0);
  if (!existing) {
    record.set_changed_at(ToMicros(mClock.Now()));
  }
  return MakeReleaseAnswer(record);
}

proto::ClaimAnswer ClaimStore::Complete(const proto::Complete& aCommand)
{
  ClaimId id;
  proto::ClaimAnswer rejection;
  if (!CheckKey(aCommand.workspace(), aCommand.key(), id, rejection)) {
    return rejection;
  }
  proto::ClaimRecord* record = Find(id);
  const bool isCurrent =
    record && IsHeldBy(*record, aCommand.request_id()) && record->attempt() == aCommand.attempt();
  if (!isCurrent) {
    return MakeAnswer(proto::CLAIM_VERDICT_STALE);
  }
  if (record->state() == proto::CLAIM_STATE_CLAIMED) {
    StoreOutcome(aCommand.outcome(), *record);
  }
  return MakeAnswer(proto::CLAIM_VERDICT_COMPLETED, *record);
}

void ClaimStore::StoreOutcome(const proto::Outcome& aOutcome, proto::ClaimRecord& aRecord)
{
  CUMINFIELD_INVARIANT("claim.completed-once", !aRecord.has_outcome());
  proto::Outcome& outcome = *aRecord.mutable_outcome();
  outcome.set_status(aOutcome.status());
  outcome.set_content_type(aOutcome.content_type().substr(0, kMaxContentTypeBytes));
  const std::size_t size = aOutcome.body().size();
  const bool fits =
    size <= static_cast<std::size_t>(mSettings.maxBodySize.value) &&
    mBodyBytes + size <= static_cast<std::size_t>(mSettings.maxTotalBodyBytes.value);
  if (aOutcome.body_kept() && fits) {
    outcome.set_body(aOutcome.body());
    outcome.set_body_kept(true);
    mBodyBytes += size;
  }
  aRecord.set_state(proto::CLAIM_STATE_DONE);
  aRecord.set_changed_at(ToMicros(mClock.Now()));
}

proto::ClaimFound ClaimStore::LookUp(const proto::ClaimLookup& aQuery) const
{
  proto::ClaimFound found;
  const std::optional<UuidV7> key = UuidV7::Parse(aQuery.key());
  if (!key) {
    return found;
  }
  if (key->Timestamp() < MinKeyTime()) {
    found.set_too_old(true);
    return found;
  }
  const auto it = mRecords.find(ClaimId{ .key = key->Text(), .workspace = aQuery.workspace() });
  if (it != mRecords.end()) {
    found.set_found(true);
    *found.mutable_record() = it->second;
  }
  return found;
}

void ClaimStore::DropExpired()
{
  const core::WallTime floor = MinKeyTime();
  for (std::size_t n = 0; n < mSettings.maxDropsPerCommand && !mRecords.empty(); ++n) {
    const auto oldest = mRecords.begin();
    if (UuidV7::Parse(oldest->first.key)->Timestamp() >= floor) {
      return;
    }
    DropRecord(oldest);
  }
}

void ClaimStore::DropRecord(Records::iterator aIt)
{
  mRecordBytes -= EstimateBytes(aIt->second);
  mBodyBytes -= aIt->second.outcome().body().size();
  mRecords.erase(aIt);
  CUMINFIELD_INVARIANT("claim.memory-counted",
                       !mRecords.empty() || (mRecordBytes == 0 && mBodyBytes == 0));
}

proto::ClaimRecord* ClaimStore::Find(const ClaimId& aId)
{
  const auto it = mRecords.find(aId);
  return it == mRecords.end() ? nullptr : &it->second;
}

proto::ClaimRecord& ClaimStore::Insert(const ClaimId& aId)
{
  proto::ClaimRecord& record = mRecords[aId];
  record.set_workspace(aId.workspace);
  record.set_key(aId.key);
  record.set_state(proto::CLAIM_STATE_RELEASED);
  mRecordBytes += EstimateBytes(record);
  return record;
}

bool ClaimStore::HasRoom(const proto::ClaimRecord* aRecord, std::size_t aBytes) const
{
  std::size_t bytes = mRecordBytes + kGrantOverheadBytes + aBytes;
  if (!aRecord) {
    bytes += kRecordOverheadBytes;
    if (mRecords.size() >= mSettings.maxRecords) {
      return false;
    }
  } else if (aRecord->grants_size() >= mSettings.maxGrantsPerKey) {
    return false;
  }
  return bytes <= static_cast<std::size_t>(mSettings.maxRecordBytes.value);
}

void ClaimStore::AddGrant(proto::ClaimRecord& aRecord, const std::string& aRequestId,
                          std::uint64_t aAttempt)
{
  CUMINFIELD_INVARIANT("claim.one-dispatch-per-attempt", !FindGrant(aRecord, aRequestId));
  proto::Grant& grant = *aRecord.add_grants();
  grant.set_request_id(aRequestId);
  grant.set_attempt(aAttempt);
  mRecordBytes += kGrantOverheadBytes + aRequestId.size();
}

proto::ClaimSnapshot ClaimStore::Snapshot() const
{
  proto::ClaimSnapshot snapshot;
  for (const auto& [id, record] : mRecords) {
    *snapshot.add_records() = record;
  }
  return snapshot;
}

void ClaimStore::Restore(const proto::ClaimSnapshot& aSnapshot)
{
  mRecords.clear();
  mRecordBytes = 0;
  mBodyBytes = 0;
  for (const proto::ClaimRecord& record : aSnapshot.records()) {
    mRecordBytes += EstimateBytes(record);
    mBodyBytes += record.outcome().body().size();
    mRecords[ClaimId{ .key = record.key(), .workspace = record.workspace() }] = record;
  }
}

} // namespace cuminfield::process::state
