#include "cuminfield/process/cluster/ControlRequestTracker.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace std::chrono_literals;
using process::cluster::ControlRequestTracker;

TEST_GROUP(ControlRequestTracker)
{
  ControlRequestTracker watch{ { .slowThreshold = 500ms, .reportInterval = 1s } };
  core::Instant now{ 100s };

  ControlRequestTracker::Request Document(const char* aNumber) const
  {
    return { .kind = "document", .name = aNumber, .bytes = 10, .receivedAt = now };
  }
};

TEST(ControlRequestTracker, AnOrderThatIsAnsweredAtOnceIsNotReported)
{
  const auto number = watch.Begin(Document("7"));
  now += 400ms;
  CHECK_FALSE(watch.TakeReport(now).has_value());
  STRCMP_EQUAL("7", watch.End(number).name.c_str());
  now += 10s;
  CHECK_FALSE(watch.TakeReport(now).has_value());
}

TEST(ControlRequestTracker, TheOldestOrderThatWaitsIsReportedOnceAPeriod)
{
  const auto first = watch.Begin(Document("7"));
  now += 300ms;
  watch.Begin(Document("8"));
  now += 300ms;
  const auto report = watch.TakeReport(now);
  CHECK(report.has_value());
  STRCMP_EQUAL("7", report->oldest.name.c_str());
  CHECK_EQUAL(2, report->pending);
  CHECK(report->oldestWait == 600ms);
  now += 900ms;
  CHECK_FALSE(watch.TakeReport(now).has_value());
  watch.End(first);
  now += 200ms;
  STRCMP_EQUAL("8", watch.TakeReport(now)->oldest.name.c_str());
}
