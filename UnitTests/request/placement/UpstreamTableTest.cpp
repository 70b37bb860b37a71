#include "cuminfield/request/placement/UpstreamTable.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamTable)
{
  core::Random random{ 5 };
  const UpstreamTableSettings settings{};
  UpstreamTable table{ settings, core::DataCentreId("here"), random };
  core::Instant now{ 100s };

  void AddUpstream(const std::string& aId, std::uint32_t aSlots = 10)
  {
    UpstreamAnnouncement upstream;
    upstream.id = core::UpstreamId(aId);
    upstream.incarnation = core::Incarnation(1);
    upstream.service = core::ServiceId("s");
    upstream.dataCentre = core::DataCentreId("here");
    upstream.slots = aSlots;
    upstream.isEngine = true;
    table.AddOrUpdateUpstream(upstream);
  }

  static RequestSpec MakeSpec(std::int64_t aPromptTokens = 600)
  {
    RequestSpec spec;
    spec.service = core::ServiceId("s");
    spec.deadline = core::Instant(115s);
    spec.firstTokenTarget = 400ms;
    spec.tokenGapTarget = 250ms;
    spec.tokensPerEvent = 8;
    spec.promptTokens.value = aPromptTokens;
    spec.maxOutputTokens.value = 200;
    spec.needsEngine = true;
    return spec;
  }

  std::string ChooseUpstreamId(const RequestSpec& aSpec)
  {
    const UpstreamEntry* entry =
      table.Choose(aSpec, {}, Urgency::Normal, UpstreamTable::SlotFilter::Any, now);
    return entry ? entry->upstream.id.Text() : "none";
  }

  /// Dispatches a request that never gets a response.
  void DispatchHangingRequest(const std::string& aId)
  {
    table.RecordDispatch(*table.Find(core::UpstreamId(aId)), MakeSpec(), now);
  }

  void SetReachability(const std::string& aId, std::uint32_t aSuspecting, std::uint32_t aConfirming)
  {
    table.SetRemoteReachability(core::UpstreamId(aId), aSuspecting, aConfirming, now);
  }
};

/// With 60 hosts and 60 engines, a third of them three times slower, a host uses the same engine
/// only every few seconds. From its own responses alone it would detect slow engines far too late.
TEST(UpstreamTable, EngineReportedSlowGetsNoLongPrompt)
{
  AddUpstream("slow");
  AddUpstream("fast");
  table.SetRemoteObservations(core::UpstreamId("slow"), { .tokenIntervalCount = 30,
                                                          .tokenIntervalSumMs = 390,
                                                          .firstEventCount = 10,
                                                          .firstEventFactorSum = 30 });
  table.SetRemoteObservations(core::UpstreamId("fast"), { .tokenIntervalCount = 30,
                                                          .tokenIntervalSumMs = 90,
                                                          .firstEventCount = 10,
                                                          .firstEventFactorSum = 7 });
  for (int n = 0; n < 20; ++n) {
    STRCMP_EQUAL("fast", ChooseUpstreamId(MakeSpec(6'600)).c_str());
  }
}

TEST(UpstreamTable, UpstreamReportedFailingGetsNoRequests)
{
  AddUpstream("failing");
  AddUpstream("sound");
  table.SetRemoteObservations(core::UpstreamId("failing"),
                              { .attemptCount = 20, .failureCount = 8 });
  table.SetRemoteObservations(core::UpstreamId("sound"), { .attemptCount = 20 });
  for (int n = 0; n < 20; ++n) {
    STRCMP_EQUAL("sound", ChooseUpstreamId(MakeSpec()).c_str());
  }
}

TEST(UpstreamTable, SingleFailureDoesNotExclude)
{
  AddUpstream("only-once");
  AddUpstream("other");
  UpstreamEntry& entry = *table.Find(core::UpstreamId("only-once"));
  table.RecordDispatch(entry, MakeSpec(), now);
  table.RecordAttemptEnd(entry, MakeSpec(), AttemptOutcome::Failed, false, now);
  for (int n = 0; n < 10; ++n) {
    table.RecordDispatch(*table.Find(core::UpstreamId("other")), MakeSpec(), now);
  }
  STRCMP_EQUAL("only-once", ChooseUpstreamId(MakeSpec()).c_str());
}

/// An engine stops responding while it has requests of ten hosts. The fifty other hosts must not
/// lose requests there, too.
TEST(UpstreamTable, UpstreamSuspectedByOthersGetsNoRequests)
{
  AddUpstream("dark");
  SetReachability("dark", 10, 0);
  STRCMP_EQUAL("none", ChooseUpstreamId(MakeSpec()).c_str());
  SetReachability("dark", 10, 11);
  STRCMP_EQUAL("dark", ChooseUpstreamId(MakeSpec()).c_str());
}

/// Hosts separated from an upstream by a network partition suspect it, and then no host sends
/// requests to it. The others must still find out that it works for them.
TEST(UpstreamTable, SuspectedUpstreamIsProbed)
{
  AddUpstream("u");
  SetReachability("u", 2, 0);
  int probes = 0;
  for (int n = 0; n < 500; ++n, now += 20ms) {
    if (UpstreamEntry* entry =
          table.Choose(MakeSpec(), {}, Urgency::Normal, UpstreamTable::SlotFilter::Any, now)) {
      ++probes;
      table.RecordDispatch(*entry, MakeSpec(), now);
      table.RecordAttemptEnd(*entry, MakeSpec(), AttemptOutcome::Cancelled, false, now);
    }
  }
  CHECK(probes >= 3); // In 10 s.
  CHECK(probes <= 10);
  UpstreamEntry& entry = *table.Find(core::UpstreamId("u"));
  table.RecordActivity(entry, now);
  STRCMP_EQUAL("u", ChooseUpstreamId(MakeSpec()).c_str());
}

TEST(UpstreamTable, SilenceSuspectsAndReceivedDataConfirms)
{
  AddUpstream("u");
  UpstreamEntry& entry = *table.Find(core::UpstreamId("u"));
  CHECK_EQUAL(0, table.LocalObservations(entry, now).suspectingHosts +
                   table.LocalObservations(entry, now).confirmingHosts);
  DispatchHangingRequest("u");
  now += settings.engineSilenceTimeout + 1ms;
  CHECK_EQUAL(1, table.LocalObservations(entry, now).suspectingHosts);
  table.RecordActivity(entry, now);
  CHECK_EQUAL(0, table.LocalObservations(entry, now).suspectingHosts);
  CHECK_EQUAL(1, table.LocalObservations(entry, now).confirmingHosts);
  now += settings.confirmationLifetime + 1ms;
  CHECK_EQUAL(0, table.LocalObservations(entry, now).confirmingHosts);
}

/// One request hangs at a working upstream. It must not exclude the upstream for as long as its
/// caller waits, but requests must not pile up at an upstream that never responds.
TEST(UpstreamTable, HangingRequestDoesNotExcludeConfirmedUpstream)
{
  AddUpstream("u");
  DispatchHangingRequest("u");
  now += settings.engineSilenceTimeout + 1ms;
  STRCMP_EQUAL("none", ChooseUpstreamId(MakeSpec()).c_str());
  SetReachability("u", 0, 5);
  STRCMP_EQUAL("u", ChooseUpstreamId(MakeSpec()).c_str());
  int probesSent = 0;
  for (int n = 0; n < 500; ++n, now += 20ms) {
    if (UpstreamEntry* entry =
          table.Choose(MakeSpec(), {}, Urgency::Normal, UpstreamTable::SlotFilter::Any, now)) {
      ++probesSent;
      table.RecordDispatch(*entry, MakeSpec(), now);
    }
  }
  CHECK(probesSent >= 2);
  CHECK(probesSent <= 5);
}

TEST(UpstreamTable, OldObservationsDecay)
{
  AddUpstream("u");
  UpstreamEntry& entry = *table.Find(core::UpstreamId("u"));
  for (int n = 0; n < 20; ++n) {
    table.RecordTokenInterval(entry, 50, now);
  }
  now += 30s;
  for (int n = 0; n < 5; ++n) {
    table.RecordTokenInterval(entry, 4, now);
  }
  CHECK(table.TokenIntervalMs(entry) < 5);
}

/// Guards against figures of a restricted request that count upstreams outside its regions.
TEST(UpstreamTable, RegionsLimitEveryFigure)
{
  const auto add = [&](const char* aId, const char* aRegion) {
    UpstreamAnnouncement upstream;
    upstream.id = core::UpstreamId(aId);
    upstream.incarnation = core::Incarnation(1);
    upstream.service = core::ServiceId("s");
    upstream.region = core::RegionId(aRegion);
    upstream.slots = 10;
    upstream.isEngine = true;
    table.AddOrUpdateUpstream(upstream);
  };
  const core::ServiceId service("s");
  const core::RegionSet east({ core::RegionId("east") });
  add("w", "west");
  add("n", "");
  CHECK(table.HasUpstream(service, {}));
  CHECK_FALSE(table.HasUpstream(service, {}, &east));
  add("e", "east");
  CHECK(table.HasUpstream(service, {}, &east));
  DOUBLES_EQUAL(30, table.SuitableEngineSlots(MakeSpec(), now), 0);
  DOUBLES_EQUAL(10, table.SuitableEngineSlots(MakeSpec(), now, &east), 0);
  const auto choose = [&] {
    return table.Choose(MakeSpec(), {}, Urgency::Normal, UpstreamTable::SlotFilter::Any, now,
                        &east);
  };
  STRCMP_EQUAL("e", choose()->upstream.id.Text().c_str());
  table.RecordNotice(core::UpstreamId("e"), core::Incarnation(1), { .retryAfter = 3s }, now);
  POINTERS_EQUAL(nullptr, choose());
  CHECK(table.EarliestQuietEnd(service, {}, now, &east) == now + 3s);
  CHECK_FALSE(table.EarliestQuietEnd(service, {}, now).has_value());
  CHECK(table.EarliestOpening(service, {}, now, &east) == now + 3s);
  add("e", "west"); // Its data centre is in another region now.
  CHECK_FALSE(table.HasUpstream(service, {}, &east));
}
