#include "TestFramework/engine/Batch.h"
#include "TestFramework/engine/PrefixCache.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield::test_framework::engine;
using cuminfield::core::Duration;

TEST_GROUP(Batch){};

TEST(Batch, GeneratesOneTokenPerStepAfterPrefill)
{
  Batch batch({ .chunk = 100 });
  batch.Add({ .id = "a", .prefill = 150, .tokens = 2 });
  int tokens = 0;
  int steps = 0;
  while (batch.Begin() != Duration::zero()) {
    tokens += static_cast<int>(batch.Finish().tokens.size());
    ++steps;
  }
  LONGS_EQUAL(2, tokens);
  LONGS_EQUAL(4, steps);
}

TEST(Batch, StepsTakeLongerWithMoreRequestsThanSlots)
{
  Batch few({ .slots = 1 });
  few.Add({ .id = "a", .tokens = 1 });
  Batch many({ .slots = 1 });
  many.Add({ .id = "a", .tokens = 1 });
  many.Add({ .id = "b", .tokens = 1 });
  CHECK(few.Begin() < many.Begin());
}

TEST(Batch, SlowRequestTakesMoreSteps)
{
  Batch batch({});
  batch.Add({ .id = "a", .tokens = 2, .slow = 3 });
  int steps = 0;
  while (batch.Begin() != Duration::zero()) {
    batch.Finish();
    ++steps;
  }
  CHECK(steps >= 6);
}

TEST(Batch, RemovedRequestGeneratesNoTokens)
{
  Batch batch({});
  batch.Add({ .id = "a", .tokens = 5 });
  batch.Begin();
  CHECK(batch.Remove("a"));
  CHECK(batch.Finish().tokens.empty());
  CHECK_FALSE(batch.Remove("a"));
}

TEST_GROUP(PrefixCache){};

TEST(PrefixCache, EvictsTheLeastRecentlyUsedBlock)
{
  PrefixCache cache({ 128 });
  cache.Store({ 1, 2 });
  cache.Match({ 1 });
  cache.Store({ 3 });
  CHECK(cache.Contains(1));
  CHECK_FALSE(cache.Contains(2));
  const auto changes = cache.Take();
  LONGS_EQUAL(3, changes.stored.size());
  LONGS_EQUAL(1, changes.removed.size());
}

TEST(PrefixCache, MatchesOnlyLeadingBlocks)
{
  PrefixCache cache({ 256 });
  cache.Store({ 1, 2 });
  LONGS_EQUAL(2, cache.Match({ 1, 2, 3 }));
  LONGS_EQUAL(0, cache.Match({ 9, 2 }));
}
