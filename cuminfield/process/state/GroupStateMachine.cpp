#include "cuminfield/process/state/GroupStateMachine.h"

#include "cuminfield/core/Invariant.h"

#include <limits>

namespace cuminfield::process::state {

namespace {

/// Snapshots of another format are rejected.
constexpr std::uint32_t kSnapshotFormat = 1;

constexpr const char* kMalformedReason = "malformed message; use the same version on every host";
constexpr const char* kWrongGroupReason = "not a command of this group; send it to the other kind";

/// 2200-01-01T00:00:00Z. Times outside the years 1970 to 2200 come from a broken clock.
constexpr std::int64_t kMaxTimeMicros = 7'258'118'400'000'000;

template<typename Message>
bool ParseMessage(std::string_view aBytes, Message& aMessage)
{
  constexpr std::size_t kMaxSize = std::numeric_limits<int>::max();
  return aBytes.size() <= kMaxSize &&
         aMessage.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
}

proto::Answer MakeRefusedAnswer(const char* aReason)
{
  proto::Answer answer;
  answer.set_refused(aReason);
  return answer;
}

} // namespace

GroupStateMachine::GroupStateMachine(const Settings& aSettings)
  : mSettings(aSettings)
  , mClaims(mClock, aSettings.claims)
  , mLeases(mClock, aSettings.leases)
  , mDocuments(mClock, aSettings.documents)
  , mRegisters(aSettings.registers)
{
}

std::string GroupStateMachine::Apply(core::LogIndex, std::string_view aCommand)
{
  proto::Command command;
  const bool parsed = ParseMessage(aCommand, command);
  const proto::Answer answer =
    parsed ? ExecuteCommand(command) : MakeRefusedAnswer(kMalformedReason);
  return answer.SerializeAsString();
}

bool GroupStateMachine::IsSupported(proto::Command::KindCase aKind) const
{
  switch (aKind) {
    case proto::Command::kAcquireLease:
    case proto::Command::kRenewLease:
    case proto::Command::kReleaseLease:
    case proto::Command::kWriteRegister:
      return true;
    case proto::Command::kClaim:
    case proto::Command::kRetarget:
    case proto::Command::kRelease:
    case proto::Command::kComplete:
      return mSettings.kind == GroupKind::DataCentre;
    case proto::Command::kApplyDocument:
    case proto::Command::kPromoteDocument:
    case proto::Command::kMoveStep:
      return mSettings.kind == GroupKind::Documents;
    case proto::Command::KIND_NOT_SET:
      return false;
  }
  return false;
}

proto::Answer GroupStateMachine::ExecuteCommand(const proto::Command& aCommand)
{
  if (aCommand.now() < 0 || aCommand.now() > kMaxTimeMicros) {
    return MakeRefusedAnswer("time out of range; set this host's clock");
  }
  if (!IsSupported(aCommand.kind_case())) {
    return MakeRefusedAnswer(kWrongGroupReason);
  }
  const core::WallTime floor = mClaims.MinKeyTime();
  const core::WallTime before = mClock.Now();
  mClock.Advance(FromMicros(aCommand.now()));
  mClaims.DropExpired();
  CUMINFIELD_INVARIANT("group.clock-never-falls", mClock.Now() >= before);
  CUMINFIELD_INVARIANT("claim.floor-never-falls", mClaims.MinKeyTime() >= floor);
  proto::Answer answer;
  switch (aCommand.kind_case()) {
    case proto::Command::kApplyDocument:
      *answer.mutable_document() = mDocuments.Apply(aCommand.apply_document());
      break;
    case proto::Command::kPromoteDocument:
      *answer.mutable_document() = mDocuments.Promote(aCommand.promote_document());
      break;
    case proto::Command::kMoveStep:
      *answer.mutable_move() = mDocuments.RecordStep(aCommand.move_step());
      break;
    case proto::Command::kWriteRegister:
      *answer.mutable_written() = mRegisters.Write(aCommand.write_register());
      break;
    case proto::Command::kAcquireLease:
    case proto::Command::kRenewLease:
    case proto::Command::kReleaseLease:
      ExecuteLeaseCommand(aCommand, *answer.mutable_lease());
      break;
    default:
      ExecuteClaimCommand(aCommand, *answer.mutable_claim());
      break;
  }
  return answer;
}

void GroupStateMachine::ExecuteClaimCommand(const proto::Command& aCommand,
                                            proto::ClaimAnswer& aAnswer)
{
  switch (aCommand.kind_case()) {
    case proto::Command::kClaim:
      aAnswer = mClaims.Claim(aCommand.claim());
      break;
    case proto::Command::kRetarget:
      aAnswer = mClaims.Retarget(aCommand.retarget());
      break;
    case proto::Command::kRelease:
      aAnswer = mClaims.Release(aCommand.release());
      break;
    default:
      aAnswer = mClaims.Complete(aCommand.complete());
      break;
  }
}

void GroupStateMachine::ExecuteLeaseCommand(const proto::Command& aCommand,
                                            proto::LeaseAnswer& aAnswer)
{
  switch (aCommand.kind_case()) {
    case proto::Command::kAcquireLease:
      aAnswer = mLeases.Acquire(aCommand.acquire_lease());
      break;
    case proto::Command::kRenewLease:
      aAnswer = mLeases.Renew(aCommand.renew_lease());
      break;
    default:
      aAnswer = mLeases.Release(aCommand.release_lease());
      break;
  }
}

std::string GroupStateMachine::Query(std::string_view aQuery) const
{
  proto::Query query;
  if (ParseMessage(aQuery, query)) {
    return ExecuteQuery(query).SerializeAsString();
  }
  proto::QueryAnswer answer;
  answer.set_refused(kMalformedReason);
  return answer.SerializeAsString();
}

proto::QueryAnswer GroupStateMachine::ExecuteQuery(const proto::Query& aQuery) const
{
  proto::QueryAnswer answer;
  switch (aQuery.kind_case()) {
    case proto::Query::kClaim:
      *answer.mutable_claim() = mClaims.LookUp(aQuery.claim());
      break;
    case proto::Query::kLease:
      *answer.mutable_lease() = mLeases.LookUp(aQuery.lease());
      break;
    case proto::Query::kEnvironment:
      *answer.mutable_environment() = mDocuments.LookUp(aQuery.environment());
      break;
    case proto::Query::kRevisions:
      *answer.mutable_revisions() = mDocuments.ListRevisions();
      break;
    case proto::Query::kReadRegister:
      *answer.mutable_found_register() = mRegisters.LookUp(aQuery.read_register());
      break;
    case proto::Query::KIND_NOT_SET:
      answer.set_refused(kMalformedReason);
      break;
  }
  return answer;
}

std::string GroupStateMachine::Snapshot() const
{
  proto::Snapshot snapshot;
  snapshot.set_format(kSnapshotFormat);
  *snapshot.mutable_clock() = mClock.Snapshot();
  *snapshot.mutable_claims() = mClaims.Snapshot();
  *snapshot.mutable_leases() = mLeases.Snapshot();
  *snapshot.mutable_documents() = mDocuments.Snapshot();
  *snapshot.mutable_registers() = mRegisters.Snapshot();
  return snapshot.SerializeAsString();
}

void GroupStateMachine::Restore(std::string_view aSnapshot)
{
  proto::Snapshot snapshot;
  const bool readable = ParseMessage(aSnapshot, snapshot) && snapshot.format() == kSnapshotFormat;
  if (!readable) {
    // Continuing without the state would lose claims that have been granted.
    core::InvariantBroken("group.snapshot-readable", "parsed", __FILE__, __LINE__);
  }
  mClock.Restore(snapshot.clock());
  mClaims.Restore(snapshot.claims());
  mLeases.Restore(snapshot.leases());
  mDocuments.Restore(snapshot.documents());
  mRegisters.Restore(snapshot.registers());
}

} // namespace cuminfield::process::state
