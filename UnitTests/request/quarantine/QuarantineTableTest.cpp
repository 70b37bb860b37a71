#include "cuminfield/request/quarantine/QuarantineTable.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::quarantine;
using namespace std::chrono_literals;

TEST_GROUP(QuarantineTable)
{
  QuarantineTable table;
  core::Instant now{ 100s };

  static RequestSpec MakeSpec(const std::vector<std::string>& aParts)
  {
    RequestSpec spec;
    spec.service = core::ServiceId("s");
    for (const std::string& it : aParts) {
      spec.sharedParts.emplace_back(it);
    }
    spec.ownPart = core::PromptPartId("own");
    return spec;
  }

  static Crash MakeCrash()
  {
    return { .service = core::ServiceId("s"),
             .upstream = core::UpstreamId("u"),
             .incarnation = core::Incarnation(1) };
  }

  /// A request breaks off at an upstream that then accepts no connections.
  void RecordCrash(const RequestSpec& aSpec, const Crash& aCrash, core::Instant aSentAt)
  {
    table.RecordBreakOff(aSpec, aCrash, aSentAt);
    table.RecordCheck(aCrash, false);
  }

  bool Update(std::uint64_t aRevision, const std::vector<std::string>& aSuspects,
              std::vector<PartGroup> aQuarantined = {})
  {
    QuarantineTable::State state{ .revision = aRevision,
                                  .suspects = {},
                                  .quarantined = std::move(aQuarantined) };
    for (const std::string& it : aSuspects) {
      state.suspects.emplace_back(core::ServiceId("s"), core::PromptPartId(it));
    }
    return table.Update(std::move(state), now);
  }
};

TEST(QuarantineTable, RequestWithAllPartsOfAGroupIsQuarantined)
{
  Update(1, {},
         { { core::PromptPartId("a"), core::PromptPartId("b") }, { core::PromptPartId("c") } });
  CHECK(table.IsQuarantined(MakeSpec({ "b", "x", "a" })));
  CHECK(table.IsQuarantined(MakeSpec({ "c" })));
  CHECK_FALSE(table.IsQuarantined(MakeSpec({ "a", "x" })));
  CHECK_FALSE(table.IsQuarantined(MakeSpec({})));
  RequestSpec resumed = MakeSpec({ "c" });
  resumed.resumed = true;
  CHECK_FALSE(table.IsQuarantined(resumed));
}

TEST(QuarantineTable, OlderStateIsIgnored)
{
  CHECK(Update(5, {}, { { core::PromptPartId("c") } }));
  CHECK_FALSE(Update(4, {}));
  CHECK_FALSE(Update(5, {}));
  CHECK(table.IsQuarantined(MakeSpec({ "c" })));
}

TEST(QuarantineTable, ReportIsKeptUntilItIsAcknowledged)
{
  int announced = 0;
  table.OnCrashRecorded().connect([&] { ++announced; });
  RecordCrash(MakeSpec({ "a" }), MakeCrash(), now);
  RecordCrash(MakeSpec({ "b" }), MakeCrash(), now);
  CHECK_EQUAL(2, announced);
  CHECK_EQUAL(2, table.PendingReports().size());
  table.Acknowledge(1);
  CHECK_EQUAL(1, table.PendingReports().size());
  STRCMP_EQUAL("b", table.PendingReports()[0].report.parts[0].part.Text().c_str());
  table.Acknowledge(1);
  CHECK_EQUAL(1, table.PendingReports().size());
}

TEST(QuarantineTable, OnlyRequestsSentAfterSeveralCrashesCountAsSuspected)
{
  QuarantineTable::State state{ .revision = 1, .suspects = {}, .quarantined = {} };
  state.repeatSuspects.emplace_back(core::ServiceId("s"), core::PromptPartId("a"));
  state.suspects = { state.repeatSuspects.front(),
                     { core::ServiceId("s"), core::PromptPartId("b") } };
  table.Update(state, now);
  state.revision = 2;
  table.Update(state, now + 1h); // It is known no later for being said again.
  RecordCrash(MakeSpec({ "a", "b" }), MakeCrash(), now - 1ms);
  RecordCrash(MakeSpec({ "a", "b" }), MakeCrash(), now + 1ms);
  const auto& reports = table.PendingReports();
  CHECK_FALSE(reports[0].report.parts[0].wasSuspected);
  CHECK(reports[1].report.parts[0].wasSuspected);
  CHECK_FALSE(reports[1].report.parts[1].wasSuspected);
}

TEST(QuarantineTable, StartsOfSuspectsAreReportedUntilTheyAreCleared)
{
  table.RecordStart(MakeSpec({ "a" }));
  CHECK(table.Started().empty());
  Update(1, { "a", "b" });
  table.RecordStart(MakeSpec({ "a", "x" }));
  table.RecordStart(MakeSpec({ "a" }));
  CHECK_EQUAL(1, table.Started().size());
  Update(2, { "b" });
  CHECK(table.Started().empty());
}

TEST(QuarantineTable, PromptWithoutSharedPartsIsNotReported)
{
  RecordCrash(MakeSpec({}), MakeCrash(), now);
  CHECK(table.PendingReports().empty());
}

TEST(QuarantineTable, PendingReportsAreBounded)
{
  for (int n = 0; n < 1000; ++n) {
    RecordCrash(MakeSpec({ "a" }), MakeCrash(), now);
  }
  CHECK_EQUAL(64, table.PendingReports().size());
  CHECK_EQUAL(1000, table.PendingReports().back().sequence);
}

/// Guards against sound parts that are quarantined because upstreams reset single requests (LOST).
TEST(QuarantineTable, BreakOffAtAReachableUpstreamIsNoCrash)
{
  std::vector<Crash> checked;
  table.OnBreakOff().connect([&](const Crash& aCrash) { checked.push_back(aCrash); });
  Crash other = MakeCrash();
  other.upstream = core::UpstreamId("v");
  table.RecordBreakOff(MakeSpec({ "a" }), MakeCrash(), now);
  table.RecordBreakOff(MakeSpec({ "b" }), MakeCrash(), now);
  table.RecordBreakOff(MakeSpec({ "c" }), other, now);
  CHECK_EQUAL(2, checked.size()); // One check for all requests of a crash.
  CHECK(table.PendingReports().empty());
  table.RecordCheck(MakeCrash(), true);
  CHECK(table.PendingReports().empty());
  table.RecordCheck(other, false);
  CHECK_EQUAL(1, table.PendingReports().size());
  CHECK(table.PendingReports()[0].report.crash == other);
  table.RecordBreakOff(MakeSpec({ "a" }), MakeCrash(), now);
  CHECK_EQUAL(3, checked.size());
}

TEST(QuarantineTable, EarlierStartsOfSuspectsAreReported)
{
  table.RecordStart(MakeSpec({ "a", "b" }));
  QuarantineTable::State state{ .revision = 1, .suspects = {}, .quarantined = {} };
  for (const char* it : { "a", "never begun" }) {
    state.suspectsWithoutStart.emplace_back(core::ServiceId("s"), core::PromptPartId(it));
    state.suspects.push_back(state.suspectsWithoutStart.back());
  }
  table.Update(state, now);
  CHECK(table.StartedBefore() == std::set{ state.suspects.front() });
  CHECK(table.Started().empty());
  Update(2, { "a" });
  CHECK(table.StartedBefore().empty());
}
