#include "cuminfield/process/state/ClaimStore.h"

#include "cuminfield/core/Invariant.h"

#include <algorithm>

namespace cuminfield::process::state {

namespace {

/// Memory of a record and of a grant in addition to their texts.
constexpr std::size_t kRecordOverhead = 512;
constexpr std::size_t kGrantOverhead = 64;
/// Maximum size of an id, address or digest in a command.
constexpr std::size_t kMaxField = 256;
/// Stored content types are truncated to this size.
constexpr std::size_t kMaxContentType = 256;

proto::ClaimAnswer Verdict(proto::ClaimVerdict aVerdict)
{
  proto::ClaimAnswer answer;
  answer.set_verdict(aVerdict);
  return answer;
}

proto::ClaimAnswer Verdict(proto::ClaimVerdict aVerdict, const proto::ClaimRecord& aRecord)
{
  proto::ClaimAnswer answer = Verdict(aVerdict);
  *answer.mutable_record() = aRecord;
  return answer;
}

proto::ClaimAnswer Granted(std::uint64_t aAttempt)
{
  proto::ClaimAnswer answer = Verdict(proto::CLAIM_VERDICT_GRANTED);
  answer.set_attempt(aAttempt);
  return answer;
}

std::size_t Weight(const proto::Upstream& aUpstream)
{
  return aUpstream.id().size() + aUpstream.address().size();
}

std::size_t Weight(const proto::ClaimRecord& aRecord)
{
  std::size_t bytes = kRecordOverhead + aRecord.workspace().size() + aRecord.key().size();
  bytes += aRecord.digest().size() + aRecord.request_id().size() + aRecord.host().size();
  bytes += Weight(aRecord.upstream());
  for (const proto::Grant& grant : aRecord.grants()) {
    bytes += kGrantOverhead + grant.request_id().size();
  }
  return bytes;
}

bool SameUpstream(const proto::Upstream& aLeft, const proto::Upstream& aRight)
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
bool Holds(const proto::ClaimRecord& aRecord, const std::string& aRequestId)
{
  return aRecord.state() != proto::CLAIM_STATE_RELEASED && aRecord.request_id() == aRequestId;
}

/// Returns true while the key is held by a request that has not been dispatched.
bool Waits(const proto::ClaimRecord& aRecord)
{
  return aRecord.state() == proto::CLAIM_STATE_CLAIMED && aRecord.upstream().id().empty();
}

/// Returns true if a new request may claim the key.
bool IsFree(const proto::ClaimRecord& aRecord)
{
  return aRecord.state() == proto::CLAIM_STATE_RELEASED || Waits(aRecord);
}

bool Fits(const std::string& aField)
{
  return !aField.empty() && aField.size() <= kMaxField;
}

bool Fits(const proto::Upstream& aUpstream)
{
  return aUpstream.id().size() <= kMaxField && aUpstream.address().size() <= kMaxField;
}

/// Returns the answer to a Release by a request that does not hold the key and never will. The
/// caller may be told that nothing ran only if no other request holds the key.
proto::ClaimAnswer GivenUp(const proto::ClaimRecord& aRecord)
{
  if (aRecord.state() == proto::CLAIM_STATE_RELEASED) {
    return Verdict(proto::CLAIM_VERDICT_RELEASED);
  }
  return Verdict(proto::CLAIM_VERDICT_HELD, aRecord);
}

} // namespace

ClaimStore::ClaimStore(const GroupClock& aClock, Settings aSettings)
  : mClock(aClock)
  , mSettings(aSettings)
{
}

core::WallTime ClaimStore::Floor() const
{
  return std::max(mClock.FoundedAt() - mSettings.foundingSkew, mClock.Now() - mSettings.retention);
}

bool ClaimStore::CheckKey(const std::string& aWorkspace, const std::string& aKey, ClaimId& aId,
                          proto::ClaimAnswer& aAnswer) const
{
  const std::optional<TimedKey> key = TimedKey::Parse(aKey);
  if (!key || !Fits(aWorkspace)) {
    aAnswer.set_verdict(proto::CLAIM_VERDICT_INVALID);
    return false;
  }
  if (key->Time() < Floor()) {
    aAnswer.set_verdict(proto::CLAIM_VERDICT_TOO_OLD);
    return false;
  }
  if (key->Time() > mClock.Now() + mSettings.futureAllowance) {
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
  const bool fits = Fits(aCommand.request_id()) && Fits(aCommand.digest()) &&
                    Fits(aCommand.host()) && Fits(aCommand.upstream());
  if (!fits) {
    return Verdict(proto::CLAIM_VERDICT_INVALID);
  }
  proto::ClaimRecord* record = Find(id);
  if (record && !record->digest().empty() && record->digest() != aCommand.digest()) {
    return Verdict(proto::CLAIM_VERDICT_DIGEST_DIFFERS);
  }
  if (record && FindGrant(*record, aCommand.request_id())) {
    return ClaimAgain(aCommand, *record);
  }
  if (record && !IsFree(*record)) {
    return Verdict(proto::CLAIM_VERDICT_HELD, *record);
  }
  return GrantNew(aCommand, id);
}

proto::ClaimAnswer ClaimStore::ClaimAgain(const proto::Claim& aCommand, proto::ClaimRecord& aRecord)
{
  if (!Holds(aRecord, aCommand.request_id())) {
    return Verdict(proto::CLAIM_VERDICT_STALE);
  }
  const std::uint64_t attempt = FindGrant(aRecord, aCommand.request_id())->attempt();
  // A Claim with another upstream is not a resent one: it would be a dispatch that is not recorded.
  const bool differs = !SameUpstream(aRecord.upstream(), aCommand.upstream());
  if (aRecord.attempt() == attempt && differs) {
    return Verdict(proto::CLAIM_VERDICT_STALE);
  }
  return Granted(attempt);
}

proto::ClaimAnswer ClaimStore::GrantNew(const proto::Claim& aCommand, const ClaimId& aId)
{
  const std::size_t bytes = aCommand.digest().size() + 2 * aCommand.request_id().size() +
                            aCommand.host().size() + Weight(aCommand.upstream());
  proto::ClaimRecord* existing = Find(aId);
  if (!HasRoom(existing, bytes)) {
    return Verdict(proto::CLAIM_VERDICT_FULL);
  }
  proto::ClaimRecord& record = existing ? *existing : Insert(aId);
  CUMINFIELD_INVARIANT("claim.one-dispatch-per-attempt", IsFree(record));
  mBytes -= Weight(record);
  record.set_digest(aCommand.digest());
  record.set_request_id(aCommand.request_id());
  record.set_host(aCommand.host());
  *record.mutable_upstream() = aCommand.upstream();
  record.set_attempt(record.attempt() + 1);
  record.set_state(proto::CLAIM_STATE_CLAIMED);
  record.set_claimed_at(ToMicros(mClock.Now()));
  record.set_changed_at(ToMicros(mClock.Now()));
  mBytes += Weight(record);
  AddGrant(record, aCommand.request_id(), record.attempt());
  return Granted(record.attempt());
}

proto::ClaimAnswer ClaimStore::Retarget(const proto::Retarget& aCommand)
{
  ClaimId id;
  proto::ClaimAnswer rejection;
  if (!CheckKey(aCommand.workspace(), aCommand.key(), id, rejection)) {
    return rejection;
  }
  proto::ClaimRecord* record = Find(id);
  if (aCommand.upstream().id().empty() || !Fits(aCommand.upstream())) {
    return Verdict(proto::CLAIM_VERDICT_INVALID);
  }
  const bool isCurrent = record && record->state() == proto::CLAIM_STATE_CLAIMED &&
                         record->request_id() == aCommand.request_id();
  if (!isCurrent) {
    return Verdict(proto::CLAIM_VERDICT_STALE);
  }
  const std::uint64_t claimedAttempt = FindGrant(*record, aCommand.request_id())->attempt();
  const bool resent = record->attempt() == aCommand.attempt() + 1 &&
                      record->attempt() > claimedAttempt &&
                      SameUpstream(record->upstream(), aCommand.upstream());
  if (resent) {
    return Granted(record->attempt());
  }
  if (record->attempt() != aCommand.attempt()) {
    return Verdict(proto::CLAIM_VERDICT_STALE);
  }
  mBytes -= Weight(*record);
  *record->mutable_upstream() = aCommand.upstream();
  record->set_attempt(record->attempt() + 1);
  record->set_changed_at(ToMicros(mClock.Now()));
  mBytes += Weight(*record);
  return Granted(record->attempt());
}

proto::ClaimAnswer ClaimStore::Release(const proto::Release& aCommand)
{
  ClaimId id;
  proto::ClaimAnswer rejection;
  if (!CheckKey(aCommand.workspace(), aCommand.key(), id, rejection)) {
    return rejection;
  }
  if (!Fits(aCommand.request_id())) {
    return Verdict(proto::CLAIM_VERDICT_INVALID);
  }
  proto::ClaimRecord* record = Find(id);
  const proto::Grant* grant = record ? FindGrant(*record, aCommand.request_id()) : nullptr;
  if (!grant) {
    return ReleaseUnseen(aCommand, id);
  }
  if (!Holds(*record, aCommand.request_id())) {
    return GivenUp(*record);
  }
  // Attempt 0: the host received no grant, so it dispatched nothing and sent no Retarget.
  const std::uint64_t attempt = aCommand.attempt() == 0 ? grant->attempt() : aCommand.attempt();
  if (record->state() == proto::CLAIM_STATE_DONE || record->attempt() != attempt) {
    return Verdict(proto::CLAIM_VERDICT_STALE);
  }
  record->set_state(proto::CLAIM_STATE_RELEASED);
  record->set_changed_at(ToMicros(mClock.Now()));
  return Verdict(proto::CLAIM_VERDICT_RELEASED);
}

proto::ClaimAnswer ClaimStore::ReleaseUnseen(const proto::Release& aCommand, const ClaimId& aId)
{
  proto::ClaimRecord* existing = Find(aId);
  if (!HasRoom(existing, aCommand.request_id().size())) {
    return Verdict(proto::CLAIM_VERDICT_FULL);
  }
  proto::ClaimRecord& record = existing ? *existing : Insert(aId);
  AddGrant(record, aCommand.request_id(), 0);
  if (!existing) {
    record.set_changed_at(ToMicros(mClock.Now()));
  }
  return GivenUp(record);
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
    record && Holds(*record, aCommand.request_id()) && record->attempt() == aCommand.attempt();
  if (!isCurrent) {
    return Verdict(proto::CLAIM_VERDICT_STALE);
  }
  if (record->state() == proto::CLAIM_STATE_CLAIMED) {
    KeepOutcome(aCommand.outcome(), *record);
  }
  return Verdict(proto::CLAIM_VERDICT_COMPLETED, *record);
}

void ClaimStore::KeepOutcome(const proto::Outcome& aOutcome, proto::ClaimRecord& aRecord)
{
  CUMINFIELD_INVARIANT("claim.completed-once", !aRecord.has_outcome());
  proto::Outcome& outcome = *aRecord.mutable_outcome();
  outcome.set_status(aOutcome.status());
  outcome.set_content_type(aOutcome.content_type().substr(0, kMaxContentType));
  const std::size_t size = aOutcome.body().size();
  const bool fits = size <= static_cast<std::size_t>(mSettings.maxBody.value) &&
                    mBodyBytes + size <= static_cast<std::size_t>(mSettings.maxBodyBytes.value);
  if (aOutcome.body_kept() && fits) {
    outcome.set_body(aOutcome.body());
    outcome.set_body_kept(true);
    mBodyBytes += size;
  }
  aRecord.set_state(proto::CLAIM_STATE_DONE);
  aRecord.set_changed_at(ToMicros(mClock.Now()));
}

proto::ClaimFound ClaimStore::Lookup(const proto::ClaimLookup& aQuery) const
{
  proto::ClaimFound found;
  const std::optional<TimedKey> key = TimedKey::Parse(aQuery.key());
  if (!key) {
    return found;
  }
  if (key->Time() < Floor()) {
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
  const core::WallTime floor = Floor();
  for (std::size_t n = 0; n < mSettings.dropsPerCommand && !mRecords.empty(); ++n) {
    const auto oldest = mRecords.begin();
    if (TimedKey::Parse(oldest->first.key)->Time() >= floor) {
      return;
    }
    Drop(oldest);
  }
}

void ClaimStore::Drop(Records::iterator aIt)
{
  mBytes -= Weight(aIt->second);
  mBodyBytes -= aIt->second.outcome().body().size();
  mRecords.erase(aIt);
  CUMINFIELD_INVARIANT("claim.memory-counted",
                       !mRecords.empty() || (mBytes == 0 && mBodyBytes == 0));
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
  mBytes += Weight(record);
  return record;
}

bool ClaimStore::HasRoom(const proto::ClaimRecord* aRecord, std::size_t aBytes) const
{
  std::size_t bytes = mBytes + kGrantOverhead + aBytes;
  if (!aRecord) {
    bytes += kRecordOverhead;
    if (mRecords.size() >= mSettings.maxRecords) {
      return false;
    }
  } else if (aRecord->grants_size() >= mSettings.maxGrants) {
    return false;
  }
  return bytes <= static_cast<std::size_t>(mSettings.maxBytes.value);
}

void ClaimStore::AddGrant(proto::ClaimRecord& aRecord, const std::string& aRequestId,
                          std::uint64_t aAttempt)
{
  CUMINFIELD_INVARIANT("claim.one-dispatch-per-attempt", !FindGrant(aRecord, aRequestId));
  proto::Grant& grant = *aRecord.add_grants();
  grant.set_request_id(aRequestId);
  grant.set_attempt(aAttempt);
  mBytes += kGrantOverhead + aRequestId.size();
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
  mBytes = 0;
  mBodyBytes = 0;
  for (const proto::ClaimRecord& record : aSnapshot.records()) {
    mBytes += Weight(record);
    mBodyBytes += record.outcome().body().size();
    mRecords[ClaimId{ .key = record.key(), .workspace = record.workspace() }] = record;
  }
}

} // namespace cuminfield::process::state
