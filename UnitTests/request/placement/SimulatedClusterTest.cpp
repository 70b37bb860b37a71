#include "UnitTests/request/placement/SimulatedCluster.h"

#include <utility>

// Included after the standard headers because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::unit_tests;
using namespace std::chrono_literals;

TEST_GROUP(SimulatedCluster){};

/// For ten seconds the demand at 60 hosts exceeds the capacity of 40 engines by a quarter. Requests
/// must queue in the hosts, where urgent ones overtake, and not in the engines, and slots must not
/// stay empty.
TEST(SimulatedCluster, SlotsAreFilledEvenlyUnderOverload)
{
  SimulatedCluster cluster({});
  cluster.SetLoad(0, 100);
  cluster.SetLoad(1, 160);
  cluster.SetLoad(2, 160); // 420 requests of 1.2 s per second; 400 slots serve 333.
  cluster.RunFor(3s);
  cluster.ResetStatistics();
  cluster.RunFor(7s);
  const auto statistics = cluster.MeanEngineStatistics();
  const auto outcomes = cluster.Outcomes();
  CHECK(statistics.utilization >= 0.9);
  CHECK(statistics.overloadedRatio <= 0.05);
  // Urgent requests are served before the others, and most of them in time.
  const auto inTime = [&](request::TierRank aRank) {
    const auto& it = outcomes.at(aRank);
    return static_cast<double>(it.inTime) / static_cast<double>(it.submitted);
  };
  CHECK(inTime(0) >= 0.9);
  CHECK(inTime(0) >= inTime(1));
  CHECK(inTime(1) >= inTime(2));
}

/// The same overload in a smaller cluster.
TEST(SimulatedCluster, SmallClusterFillsEnginesEvenlyUnderOverload)
{
  SimulatedCluster cluster({ .hosts = 8, .engines = 12, .slots = 14 });
  cluster.SetLoad(0, 50);
  cluster.SetLoad(1, 70);
  cluster.SetLoad(2, 60); // 180 per second; 168 slots serve 140.
  cluster.RunFor(3s);
  cluster.ResetStatistics();
  cluster.RunFor(7s);
  CHECK(cluster.MeanEngineStatistics().utilization >= 0.9);
  CHECK(cluster.MeanEngineStatistics().overloadedRatio <= 0.05);
  const auto urgent = cluster.Outcomes().at(0);
  CHECK(static_cast<double>(urgent.inTime) >= 0.9 * static_cast<double>(urgent.submitted));
}

/// With a fifth of the slots spare, no request is shed and hardly any is late.
TEST(SimulatedCluster, AllRequestsAreServedInTimeWithSpareSlots)
{
  SimulatedCluster cluster({});
  cluster.SetLoad(0, 80);
  cluster.SetLoad(1, 100);
  cluster.SetLoad(2, 85); // 265 per second of 333.
  cluster.RunFor(2s);
  cluster.ResetStatistics();
  cluster.RunFor(6s);
  for (const auto& [rank, it] : cluster.Outcomes()) {
    CHECK_EQUAL(0, it.shed);
    CHECK(static_cast<double>(it.inTime) >= 0.97 * static_cast<double>(it.submitted));
  }
}

/// Load pattern: 194 hosts send 0.9 of what six upstreams of a plain service can do, by figures
/// that are 100 to 200 ms old. Before, a fifth of the attempts was refused by full upstreams while
/// others had room, and 5% of the requests were shed.
TEST(SimulatedCluster, ManyHostsDoNotOverflowFewPlainUpstreams)
{
  SimulatedCluster cluster(
    { .hosts = 194, .engines = 6, .slots = 6, .meanServiceTime = 60ms, .areEngines = false });
  cluster.SetLoad(2, 540); // 36 slots serve 600 per second.
  cluster.RunFor(2s);
  cluster.ResetStatistics();
  cluster.RunFor(5s);
  const auto outcome = cluster.Outcomes().at(2);
  CHECK_EQUAL(0, outcome.shed);
  CHECK(static_cast<double>(outcome.refusals) <= 0.01 * static_cast<double>(outcome.submitted));
  CHECK(static_cast<double>(outcome.inTime) >= 0.97 * static_cast<double>(outcome.submitted));
}

namespace {

/// Returns the outcomes of a load of rank 1 over 15 s, with and without the engines' speeds
/// reported.
std::pair<SimulatedCluster::RankOutcome, SimulatedCluster::RankOutcome> CompareWithSpeeds(
  SimulatedCluster::Options aOptions, double aPerSecond)
{
  const auto run = [&](bool aReportsSpeed) {
    aOptions.reportsSpeed = aReportsSpeed;
    SimulatedCluster cluster(aOptions);
    cluster.SetLoad(1, aPerSecond);
    cluster.RunFor(3s);
    cluster.ResetStatistics();
    cluster.RunFor(15s);
    return cluster.Outcomes().at(1);
  };
  return { run(true), run(false) };
}

double MeanFirstEventMs(const SimulatedCluster::RankOutcome& aOutcome)
{
  return aOutcome.firstEventMsSum / static_cast<double>(aOutcome.submitted);
}

/// Half of a deployment: three kinds of streams, of which the least urgent has a target of two
/// thirds of its deadline; a third of the engines is 4.4 times slower.
SimulatedCluster::Options MakeTightOptions()
{
  return { .hosts = 35,
           .engines = 56,
           .slots = 6,
           .profiles = { { 0, { 1000ms, 12000ms, 6670, 384 } },
                         { 1, { 1000ms, 12000ms, 690, 288 } },
                         { 2, { 2000ms, 3000ms, 1860, 24 } } },
           .slowEngines = 19,
           .callersReturn = true,
           .isTight = true };
}

void SetTightLoad(SimulatedCluster& aCluster, double aFactor)
{
  aCluster.SetLoad(0, 66 * aFactor);
  aCluster.SetLoad(1, 63 * aFactor);
  aCluster.SetLoad(2, 118 * aFactor);
}

/// Runs a burst of this many times the usual load, then the usual load for a while.
std::map<request::TierRank, SimulatedCluster::RankOutcome> RunBurst(
  const SimulatedCluster::Options& aOptions, double aFactor, core::Duration aDuration)
{
  SimulatedCluster cluster(aOptions);
  SetTightLoad(cluster, 1);
  cluster.RunFor(4s);
  cluster.ResetStatistics();
  SetTightLoad(cluster, aFactor);
  cluster.RunFor(aDuration);
  SetTightLoad(cluster, 1);
  cluster.RunFor(3s);
  SetTightLoad(cluster, 0);
  cluster.RunFor(13s);
  return cluster.Outcomes();
}

double Part(std::size_t aOf, const SimulatedCluster::RankOutcome& aOutcome)
{
  return static_cast<double>(aOf) / static_cast<double>(aOutcome.submitted);
}

} // namespace

/// Load pattern: three of ten engines take three times as long at any moment, and which ones
/// changes several times a second. A host hears each engine itself only every 10 to 20 s and learns
/// the rest from reports that are 100 to 150 ms old.
TEST(SimulatedCluster, FirstEventsAreEarlierWithReportedSpeeds)
{
  for (const auto& [perSecond, speedTime] :
       { std::pair(120.0, 250ms), std::pair(120.0, 500ms), std::pair(200.0, 500ms) }) {
    const auto [with, without] = CompareWithSpeeds(
      { .slots = 6, .meanServiceTime = 600ms, .meanSpeedTime = speedTime, .firstEventTime = 40ms },
      perSecond);
    CHECK(MeanFirstEventMs(with) < 0.98 * MeanFirstEventMs(without));
    CHECK_EQUAL(0, with.shed);
  }
}

/// Load pattern: the same for six upstreams of a plain service with 100 hosts, up to 0.96 of what
/// they can do on average.
TEST(SimulatedCluster, PlainResponsesAreEarlierWithReportedSpeeds)
{
  for (const double perSecond : { 300.0, 360.0 }) {
    for (const auto speedTime : { 300ms, 1000ms }) {
      const auto [with, without] = CompareWithSpeeds({ .hosts = 100,
                                                       .engines = 6,
                                                       .slots = 6,
                                                       .meanServiceTime = 60ms,
                                                       .areEngines = false,
                                                       .meanSpeedTime = speedTime },
                                                     perSecond);
      CHECK(MeanFirstEventMs(with) < 0.95 * MeanFirstEventMs(without));
      CHECK(with.late < without.late);
      CHECK_EQUAL(0, with.shed);
    }
  }
}

/// Faults: half of the requests with a target of two thirds of their deadline waited until their
/// callers gave up; callers were rejected again after Retry-After.
TEST(SimulatedCluster, RequestsOfATightServiceAreRejectedWhileTheirCallersHaveTime)
{
  for (const auto& [rank, it] : RunBurst(MakeTightOptions(), 2.2, 2s)) {
    CHECK(Part(it.expired, it) <= 0.01);
    CHECK_EQUAL(0, it.rejectedLate);
    CHECK(Part(it.inTime + it.late, it) >= (rank == 2 ? 0.6 : 0.99));
    CHECK(Part(it.shed, it) <= (rank == 2 ? 0.03 : 0.01)); // Rejected twice.
  }
  for (const auto& [rank, it] : RunBurst(MakeTightOptions(), 2, 8s)) {
    CHECK(Part(it.expired, it) <= 0.01);
    CHECK_EQUAL(0, it.rejectedLate);
  }
}

/// The drain: the backlog ends with the burst, though a sixth of the engines is down.
TEST(SimulatedCluster, TheBacklogOfATightServiceEndsWithTheBurst)
{
  SimulatedCluster::Options options = MakeTightOptions();
  options.engines = 46;
  options.slowEngines = 16;
  SimulatedCluster cluster(options);
  SetTightLoad(cluster, 1);
  cluster.RunFor(4s);
  SetTightLoad(cluster, 2.2);
  cluster.RunFor(4s);
  SetTightLoad(cluster, 1);
  cluster.RunFor(8s); // Rejected callers come back for six seconds.
  cluster.ResetStatistics();
  cluster.RunFor(3s);
  SetTightLoad(cluster, 0);
  cluster.RunFor(12s);
  for (const auto& [rank, it] : cluster.Outcomes()) {
    CHECK(Part(it.inTime, it) >= 0.9);
  }
}

/// Fault: the least urgent rank got a third of what it asked for while others were served late. It
/// needs few slots, so a floor must not cost the most urgent rank more than 2 in 100.
TEST(SimulatedCluster, ADisplacedRankOfATightServiceKeepsAFloor)
{
  const auto run = [](double aFloorShare) {
    SimulatedCluster::Options options = MakeTightOptions();
    options.placement.wait.floorShare = aFloorShare;
    return RunBurst(options, 2, 8s);
  };
  const auto without = run(0);
  const auto with = run(request::placement::WaitPolicySettings().floorShare);
  CHECK(Part(with.at(2).inTime + with.at(2).late, with.at(2)) >= 0.65);
  CHECK(Part(with.at(0).inTime, with.at(0)) >= Part(without.at(0).inTime, without.at(0)) - 0.02);
}

/// One of ten workspaces sends six times its usual: the others are served nearly as before.
TEST(SimulatedCluster, AWorkspaceWithSixTimesItsUsualWaitsBehindItself)
{
  SimulatedCluster cluster(MakeTightOptions());
  const auto setLoad = [&](double aBusy, double aOther) {
    for (int n = 0; n < 10; ++n) {
      const double factor = (n == 0 ? aBusy : aOther) / 10;
      const std::string workspace = "w" + std::to_string(n);
      cluster.SetLoad(0, 66 * factor, workspace);
      cluster.SetLoad(1, 63 * factor, workspace);
      cluster.SetLoad(2, 118 * factor, workspace);
    }
  };
  setLoad(1.2, 1.2);
  cluster.RunFor(4s);
  cluster.ResetStatistics();
  setLoad(7.2, 1.2);
  cluster.RunFor(5s);
  setLoad(0, 0);
  cluster.RunFor(13s);
  SimulatedCluster::RankOutcome busy;
  SimulatedCluster::RankOutcome others;
  for (const auto& [workspace, it] : cluster.WorkspaceOutcomes()) {
    SimulatedCluster::RankOutcome& sum = workspace.Text() == "w0" ? busy : others;
    sum.submitted += it.submitted;
    sum.shed += it.shed;
    sum.expired += it.expired;
  }
  CHECK(Part(others.shed, others) <= 0.05);
  CHECK(Part(others.expired, others) <= 0.01);
  CHECK(Part(busy.shed, busy) >= 2 * Part(others.shed, others));
}
