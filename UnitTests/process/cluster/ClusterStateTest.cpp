#include "cuminfield/process/cluster/ClusterState.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::process::cluster;

TEST_GROUP(ClusterState)
{
  ClusterState state;
  std::uint64_t index = 0;

  proto::QueryAnswer Apply(const proto::Command& aCommand)
  {
    proto::QueryAnswer answer;
    answer.ParseFromString(state.Apply(core::LogIndex(++index), aCommand.SerializeAsString()));
    return answer;
  }

  void PutDocument(std::uint64_t aNumber, const std::string& aText)
  {
    proto::Command command;
    command.mutable_document()->set_number(aNumber);
    command.mutable_document()->set_text(aText);
    Apply(command);
  }

  void SetVersion(const std::string& aVersion)
  {
    proto::Command command;
    command.mutable_version()->set_service("s");
    command.mutable_version()->set_version(aVersion);
    Apply(command);
  }

  proto::Move RequestMove(const std::string& aTarget, std::uint64_t aRequestedMs)
  {
    proto::Command command;
    command.mutable_move()->set_service("s");
    command.mutable_move()->set_target(aTarget);
    command.mutable_move()->set_duration_ms(12000);
    command.mutable_move()->set_ordered_ms(aRequestedMs);
    return Apply(command).move();
  }

  void Settle(std::uint64_t aNumber, proto::MovePhase aPhase)
  {
    proto::Command command;
    command.mutable_settle()->set_service("s");
    command.mutable_settle()->set_number(aNumber);
    command.mutable_settle()->set_phase(aPhase);
    Apply(command);
  }
};

TEST(ClusterState, KeepsDocumentWithHighestNumber)
{
  PutDocument(5, "five");
  PutDocument(3, "three");
  PutDocument(5, "another five");
  STRCMP_EQUAL("five", state.Document().text().c_str());
  PutDocument(9, "nine");
  CHECK_EQUAL(9, state.Document().number());
}

TEST(ClusterState, CompletedMoveChangesVersionInForce)
{
  SetVersion("v1");
  SetVersion("v9"); // Already known; has no effect.
  const proto::Move move = RequestMove("v2", 1000);
  STRCMP_EQUAL("v1", move.former().c_str());
  Settle(move.number(), proto::SHIFTED);
  STRCMP_EQUAL("v1", state.Versions().at("s").c_str());
  Settle(move.number(), proto::COMPLETED);
  STRCMP_EQUAL("v2", state.Versions().at("s").c_str());
  Settle(move.number(), proto::ROLLED_BACK); // The move is already completed.
  STRCMP_EQUAL("v2", state.Versions().at("s").c_str());
}

TEST(ClusterState, DuplicateMoveRequestStartsNoNewMove)
{
  SetVersion("v1");
  const proto::Move first = RequestMove("v2", 1000);
  CHECK_EQUAL(first.number(), RequestMove("v2", 3000).number());
  Settle(first.number(), proto::ROLLED_BACK);
  CHECK_EQUAL(first.number(), RequestMove("v2", 4000).number());
  CHECK(RequestMove("v2", 60'000).number() > first.number()); // A new request, not a duplicate.
}

TEST(ClusterState, IgnoresSettleOfEarlierMove)
{
  SetVersion("v1");
  const proto::Move first = RequestMove("v2", 1000);
  Settle(first.number(), proto::ROLLED_BACK);
  RequestMove("v3", 60'000);
  Settle(first.number(), proto::COMPLETED);
  STRCMP_EQUAL("v1", state.Versions().at("s").c_str());
  CHECK_EQUAL(proto::CANARY, state.Moves().at("s").phase());
}

TEST(ClusterState, SnapshotRestoresCompleteState)
{
  SetVersion("v1");
  PutDocument(4, "text");
  RequestMove("v2", 1000);
  proto::Command command;
  command.mutable_leave()->set_upstream("u");
  command.mutable_leave()->set_incarnation(7);
  Apply(command);
  ClusterState copy;
  copy.Restore(state.Snapshot());
  STRCMP_EQUAL("text", copy.Document().text().c_str());
  STRCMP_EQUAL("v2", copy.Moves().at("s").target().c_str());
  STRCMP_EQUAL("v1", copy.Versions().at("s").c_str());
  CHECK_EQUAL(7, copy.Leaves().at("u").incarnation());
  CHECK_EQUAL(state.LastChangeIndex(), copy.LastChangeIndex());
  CHECK(state.Snapshot() == copy.Snapshot());
}

TEST(ClusterState, SnapshotRestoresKnownUpstreams)
{
  proto::Command command;
  command.mutable_known()->add_upstreams()->set_id("u");
  Apply(command);
  ClusterState copy;
  copy.Restore(state.Snapshot());
  CHECK_EQUAL(1, copy.KnownUpstreams().upstreams_size());
}

/// Guards against a lost record of quota usage: if all hosts lose power at once, they forget it.
TEST(ClusterState, SnapshotRestoresQuotaRecord)
{
  proto::Command command;
  command.mutable_quota()->set_at_ms(5'000);
  proto::Demand* use = command.mutable_quota()->add_uses();
  use->set_workspace("w");
  use->set_used(1'234);
  Apply(command);
  ClusterState copy;
  copy.Restore(state.Snapshot());
  CHECK_EQUAL(5'000, copy.QuotaRecord().at_ms());
  DOUBLES_EQUAL(1'234, copy.QuotaRecord().uses(0).used(), 1e-9);
}

TEST(ClusterState, IgnoresUnreadableCommand)
{
  PutDocument(4, "text");
  state.Apply(core::LogIndex(99), "\xff\xff\xff");
  CHECK_EQUAL(4, state.Document().number());
}

/// Guards against a quarantine that is lost when all hosts lose power.
TEST(ClusterState, QuarantineSurvivesASnapshot)
{
  int changes = 0;
  state.OnQuarantineChanged().connect([&] { ++changes; });
  for (const char* it : { "u1", "u2", "u3" }) {
    proto::Command command;
    command.mutable_crashes()->set_at_ms(1000);
    proto::CrashReport* crash = command.mutable_crashes()->add_crashes();
    crash->set_service("s");
    crash->set_upstream(it);
    crash->set_incarnation(7);
    for (const char* part : { "common", "fatal" }) {
      proto::SuspectPart* suspect = crash->add_parts();
      suspect->set_part(part);
      suspect->set_was_suspected(true);
    }
    Apply(command);
    Apply(command); // Repeated by another control host.
  }
  CHECK_EQUAL(3, changes);
  proto::Command started;
  started.mutable_crashes()->set_at_ms(1000);
  started.mutable_crashes()->add_started()->set_service("s");
  started.mutable_crashes()->mutable_started(0)->set_part("common");
  Apply(started);
  ClusterState restored;
  restored.Restore(state.Snapshot());
  const proto::Quarantine quarantine = restored.Quarantine();
  STRCMP_EQUAL(state.Quarantine().SerializeAsString().c_str(),
               quarantine.SerializeAsString().c_str());
  CHECK_EQUAL(1, quarantine.groups_size());
  CHECK_EQUAL(1, quarantine.groups(0).parts_size());
  STRCMP_EQUAL("fatal", quarantine.groups(0).parts(0).c_str());
  CHECK_EQUAL(state.QuarantineRevision(), restored.QuarantineRevision());
}

TEST(ClusterState, EarlierStartOfASuspectSurvivesASnapshot)
{
  proto::Command command;
  proto::CrashEvidence* evidence = command.mutable_crashes();
  for (const char* it : { "u1", "u2", "u3", "u4" }) {
    proto::CrashReport* crash = evidence->add_crashes();
    crash->set_service("s");
    crash->set_upstream(it);
    proto::SuspectPart* suspect = crash->add_parts();
    suspect->set_part("common");
    suspect->set_was_suspected(true);
  }
  Apply(command);
  CHECK_EQUAL(1, state.Quarantine().groups_size());
  CHECK_EQUAL(1, state.Quarantine().suspects_without_start_size());
  evidence->clear_crashes();
  *evidence->add_started_before() = state.Quarantine().suspects_without_start(0);
  Apply(command);
  ClusterState restored;
  restored.Restore(state.Snapshot());
  for (const ClusterState* it : { &state, &restored }) {
    CHECK_EQUAL(0, it->Quarantine().groups_size());
    CHECK_EQUAL(0, it->Quarantine().suspects_without_start_size());
    CHECK_EQUAL(1, it->Quarantine().suspects_size());
  }
}

TEST(ClusterState, QuarantineEndsByTheWallClock)
{
  proto::Command command;
  command.mutable_crashes()->set_at_ms(1000);
  proto::CrashReport* crash = command.mutable_crashes()->add_crashes();
  crash->set_upstream("u");
  crash->add_parts()->set_part("rare");
  Apply(command);
  CHECK_EQUAL(1, state.Quarantine().suspects_size());
  command.mutable_crashes()->clear_crashes();
  command.mutable_crashes()->set_at_ms(3'600'000);
  Apply(command);
  CHECK_EQUAL(0, state.Quarantine().suspects_size());
}

TEST_GROUP(ClusterStateEvacuation)
{
  ClusterState state;
  std::uint64_t index = 0;

  /// Applies an order; returns the state of the data centre after it.
  proto::Evacuation Order(bool aActive, std::uint64_t aBase, const std::string& aDataCentre = "d")
  {
    proto::Command command;
    command.mutable_evacuation()->set_data_centre(aDataCentre);
    command.mutable_evacuation()->set_active(aActive);
    command.mutable_evacuation()->set_base_revision(aBase);
    proto::QueryAnswer answer;
    answer.ParseFromString(state.Apply(core::LogIndex(++index), command.SerializeAsString()));
    return answer.evacuation();
  }

  static proto::Evacuation Read(const ClusterState& aState, const std::string& aDataCentre = "d")
  {
    proto::Query query;
    query.set_evacuation_of(aDataCentre);
    proto::QueryAnswer answer;
    answer.ParseFromString(aState.Query(query.SerializeAsString()));
    CHECK(answer.has_evacuation());
    return answer.evacuation();
  }
};

/// Guards against a delayed order that undoes the one that was acknowledged after it.
TEST(ClusterStateEvacuation, DelayedOrderDoesNotUndoALaterOne)
{
  const std::uint64_t before = Read(state).revision();
  const proto::Evacuation ordered = Order(true, before);
  CHECK(ordered.active());
  CHECK_EQUAL(index, ordered.revision());
  const proto::Evacuation revoked = Order(false, ordered.revision());
  CHECK_FALSE(revoked.active());
  // Copies of the order that were sent to other control hosts before it was revoked.
  CHECK_FALSE(Order(true, before).active());
  CHECK_FALSE(Order(true, ordered.revision()).active());
  CHECK_EQUAL(revoked.revision(), Read(state).revision());
  CHECK_EQUAL(revoked.revision(), state.LastChangeIndex());
  CHECK(Order(true, revoked.revision()).active()); // A new one, which has read the revocation.
}

TEST(ClusterStateEvacuation, RepeatedOrderChangesNothing)
{
  CHECK_FALSE(Order(false, 7).active());
  CHECK_EQUAL(0, state.LastChangeIndex());
  const std::uint64_t revision = Order(true, 0).revision();
  for (const std::uint64_t base : { std::uint64_t(0), revision, std::uint64_t(99) }) {
    const proto::Evacuation repeated = Order(true, base);
    CHECK(repeated.active());
    CHECK_EQUAL(revision, repeated.revision());
  }
  CHECK_EQUAL(revision, state.LastChangeIndex());
  CHECK_FALSE(Read(state, "other").active());
}

/// Guards against an evacuation that is lost, or an ended one that a delayed order brings back,
/// when a control host restarts from a snapshot.
TEST(ClusterStateEvacuation, SnapshotKeepsEvacuationsAndTheirRevisions)
{
  const std::uint64_t ordered = Order(true, 0).revision();
  Order(true, 0, "ended");
  Order(false, Read(state, "ended").revision(), "ended");
  ClusterState copy;
  Order(true, 0, "late");
  copy.Restore(state.Snapshot());
  CHECK(copy.Snapshot() == state.Snapshot());
  CHECK(Read(copy).active());
  CHECK_EQUAL(ordered, Read(copy).revision());
  CHECK_FALSE(Read(copy, "ended").active());
  CHECK_EQUAL(Read(state, "ended").revision(), Read(copy, "ended").revision());
  CHECK_EQUAL(state.LastChangeIndex(), copy.LastChangeIndex());
  copy.Restore(ClusterState().Snapshot());
  CHECK_FALSE(Read(copy).active());
}
