#include "cuminfield/version/moves/MoveMessages.h"
#include "cuminfield/version/moves/ObservationRecorder.h"
#include "cuminfield/version/moves/ReportDeltaTracker.h"

#include <rapidcheck.h>

// Must be included last: its macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield::version::moves;
using cuminfield::core::DataCentreId;
using cuminfield::core::HostId;
using cuminfield::core::Incarnation;
using cuminfield::core::MoveId;
using cuminfield::core::RouteId;
using cuminfield::core::ServiceId;
using cuminfield::core::VersionId;
using cuminfield::request::AttemptOutcome;

namespace {

ObservationRecorder MakeRecorder(std::uint64_t aIncarnation)
{
  return ObservationRecorder(HostId("h1"), DataCentreId("gent-a"), Incarnation(aIncarnation));
}

RequestSample MakeSample(const char* aVersion, AttemptOutcome aOutcome)
{
  return { .service = ServiceId("taxateur"),
           .version = VersionId(aVersion),
           .route = RouteId("quote"),
           .outcome = aOutcome,
           .firstToken = 100ms,
           .predictedFirstToken = 50ms,
           .tokenGap = 20ms };
}

std::uint64_t CountRequests(const std::vector<Observation>& aObservations)
{
  std::uint64_t sum = 0;
  for (const Observation& it : aObservations) {
    sum += it.RequestCount();
  }
  return sum;
}

} // namespace

TEST_GROUP(Observation){};

TEST(Observation, CountsOnlyOutcomesThatDependOnTheVersion)
{
  ObservationRecorder recorder = MakeRecorder(1);
  recorder.Record(MakeSample("v1", AttemptOutcome::Succeeded));
  recorder.Record(MakeSample("v1", AttemptOutcome::Failed));
  recorder.Record(MakeSample("v1", AttemptOutcome::Refused));
  recorder.Record(MakeSample("v1", AttemptOutcome::RejectedInput));
  recorder.Record(MakeSample("v1", AttemptOutcome::Cancelled));
  const ObservationReport report = recorder.NextReport();
  LONGS_EQUAL(1, report.totals.size());
  LONGS_EQUAL(1, report.totals[0].succeeded);
  LONGS_EQUAL(1, report.totals[0].failed);
  LONGS_EQUAL(1, report.totals[0].firstToken[LatencyClass(2 * kReferenceFirstToken)]);
}

TEST(Observation, SlowdownByHalfChangesTheLatencyClass)
{
  for (const auto bound : kLatencyBounds) {
    if (bound <= 720ms) {
      CHECK(LatencyClass(bound + 1us) > LatencyClass(bound * 2 / 3));
    }
  }
}

TEST(Observation, DeltaCoversTheTimeSinceTheLastOne)
{
  ObservationRecorder recorder = MakeRecorder(1);
  recorder.Record(MakeSample("v1", AttemptOutcome::Succeeded));
  LONGS_EQUAL(1, CountRequests(recorder.TakeDelta()));
  recorder.Record(MakeSample("v1", AttemptOutcome::Failed));
  recorder.Record(MakeSample("v2", AttemptOutcome::Failed));
  LONGS_EQUAL(2, CountRequests(recorder.TakeDelta()));
  LONGS_EQUAL(0, CountRequests(recorder.TakeDelta()));
}

TEST(Observation, LostDuplicateAndReorderedReportsAreCountedOnce)
{
  rc::check([] {
    ObservationRecorder recorder = MakeRecorder(1);
    ReportDeltaTracker tracker;
    std::uint64_t recorded = 0;
    std::uint64_t counted = CountRequests(tracker.AddReport(recorder.NextReport()));
    std::vector<ObservationReport> sent;
    const int rounds = *rc::gen::inRange(1, 20);
    for (int round = 0; round < rounds; ++round) {
      const int requests = *rc::gen::inRange(0, 5);
      for (int it = 0; it < requests; ++it) {
        recorder.Record(MakeSample(it % 2 ? "v1" : "v2", AttemptOutcome::Succeeded));
      }
      recorded += requests;
      sent.push_back(recorder.NextReport());
      // Any report sent so far may arrive now, arrive again or never arrive.
      counted +=
        CountRequests(tracker.AddReport(sent[*rc::gen::inRange<std::size_t>(0, sent.size())]));
      RC_ASSERT(counted <= recorded);
    }
    counted += CountRequests(tracker.AddReport(sent.back()));
    RC_ASSERT(counted == recorded);
  });
}

TEST(Observation, RestartResetsTheCounters)
{
  ReportDeltaTracker tracker;
  ObservationRecorder first = MakeRecorder(1);
  tracker.AddReport(first.NextReport());
  first.Record(MakeSample("v1", AttemptOutcome::Succeeded));
  const ObservationReport late = first.NextReport();
  ObservationRecorder second = MakeRecorder(2);
  second.Record(MakeSample("v1", AttemptOutcome::Succeeded));
  LONGS_EQUAL(1, CountRequests(tracker.AddReport(second.NextReport())));
  LONGS_EQUAL(0, CountRequests(tracker.AddReport(late)));
}

TEST(Observation, LateTrackerUsesTheFirstReportAsStartingPoint)
{
  ObservationRecorder recorder = MakeRecorder(1);
  recorder.Record(MakeSample("v1", AttemptOutcome::Succeeded));
  recorder.NextReport();
  ReportDeltaTracker tracker;
  LONGS_EQUAL(0, CountRequests(tracker.AddReport(recorder.NextReport())));
  recorder.Record(MakeSample("v1", AttemptOutcome::Succeeded));
  LONGS_EQUAL(1, CountRequests(tracker.AddReport(recorder.NextReport())));
}

TEST(Observation, ReportEncodingRoundTrips)
{
  ObservationRecorder recorder = MakeRecorder(7);
  recorder.Record(MakeSample("v1", AttemptOutcome::Succeeded));
  recorder.RecordTrip(MoveId("m1"));
  const ObservationReport report = recorder.NextReport();
  const auto decoded = DecodeReport(Encode(report));
  CHECK(decoded.has_value());
  CHECK(decoded.value().host == report.host);
  CHECK(decoded.value().incarnation == report.incarnation);
  LONGS_EQUAL(1, decoded.value().sequence);
  CHECK(decoded.value().trippedMoves == report.trippedMoves);
  CHECK(decoded.value().totals[0].HasSameKey(report.totals[0]));
  CHECK(decoded.value().totals[0].firstToken == report.totals[0].firstToken);
}

TEST(Observation, RejectsInvalidBytes)
{
  CHECK(!DecodeReport("no report").has_value());
  CHECK(!DecodeMoveState("").has_value());
}

TEST(Observation, MoveStateEncodingRoundTrips)
{
  MoveState state;
  state.move = MoveId("m1");
  state.phase = MovePhase::Advancing;
  state.step = 2;
  state.share = 0.25;
  state.revision = 9;
  state.incarnation = 1;
  state.canaryStart = cuminfield::core::WallTime(5s);
  state.evaluatedRequests = 400;
  state.reason = "on plan";
  CHECK(DecodeMoveState(Encode(state)).value() == state);
}
