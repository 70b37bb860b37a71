#include "cuminfield/process/cluster/CrashEvidenceCollector.h"

#include "cuminfield/process/cluster/ClusterState.h"
#include "cuminfield/process/cluster/CrashMessages.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::process::cluster;

TEST_GROUP(CrashEvidenceCollector)
{
  CrashEvidenceCollector collector;
  FollowerTable::Follower follower;
  request::quarantine::CrashAttribution crashes;

  void AddCrash(std::uint64_t aSequence)
  {
    proto::CrashReport* it = follower.report.add_crashes();
    it->set_sequence(aSequence);
    it->set_service("s");
    it->set_upstream("u" + std::to_string(aSequence));
    it->add_parts()->set_part("fatal");
  }

  void Collect()
  {
    collector.Collect(follower, crashes);
  }
};

TEST(CrashEvidenceCollector, EachReportIsTakenOnce)
{
  AddCrash(1);
  Collect();
  AddCrash(2); // The host repeats the first, which it does not know to be received yet.
  Collect();
  Collect();
  CHECK_EQUAL(2, follower.crashesReceived);
  const auto batch = collector.TakeBatch();
  CHECK(batch.has_value());
  CHECK_EQUAL(2, batch->crashes_size());
  STRCMP_EQUAL("u1", batch->crashes(0).upstream().c_str());
}

/// Guards against one caller that makes all reports of its host unreadable.
TEST(CrashEvidenceCollector, PartOfAnyBytesLeavesReportsReadable)
{
  follower.report.add_crashes()->set_sequence(1);
  follower.report.mutable_crashes(0)->add_parts()->set_part("\xff\xfe");
  follower.report.add_started()->set_part("\xff");
  proto::Report received;
  CHECK(received.ParseFromString(follower.report.SerializeAsString()));
  CHECK(received.crashes(0).parts(0).part() == "\xff\xfe");
  ClusterState state;
  proto::Command command;
  command.mutable_crashes()->add_crashes()->CopyFrom(received.crashes(0));
  state.Apply(core::LogIndex(1), command.SerializeAsString());
  ClusterState restored;
  restored.Restore(state.Snapshot());
  CHECK_EQUAL(1, restored.Quarantine().suspects_size());
}

TEST(CrashEvidenceCollector, OneBatchIsProposedAtATime)
{
  CHECK_FALSE(collector.TakeBatch().has_value());
  AddCrash(1);
  Collect();
  CHECK(collector.TakeBatch().has_value());
  AddCrash(2);
  Collect();
  CHECK_FALSE(collector.TakeBatch().has_value());
  collector.OnProposed(true);
  CHECK_EQUAL(1, collector.TakeBatch()->crashes_size());
}

/// Guards against evidence that is lost while the control hosts have no leader.
TEST(CrashEvidenceCollector, BatchThatWasNotCommittedIsProposedAgain)
{
  AddCrash(1);
  crashes.RecordCrash({ .crash = { .service = core::ServiceId("s"),
                                   .upstream = core::UpstreamId("u"),
                                   .incarnation = core::Incarnation(1) },
                        .parts = { { .part = core::PromptPartId("common") } } },
                      0);
  proto::ServicePart* started = follower.report.add_started();
  started->set_service("s");
  started->set_part("common");
  Collect();
  collector.TakeBatch();
  collector.OnProposed(false);
  AddCrash(2);
  Collect();
  const auto batch = collector.TakeBatch();
  CHECK_EQUAL(2, batch->crashes_size());
  CHECK_EQUAL(1, batch->started_size());
}

TEST(CrashEvidenceCollector, EarlierStartIsProposedUntilItIsKnown)
{
  request::quarantine::CrashReport crash{ .crash = { .service = core::ServiceId("s"),
                                                     .upstream = core::UpstreamId("u"),
                                                     .incarnation = core::Incarnation(1) },
                                          .parts = { { .part = core::PromptPartId("common") } } };
  const request::quarantine::ServicePart common{ crash.crash.service, crash.parts[0].part };
  *follower.report.add_started_before() = ToProto(common);
  Collect();
  CHECK_FALSE(collector.TakeBatch().has_value()); // Not suspected.
  crashes.RecordCrash(crash, 0);
  Collect();
  CHECK_EQUAL(1, collector.TakeBatch()->started_before_size());
  collector.OnProposed(false);
  CHECK_EQUAL(1, collector.TakeBatch()->started_before_size());
  crashes.RecordEarlierStart(common);
  collector.OnProposed(true);
  Collect();
  CHECK_FALSE(collector.TakeBatch().has_value());
}

TEST(CrashEvidenceCollector, StartOfAPartThatIsNotSuspectedIsNoEvidence)
{
  proto::ServicePart* started = follower.report.add_started();
  started->set_service("s");
  started->set_part("common");
  Collect();
  CHECK_FALSE(collector.TakeBatch().has_value());
}
