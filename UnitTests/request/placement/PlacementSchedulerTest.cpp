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

class Listener : public SchedulerListener
{
public:
  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override
  {
    placed[aRequest.Text()] = aUpstream.id.Text();
    order.push_back(aRequest.Text());
  }
  void OnShed(const core::RequestId& aRequest, ShedReason aReason, core::Duration aAfter) override
  {
    shed[aRequest.Text()] = aReason;
    retryAfter[aRequest.Text()] = aAfter;
  }

  std::map<std::string, std::string> placed;
  std::vector<std::string> order;
  std::map<std::string, ShedReason> shed;
  std::map<std::string, core::Duration> retryAfter;
};

class OneVersion : public VersionChooser
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
  Listener listener;
  OneVersion versions;
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

  void Up(const std::string& aId, std::uint32_t aSlots = 2, const std::string& aVersion = "v1",
          const std::string& aDataCentre = "here")
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

  RequestSpec Spec(const std::string& aId, TierRank aRank = 1) const
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
    scheduler->Submit(Spec(aId, aRank));
  }

  /// Figures of the other hosts come, and come again, while the answers go on.
  void OthersWant(const PlacementScheduler::RequestsByRank& aWanted, core::Duration aFor = 1s)
  {
    for (core::Duration passed{ 0 }; passed < aFor; passed += 100ms) {
      scheduler->SetRemoteDemand(aWanted);
      for (const auto& [id, upstream] : listener.placed) {
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

TEST(PlacementScheduler, ARequestGoesOutWhenAPlaceIsFree)
{
  Up("u", 1);
  Submit("a");
  Submit("b");
  STRCMP_EQUAL("u", listener.placed.at("a").c_str());
  CHECK_FALSE(listener.placed.contains("b"));
  Finish("a");
  STRCMP_EQUAL("u", listener.placed.at("b").c_str());
}

TEST(PlacementScheduler, TheMoreUrgentTakesTheNextFreePlace)
{
  Up("u", 1);
  Submit("a");
  Submit("low", 3);
  Submit("top", 0);
  Finish("a");
  CHECK(listener.placed.contains("top"));
  CHECK_FALSE(listener.placed.contains("low"));
}

TEST(PlacementScheduler, PlacesThatOtherHostsTookAreNotFree)
{
  Up("u", 2);
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 2, 0, timers.Now());
  Submit("a");
  CHECK_FALSE(listener.placed.contains("a"));
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 1, 0, timers.Now());
  timers.Advance(settings.tickInterval);
  CHECK(listener.placed.contains("a"));
}

TEST(PlacementScheduler, OneThatWaitsTooLongIsTurnedAwayWithATimeToComeBack)
{
  Up("u", 1);
  Submit("a");
  Submit("b");
  timers.Advance(10s);
  CHECK(listener.shed.at("b") == ShedReason::Overload);
  CHECK(listener.retryAfter.at("b") >= core::Duration::zero());
}

/// A burst of many times what can be served: whoever would wait too long is told at once, not
/// after waiting.
TEST(PlacementScheduler, ABurstIsTurnedAwayAtOnce)
{
  Up("u", 4);
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
  Up("old", 8, "v1");
  Up("new", 8, "v2");
  for (int n = 0; n < 8; ++n) {
    Submit(std::to_string(n));
  }
  for (const auto& [id, upstream] : listener.placed) {
    STRCMP_EQUAL("old", upstream.c_str());
  }
  versions.version = core::VersionId("v2");
  Submit("next");
  STRCMP_EQUAL("new", listener.placed.at("next").c_str());
}

TEST(PlacementScheduler, AnUpstreamOfThisDataCentreIsPreferredUntilItIsFull)
{
  Up("far", 4, "v1", "there");
  Up("near", 4);
  for (int n = 0; n < 5; ++n) {
    RequestSpec spec = Spec(std::to_string(n));
    spec.promptTokens.value = 0;
    spec.maxOutputTokens.value = 10;
    scheduler->Submit(spec);
  }
  STRCMP_EQUAL("near", listener.placed.at("0").c_str());
  STRCMP_EQUAL("far", listener.placed.at("4").c_str());
}

TEST(PlacementScheduler, ARefusedRequestGoesElsewhere)
{
  Up("u1", 8);
  Submit("a");
  Up("u2", 8);
  Finish("a", AttemptOutcome::Refused);
  STRCMP_EQUAL("u2", listener.placed.at("a").c_str());
}

TEST(PlacementScheduler, RetriesAreBounded)
{
  Up("u1", 8);
  Up("u2", 8);
  for (int n = 0; n < 50; ++n) {
    const std::string id = std::to_string(n);
    Submit(id);
    for (int tries = 0; tries < 8 && !listener.shed.contains(id); ++tries) {
      Finish(id, AttemptOutcome::Refused);
      timers.Advance(200ms);
    }
  }
  const double allowed =
    50 * (1 + settings.retryBudget.retryRatio) + settings.retryBudget.maxSavedRetries;
  CHECK(static_cast<double>(listener.order.size()) <= allowed);
}

TEST(PlacementScheduler, AnUpstreamThatCannotBeReachedIsLeftAlone)
{
  Up("dead", 8);
  Submit("a");
  Finish("a", AttemptOutcome::Unreachable);
  Up("alive", 8);
  for (int n = 0; n < 6; ++n) {
    Submit(std::to_string(n));
    STRCMP_EQUAL("alive", listener.placed.at(std::to_string(n)).c_str());
  }
}

TEST(PlacementScheduler, AnUpstreamThatIsSilentGetsNoMore)
{
  Up("dark", 8);
  Submit("a");
  timers.Advance(1s);
  Submit("b");
  CHECK_FALSE(listener.placed.contains("b"));
  scheduler->OnFirstToken(core::RequestId("a"));
  timers.Advance(settings.tickInterval);
  CHECK(listener.placed.contains("b"));
}

TEST(PlacementScheduler, AnUpstreamThatFailsALotLosesItsPlaceToOthers)
{
  Up("grey", 50);
  Up("sound", 50);
  int atGrey = 0;
  for (int n = 0; n < 200; ++n) {
    const std::string id = std::to_string(n);
    Submit(id);
    timers.Advance(10ms);
    const bool grey = listener.placed.at(id) == "grey";
    atGrey += grey && n >= 100 ? 1 : 0;
    Finish(id, grey && n % 2 == 0 ? AttemptOutcome::Failed : AttemptOutcome::Succeeded);
  }
  CHECK(atGrey < 25);
}

/// A third of the engines is several times slower: a long prompt read there would make the streams
/// beside it pause for longer than their callers bear, and a long answer would never end.
TEST(PlacementScheduler, LongPromptsAndLongAnswersKeepAwayFromSlowEngines)
{
  Up("slow", 15);
  Up("fast", 15);
  for (int n = 0; n < 40; ++n) {
    scheduler->RecordTokenInterval(core::UpstreamId("slow"), 16);
    scheduler->RecordTokenInterval(core::UpstreamId("fast"), 3);
  }
  scheduler->Upstreams().SetRemoteObservations(
    core::UpstreamId("slow"), { .firstEventCount = 20, .firstEventFactorSum = 60 });
  for (int n = 0; n < 10; ++n) {
    RequestSpec spec = Spec("prompt" + std::to_string(n));
    spec.tokenGapTarget = 200ms;
    spec.tokensPerEvent = 6;
    spec.promptTokens.value = 6'600;
    scheduler->Submit(spec);
    STRCMP_EQUAL("fast", listener.placed.at(spec.id.Text()).c_str());
  }
  RequestSpec answer = Spec("answer");
  answer.maxOutputTokens.value = 1'000; // 16 s on the slow one.
  answer.promptTokens.value = 100;
  scheduler->Submit(answer);
  STRCMP_EQUAL("fast", listener.placed.at("answer").c_str());
}

TEST(PlacementScheduler, AnAnswerThatNobodyCanEndInTimeIsStillTried)
{
  Up("only", 15);
  RequestSpec spec = Spec("a");
  spec.maxOutputTokens.value = 100'000;
  scheduler->Submit(spec);
  CHECK(listener.placed.contains("a"));
}

/// All hosts see the same places: the last ones are left to the most urgent of every host.
TEST(PlacementScheduler, TheLastPlacesAreForTheMostUrgent)
{
  Up("u", 10);
  Submit("seen", 0);
  Finish("seen");
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 9, 0, timers.Now());
  Submit("low", 3);
  CHECK_FALSE(listener.placed.contains("low"));
  Submit("top", 0);
  CHECK(listener.placed.contains("top"));
}

TEST(PlacementScheduler, LateOnesGetOnlySparePlaces)
{
  Up("u", 10);
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 10, 0, timers.Now());
  Submit("late", 0);
  timers.Advance(500ms); // Past its target.
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 8, 0, timers.Now());
  timers.Advance(settings.tickInterval);
  CHECK_FALSE(listener.placed.contains("late"));
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("u"), 6, 0, timers.Now());
  timers.Advance(settings.tickInterval);
  CHECK(listener.placed.contains("late"));
}

/// Sixty hosts in a burst, whose figures of each other are old: none of them takes more than its
/// part of the places, though the engines look free.
TEST(PlacementScheduler, InACrowdAHostKeepsToItsShareOfThePlaces)
{
  for (int n = 0; n < 10; ++n) {
    Up("u" + std::to_string(n), 10);
  }
  Submit("seen", 0);
  Finish("seen");
  scheduler->SetRemoteDemand({ { { core::ServiceId("s"), 3 }, 380 } });
  for (int n = 0; n < 20; ++n) {
    Submit("low" + std::to_string(n), 3);
  }
  CHECK(listener.placed.size() <= 1 + 5); // 20 of 400 that are wanted, of 95 places.
  CHECK(listener.placed.size() >= 1 + 2);
  scheduler->SetRemoteDemand({ { { core::ServiceId("s"), 3 }, 40 } });
  timers.Advance(settings.tickInterval);
  CHECK_EQUAL(1 + 20, listener.placed.size());
}

/// The same burst, where the others' requests are more urgent: what they want is left to them, but
/// for a small part, so that no rank starves.
TEST(PlacementScheduler, InACrowdTheLessUrgentLeaveThePlacesToTheUrgentOfOtherHosts)
{
  for (int n = 0; n < 10; ++n) {
    Up("u" + std::to_string(n), 10);
  }
  const auto submit = [this](const std::string& aName) {
    for (int n = 0; n < 20; ++n) {
      RequestSpec spec = Spec(aName + std::to_string(n), 3);
      spec.firstTokenTarget = 5s; // It waits for as long as the test takes.
      scheduler->Submit(spec);
    }
  };
  scheduler->SetRemoteDemand(
    { { { core::ServiceId("s"), 0 }, 200 }, { { core::ServiceId("s"), 3 }, 80 } });
  submit("low");
  OthersWant({ { { core::ServiceId("s"), 0 }, 200 }, { { core::ServiceId("s"), 3 }, 80 } });
  CHECK(listener.placed.size() <= 2); // A fifth of 5 places.
  OthersWant({ { { core::ServiceId("s"), 0 }, 45 }, { { core::ServiceId("s"), 3 }, 80 } });
  CHECK(listener.placed.size() >= 8); // A fifth of the 50 that are left.
  CHECK(listener.placed.size() <= 12);
}

/// Engines that are too slow for the urgent requests are free for the others.
TEST(PlacementScheduler, InACrowdThePlacesThatDoNotSuitTheUrgentAreUsed)
{
  for (int n = 0; n < 5; ++n) {
    Up("fast" + std::to_string(n), 10);
    Up("slow" + std::to_string(n), 10);
    scheduler->Upstreams().SetRemoteObservations(core::UpstreamId("slow" + std::to_string(n)),
                                                 { .tokenIntervalCount = 20,
                                                   .tokenIntervalSumMs = 300,
                                                   .firstEventCount = 20,
                                                   .firstEventFactorSum = 60 });
    scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("fast" + std::to_string(n)), 9, 0,
                                         timers.Now());
  }
  RequestSpec urgent = Spec("urgent", 0);
  urgent.promptTokens.value = 6'600;
  urgent.tokenGapTarget = 250ms;
  urgent.tokensPerEvent = 8;
  scheduler->Submit(urgent);
  scheduler->SetRemoteDemand(
    { { { core::ServiceId("s"), 0 }, 200 }, { { core::ServiceId("s"), 3 }, 20 } });
  for (int n = 0; n < 20; ++n) {
    RequestSpec spec = Spec("low" + std::to_string(n), 3);
    spec.tokenGapTarget = 250ms;
    spec.tokensPerEvent = 8;
    spec.firstTokenTarget = 5s;
    scheduler->Submit(spec);
  }
  OthersWant({ { { core::ServiceId("s"), 0 }, 200 }, { { core::ServiceId("s"), 3 }, 20 } }, 8s);
  CHECK(listener.placed.size() >= 1 + 18); // Half of 40 that are wanted, of 100 - 50 places.
}

/// Urgent requests, too, wait here and not in the engines, where nobody can overtake.
TEST(PlacementScheduler, InACrowdTheMostUrgentKeepToTheirShare)
{
  for (int n = 0; n < 10; ++n) {
    Up("u" + std::to_string(n), 10);
  }
  scheduler->SetRemoteDemand({ { { core::ServiceId("s"), 0 }, 180 } });
  for (int n = 0; n < 20; ++n) {
    RequestSpec spec = Spec("top" + std::to_string(n), 0);
    spec.firstTokenTarget = 5s;
    scheduler->Submit(spec);
  }
  OthersWant({ { { core::ServiceId("s"), 0 }, 180 } });
  CHECK(listener.placed.size() >= 8); // A tenth of 100 places.
  CHECK(listener.placed.size() <= 11);
}

TEST(PlacementScheduler, OneThatFindsNoPlaceDoesNotHoldUpThoseBehindIt)
{
  Up("slow", 15);
  Up("fast", 1);
  for (int n = 0; n < 40; ++n) {
    scheduler->RecordTokenInterval(core::UpstreamId("slow"), 20);
    scheduler->RecordTokenInterval(core::UpstreamId("fast"), 3);
  }
  scheduler->Upstreams().SetRemoteLoad(core::UpstreamId("fast"), 1, 0, timers.Now());
  RequestSpec longAnswer = Spec("long");
  longAnswer.maxOutputTokens.value = 1'500;
  scheduler->Submit(longAnswer);
  CHECK_FALSE(listener.placed.contains("long"));
  RequestSpec shortAnswer = Spec("short");
  shortAnswer.maxOutputTokens.value = 20;
  scheduler->Submit(shortAnswer);
  STRCMP_EQUAL("slow", listener.placed.at("short").c_str());
}

TEST(PlacementScheduler, WithoutAnyUpstreamTheReasonIsTold)
{
  Submit("a");
  timers.Advance(10s);
  CHECK(listener.shed.at("a") == ShedReason::NoUpstream);
}

TEST(PlacementScheduler, AResumedStreamGoesBeforeAllThatWait)
{
  Up("u", 1);
  Submit("a");
  Submit("top", 0);
  RequestSpec spec = Spec("resumed", 5);
  spec.resumed = true;
  spec.arrival -= 3s;
  scheduler->Submit(spec);
  Finish("a");
  CHECK(listener.placed.contains("resumed"));
}

TEST(PlacementScheduler, ANewLifeOfAnUpstreamStartsWithoutThePast)
{
  Up("u", 4);
  Submit("a");
  Finish("a", AttemptOutcome::Unreachable);
  Submit("b");
  CHECK_FALSE(listener.placed.contains("b"));
  UpstreamAnnouncement upstream = scheduler->Upstreams().Find(core::UpstreamId("u"))->upstream;
  upstream.incarnation = core::Incarnation(2);
  scheduler->AddOrUpdateUpstream(upstream);
  CHECK(listener.placed.contains("b"));
}
