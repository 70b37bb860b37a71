#include "cuminfield/version/moves/MoveMessages.h"
#include "cuminfield/version/moves/ObservationRecorder.h"
#include "cuminfield/version/moves/ReportDeltaTracker.h"

#include <rapidcheck.h>

// Last: its macros redefine new.
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

ObservationRecorder MakeLog(std::uint64_t aIncarnation)
{
  return ObservationRecorder(HostId("h1"), DataCentreId("gent-a"), Incarnation(aIncarnation));
}

RequestSample MakeSample(const char* aVersion, TryOutcome aOutcome)
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

TEST(Observation, CountsOnlyWhatSpeaksOfTheVersion)
{
  ObservationRecorder log = MakeLog(1);
  log.Record(MakeSample("v1", TryOutcome::Succeeded));
  log.Record(MakeSample("v1", TryOutcome::Failed));
  log.Record(MakeSample("v1", TryOutcome::Refused));
  log.Record(MakeSample("v1", TryOutcome::RejectedInput));
  log.Record(MakeSample("v1", TryOutcome::Cancelled));
  const ObservationReport report = log.NextReport();
  LONGS_EQUAL(1, report.totals.size());
  LONGS_EQUAL(1, report.totals[0].succeeded);
  LONGS_EQUAL(1, report.totals[0].failed);
  LONGS_EQUAL(1, report.totals[0].firstToken[LatencyClass(2 * kReferenceFirstToken)]);
}

TEST(Observation, SlowdownByHalfMovesAClass)
{
  for (const auto bound : kLatencyBounds) {
    if (bound <= 720ms) {
      CHECK(LatencyClass(bound + 1us) > LatencyClass(bound * 2 / 3));
    }
  }
}

TEST(Observation, DeltaHoldsWhatCameSince)
{
  ObservationRecorder log = MakeLog(1);
  log.Record(MakeSample("v1", TryOutcome::Succeeded));
  LONGS_EQUAL(1, CountRequests(log.TakeDelta()));
  log.Record(MakeSample("v1", TryOutcome::Failed));
  log.Record(MakeSample("v2", TryOutcome::Failed));
  LONGS_EQUAL(2, CountRequests(log.TakeDelta()));
  LONGS_EQUAL(0, CountRequests(log.TakeDelta()));
}

TEST(Observation, LostDoubledAndReorderedReportsCountOnce)
{
  rc::check([] {
    ObservationRecorder log = MakeLog(1);
    ReportDeltaTracker book;
    std::uint64_t recorded = 0;
    std::uint64_t taken = CountRequests(book.AddReport(log.NextReport()));
    std::vector<ObservationReport> sent;
    const int rounds = *rc::gen::inRange(1, 20);
    for (int round = 0; round < rounds; ++round) {
      const int requests = *rc::gen::inRange(0, 5);
      for (int it = 0; it < requests; ++it) {
        log.Record(MakeSample(it % 2 ? "v1" : "v2", TryOutcome::Succeeded));
      }
      recorded += requests;
      sent.push_back(log.NextReport());
      // Any report sent so far may come now, again or never.
      taken += CountRequests(book.AddReport(sent[*rc::gen::inRange<std::size_t>(0, sent.size())]));
      RC_ASSERT(taken <= recorded);
    }
    taken += CountRequests(book.AddReport(sent.back()));
    RC_ASSERT(taken == recorded);
  });
}

TEST(Observation, RestartedHostStartsOver)
{
  ReportDeltaTracker book;
  ObservationRecorder first = MakeLog(1);
  book.AddReport(first.NextReport());
  first.Record(MakeSample("v1", TryOutcome::Succeeded));
  const ObservationReport late = first.NextReport();
  ObservationRecorder second = MakeLog(2);
  second.Record(MakeSample("v1", TryOutcome::Succeeded));
  LONGS_EQUAL(1, CountRequests(book.AddReport(second.NextReport())));
  LONGS_EQUAL(0, CountRequests(book.AddReport(late)));
}

TEST(Observation, ABookBegunLateTakesTheFirstReportAsStartingPoint)
{
  ObservationRecorder log = MakeLog(1);
  log.Record(MakeSample("v1", TryOutcome::Succeeded));
  log.NextReport();
  ReportDeltaTracker book;
  LONGS_EQUAL(0, CountRequests(book.AddReport(log.NextReport())));
  log.Record(MakeSample("v1", TryOutcome::Succeeded));
  LONGS_EQUAL(1, CountRequests(book.AddReport(log.NextReport())));
}

TEST(Observation, ReportSurvivesItsEncoding)
{
  ObservationRecorder log = MakeLog(7);
  log.Record(MakeSample("v1", TryOutcome::Succeeded));
  log.RecordTrip(MoveId("m1"));
  const ObservationReport report = log.NextReport();
  const auto decoded = DecodeReport(Encode(report));
  CHECK(decoded.has_value());
  CHECK(decoded.value().host == report.host);
  CHECK(decoded.value().incarnation == report.incarnation);
  LONGS_EQUAL(1, decoded.value().sequence);
  CHECK(decoded.value().trippedMoves == report.trippedMoves);
  CHECK(decoded.value().totals[0].HasSameKey(report.totals[0]));
  CHECK(decoded.value().totals[0].firstToken == report.totals[0].firstToken);
}

TEST(Observation, BrokenBytesAreRefused)
{
  CHECK(!DecodeReport("no report").has_value());
  CHECK(!DecodeMoveState("").has_value());
}

TEST(Observation, MoveStateSurvivesItsEncoding)
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
