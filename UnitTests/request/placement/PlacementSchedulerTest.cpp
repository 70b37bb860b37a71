#include "cuminfield/request/placement/PlacementScheduler.h"

#include "TestFramework/time/ManualTimerService.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;

namespace {

class RecordingListener : public SchedulerListener
{
public:
  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override
  {
    dispatched[aRequest.Text()] = aUpstream.id.Text();
    dispatchOrder.push_back(aRequest.Text());
  }
  void OnShed(const core::RequestId& aRequest, ShedReason aReason, core::Duration aAfter) override
  {
    shed[aRequest.Text()] = aReason;
    retryAfter[aRequest.Text()] = aAfter;
  }

  std::map<std::string, std::string> dispatched;
  std::vector<std::string> dispatchOrder;
  std::map<std::string, ShedReason> shed;
  std::map<std::string, core::Duration> retryAfter;
};

class FixedVersionChooser : public VersionChooser
{
public:
  core::VersionId Choose(const core::ServiceId&, const core::RouteId&, double) const override
  {
    return version;
  }

  core::VersionId version{ "v1" };
};

} // namespace

TEST_GROUP(PlacementScheduler)
{
  test_framework::time::ManualTimerService timers;
  core::Random random{ 3 };
  RecordingListener listener;
  FixedVersionChooser versions;
  PlacementSettings settings;
  std::unique_ptr<PlacementScheduler> scheduler;

  void setup() override
  {
    scheduler = std::make_unique<PlacementScheduler>(
      PlacementSchedulerOptions{ .settings = settings,
                                 .timers = timers,
                                 .random = random,
                                 .listener = listener,
                                 .versions = versions,
                                 .dataCentre = core::DataCentreId("here") });
  }

  void AddUpstream(const std::string& aId, std::uint32_t aSlots = 2,
                   const std::string& aVersion = "v1", const std::string& aDataCentre = "here")
  {
    UpstreamAnnouncement upstream;
    upstream.id = core::UpstreamId(aId);
    upstream.incarnation = core::Incarnation(1);
    upstream.service = core::ServiceId("s");
    upstream.version = core::VersionId(aVersion);
    upstream.dataCentre = core::DataCentreId(aDataCentre);
    upstream.slots = aSlots;
    upstream.isEngine = true;
    scheduler->AddOrUpdateUpstream(upstream);
  }

  RequestSpec MakeSpec(const std::string& aId, TierRank aRank = 1) const
  {
    RequestSpec spec;
    spec.id = core::RequestId(aId);
    spec.service = core::ServiceId("s");
    spec.tier = aRank;
    spec.arrival = timers.Now();
    spec.deadline = timers.Now() + 15s;
    spec.firstTokenTarget = 400ms;
    spec.promptTokens.value = 600;
    spec.maxOutputTokens.value = 200;
    spec.needsEngine = true;
    return spec;
  }

  void Submit(const std::string& aId, TierRank aRank = 1)
  {
    scheduler->Submit(MakeSpec(aId, aRank));
  }

  /// Reports the same remote demand every 100 ms while the dispatched requests produce tokens.
  void RunWithRemoteDemand(const PlacementScheduler::RequestsByRank& aDemand,
                           core::Duration aDuration = 1s)
  {
    for (core::Duration elapsed{ 0 }; elapsed < aDuration; elapsed += 100ms) {
      scheduler->SetRemoteDemand(aDemand);
      for (const auto& [id, upstream] : listener.dispatched) {
        scheduler->OnToken(core::RequestId(id));
      }
      timers.Advance(100ms);
    }
  }

  void Finish(const std::string& aId, AttemptOutcome aOutcome = AttemptOutcome::Succeeded)
  {
    scheduler->OnAttemptEnded(core::RequestId(aId), aOutcome);
  }
};

TEST(PlacementScheduler, DispatchesWhenASlotIsFree)
{
  AddUpstream("u", 1);
  Submit("a");
  Submit("b");
  STRCMP_EQUAL("u", listener.dispatched.at("a").c_str());
  CHECK_FALSE(listener.dispatched.contains("b"));
  Finish("a");
  STRCMP_EQUAL("u", listener.dispatched.at("b").c_str());
}

TEST(PlacementScheduler, MoreUrgentRequestGetsTheNextFreeSlot)
{
  AddUpstream("u", 1);
  Submit("a");
  Submit("low", 3);
  Submit("top", 0);
  Finish("a");
  CHECK(listener.dispatched.contains("top"));
  CHECK_FALSE(listener.dispatched.contains("low"));
}

TEST(PlacementScheduler, SlotsTakenByOtherHostsAreNotFree)
{
  AddUpstream("u", 2);
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 2, 0, timers.Now());
  Submit("a");
  CHECK_FALSE(listener.dispatched.contains("a"));
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 1, 0, timers.Now());
  timers.Advance(settings.tickInterval);
  CHECK(listener.dispatched.contains("a"));
}

TEST(PlacementScheduler, RequestThatWaitsTooLongIsShedWithRetryAfter)
{
  AddUpstream("u", 1);
  Submit("a");
  Submit("b");
  timers.Advance(10s);
  CHECK(listener.shed.at("b") == ShedReason::Overload);
  CHECK(listener.retryAfter.at("b") >= core::Duration::zero());
}

/// In a burst of many times the capacity, requests that would wait too long must be shed at once
/// and not after waiting.
TEST(PlacementScheduler, BurstIsShedAtOnce)
{
  AddUpstream("u", 4);
  for (int n = 0; n < 20; ++n) {
    Submit("warm" + std::to_string(n));
    timers.Advance(100ms);
    Finish("warm" + std::to_string(n));
  }
  for (int n = 0; n < 200; ++n) {
    Submit("burst" + std::to_string(n));
  }
  CHECK(listener.shed.size() > 100);
  CHECK(scheduler->QueueSize() < 100);
  for (const auto& [id, after] : listener.retryAfter) {
    CHECK(after >= settings.minRetryAfter);
    CHECK(after <= settings.maxRetryAfter);
  }
}

TEST(PlacementScheduler, OnlyTheChosenVersionGetsRequests)
{
  AddUpstream("old", 8, "v1");
  AddUpstream("new", 8, "v2");
  for (int n = 0; n < 8; ++n) {
    Submit(std::to_string(n));
  }
  for (const auto& [id, upstream] : listener.dispatched) {
    STRCMP_EQUAL("old", upstream.c_str());
  }
  versions.version = core::VersionId("v2");
  Submit("next");
  STRCMP_EQUAL("new", listener.dispatched.at("next").c_str());
}

TEST(PlacementScheduler, UpstreamOfThisDataCentreIsPreferredUntilFull)
{
  AddUpstream("far", 4, "v1", "there");
  AddUpstream("near", 4);
  for (int n = 0; n < 5; ++n) {
    RequestSpec spec = MakeSpec(std::to_string(n));
    spec.promptTokens.value = 0;
    spec.maxOutputTokens.value = 10;
    scheduler->Submit(spec);
  }
  STRCMP_EQUAL("near", listener.dispatched.at("0").c_str());
  STRCMP_EQUAL("far", listener.dispatched.at("4").c_str());
}

TEST(PlacementScheduler, RefusedRequestIsRetriedAtAnotherUpstream)
{
  AddUpstream("u1", 8);
  Submit("a");
  AddUpstream("u2", 8);
  Finish("a", AttemptOutcome::Refused);
  STRCMP_EQUAL("u2", listener.dispatched.at("a").c_str());
}

TEST(PlacementScheduler, RetriesAreBounded)
{
  AddUpstream("u1", 8);
  AddUpstream("u2", 8);
  for (int n = 0; n < 50; ++n) {
    const std::string id = std::to_string(n);
    Submit(id);
    for (int attempts = 0; attempts < 8 && !listener.shed.contains(id); ++attempts) {
      Finish(id, AttemptOutcome::Refused);
      timers.Advance(200ms);
    }
  }
  const double allowed =
    50 * (1 + settings.retryBudget.retryRatio) + settings.retryBudget.maxSavedRetries;
  CHECK(static_cast<double>(listener.dispatchOrder.size()) <= allowed);
}

TEST(PlacementScheduler, UnreachableUpstreamIsEjected)
{
  AddUpstream("dead", 8);
  Submit("a");
  Finish("a", AttemptOutcome::Unreachable);
  AddUpstream("alive", 8);
  for (int n = 0; n < 6; ++n) {
    Submit(std::to_string(n));
    STRCMP_EQUAL("alive", listener.dispatched.at(std::to_string(n)).c_str());
  }
}

TEST(PlacementScheduler, SilentUpstreamGetsNoNewRequests)
{
  AddUpstream("dark", 8);
  Submit("a");
  timers.Advance(1s);
  Submit("b");
  CHECK_FALSE(listener.dispatched.contains("b"));
  scheduler->OnFirstToken(core::RequestId("a"));
  timers.Advance(settings.tickInterval);
  CHECK(listener.dispatched.contains("b"));
}

TEST(PlacementScheduler, FailingUpstreamGetsFewRequests)
{
  AddUpstream("grey", 50);
  AddUpstream("sound", 50);
  int atGrey = 0;
  for (int n = 0; n < 200; ++n) {
    const std::string id = std::to_string(n);
    Submit(id);
    timers.Advance(10ms);
    const bool isAtGrey = listener.dispatched.at(id) == "grey";
    atGrey += isAtGrey && n >= 100 ? 1 : 0;
    Finish(id, isAtGrey && n % 2 == 0 ? AttemptOutcome::Failed : AttemptOutcome::Succeeded);
  }
  CHECK(atGrey < 25);
}

/// A third of the engines is several times slower. There a long prompt would stall the other
/// streams for longer than their callers tolerate, and a long response wouldn't end in time.
TEST(PlacementScheduler, LongPromptsAndResponsesAvoidSlowEngines)
{
  AddUpstream("slow", 15);
  AddUpstream("fast", 15);
  for (int n = 0; n < 40; ++n) {
    scheduler->RecordTokenInterval(core::UpstreamId("slow"), 16);
    scheduler->RecordTokenInterval(core::UpstreamId("fast"), 3);
  }
  scheduler->Upstreams().SetRemoteObservations(
    core::UpstreamId("slow"), { .firstEventCount = 20, .firstEventFactorSum = 60 });
  for (int n = 0; n < 10; ++n) {
    RequestSpec spec = MakeSpec("prompt" + std::to_string(n));
    spec.tokenGapTarget = 200ms;
    spec.tokensPerEvent = 6;
    spec.promptTokens.value = 6'600;
    scheduler->Submit(spec);
    STRCMP_EQUAL("fast", listener.dispatched.at(spec.id.Text()).c_str());
  }
  RequestSpec longResponse = MakeSpec("answer");
  longResponse.maxOutputTokens.value = 1'000; // 16 s at the slow engine.
  longResponse.promptTokens.value = 100;
  scheduler->Submit(longResponse);
  STRCMP_EQUAL("fast", listener.dispatched.at("answer").c_str());
}

TEST(PlacementScheduler, RequestThatNoUpstreamCanFinishInTimeIsDispatched)
{
  AddUpstream("only", 15);
  RequestSpec spec = MakeSpec("a");
  spec.maxOutputTokens.value = 100'000;
  scheduler->Submit(spec);
  CHECK(listener.dispatched.contains("a"));
}

/// All hosts share the same slots: the last ones are left to the most urgent requests of any host.
TEST(PlacementScheduler, LastSlotsAreReservedForTheMostUrgent)
{
  AddUpstream("u", 10);
  Submit("seen", 0);
  Finish("seen");
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 9, 0, timers.Now());
  Submit("low", 3);
  CHECK_FALSE(listener.dispatched.contains("low"));
  Submit("top", 0);
  CHECK(listener.dispatched.contains("top"));
}

TEST(PlacementScheduler, LateRequestsGetOnlySpareSlots)
{
  AddUpstream("u", 10);
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 10, 0, timers.Now());
  Submit("late", 0);
  timers.Advance(500ms); // Past its target.
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 8, 0, timers.Now());
  timers.Advance(settings.tickInterval);
  CHECK_FALSE(listener.dispatched.contains("late"));
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 6, 0, timers.Now());
  timers.Advance(settings.tickInterval);
  CHECK(listener.dispatched.contains("late"));
}

/// A burst at sixty hosts with stale figures of each other: no host may take more than its share of
/// the slots, though the engines look free.
TEST(PlacementScheduler, ContendingHostKeepsToItsShareOfTheSlots)
{
  for (int n = 0; n < 10; ++n) {
    AddUpstream("u" + std::to_string(n), 10);
  }
  Submit("seen", 0);
  Finish("seen");
  scheduler->SetRemoteDemand({ { { core::ServiceId("s"), 3 }, 380 } });
  for (int n = 0; n < 20; ++n) {
    Submit("low" + std::to_string(n), 3);
  }
  CHECK(listener.dispatched.size() <= 1 + 5); // 20 of a demand of 400, of 95 slots.
  CHECK(listener.dispatched.size() >= 1 + 2);
  scheduler->SetRemoteDemand({ { { core::ServiceId("s"), 3 }, 40 } });
  timers.Advance(settings.tickInterval);
  CHECK_EQUAL(1 + 20, listener.dispatched.size());
}

/// The same burst with more urgent requests at the other hosts: the slots are left to them except
/// for a small part, so that no rank starves.
TEST(PlacementScheduler, LessUrgentRequestsLeaveSlotsToUrgentOnesOfOtherHosts)
{
  for (int n = 0; n < 10; ++n) {
    AddUpstream("u" + std::to_string(n), 10);
  }
  const auto submit = [this](const std::string& aName) {
    for (int n = 0; n < 20; ++n) {
      RequestSpec spec = MakeSpec(aName + std::to_string(n), 3);
      spec.firstTokenTarget = 5s; // Not shed during the test.
      scheduler->Submit(spec);
    }
  };
  scheduler->SetRemoteDemand(
    { { { core::ServiceId("s"), 0 }, 200 }, { { core::ServiceId("s"), 3 }, 80 } });
  submit("low");
  RunWithRemoteDemand(
    { { { core::ServiceId("s"), 0 }, 200 }, { { core::ServiceId("s"), 3 }, 80 } });
  CHECK(listener.dispatched.size() <= 2); // A fifth of 5 slots.
  RunWithRemoteDemand({ { { core::ServiceId("s"), 0 }, 45 }, { { core::ServiceId("s"), 3 }, 80 } });
  CHECK(listener.dispatched.size() >= 8); // A fifth of the remaining 50 slots.
  CHECK(listener.dispatched.size() <= 12);
}

/// Engines that are too slow for the urgent requests must be used by the others.
TEST(PlacementScheduler, SlotsUnsuitableForUrgentRequestsAreUsedUnderContention)
{
  for (int n = 0; n < 5; ++n) {
    AddUpstream("fast" + std::to_string(n), 10);
    AddUpstream("slow" + std::to_string(n), 10);
    scheduler->Upstreams().SetRemoteObservations(core::UpstreamId("slow" + std::to_string(n)),
                                                 { .tokenIntervalCount = 20,
                                                   .tokenIntervalSumMs = 300,
                                                   .firstEventCount = 20,
                                                   .firstEventFactorSum = 60 });
    scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("fast" + std::to_string(n)), 9, 0,
                                         timers.Now());
  }
  RequestSpec urgent = MakeSpec("urgent", 0);
  urgent.promptTokens.value = 6'600;
  urgent.tokenGapTarget = 250ms;
  urgent.tokensPerEvent = 8;
  scheduler->Submit(urgent);
  scheduler->SetRemoteDemand(
    { { { core::ServiceId("s"), 0 }, 200 }, { { core::ServiceId("s"), 3 }, 20 } });
  for (int n = 0; n < 20; ++n) {
    RequestSpec spec = MakeSpec("low" + std::to_string(n), 3);
    spec.tokenGapTarget = 250ms;
    spec.tokensPerEvent = 8;
    spec.firstTokenTarget = 5s;
    scheduler->Submit(spec);
  }
  RunWithRemoteDemand({ { { core::ServiceId("s"), 0 }, 200 }, { { core::ServiceId("s"), 3 }, 20 } },
                      8s);
  CHECK(listener.dispatched.size() >= 1 + 18); // Half of a demand of 40, of 100 - 50 slots.
}

/// Guards against hosts that serve nothing more, because all of them suspect every engine and none
/// sends the request that would show that it is sound.
TEST(PlacementScheduler, SuspectedEnginesAreProbedUnderContention)
{
  AddUpstream("u1");
  AddUpstream("u2");
  const PlacementScheduler::RequestsByRank demand{ { { core::ServiceId("s"), 1 }, 40 } };
  std::size_t dispatched = 0;
  core::Instant lastProbe = timers.Now();
  for (int n = 0; n < 100; ++n) {
    scheduler->SetRemoteDemand(demand);
    for (const char* it : { "u1", "u2" }) {
      scheduler->Upstreams().SetRemoteReachability(core::UpstreamId(it), 3, 0, timers.Now());
    }
    Submit(std::to_string(n));
    timers.Advance(100ms);
    for (; dispatched < listener.dispatchOrder.size(); ++dispatched) {
      Finish(listener.dispatchOrder[dispatched], AttemptOutcome::BrokenOff);
      lastProbe = timers.Now();
    }
  }
  // In 10 s; each of them is probed every 1 to 3 s.
  CHECK(dispatched >= 6);
  CHECK(dispatched <= 20);
  CHECK(timers.Now() - lastProbe <= 4s);
}

/// Urgent requests, too, must queue in the host and not in the engines, where none can overtake.
TEST(PlacementScheduler, MostUrgentRequestsKeepToTheirShareUnderContention)
{
  for (int n = 0; n < 10; ++n) {
    AddUpstream("u" + std::to_string(n), 10);
  }
  scheduler->SetRemoteDemand({ { { core::ServiceId("s"), 0 }, 180 } });
  for (int n = 0; n < 20; ++n) {
    RequestSpec spec = MakeSpec("top" + std::to_string(n), 0);
    spec.firstTokenTarget = 5s;
    scheduler->Submit(spec);
  }
  RunWithRemoteDemand({ { { core::ServiceId("s"), 0 }, 180 } });
  CHECK(listener.dispatched.size() >= 8); // A tenth of 100 slots.
  CHECK(listener.dispatched.size() <= 11);
}

TEST(PlacementScheduler, RequestWithoutASlotDoesNotBlockThoseBehindIt)
{
  AddUpstream("slow", 15);
  AddUpstream("fast", 1);
  for (int n = 0; n < 40; ++n) {
    scheduler->RecordTokenInterval(core::UpstreamId("slow"), 20);
    scheduler->RecordTokenInterval(core::UpstreamId("fast"), 3);
  }
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("fast"), 1, 0, timers.Now());
  RequestSpec longOutput = MakeSpec("long");
  longOutput.maxOutputTokens.value = 1'500;
  scheduler->Submit(longOutput);
  CHECK_FALSE(listener.dispatched.contains("long"));
  RequestSpec shortOutput = MakeSpec("short");
  shortOutput.maxOutputTokens.value = 20;
  scheduler->Submit(shortOutput);
  STRCMP_EQUAL("slow", listener.dispatched.at("short").c_str());
}

TEST(PlacementScheduler, ReportsNoUpstreamIfThereIsNone)
{
  Submit("a");
  timers.Advance(10s);
  CHECK(listener.shed.at("a") == ShedReason::NoUpstream);
}

TEST(PlacementScheduler, ResumedStreamGoesAheadOfAllQueuedRequests)
{
  AddUpstream("u", 1);
  Submit("a");
  Submit("top", 0);
  RequestSpec spec = MakeSpec("resumed", 5);
  spec.resumed = true;
  spec.arrival -= 3s;
  scheduler->Submit(spec);
  Finish("a");
  CHECK(listener.dispatched.contains("resumed"));
}

TEST(PlacementScheduler, NewIncarnationOfAnUpstreamStartsWithoutHistory)
{
  AddUpstream("u", 4);
  Submit("a");
  Finish("a", AttemptOutcome::Unreachable);
  Submit("b");
  CHECK_FALSE(listener.dispatched.contains("b"));
  UpstreamAnnouncement upstream = scheduler->Upstreams().Find(core::UpstreamId("u"))->upstream;
  upstream.incarnation = core::Incarnation(2);
  scheduler->AddOrUpdateUpstream(upstream);
  CHECK(listener.dispatched.contains("b"));
}

/// Guards against requests with a fatal part that are sent again and again (BUDGET).
TEST(PlacementScheduler, QuarantinedRequestsAreNotSent)
{
  const auto quarantine = [&](std::uint64_t aRevision) {
    scheduler->UpdateQuarantine({ .revision = aRevision,
                                  .suspects = {},
                                  .quarantined = { { core::PromptPartId("fatal") } } });
  };
  const auto makeSpec = [&](const std::string& aId, const std::string& aPart) {
    RequestSpec spec = MakeSpec(aId);
    spec.sharedParts = { core::PromptPartId("common"), core::PromptPartId(aPart) };
    return spec;
  };
  AddUpstream("u", 1);
  scheduler->Submit(makeSpec("running", "fatal"));
  scheduler->Submit(makeSpec("queued", "fatal"));
  scheduler->Submit(makeSpec("sound", "other"));
  quarantine(1);
  CHECK(listener.shed.at("queued") == ShedReason::Quarantined);
  scheduler->Submit(makeSpec("late", "fatal"));
  CHECK(listener.shed.at("late") == ShedReason::Quarantined);
  // One that the upstream refused has not run either, and isn't sent to another one.
  Finish("running", AttemptOutcome::Refused);
  CHECK(listener.shed.at("running") == ShedReason::Quarantined);
  timers.Advance(settings.upstreamTable.refusalEjection + settings.tickInterval);
  CHECK(listener.dispatched.contains("sound"));
  CHECK(listener.retryAfter.at("late") == settings.quarantineRetryAfter);
}

/// Guards against a fatal part that is cleared by a failure response to a request with it.
TEST(PlacementScheduler, OnlyEventsAndSuccessesClearSuspectedParts)
{
  const auto submit = [&](const std::string& aId) {
    RequestSpec spec = MakeSpec(aId);
    spec.sharedParts = { core::PromptPartId(aId) };
    scheduler->Submit(std::move(spec));
  };
  const auto hasStarted = [&](const std::string& aPart) {
    return scheduler->Quarantine().Started().contains(
      { core::ServiceId("s"), core::PromptPartId(aPart) });
  };
  quarantine::QuarantineTable::State state{ .revision = 1, .suspects = {}, .quarantined = {} };
  AddUpstream("u", 8);
  for (const char* it : { "streaming", "answered", "failed", "rejected" }) {
    state.suspects.emplace_back(core::ServiceId("s"), core::PromptPartId(it));
    submit(it);
  }
  scheduler->UpdateQuarantine(std::move(state));
  scheduler->OnToken(core::RequestId("streaming"));
  CHECK(hasStarted("streaming"));
  for (const char* it : { "answered", "failed", "rejected" }) {
    scheduler->OnFirstToken(core::RequestId(it)); // The complete response.
  }
  Finish("answered");
  Finish("failed", AttemptOutcome::Failed);
  Finish("rejected", AttemptOutcome::RejectedInput);
  CHECK(hasStarted("answered"));
  CHECK_FALSE(hasStarted("failed"));
  CHECK_FALSE(hasStarted("rejected"));
}

TEST(PlacementScheduler, OnlyRequestsThatHadNotBegunAreReportedAfterACrash)
{
  const auto submit = [&](const std::string& aId, bool aResumed) {
    RequestSpec spec = MakeSpec(aId);
    spec.sharedParts = { core::PromptPartId(aId) };
    spec.resumed = aResumed;
    scheduler->Submit(std::move(spec));
  };
  AddUpstream("u", 8);
  submit("begun", false);
  submit("suspect", false);
  submit("resumed", true);
  submit("timed-out", false);
  scheduler->OnFirstToken(core::RequestId("begun"));
  scheduler->OnToken(core::RequestId("begun"));
  Finish("timed-out", AttemptOutcome::Failed);
  scheduler->Quarantine().OnBreakOff().connect(
    [&](const quarantine::Crash& aCrash) { scheduler->Quarantine().RecordCheck(aCrash, false); });
  for (const char* it : { "begun", "suspect", "resumed" }) {
    Finish(it, AttemptOutcome::BrokenOff);
  }
  const auto& reports = scheduler->Quarantine().PendingReports();
  CHECK_EQUAL(1, reports.size());
  STRCMP_EQUAL("suspect", reports[0].report.parts[0].part.Text().c_str());
  STRCMP_EQUAL("u", reports[0].report.crash.upstream.Text().c_str());
  CHECK_EQUAL(1, reports[0].report.crash.incarnation.Value());
}

/// Fault: a request whose target is two thirds of its deadline waited until its caller gave up.
TEST(PlacementScheduler, ARequestOfATightServiceIsRejectedWhileItsCallerHasHalfOfItsTime)
{
  const auto submit = [&](const std::string& aId) {
    RequestSpec spec = MakeSpec(aId);
    spec.firstTokenTarget = 2s;
    spec.deadline = spec.arrival + 3s;
    scheduler->Submit(std::move(spec));
  };
  AddUpstream("u", 1);
  submit("running");
  submit("usual");
  timers.Advance(2900ms);
  CHECK_FALSE(listener.shed.contains("usual"));
  scheduler->Withdraw(core::RequestId("usual"));
  scheduler->SetTightServices({ core::ServiceId("s") });
  submit("tight");
  timers.Advance(1400ms);
  CHECK_FALSE(listener.shed.contains("tight"));
  const auto load = scheduler->LocalLoad();
  DOUBLES_EQUAL(1, load.at({ core::ServiceId("s"), 1 }).waiting, 0);
  timers.Advance(120ms);
  CHECK(listener.shed.at("tight") == ShedReason::Overload);
  CHECK(listener.retryAfter.at("tight") <= 500ms);
}

/// With many hosts the queue of one is too short to predict from.
TEST(PlacementScheduler, ARequestIsRejectedAtArrivalForWhatWaitsAtOtherHosts)
{
  const core::ServiceId service("s");
  const auto submit = [&](const std::string& aId) {
    RequestSpec spec = MakeSpec(aId);
    spec.firstTokenTarget = 2s;
    spec.deadline = spec.arrival + 3s;
    scheduler->Submit(std::move(spec));
  };
  std::vector<WaitRejection> rejections;
  scheduler->OnWaitRejected().connect(
    [&](const RequestSpec&, const WaitRejection& aRejection) { rejections.push_back(aRejection); });
  scheduler->SetTightServices({ service });
  AddUpstream("u", 1);
  submit("running");
  const auto report = [&](double aWaiting) {
    for (int i = 0; i < 40; ++i) {
      scheduler->SetRemoteLoad(
        { { { service, 1 },
            { .requests = 100 + aWaiting, .waiting = aWaiting, .donePerSecond = 100 } } });
      timers.Advance(50ms);
    }
  };
  report(50);
  submit("short");
  CHECK(rejections.empty());
  scheduler->Withdraw(core::RequestId("short"));
  report(300);
  submit("long");
  CHECK(listener.shed.at("long") == ShedReason::Overload);
  CHECK(rejections.at(0).cause == WaitRejectionCause::Predicted);
  CHECK(rejections.at(0).predictedWait > 1500ms);
  CHECK(rejections.at(0).retryAfter <= 1s);
  CHECK(listener.retryAfter.at("long") == rejections.at(0).retryAfter);
  // The control host is silent: old sums must not reject for ever.
  timers.Advance(2s);
  submit("cut-off");
  CHECK_FALSE(listener.shed.contains("cut-off"));
}

/// After a burst, late requests that will not be served before their bound must make room.
TEST(PlacementScheduler, ALateRequestIsRejectedWhenOnTimeWorkWaits)
{
  scheduler->SetTightServices({ core::ServiceId("s") });
  AddUpstream("u", 1);
  Submit("running");
  timers.Advance(3s);
  const auto advance = [&](core::Duration aDuration) {
    for (core::Duration elapsed{ 0 }; elapsed < aDuration; elapsed += 20ms) {
      scheduler->SetRemoteLoad({ { { core::ServiceId("s"), 1 },
                                   { .requests = 150, .waiting = 50, .donePerSecond = 100 } } });
      timers.Advance(20ms);
    }
  };
  advance(3s);
  Submit("late"); // Predicted: 0.5 s of at most 0.8 s.
  advance(500ms);
  CHECK_FALSE(listener.shed.contains("late"));
  Submit("on-time");
  advance(40ms);
  CHECK(listener.shed.at("late") == ShedReason::Overload);
  Finish("running");
  CHECK(listener.dispatched.contains("on-time"));
}

/// Guards against requests to an evacuated data centre, also at upstreams that register there later
/// and by retries, and against running work that is cut off.
TEST(PlacementScheduler, EvacuatedDataCentreGetsNothingNew)
{
  AddUpstream("near", 4);
  AddUpstream("far", 4, "v1", "there");
  Submit("running");
  scheduler->SetEvacuated({ core::DataCentreId("there") });
  AddUpstream("late", 4, "v1", "there");
  for (int n = 0; n < 6; ++n) {
    Submit("r" + std::to_string(n));
    timers.Advance(20ms);
  }
  for (const auto& [id, upstream] : listener.dispatched) {
    CHECK(id == "running" || upstream == "near");
  }
  DOUBLES_EQUAL(4, scheduler->Upstreams().SuitableEngineSlots(MakeSpec("x"), timers.Now()), 0);
  CHECK(scheduler->Upstreams().FreeEngineSlots(core::ServiceId("s"), timers.Now()) <= 4);
  scheduler->SetEvacuated({ core::DataCentreId("here") });
  CHECK_EQUAL(0, listener.shed.size());
  timers.Advance(20ms);
  CHECK(listener.dispatched.contains("r4"));
  STRCMP_EQUAL("near", listener.dispatched.at("r0").c_str());
  Finish("r0", AttemptOutcome::Unreachable);
  CHECK(listener.dispatched.at("r0") != "near");
}

/// Guards against requests that wait for an upstream that no longer takes any.
TEST(PlacementScheduler, RequestsWithoutAnUpstreamLeftAreShedAtOnce)
{
  AddUpstream("u", 1);
  Submit("running");
  Submit("waiting");
  CHECK_EQUAL(1, scheduler->QueueSize());
  scheduler->SetEvacuated({ core::DataCentreId("here") });
  CHECK(listener.shed.at("waiting") == ShedReason::Evacuated);
  CHECK(listener.retryAfter.at("waiting") >= settings.registrationInterval);
  Submit("new");
  CHECK(listener.shed.at("new") == ShedReason::Evacuated);
  Finish("running");
  CHECK_FALSE(listener.shed.contains("running"));
  scheduler->SetEvacuated({});
  Submit("after");
  STRCMP_EQUAL("u", listener.dispatched.at("after").c_str());
}

/// Guards against an evacuation elsewhere that changes how requests wait for the first upstream.
TEST(PlacementScheduler, EvacuationElsewhereDoesNotShedRequestsWithoutAnUpstream)
{
  scheduler->SetEvacuated({ core::DataCentreId("there") });
  Submit("a");
  timers.Advance(100ms);
  CHECK_EQUAL(1, scheduler->QueueSize());
  AddUpstream("u");
  STRCMP_EQUAL("u", listener.dispatched.at("a").c_str());
}

/// Guards against requests to an upstream that may be cold, before others know that its data centre
/// is evacuated no longer.
TEST(PlacementScheduler, EndOfAnEvacuationIsAnnouncedBeforeRequestsGoThere)
{
  std::vector<std::string> released;
  std::size_t dispatchedBefore = 0;
  scheduler->OnEvacuationEnded().connect([&](const UpstreamAnnouncement& aUpstream) {
    released.push_back(aUpstream.id.Text());
    dispatchedBefore = listener.dispatched.size();
  });
  AddUpstream("near", 1);
  AddUpstream("far", 1, "v1", "there");
  scheduler->SetEvacuated({ core::DataCentreId("there") });
  Submit("a");
  Submit("b");
  scheduler->SetEvacuated({ core::DataCentreId("there") });
  CHECK_EQUAL(0, released.size());
  CHECK_EQUAL(1, listener.dispatched.size());
  scheduler->SetEvacuated({});
  CHECK_EQUAL(1, released.size());
  STRCMP_EQUAL("far", released.front().c_str());
  CHECK_EQUAL(1, dispatchedBefore);
  STRCMP_EQUAL("far", listener.dispatched.at("b").c_str());
}
