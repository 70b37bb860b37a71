#include "cuminfield/process/cluster/ControlRequestTracker.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace std::chrono_literals;
using process::cluster::ControlRequestTracker;

TEST_GROUP(ControlRequestTracker)
{
  ControlRequestTracker tracker{ { .slowThreshold = 500ms, .reportInterval = 1s } };
  core::Instant now{ 100s };

  ControlRequestTracker::Request MakeDocumentRequest(const char* aNumber) const
  {
    return { .kind = "document", .name = aNumber, .bytes = 10, .receivedAt = now };
  }
};

TEST(ControlRequestTracker, DoesNotReportFastResponse)
{
  const auto number = tracker.Begin(MakeDocumentRequest("7"));
  now += 400ms;
  CHECK_FALSE(tracker.TakeReport(now).has_value());
  STRCMP_EQUAL("7", tracker.End(number).name.c_str());
  now += 10s;
  CHECK_FALSE(tracker.TakeReport(now).has_value());
}

TEST(ControlRequestTracker, ReportsOldestRequestOncePerInterval)
{
  const auto first = tracker.Begin(MakeDocumentRequest("7"));
  now += 300ms;
  tracker.Begin(MakeDocumentRequest("8"));
  now += 300ms;
  const auto report = tracker.TakeReport(now);
  CHECK(report.has_value());
  STRCMP_EQUAL("7", report->oldest.name.c_str());
  CHECK_EQUAL(2, report->pending);
  CHECK(report->oldestWait == 600ms);
  now += 900ms;
  CHECK_FALSE(tracker.TakeReport(now).has_value());
  tracker.End(first);
  now += 200ms;
  STRCMP_EQUAL("8", tracker.TakeReport(now)->oldest.name.c_str());
}
