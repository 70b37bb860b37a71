#include "cuminfield/process/cluster/ClusterState.h"

#include "cuminfield/process/cluster/CrashMessages.h"
#include "cuminfield/process/cluster/MovePhase.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::cluster {

namespace {

/// Maximum number of stored leaves; the oldest are dropped first. A leaving upstream is gone within
/// seconds.
constexpr std::size_t kMaxStoredLeaves = 512;

/// A move request for the same target within this time of the first is a duplicate: operators
/// resend a request for a few seconds when its response is lost.
constexpr std::uint64_t kDuplicateRequestWindowMs = 8000;

} // namespace

std::string ClusterState::Apply(core::LogIndex aIndex, std::string_view aCommand)
{
  proto::Command command;
  proto::QueryAnswer answer;
  if (!command.ParseFromArray(aCommand.data(), static_cast<int>(aCommand.size()))) {
    return answer.SerializeAsString();
  }
  switch (command.body_case()) {
    case proto::Command::kDocument:
      ApplyDocument(command.document());
      answer.mutable_document()->set_number(mDocument.number());
      break;
    case proto::Command::kMove:
      ApplyMove(aIndex.Value(), command.move());
      *answer.mutable_move() = mMoves[command.move().service()];
      break;
    case proto::Command::kSettle:
      ApplySettleMove(aIndex.Value(), command.settle());
      break;
    case proto::Command::kLeave:
      ApplyLeave(command.leave());
      break;
    case proto::Command::kVersion:
      if (mVersions.try_emplace(command.version().service(), command.version().version()).second) {
        mLastChangeIndex = aIndex.Value();
      }
      break;
    case proto::Command::kKnown:
      mKnownUpstreams = command.known();
      break;
    case proto::Command::kQuota:
      mQuotaRecord = command.quota();
      break;
    case proto::Command::kCrashes:
      ApplyCrashEvidence(aIndex.Value(), command.crashes());
      break;
    case proto::Command::kEvacuation:
      ApplyEvacuation(aIndex.Value(), command.evacuation());
      *answer.mutable_evacuation() = EvacuationOf(command.evacuation().data_centre());
      break;
    case proto::Command::BODY_NOT_SET:
      break;
  }
  return answer.SerializeAsString();
}

void ClusterState::ApplyDocument(const proto::Document& aDocument)
{
  if (aDocument.number() > mDocument.number()) {
    mDocument = aDocument;
  }
}

void ClusterState::ApplyMove(std::uint64_t aIndex, const proto::Move& aMove)
{
  const auto former = mVersions.find(aMove.service());
  const std::string version = former == mVersions.end() ? std::string() : former->second;
  const auto known = mMoves.find(aMove.service());
  if (known != mMoves.end() && known->second.target() == aMove.target()) {
    const bool repeated =
      aMove.ordered_ms() < known->second.ordered_ms() + kDuplicateRequestWindowMs;
    if (IsRunning(known->second) || repeated || version == aMove.target()) {
      return;
    }
  }
  proto::Move& move = mMoves[aMove.service()];
  move = aMove;
  move.set_former(version);
  move.set_phase(version == aMove.target() ? proto::COMPLETED : proto::CANARY);
  move.set_number(aIndex);
  mLastChangeIndex = aIndex;
}

void ClusterState::ApplySettleMove(std::uint64_t aIndex, const proto::SettleMove& aSettle)
{
  const auto it = mMoves.find(aSettle.service());
  if (it == mMoves.end() || it->second.number() != aSettle.number() || !IsRunning(it->second)) {
    return;
  }
  it->second.set_phase(aSettle.phase());
  if (aSettle.phase() == proto::COMPLETED) {
    mVersions[aSettle.service()] = it->second.target();
  }
  mLastChangeIndex = aIndex;
}

void ClusterState::ApplyEvacuation(std::uint64_t aIndex, const proto::EvacuationOrder& aOrder)
{
  proto::Evacuation evacuation = EvacuationOf(aOrder.data_centre());
  const bool isInForce = evacuation.active() == aOrder.active();
  // An order with an older base was made before a later one, and arrives after it.
  if (isInForce || aOrder.base_revision() != evacuation.revision()) {
    return;
  }
  evacuation.set_active(aOrder.active());
  evacuation.set_revision(aIndex);
  mEvacuations[aOrder.data_centre()] = evacuation;
  mLastChangeIndex = aIndex;
}

proto::Evacuation ClusterState::EvacuationOf(const std::string& aDataCentre) const
{
  if (const auto it = mEvacuations.find(aDataCentre); it != mEvacuations.end()) {
    return it->second;
  }
  proto::Evacuation none;
  none.set_data_centre(aDataCentre);
  return none;
}

void ClusterState::ApplyLeave(const proto::Leave& aLeave)
{
  proto::Leave& leave = mLeaves[aLeave.upstream()];
  if (aLeave.incarnation() >= leave.incarnation()) {
    leave = aLeave;
  }
  if (mLeaves.size() > kMaxStoredLeaves) {
    mLeaves.erase(
      std::min_element(mLeaves.begin(), mLeaves.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.at_ms() < aRight.second.at_ms();
      }));
  }
}

void ClusterState::ApplyCrashEvidence(std::uint64_t aIndex, const proto::CrashEvidence& aEvidence)
{
  bool changed = false;
  for (const proto::CrashReport& it : aEvidence.crashes()) {
    changed |= mCrashes.RecordCrash(ToCrashReport(it), aEvidence.at_ms());
  }
  for (const proto::ServicePart& it : aEvidence.started()) {
    changed |= mCrashes.RecordStart(ToServicePart(it));
  }
  for (const proto::ServicePart& it : aEvidence.started_before()) {
    changed |= mCrashes.RecordEarlierStart(ToServicePart(it));
  }
  changed |= mCrashes.Expire(aEvidence.at_ms());
  if (changed) {
    mQuarantineRevision = aIndex;
    mOnQuarantineChanged.emit();
  }
}

proto::Quarantine ClusterState::Quarantine() const
{
  proto::Quarantine quarantine;
  quarantine.set_revision(mQuarantineRevision);
  *quarantine.mutable_suspects() = ToServicePartList(mCrashes.Suspects());
  *quarantine.mutable_repeat_suspects() = ToServicePartList(mCrashes.RepeatSuspects());
  *quarantine.mutable_suspects_without_start() = ToServicePartList(mCrashes.SuspectsWithoutStart());
  for (const request::quarantine::PartGroup& group : mCrashes.Quarantined()) {
    proto::PartGroup* it = quarantine.add_groups();
    for (const core::PromptPartId& part : group) {
      it->add_parts(part.Text());
    }
  }
  return quarantine;
}

std::string ClusterState::Query(std::string_view aQuery) const
{
  proto::Query query;
  proto::QueryAnswer answer;
  if (!query.ParseFromArray(aQuery.data(), static_cast<int>(aQuery.size()))) {
    return answer.SerializeAsString();
  }
  if (query.document()) {
    *answer.mutable_document() = mDocument;
  }
  if (const auto it = mMoves.find(query.move_of()); it != mMoves.end()) {
    *answer.mutable_move() = it->second;
  }
  if (!query.evacuation_of().empty()) {
    *answer.mutable_evacuation() = EvacuationOf(query.evacuation_of());
  }
  return answer.SerializeAsString();
}

std::string ClusterState::Snapshot() const
{
  proto::State state;
  *state.mutable_document() = mDocument;
  state.set_applied(mLastChangeIndex);
  *state.mutable_known() = mKnownUpstreams;
  *state.mutable_quota() = mQuotaRecord;
  for (const auto& [service, move] : mMoves) {
    *state.add_moves() = move;
  }
  for (const auto& [service, version] : mVersions) {
    proto::ServiceVersion* it = state.add_versions();
    it->set_service(service);
    it->set_version(version);
  }
  for (const auto& [upstream, leave] : mLeaves) {
    *state.add_leaves() = leave;
  }
  for (const auto& [part, record] : mCrashes.Records()) {
    *state.add_suspects() = ToProto(part, record);
  }
  state.set_quarantine_revision(mQuarantineRevision);
  for (const auto& [dataCentre, evacuation] : mEvacuations) {
    *state.add_evacuations() = evacuation;
  }
  return state.SerializeAsString();
}

void ClusterState::Restore(std::string_view aSnapshot)
{
  proto::State state;
  state.ParseFromArray(aSnapshot.data(), static_cast<int>(aSnapshot.size()));
  mDocument = state.document();
  mLastChangeIndex = state.applied();
  mKnownUpstreams = state.known();
  mQuotaRecord = state.quota();
  mMoves.clear();
  mVersions.clear();
  mLeaves.clear();
  mEvacuations.clear();
  for (const proto::Move& it : state.moves()) {
    mMoves[it.service()] = it;
  }
  for (const proto::ServiceVersion& it : state.versions()) {
    mVersions[it.service()] = it.version();
  }
  for (const proto::Leave& it : state.leaves()) {
    mLeaves[it.upstream()] = it;
  }
  for (const proto::Evacuation& it : state.evacuations()) {
    mEvacuations[it.data_centre()] = it;
  }
  request::quarantine::CrashAttribution::RecordMap records;
  for (const proto::SuspectRecord& it : state.suspects()) {
    records.emplace(core::PromptPartId(it.part()), ToRecord(it));
  }
  mCrashes.Restore(std::move(records));
  mQuarantineRevision = state.quarantine_revision();
}

} // namespace cuminfield::process::cluster
