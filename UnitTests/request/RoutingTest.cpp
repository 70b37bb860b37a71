#include "UnitTests/request/SchedulerFixture.h"
#include "cuminfield/request/routing/CircuitBreaker.h"
#include "cuminfield/request/routing/LoadEstimate.h"
#include "cuminfield/request/routing/OutlierDetector.h"
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

TEST(Routing, RatesAreLearnedFromResponses)
{
  RateEstimator rates{ RateEstimatorSettings{} };
  for (int n = 0; n < 400; ++n) {
    rates.ObserveTokenInterval(20ms, 1);
    // 10,000 tokens per second, after one and a half steps.
    rates.ObserveFirstToken(core::Tokens{ 1'000 }, 30ms + 100ms);
  }
  DOUBLES_EQUAL(50'000, static_cast<double>(rates.PredictPrefill(core::Tokens{ 500 }).count()),
                2'500);
  DOUBLES_EQUAL(80'000, static_cast<double>(rates.PredictFirstToken(core::Tokens{ 500 }).count()),
                4'000);
  CHECK(rates.PredictionError() < 0.1);
}

TEST(Routing, LoadIsTheReportMinusLocalLoadThenPlusLocalLoadNow)
{
  LoadEstimate load;
  load.RecordDispatch(core::Tokens{ 100 }, kStart);
  load.RecordDispatch(core::Tokens{ 100 }, kStart + 300ms);
  LoadReport report;
  report.sequence = 1;
  report.age = 200ms;
  report.running = 5;
  report.queuedPrefillTokens = core::Tokens{ 700 };
  load.ApplyReport(report, kStart + 400ms);
  // At 200 ms, when the report was made, one of the five requests was from this host.
  CHECK_EQUAL(6U, load.InFlight());
  CHECK_EQUAL(600, load.RemotePrefill().value);
  CHECK(load.ReportAge(kStart + 400ms) == 200ms);
  load.RecordPrefillEnd(core::Tokens{ 100 }, kStart + 500ms);
  load.RecordRequestEnd(kStart + 500ms);
  CHECK_EQUAL(5U, load.InFlight());
  CHECK_EQUAL(100, load.LocalPrefill().value);
}

TEST(Routing, AnOldReportDoesNotReplaceANewerOne)
{
  LoadEstimate load;
  LoadReport report;
  report.sequence = 2;
  report.running = 5;
  load.ApplyReport(report, kStart);
  report.sequence = 1;
  report.running = 50;
  load.ApplyReport(report, kStart + 1s);
  CHECK_EQUAL(5U, load.InFlight());
}

TEST(Routing, PrefixHoldersCountOnlyFromTheStart)
{
  PrefixIndex index{ PrefixIndexSettings{} };
  const std::vector<PrefixHash> prefix{ 11, 12, 13, 14 };
  index.AddPrefix(prefix, 1);
  index.AddBlock(11, 2);
  index.AddBlock(13, 2);
  index.AddBlock(12, 3);
  const PrefixHolders found = index.FindHolders(prefix);
  CHECK_EQUAL(4 * kPrefixBlockTokens.value, found.CachedTokens(1).value);
  CHECK_EQUAL(1 * kPrefixBlockTokens.value, found.CachedTokens(2).value);
  CHECK_EQUAL(0, found.CachedTokens(3).value);
  index.RemoveBlock(12, 1);
  CHECK_EQUAL(1 * kPrefixBlockTokens.value, index.FindHolders(prefix).CachedTokens(1).value);
  index.RemoveUpstream(1);
  CHECK_EQUAL(0, index.FindHolders(prefix).CachedTokens(1).value);
}

TEST(Routing, OnlyTheStragglerIsEjectedTemporarily)
{
  OutlierDetector detector{ OutlierDetectorSettings{} };
  std::vector<UpstreamHealth> health(4);
  std::vector<UpstreamHealth*> all;
  all.reserve(health.size());
  for (UpstreamHealth& it : health) {
    all.push_back(&it);
  }
  const auto observeIntervals = [&](int aCount, core::Duration aSlowInterval) {
    for (int n = 0; n < aCount; ++n) {
      for (std::size_t it = 0; it < health.size(); ++it) {
        detector.ObserveTokenInterval(health[it], it == 2 ? aSlowInterval : 20ms, 0.5, 4);
      }
    }
  };
  observeIntervals(500, 20ms);
  detector.Evaluate(all, kStart);
  CHECK_FALSE(health[2].ejected);
  observeIntervals(500, 80ms);
  detector.Evaluate(all, kStart);
  CHECK_TRUE(health[2].ejected);
  CHECK_FALSE(health[0].ejected || health[1].ejected || health[3].ejected);
  detector.Evaluate(all, kStart + 6s);
  CHECK_FALSE(health[2].ejected);
  CHECK_TRUE(health[2].onProbation);
}

TEST(Routing, NoUpstreamIsEjectedWhenAllSlowDownTogether)
{
  OutlierDetector detector{ OutlierDetectorSettings{} };
  std::vector<UpstreamHealth> health(4);
  std::vector<UpstreamHealth*> all;
  all.reserve(health.size());
  for (UpstreamHealth& it : health) {
    all.push_back(&it);
    for (int n = 0; n < 1'000; ++n) {
      detector.ObserveTokenInterval(it, n < 500 ? 20ms : 80ms, 0.5, 4);
    }
  }
  detector.Evaluate(all, kStart);
  for (const UpstreamHealth& it : health) {
    CHECK_FALSE(it.ejected);
  }
}

TEST(Routing, OnlyABoundedShareIsEjected)
{
  OutlierDetector detector{ OutlierDetectorSettings{} };
  std::vector<UpstreamHealth> health(6);
  std::vector<UpstreamHealth*> all;
  all.reserve(health.size());
  for (UpstreamHealth& it : health) {
    all.push_back(&it);
    for (int n = 0; n < 100; ++n) {
      detector.ObserveAttemptEnd(it, true);
    }
  }
  detector.Evaluate(all, kStart);
  int ejected = 0;
  for (const UpstreamHealth& it : health) {
    ejected += it.ejected ? 1 : 0;
  }
  CHECK_EQUAL(2, ejected);
}

TEST(Routing, ACircuitBreakerOpensProbesAndCloses)
{
  CircuitBreaker circuit{ CircuitBreakerSettings{} };
  for (int n = 0; n < 8; ++n) {
    CHECK_TRUE(circuit.AllowsRequest(kStart, 0));
    circuit.RecordFailure(kStart);
  }
  CHECK_FALSE(circuit.AllowsRequest(kStart + 29s, 0));
  CHECK_TRUE(circuit.AllowsRequest(kStart + 31s, 1));
  CHECK_FALSE(circuit.AllowsRequest(kStart + 31s, 2));
  circuit.RecordSuccess(kStart + 31s);
  circuit.RecordFailure(kStart + 32s);
  CHECK_FALSE(circuit.AllowsRequest(kStart + 33s, 0));
  circuit.RecordSuccess(kStart + 63s);
  circuit.RecordSuccess(kStart + 63s);
  CHECK_TRUE(circuit.AllowsRequest(kStart + 63s, 100));
}

TEST(Routing, ARequestGoesToTheUpstreamThatHoldsItsPrefix)
{
  unit_tests::request::SchedulerFixture fixture;
  fixture.AddUpstream("u1", 8);
  fixture.AddUpstream("u2", 8);
  fixture.AddUpstream("u3", 8);
  std::string prefixHolder;
  for (int n = 0; n < 5; ++n) {
    const std::string id = "r" + std::to_string(n);
    RequestSpec spec = fixture.MakeSpec(id, 0);
    spec.promptTokens = core::Tokens{ 1'024 };
    for (PrefixHash hash = 1; hash <= 16; ++hash) {
      spec.prefixHashes.push_back(hash);
    }
    fixture.scheduler.Submit(spec);
    const std::string upstream = fixture.listener.upstreamByRequest[id];
    CHECK(n == 0 || upstream == prefixHolder);
    prefixHolder = upstream;
    fixture.timers.Advance(100ms);
    fixture.scheduler.OnFirstToken(spec.id);
    fixture.FinishRequest(id);
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
  const UpstreamIndex index = fleet.AddOrUpdateUpstream(announcement);
  fleet.Prefixes().AddBlock(7, index);
  CHECK_EQUAL(kPrefixBlockTokens.value,
              fleet.Prefixes().FindHolders({ 7 }).CachedTokens(index).value);
  announcement.incarnation = core::Incarnation(2);
  CHECK_EQUAL(index, fleet.AddOrUpdateUpstream(announcement));
  CHECK_EQUAL(0, fleet.Prefixes().FindHolders({ 7 }).CachedTokens(index).value);
}
