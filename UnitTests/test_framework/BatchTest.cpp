#include "TestFramework/engine/Batch.h"
#include "TestFramework/engine/PrefixCache.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield::test_framework::engine;
using cuminfield::core::Duration;

TEST_GROUP(Batch){};

TEST(Batch, GeneratesOneTokenPerStepAfterPrefill)
{
  Batch batch({ .maxPrefillTokensPerStep = 100 });
  batch.Add({ .id = "a", .prefillTokens = 150, .outputTokens = 2 });
  int tokens = 0;
  int steps = 0;
  while (batch.BeginStep() != Duration::zero()) {
    tokens += static_cast<int>(batch.FinishStep().decoded.size());
    ++steps;
  }
  LONGS_EQUAL(2, tokens);
  LONGS_EQUAL(4, steps);
}

TEST(Batch, StepsTakeLongerWithMoreRequestsThanSlots)
{
  Batch few({ .slots = 1 });
  few.Add({ .id = "a", .outputTokens = 1 });
  Batch many({ .slots = 1 });
  many.Add({ .id = "a", .outputTokens = 1 });
  many.Add({ .id = "b", .outputTokens = 1 });
  CHECK(few.BeginStep() < many.BeginStep());
}

TEST(Batch, SlowRequestTakesMoreSteps)
{
  Batch batch({});
  batch.Add({ .id = "a", .outputTokens = 2, .slowdown = 3 });
  int steps = 0;
  while (batch.BeginStep() != Duration::zero()) {
    batch.FinishStep();
    ++steps;
  }
  CHECK(steps >= 6);
}

TEST(Batch, RemovedRequestGeneratesNoTokens)
{
  Batch batch({});
  batch.Add({ .id = "a", .outputTokens = 5 });
  batch.BeginStep();
  CHECK(batch.Remove("a"));
  CHECK(batch.FinishStep().decoded.empty());
  CHECK_FALSE(batch.Remove("a"));
}

TEST_GROUP(PrefixCache){};

TEST(PrefixCache, EvictsTheLeastRecentlyUsedBlock)
{
  PrefixCache cache({ 128 });
  cache.Store({ 1, 2 });
  cache.MatchPrefix({ 1 });
  cache.Store({ 3 });
  CHECK(cache.Contains(1));
  CHECK_FALSE(cache.Contains(2));
  const auto changes = cache.TakeChanges();
  LONGS_EQUAL(3, changes.stored.size());
  LONGS_EQUAL(1, changes.removed.size());
}

TEST(PrefixCache, MatchesOnlyLeadingBlocks)
{
  PrefixCache cache({ 256 });
  cache.Store({ 1, 2 });
  LONGS_EQUAL(2, cache.MatchPrefix({ 1, 2, 3 }));
  LONGS_EQUAL(0, cache.MatchPrefix({ 9, 2 }));
}
