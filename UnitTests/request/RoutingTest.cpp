#include "UnitTests/request/SchedulerFixture.h"
#include "cuminfield/request/routing/Circuit.h"
#include "cuminfield/request/routing/LoadEstimate.h"
#include "cuminfield/request/routing/PeerComparison.h"
#include "cuminfield/request/routing/PrefixIndex.h"
#include "cuminfield/request/routing/RateEstimator.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::routing;
using namespace std::chrono_literals;

namespace {

constexpr core::Instant kStart{ core::Duration(1'000'000'000) };

} // namespace

TEST_GROUP(Routing){};

TEST(Routing, RatesAreLearnedFromAnswers)
{
  RateEstimator rates{ RateEstimatorSettings{} };
  for (int n = 0; n < 400; ++n) {
    rates.ObserveGap(20ms, 1);
    // 10,000 tokens a second, after a wait for a step and a half.
    rates.ObserveFirstToken(core::Tokens{ 1'000 }, 30ms + 100ms);
  }
  DOUBLES_EQUAL(50'000, static_cast<double>(rates.Prefill(core::Tokens{ 500 }).count()), 2'500);
  DOUBLES_EQUAL(80'000, static_cast<double>(rates.FirstToken(core::Tokens{ 500 }).count()), 4'000);
  CHECK(rates.Spread() < 0.1);
}

TEST(Routing, LoadIsTheReportLessWhatWasOursThenPlusWhatIsOursNow)
{
  LoadEstimate load;
  load.Dispatched(core::Tokens{ 100 }, kStart);
  load.Dispatched(core::Tokens{ 100 }, kStart + 300ms);
  LoadReport report;
  report.sequence = 1;
  report.age = 200ms;
  report.running = 5;
  report.queuedPrefillTokens = core::Tokens{ 700 };
  load.Reported(report, kStart + 400ms);
  // The report was made at 200 ms, when one of the five was ours.
  CHECK_EQUAL(6U, load.InFlight());
  CHECK_EQUAL(600, load.OthersPrefill().value);
  CHECK(load.Age(kStart + 400ms) == 200ms);
  load.Prefilled(core::Tokens{ 100 }, kStart + 500ms);
  load.Ended(kStart + 500ms);
  CHECK_EQUAL(5U, load.InFlight());
  CHECK_EQUAL(100, load.OwnPrefill().value);
}

TEST(Routing, AnOldReportDoesNotReplaceANewerOne)
{
  LoadEstimate load;
  LoadReport report;
  report.sequence = 2;
  report.running = 5;
  load.Reported(report, kStart);
  report.sequence = 1;
  report.running = 50;
  load.Reported(report, kStart + 1s);
  CHECK_EQUAL(5U, load.InFlight());
}

TEST(Routing, PrefixHoldersCountOnlyFromTheStartOn)
{
  PrefixIndex index{ PrefixIndexSettings{} };
  const std::vector<PrefixHash> prefix{ 11, 12, 13, 14 };
  index.AddPrefix(prefix, 1);
  index.Add(11, 2);
  index.Add(13, 2);
  index.Add(12, 3);
  const PrefixHolders found = index.Find(prefix);
  CHECK_EQUAL(4 * kPrefixBlockTokens.value, found.Cached(1).value);
  CHECK_EQUAL(1 * kPrefixBlockTokens.value, found.Cached(2).value);
  CHECK_EQUAL(0, found.Cached(3).value);
  index.Remove(12, 1);
  CHECK_EQUAL(1 * kPrefixBlockTokens.value, index.Find(prefix).Cached(1).value);
  index.Forget(1);
  CHECK_EQUAL(0, index.Find(prefix).Cached(1).value);
}

TEST(Routing, AStragglerIsEjectedForAWhileAndTheRestIsNot)
{
  PeerComparison peers{ PeerComparisonSettings{} };
  std::vector<PeerHealth> health(4);
  std::vector<PeerHealth*> all;
  all.reserve(health.size());
  for (PeerHealth& it : health) {
    all.push_back(&it);
  }
  const auto tokens = [&](int aCount, core::Duration aSlow) {
    for (int n = 0; n < aCount; ++n) {
      for (std::size_t it = 0; it < health.size(); ++it) {
        peers.ObserveGap(health[it], it == 2 ? aSlow : 20ms, 0.5, 4);
      }
    }
  };
  tokens(500, 20ms);
  peers.Judge(all, kStart);
  CHECK_FALSE(health[2].ejected);
  tokens(500, 80ms);
  peers.Judge(all, kStart);
  CHECK_TRUE(health[2].ejected);
  CHECK_FALSE(health[0].ejected || health[1].ejected || health[3].ejected);
  peers.Judge(all, kStart + 6s);
  CHECK_FALSE(health[2].ejected);
  CHECK_TRUE(health[2].probation);
}

TEST(Routing, NobodyIsEjectedWhenAllSlowDownTogether)
{
  PeerComparison peers{ PeerComparisonSettings{} };
  std::vector<PeerHealth> health(4);
  std::vector<PeerHealth*> all;
  all.reserve(health.size());
  for (PeerHealth& it : health) {
    all.push_back(&it);
    for (int n = 0; n < 1'000; ++n) {
      peers.ObserveGap(it, n < 500 ? 20ms : 80ms, 0.5, 4);
    }
  }
  peers.Judge(all, kStart);
  for (const PeerHealth& it : health) {
    CHECK_FALSE(it.ejected);
  }
}

TEST(Routing, OnlyABoundedShareIsEjected)
{
  PeerComparison peers{ PeerComparisonSettings{} };
  std::vector<PeerHealth> health(6);
  std::vector<PeerHealth*> all;
  all.reserve(health.size());
  for (PeerHealth& it : health) {
    all.push_back(&it);
    for (int n = 0; n < 100; ++n) {
      peers.ObserveEnd(it, true);
    }
  }
  peers.Judge(all, kStart);
  int ejected = 0;
  for (const PeerHealth& it : health) {
    ejected += it.ejected ? 1 : 0;
  }
  CHECK_EQUAL(2, ejected);
}

TEST(Routing, ACircuitOpensProbesAndCloses)
{
  Circuit circuit{ CircuitSettings{} };
  for (int n = 0; n < 8; ++n) {
    CHECK_TRUE(circuit.Allows(kStart, 0));
    circuit.Failed(kStart);
  }
  CHECK_FALSE(circuit.Allows(kStart + 29s, 0));
  CHECK_TRUE(circuit.Allows(kStart + 31s, 1));
  CHECK_FALSE(circuit.Allows(kStart + 31s, 2));
  circuit.Succeeded(kStart + 31s);
  circuit.Failed(kStart + 32s);
  CHECK_FALSE(circuit.Allows(kStart + 33s, 0));
  circuit.Succeeded(kStart + 63s);
  circuit.Succeeded(kStart + 63s);
  CHECK_TRUE(circuit.Allows(kStart + 63s, 100));
}

TEST(Routing, ARequestGoesWhereItsPrefixLives)
{
  unit_tests::request::SchedulerFixture fixture;
  fixture.Up("u1", 8);
  fixture.Up("u2", 8);
  fixture.Up("u3", 8);
  std::string home;
  for (int n = 0; n < 5; ++n) {
    const std::string id = "r" + std::to_string(n);
    RequestSpec spec = fixture.Spec(id, 0);
    spec.promptTokens = core::Tokens{ 1'024 };
    for (PrefixHash hash = 1; hash <= 16; ++hash) {
      spec.prefixHashes.push_back(hash);
    }
    fixture.scheduler.Submit(spec);
    const std::string upstream = fixture.listener.upstreamOf[id];
    CHECK(n == 0 || upstream == home);
    home = upstream;
    fixture.timers.Advance(100ms);
    fixture.scheduler.OnFirstToken(spec.id);
    fixture.End(id);
  }
}

TEST(Routing, ARestartedUpstreamHasLostItsCache)
{
  RouterSettings settings;
  Fleet fleet(settings, core::RegionId("gent"), core::DataCentreId("gent-a"));
  UpstreamAnnouncement announcement;
  announcement.id = core::UpstreamId("u1");
  announcement.incarnation = core::Incarnation(1);
  announcement.region = core::RegionId("gent");
  const UpstreamIndex index = fleet.Up(announcement);
  fleet.Prefixes().Add(7, index);
  CHECK_EQUAL(kPrefixBlockTokens.value, fleet.Prefixes().Find({ 7 }).Cached(index).value);
  announcement.incarnation = core::Incarnation(2);
  CHECK_EQUAL(index, fleet.Up(announcement));
  CHECK_EQUAL(0, fleet.Prefixes().Find({ 7 }).Cached(index).value);
}
