#include "cuminfield/request/quarantine/StartedParts.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cuminfield;
using namespace cuminfield::request::quarantine;

TEST_GROUP(StartedParts)
{
  StartedParts parts;

  static ServicePart Part(int aNumber)
  {
    return { core::ServiceId("s"), core::PromptPartId(std::to_string(aNumber)) };
  }
};

TEST(StartedParts, LatestPartsAreKeptAndOldOnesForgotten)
{
  for (int n = 0; n < 10'000; ++n) {
    parts.Insert(Part(n));
    CHECK(parts.Contains(Part(n)));
    CHECK(n < 1000 || parts.Contains(Part(n - 1000)));
    CHECK(n < 5000 || !parts.Contains(Part(n - 5000)));
  }
}

TEST(StartedParts, PartsOfAnotherServiceCountApart)
{
  parts.Insert(Part(1));
  CHECK_FALSE(parts.Contains({ core::ServiceId("t"), Part(1).second }));
}
