#include "cuminfield/core/Backoff.h"
#include "cuminfield/core/Random.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield;

TEST_GROUP(Backoff)
{
  core::Random random{ 1 };
  core::Backoff backoff{ { .initial = 500ms, .maximum = 3s, .growth = 2, .spread = 0.2 } };
};

TEST(Backoff, DelaysGrowUpToTheMaximumAndAreSpread)
{
  for (const core::Duration least : { 500ms, 1000ms, 2000ms, 3000ms, 3000ms }) {
    const core::Duration delay = backoff.Next(random);
    CHECK(delay >= least);
    CHECK(delay <= core::Scaled(least, 1.2));
    CHECK(delay != least);
  }
}

TEST(Backoff, DelaysStartAnewAfterASuccess)
{
  backoff.Next(random);
  backoff.Next(random);
  backoff.Reset();
  CHECK(backoff.Next(random) <= 600ms);
}
