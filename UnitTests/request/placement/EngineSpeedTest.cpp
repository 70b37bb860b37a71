#include "cuminfield/request/placement/EngineSpeed.h"
#include "cuminfield/request/placement/UpstreamTable.h"

#include <CppUTest/TestHarness.h>

#include <limits>
#include <string>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;

TEST_GROUP(EngineSpeed)
{
  static constexpr double kPrior = 0.5;
  const EngineSpeedSettings settings{};
  EngineSpeed speed;
  core::Instant now{ 100s };

  double Correction(double aObservations = 0) const
  {
    return speed.Correction(aObservations, kPrior, now, settings);
  }

  void Report(std::uint32_t aPercent)
  {
    speed.SetReported(aPercent, now, settings);
  }

  void ReportRemote(std::uint64_t aPercentSum, std::uint32_t aSamples)
  {
    speed.SetRemote(aPercentSum, aSamples, now, settings);
  }
};

/// Load: an engine takes three times as long for a fraction of a second, again and again. An old
/// figure must not count as if it were current.
TEST(EngineSpeed, FigureCountsInFullAndThenFades)
{
  Report(300);
  DOUBLES_EQUAL(3, Correction(), 1e-9);
  now += 250ms;
  DOUBLES_EQUAL(3, Correction(), 1e-9);
  now += 250ms;
  DOUBLES_EQUAL(2, Correction(), 1e-9);
  now += 250ms;
  DOUBLES_EQUAL(1, Correction(), 1e-9);
  now += 1h;
  DOUBLES_EQUAL(1, Correction(), 1e-9);
}

/// Load: an engine has been slow for seconds, so that its observations show it, too. Counted twice,
/// the engine would look nine times slower and stay empty.
TEST(EngineSpeed, SlownessThatObservationsContainIsNotCountedTwice)
{
  for (int n = 0; n < 100; ++n, now += 100ms) {
    Report(300);
  }
  DOUBLES_EQUAL(1, Correction(1000), 0.01);
  Report(100); // Back at its usual speed, which the observations don't show yet.
  DOUBLES_EQUAL(1.0 / 3, Correction(1000), 0.01);
}

/// Load: 100 hosts, each of which hears an engine itself only every ten seconds.
TEST(EngineSpeed, FiguresOfOtherHostsCountBetweenOwnOnes)
{
  Report(100);
  now += 200ms;
  ReportRemote(900, 3);
  DOUBLES_EQUAL(3, Correction(), 1e-9);
  now += 50ms;
  Report(150); // Newer than those of the other hosts.
  DOUBLES_EQUAL(1.5, Correction(), 1e-9);
}

/// Load: no host hears the engine any more, and all feeds repeat the last figures.
TEST(EngineSpeed, RepeatedSumsAgeUpToTheAgeAtWhichHostsDropThem)
{
  ReportRemote(300, 1);
  now += 100ms;
  ReportRemote(300, 1);
  DOUBLES_EQUAL(3, Correction(), 1e-9);
  now += 400ms;
  ReportRemote(0, 0);
  CHECK(Correction() < 2.5);
  now += 500ms;
  DOUBLES_EQUAL(1, Correction(), 1e-9);
}

/// A figure that a host has just read of an upstream that it doesn't use otherwise must reach the
/// other hosts, also when reports are 250 ms apart.
TEST(EngineSpeed, IsReportedWhileItIsNewAndAtLeastOnce)
{
  CHECK_FALSE(speed.TakeReport(now, settings).has_value());
  Report(120);
  now += 100ms;
  CHECK_EQUAL(120, *speed.TakeReport(now, settings));
  now += 100ms;
  CHECK_EQUAL(120, *speed.TakeReport(now, settings));
  now += 100ms;
  CHECK_FALSE(speed.TakeReport(now, settings).has_value());
  Report(140);
  now += 300ms;
  CHECK_EQUAL(140, *speed.TakeReport(now, settings));
  CHECK_FALSE(speed.TakeReport(now, settings).has_value());
}

/// Faulty upstreams and hosts must not stop or attract all work.
TEST(EngineSpeed, FiguresOutOfRangeAreDropped)
{
  Report(0);
  Report(100'001);
  ReportRemote(0, 3);
  ReportRemote(std::numeric_limits<std::uint64_t>::max(), 1);
  CHECK_FALSE(speed.IsKnown());
  DOUBLES_EQUAL(1, Correction(), 0);
  Report(1);
  DOUBLES_EQUAL(0.01, Correction(), 1e-9);
  Report(100'000);
  DOUBLES_EQUAL(1000, Correction(), 1e-9);
}

TEST_GROUP(UpstreamSpeed)
{
  core::Random random{ 5 };
  UpstreamTable table{ {}, core::DataCentreId("here"), random };
  core::Instant now{ 100s };

  void AddUpstream(const std::string& aId, bool aIsEngine)
  {
    UpstreamAnnouncement upstream;
    upstream.id = core::UpstreamId(aId);
    upstream.incarnation = core::Incarnation(1);
    upstream.service = core::ServiceId("s");
    upstream.dataCentre = core::DataCentreId("here");
    upstream.slots = 6;
    upstream.isEngine = aIsEngine;
    table.AddOrUpdateUpstream(upstream);
  }

  RequestSpec MakeSpec(bool aNeedsEngine) const
  {
    RequestSpec spec;
    spec.service = core::ServiceId("s");
    spec.deadline = now + 15s;
    spec.tokenGapTarget = 250ms;
    spec.tokensPerEvent = 8;
    spec.promptTokens.value = 6'600;
    spec.maxOutputTokens.value = aNeedsEngine ? 200 : 0;
    spec.needsEngine = aNeedsEngine;
    return spec;
  }

  int CountChoices(const std::string& aId, const RequestSpec& aSpec)
  {
    int n = 0;
    for (int i = 0; i < 200; ++i) {
      const UpstreamEntry* entry =
        table.Choose(aSpec, {}, Urgency::Normal, UpstreamTable::SlotFilter::Any, now);
      n += entry && entry->upstream.id.Text() == aId ? 1 : 0;
    }
    return n;
  }
};

/// Load: engines are three times slower for a fraction of a second. The next prompts go elsewhere,
/// but the engine still counts as suitable for them.
TEST(UpstreamSpeed, MomentarySlownessAffectsPlacementAndNotSuitability)
{
  AddUpstream("slow", true);
  AddUpstream("usual", true);
  const double slots = table.SuitableEngineSlots(MakeSpec(true), now);
  table.SetRemoteSpeed(core::UpstreamId("slow"), 300, 1, now);
  table.SetRemoteSpeed(core::UpstreamId("usual"), 100, 1, now);
  CHECK_EQUAL(0, CountChoices("slow", MakeSpec(true)));
  DOUBLES_EQUAL(slots, table.SuitableEngineSlots(MakeSpec(true), now), 0);
  now += 1s; // The figures are too old.
  CHECK(CountChoices("slow", MakeSpec(true)) > 50);
}

/// Load: some of six upstreams of a plain service take three times their usual time. All hosts have
/// the same figures, so the choice must stay random.
TEST(UpstreamSpeed, SlowPlainUpstreamGetsLess)
{
  for (const char* it : { "slow", "u1", "u2", "u3", "u4", "u5" }) {
    AddUpstream(it, false);
    table.SetRemoteSpeed(core::UpstreamId(it), std::string(it) == "slow" ? 300 : 100, 1, now);
  }
  CHECK(CountChoices("slow", MakeSpec(false)) < 10);
  for (const char* it : { "u1", "u2", "u3", "u4", "u5" }) {
    CHECK(CountChoices(it, MakeSpec(false)) > 10);
  }
}

/// Load: plain upstreams at many times a host's own rate. A report is the best figure until the
/// hosts' sums are as recent; then it must not hide them.
TEST(UpstreamSpeed, ReportOfPlainUpstreamYieldsToNewerSums)
{
  const core::UpstreamId id("u");
  AddUpstream("u", false);
  table.SetReportedLoad(id, 3, now);
  now += 160ms;
  table.SetRemoteLoad(id, 9, 0, now);
  CHECK_EQUAL(3, table.Find(id)->remoteInFlight); // Without a speed, as ever.
  table.SetReportedSpeed(id, 100, now);
  table.SetRemoteLoad(id, 9, 0, now);
  CHECK_EQUAL(9, table.Find(id)->remoteInFlight);
}
