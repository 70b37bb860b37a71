#include "cuminfield/process/peer/StreamStatistics.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield;
using namespace cuminfield::process::peer;

TEST_GROUP(StreamStatistics)
{
  core::Instant now{ 1000s };
  StreamStatistics statistics;

  /// Report that is due a second later.
  std::optional<StreamStatistics::Report> NextReport()
  {
    now += 1s;
    return statistics.TakeReport(now);
  }
};

TEST(StreamStatistics, QuickStreamsAreNotReported)
{
  statistics.OnOpened(100ms);
  statistics.OnUrgentSent(20ms);
  CHECK_FALSE(NextReport().has_value());
  LONGS_EQUAL(1, statistics.OpenedCount());
}

TEST(StreamStatistics, StreamsThatNeverOpenedAreReported)
{
  statistics.OnOpened(100ms);
  statistics.OnGivenUp();
  statistics.OnGivenUp();
  const auto report = NextReport();
  CHECK(report.has_value());
  LONGS_EQUAL(1, report->opened);
  LONGS_EQUAL(2, report->givenUp);
  LONGS_EQUAL(2, statistics.GivenUpCount());
  CHECK_FALSE(NextReport().has_value());
}

TEST(StreamStatistics, SlowStreamsAndLateUrgentMessagesAreReported)
{
  statistics.OnOpened(700ms);
  statistics.OnOpened(300ms);
  const auto slow = NextReport();
  CHECK(slow.has_value());
  CHECK(slow->longestOpening == 700ms);
  statistics.OnUrgentSent(600ms);
  const auto late = NextReport();
  CHECK(late.has_value());
  CHECK(late->longestUrgentWait == 600ms);
}

/// Load pattern: hundreds of streams are given up each second.
TEST(StreamStatistics, ReportsAreLimitedInRate)
{
  int reports = 0;
  for (int n = 0; n < 1000; ++n) {
    statistics.OnGivenUp();
    now += 10ms;
    reports += statistics.TakeReport(now) ? 1 : 0;
  }
  LONGS_EQUAL(10, reports);
}
