#include "UnitTests/request/placement/SimulatedCluster.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::unit_tests;
using namespace std::chrono_literals;

TEST_GROUP(Crowd){};

/// Sixty hosts want a quarter more than forty engines serve, for ten seconds. Requests wait in the
/// hosts, where the urgent overtake, and not in the engines; and no place stands empty.
TEST(Crowd, PlacesAreFilledEvenlyWhenAllHostsWantMore)
{
  SimulatedCluster crowd({});
  crowd.SetLoad(0, 100);
  crowd.SetLoad(1, 160);
  crowd.SetLoad(2, 160); // 420 requests of 1.2 s a second; 333 is what 400 places serve.
  crowd.RunFor(3s);
  crowd.ResetStatistics();
  crowd.RunFor(7s);
  const auto seen = crowd.MeanEngineStatistics();
  const auto outcomes = crowd.Outcomes();
  CHECK(seen.utilization >= 0.9);
  CHECK(seen.overloadedRatio <= 0.05);
  // The urgent are served before the others, and most of them in time.
  const auto inTime = [&](request::TierRank aRank) {
    const auto& it = outcomes.at(aRank);
    return static_cast<double>(it.inTime) / static_cast<double>(it.submitted);
  };
  CHECK(inTime(0) >= 0.9);
  CHECK(inTime(0) >= inTime(1));
  CHECK(inTime(1) >= inTime(2));
}

/// The same with the figures of a smaller site.
TEST(Crowd, FewHostsFillTheirEnginesEvenly)
{
  SimulatedCluster crowd({ .hosts = 8, .engines = 12, .slots = 14 });
  crowd.SetLoad(0, 50);
  crowd.SetLoad(1, 70);
  crowd.SetLoad(2, 60); // 180 a second; 140 is what 168 places serve.
  crowd.RunFor(3s);
  crowd.ResetStatistics();
  crowd.RunFor(7s);
  CHECK(crowd.MeanEngineStatistics().utilization >= 0.9);
  CHECK(crowd.MeanEngineStatistics().overloadedRatio <= 0.05);
  const auto urgent = crowd.Outcomes().at(0);
  CHECK(static_cast<double>(urgent.inTime) >= 0.9 * static_cast<double>(urgent.submitted));
}

/// With a fifth of the places to spare nobody is turned away, and nobody waits long.
TEST(Crowd, WithPlacesToSpareAllAreServedInTime)
{
  SimulatedCluster crowd({});
  crowd.SetLoad(0, 80);
  crowd.SetLoad(1, 100);
  crowd.SetLoad(2, 85); // 265 of 333.
  crowd.RunFor(2s);
  crowd.ResetStatistics();
  crowd.RunFor(6s);
  for (const auto& [rank, it] : crowd.Outcomes()) {
    CHECK_EQUAL(0, it.shed);
    CHECK(static_cast<double>(it.inTime) >= 0.97 * static_cast<double>(it.submitted));
  }
}
