#include "cuminfield/core/RegionSet.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield::core;

TEST_GROUP(RegionSet){};

/// Guards against an upstream whose data centre has no region and that counts as inside, since a
/// configuration names the empty region.
TEST(RegionSet, TheEmptyRegionIsNeverInside)
{
  const RegionSet set({ RegionId("b"), RegionId("a"), RegionId("b"), RegionId() });
  CHECK(set.Contains(RegionId("a")));
  CHECK(set.Contains(RegionId("b")));
  CHECK_FALSE(set.Contains(RegionId("c")));
  CHECK_FALSE(set.Contains(RegionId()));
}

TEST(RegionSet, IntersectsAndAdds)
{
  const RegionSet left({ RegionId("a"), RegionId("b") });
  const RegionSet right({ RegionId("c"), RegionId("b") });
  CHECK(left.Intersect(right) == RegionSet({ RegionId("b") }));
  CHECK(left.Intersect(RegionSet({ RegionId("d") })).IsEmpty());
  RegionSet all = left;
  all.Add(right);
  CHECK(all == RegionSet({ RegionId("a"), RegionId("b"), RegionId("c") }));
}
