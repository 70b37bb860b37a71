#include "cuminfield/process/state/DocumentStore.h"

#include "cuminfield/core/Invariant.h"
#include "cuminfield/process/state/MoveRules.h"

#include <xxhash.h>

#include <algorithm>

namespace cuminfield::process::state {

namespace {

constexpr std::size_t kMaxFieldBytes = 256;

proto::DocumentAnswer MakeAnswer(proto::DocumentVerdict aVerdict)
{
  proto::DocumentAnswer answer;
  answer.set_verdict(aVerdict);
  return answer;
}

proto::MoveAnswer MakeAnswer(proto::MoveVerdict aVerdict, const proto::MoveRecord& aRecord)
{
  proto::MoveAnswer answer;
  answer.set_verdict(aVerdict);
  *answer.mutable_record() = aRecord;
  return answer;
}

/// Returns a hash that distinguishes a resent request from another one with the same id.
std::uint64_t HashCommand(const google::protobuf::MessageLite& aCommand)
{
  const std::string bytes = aCommand.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

bool HasValidSize(const std::string& aField)
{
  return !aField.empty() && aField.size() <= kMaxFieldBytes;
}

} // namespace

DocumentStore::DocumentStore(const GroupClock& aClock, Settings aSettings)
  : mClock(aClock)
  , mSettings(aSettings)
{
}

proto::DocumentAnswer DocumentStore::Apply(const proto::ApplyDocument& aCommand)
{
  const std::uint64_t hash = HashCommand(aCommand);
  if (const proto::RememberedAnswer* earlier = FindStoredAnswer(aCommand.request_id())) {
    return earlier->content_hash() == hash ? earlier->answer()
                                           : MakeAnswer(proto::DOCUMENT_VERDICT_REQUEST_REUSED);
  }
  const Change change{ .environment = aCommand.environment(),
                       .baseRevision = aCommand.base_revision(),
                       .operatorName = aCommand.operator_name(),
                       .requestId = aCommand.request_id(),
                       .text = aCommand.text() };
  if (!IsValid(change)) {
    return MakeAnswer(proto::DOCUMENT_VERDICT_INVALID);
  }
  return StoreAnswer(change.requestId, hash, AcceptIfCurrent(change));
}

proto::DocumentAnswer DocumentStore::Promote(const proto::PromoteDocument& aCommand)
{
  // The hash excludes from_revision, which the host reads on behalf of the operator: it may differ
  // when the request is resent.
  proto::PromoteDocument request = aCommand;
  request.clear_from_revision();
  const std::uint64_t hash = HashCommand(request);
  if (const proto::RememberedAnswer* earlier = FindStoredAnswer(aCommand.request_id())) {
    return earlier->content_hash() == hash ? earlier->answer()
                                           : MakeAnswer(proto::DOCUMENT_VERDICT_REQUEST_REUSED);
  }
  const auto from = mEnvironments.find(aCommand.from());
  if (from == mEnvironments.end()) {
    return MakeAnswer(proto::DOCUMENT_VERDICT_NOT_FOUND);
  }
  const Change change{ .environment = aCommand.to(),
                       .baseRevision = aCommand.base_revision(),
                       .operatorName = aCommand.operator_name(),
                       .requestId = aCommand.request_id(),
                       .text = from->second.record.text() };
  if (!IsValid(change) || aCommand.from() == aCommand.to()) {
    return MakeAnswer(proto::DOCUMENT_VERDICT_INVALID);
  }
  if (from->second.record.revision() != aCommand.from_revision()) {
    const auto answer = MakeCurrentAnswer(proto::DOCUMENT_VERDICT_CONFLICT, aCommand.from());
    return StoreAnswer(change.requestId, hash, answer);
  }
  return StoreAnswer(change.requestId, hash, AcceptIfCurrent(change));
}

bool DocumentStore::IsValid(const Change& aChange) const
{
  const bool hasNames = HasValidSize(aChange.environment) && HasValidSize(aChange.operatorName) &&
                        HasValidSize(aChange.requestId);
  const bool hasValidSize =
    aChange.text.size() <= static_cast<std::size_t>(mSettings.maxTextSize.value);
  const bool hasRoom =
    mEnvironments.size() < mSettings.maxEnvironments || mEnvironments.contains(aChange.environment);
  return hasNames && hasValidSize && hasRoom;
}

proto::DocumentAnswer DocumentStore::AcceptIfCurrent(const Change& aChange)
{
  const auto it = mEnvironments.find(aChange.environment);
  const std::uint64_t current = it == mEnvironments.end() ? 0 : it->second.record.revision();
  if (aChange.baseRevision != current) {
    return MakeCurrentAnswer(proto::DOCUMENT_VERDICT_CONFLICT, aChange.environment);
  }
  return Accept(aChange);
}

proto::DocumentAnswer DocumentStore::Accept(const Change& aChange)
{
  proto::EnvironmentRecord& record = mEnvironments[aChange.environment].record;
  const std::uint64_t revision = aChange.baseRevision + 1;
  CUMINFIELD_INVARIANT("document.revision-never-falls", revision > record.revision());
  record.set_environment(aChange.environment);
  record.set_revision(revision);
  record.set_text(aChange.text);
  record.set_by(aChange.operatorName);
  record.set_at(ToMicros(mClock.Now()));
  record.set_request_id(aChange.requestId);
  return MakeCurrentAnswer(proto::DOCUMENT_VERDICT_ACCEPTED, aChange.environment);
}

proto::DocumentAnswer DocumentStore::MakeCurrentAnswer(proto::DocumentVerdict aVerdict,
                                                       const std::string& aName) const
{
  proto::DocumentAnswer answer = MakeAnswer(aVerdict);
  answer.set_environment(aName);
  const auto it = mEnvironments.find(aName);
  if (it != mEnvironments.end()) {
    answer.set_revision(it->second.record.revision());
    answer.set_by(it->second.record.by());
    answer.set_at(it->second.record.at());
  }
  return answer;
}

const proto::RememberedAnswer* DocumentStore::FindStoredAnswer(const std::string& aRequestId) const
{
  const auto it =
    std::ranges::find(mStoredAnswers, aRequestId, &proto::RememberedAnswer::request_id);
  return it == mStoredAnswers.end() ? nullptr : &*it;
}

proto::DocumentAnswer DocumentStore::StoreAnswer(const std::string& aRequestId,
                                                 std::uint64_t aContentHash,
                                                 const proto::DocumentAnswer& aAnswer)
{
  proto::RememberedAnswer& remembered = mStoredAnswers.emplace_back();
  remembered.set_request_id(aRequestId);
  remembered.set_content_hash(aContentHash);
  *remembered.mutable_answer() = aAnswer;
  if (mStoredAnswers.size() > mSettings.maxStoredAnswers) {
    EvictOldestAnswer();
  }
  return aAnswer;
}

void DocumentStore::EvictOldestAnswer()
{
  const auto it =
    std::ranges::find_if_not(mStoredAnswers, [this](const proto::RememberedAnswer& aAnswer) {
      return IsForCurrentRevision(aAnswer);
    });
  if (it != mStoredAnswers.end()) {
    mStoredAnswers.erase(it);
  }
}

bool DocumentStore::IsForCurrentRevision(const proto::RememberedAnswer& aAnswer) const
{
  const auto it = mEnvironments.find(aAnswer.answer().environment());
  return it != mEnvironments.end() && it->second.record.request_id() == aAnswer.request_id();
}

proto::MoveAnswer DocumentStore::RecordStep(const proto::MoveStep& aCommand)
{
  const auto it = mEnvironments.find(aCommand.environment());
  if (it == mEnvironments.end()) {
    return MakeAnswer(proto::MOVE_VERDICT_NOT_FOUND, {});
  }
  Environment& environment = it->second;
  const auto known = environment.moves.find(aCommand.move());
  const bool isNew = known == environment.moves.end();
  const proto::MoveRecord current = isNew ? proto::MoveRecord() : known->second;
  const bool hasRoom = !isNew || environment.moves.size() < mSettings.maxMovesPerEnvironment;
  const bool hasValidSize =
    aCommand.reason().size() <= kMaxReasonBytes && aCommand.details().size() <= kMaxDetailsBytes;
  if (!hasRoom || !HasValidSize(aCommand.move()) || !hasValidSize) {
    return MakeAnswer(proto::MOVE_VERDICT_INVALID, current);
  }
  const proto::MoveVerdict verdict = CheckStep(current, aCommand, environment.record.revision());
  if (verdict != proto::MOVE_VERDICT_ACCEPTED || IsResent(current, aCommand)) {
    return MakeAnswer(verdict, current);
  }
  CUMINFIELD_INVARIANT("move.final-stays", !IsFinal(current.state()));
  CUMINFIELD_INVARIANT("move.fencing-never-falls", aCommand.fencing() >= current.fencing());
  const proto::MoveRecord next = MakeNextRecord(current, aCommand);
  environment.moves[aCommand.move()] = next;
  return MakeAnswer(proto::MOVE_VERDICT_ACCEPTED, next);
}

proto::EnvironmentRecord DocumentStore::MakeCompleteRecord(const Environment& aEnvironment) const
{
  proto::EnvironmentRecord record = aEnvironment.record;
  for (const auto& [name, move] : aEnvironment.moves) {
    *record.add_moves() = move;
  }
  return record;
}

proto::EnvironmentFound DocumentStore::LookUp(const proto::EnvironmentLookup& aQuery) const
{
  proto::EnvironmentFound found;
  const auto it = mEnvironments.find(aQuery.environment());
  if (it != mEnvironments.end()) {
    found.set_found(true);
    *found.mutable_record() = MakeCompleteRecord(it->second);
  }
  return found;
}

proto::Revisions DocumentStore::ListRevisions() const
{
  proto::Revisions revisions;
  for (const auto& [name, environment] : mEnvironments) {
    proto::EnvironmentRecord& record = *revisions.add_environments();
    record.set_environment(name);
    record.set_revision(environment.record.revision());
    record.set_by(environment.record.by());
    record.set_at(environment.record.at());
  }
  return revisions;
}

proto::DocumentSnapshot DocumentStore::Snapshot() const
{
  proto::DocumentSnapshot snapshot;
  for (const auto& [name, environment] : mEnvironments) {
    *snapshot.add_environments() = MakeCompleteRecord(environment);
  }
  for (const proto::RememberedAnswer& answer : mStoredAnswers) {
    *snapshot.add_answers() = answer;
  }
  return snapshot;
}

void DocumentStore::Restore(const proto::DocumentSnapshot& aSnapshot)
{
  mEnvironments.clear();
  for (const proto::EnvironmentRecord& record : aSnapshot.environments()) {
    Environment& environment = mEnvironments[record.environment()];
    environment.record = record;
    environment.record.clear_moves();
    for (const proto::MoveRecord& move : record.moves()) {
      environment.moves[move.move()] = move;
    }
  }
  mStoredAnswers.assign(aSnapshot.answers().begin(), aSnapshot.answers().end());
}

} // namespace cuminfield::process::state
