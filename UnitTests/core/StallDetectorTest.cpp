#include "cuminfield/core/StallDetector.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield;

TEST_GROUP(StallDetector){};

TEST(StallDetector, ReportsWhatExceedsTheTolerance)
{
  core::StallDetector stalls(100ms);
  core::Instant now{ 1000s };
  CHECK(0ms == stalls.Update(now));
  now += 100ms;
  CHECK(0ms == stalls.Update(now));
  now += 350ms;
  CHECK(250ms == stalls.Update(now));
  CHECK(0ms == stalls.Update(now));
}
