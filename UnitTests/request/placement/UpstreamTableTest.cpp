#include "cuminfield/request/placement/UpstreamTable.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamBoard)
{
  core::Random random{ 5 };
  const UpstreamTableSettings settings{};
  UpstreamTable board{ settings, core::DataCentreId("here"), random };
  core::Instant now{ 100s };

  void Up(const std::string& aId, std::uint32_t aSlots = 10)
  {
    UpstreamAnnouncement upstream;
    upstream.id = core::UpstreamId(aId);
    upstream.incarnation = core::Incarnation(1);
    upstream.service = core::ServiceId("s");
    upstream.dataCentre = core::DataCentreId("here");
    upstream.slots = aSlots;
    upstream.isEngine = true;
    board.AddOrUpdateUpstream(upstream);
  }

  static RequestSpec Spec(std::int64_t aPrompt = 600)
  {
    RequestSpec spec;
    spec.service = core::ServiceId("s");
    spec.deadline = core::Instant(115s);
    spec.firstTokenTarget = 400ms;
    spec.tokenGapTarget = 250ms;
    spec.tokensPerEvent = 8;
    spec.promptTokens.value = aPrompt;
    spec.maxOutputTokens.value = 200;
    spec.needsEngine = true;
    return spec;
  }

  std::string Chosen(const RequestSpec& aSpec)
  {
    const UpstreamEntry* entry =
      board.Choose(aSpec, {}, Urgency::Normal, UpstreamTable::SlotFilter::Any, now);
    return entry ? entry->upstream.id.Text() : "none";
  }

  /// Sends a request that is never answered.
  void Hang(const std::string& aId)
  {
    board.RecordDispatch(*board.Find(core::UpstreamId(aId)), Spec(), now);
  }

  void SetTrust(const std::string& aId, std::uint32_t aDoubting, std::uint32_t aTrusting)
  {
    board.SetRemoteReachability(core::UpstreamId(aId), aDoubting, aTrusting, now);
  }
};

/// Sixty hosts and sixty engines, a third of them three times slower: each pair meets every few
/// seconds only, so a host that went by its own answers would learn of it when the day is over.
TEST(UpstreamBoard, AnEngineThatOthersFoundSlowGetsNoLongPrompt)
{
  Up("slow");
  Up("fast");
  board.SetRemoteObservations(core::UpstreamId("slow"), { .tokenIntervalCount = 30,
                                                          .tokenIntervalSumMs = 390,
                                                          .firstEventCount = 10,
                                                          .firstEventFactorSum = 30 });
  board.SetRemoteObservations(core::UpstreamId("fast"), { .tokenIntervalCount = 30,
                                                          .tokenIntervalSumMs = 90,
                                                          .firstEventCount = 10,
                                                          .firstEventFactorSum = 7 });
  for (int n = 0; n < 20; ++n) {
    STRCMP_EQUAL("fast", Chosen(Spec(6'600)).c_str());
  }
}

TEST(UpstreamBoard, OneThatOthersFoundFailingIsLeftAlone)
{
  Up("failing");
  Up("sound");
  board.SetRemoteObservations(core::UpstreamId("failing"),
                              { .attemptCount = 20, .failureCount = 8 });
  board.SetRemoteObservations(core::UpstreamId("sound"), { .attemptCount = 20 });
  for (int n = 0; n < 20; ++n) {
    STRCMP_EQUAL("sound", Chosen(Spec()).c_str());
  }
}

TEST(UpstreamBoard, OneFailureDoesNotCondemn)
{
  Up("only-once");
  Up("other");
  UpstreamEntry& entry = *board.Find(core::UpstreamId("only-once"));
  board.RecordDispatch(entry, Spec(), now);
  board.RecordAttemptEnd(entry, Spec(), AttemptOutcome::Failed, false, now);
  for (int n = 0; n < 10; ++n) {
    board.RecordDispatch(*board.Find(core::UpstreamId("other")), Spec(), now);
  }
  STRCMP_EQUAL("only-once", Chosen(Spec()).c_str());
}

/// An engine goes dark with the requests of ten hosts; the fifty others must not lose theirs, too.
TEST(UpstreamBoard, OneFromWhichOthersHearNothingIsLeftAlone)
{
  Up("dark");
  SetTrust("dark", 10, 0);
  STRCMP_EQUAL("none", Chosen(Spec()).c_str());
  SetTrust("dark", 10, 11);
  STRCMP_EQUAL("dark", Chosen(Spec()).c_str());
}

/// Hosts that are cut off from an upstream doubt it; the others find out that they are not, though
/// nobody sends it anything any more.
TEST(UpstreamBoard, ADoubtedOneIsTriedNowAndThen)
{
  Up("u");
  SetTrust("u", 2, 0);
  int tried = 0;
  for (int n = 0; n < 500; ++n, now += 20ms) {
    if (UpstreamEntry* entry =
          board.Choose(Spec(), {}, Urgency::Normal, UpstreamTable::SlotFilter::Any, now)) {
      ++tried;
      board.RecordDispatch(*entry, Spec(), now);
      board.RecordAttemptEnd(*entry, Spec(), AttemptOutcome::Cancelled, false, now);
    }
  }
  CHECK(tried >= 3); // In 10 s.
  CHECK(tried <= 10);
  UpstreamEntry& entry = *board.Find(core::UpstreamId("u"));
  board.RecordActivity(entry, now);
  STRCMP_EQUAL("u", Chosen(Spec()).c_str());
}

TEST(UpstreamBoard, AHostThatHearsNothingDoubtsAndOneThatHearsVouches)
{
  Up("u");
  UpstreamEntry& entry = *board.Find(core::UpstreamId("u"));
  CHECK_EQUAL(0, board.LocalObservations(entry, now).suspectingHosts +
                   board.LocalObservations(entry, now).confirmingHosts);
  Hang("u");
  now += settings.engineSilenceTimeout + 1ms;
  CHECK_EQUAL(1, board.LocalObservations(entry, now).suspectingHosts);
  board.RecordActivity(entry, now);
  CHECK_EQUAL(0, board.LocalObservations(entry, now).suspectingHosts);
  CHECK_EQUAL(1, board.LocalObservations(entry, now).confirmingHosts);
  now += settings.confirmationLifetime + 1ms;
  CHECK_EQUAL(0, board.LocalObservations(entry, now).confirmingHosts);
}

/// One request hangs at an upstream that works: it must not bar the upstream for as long as its
/// caller waits, nor may more and more requests be sent after it where nothing is answered.
TEST(UpstreamBoard, AHungRequestDoesNotBarAnUpstreamThatOthersHearFrom)
{
  Up("u");
  Hang("u");
  now += settings.engineSilenceTimeout + 1ms;
  STRCMP_EQUAL("none", Chosen(Spec()).c_str());
  SetTrust("u", 0, 5);
  STRCMP_EQUAL("u", Chosen(Spec()).c_str());
  int sent = 0;
  for (int n = 0; n < 500; ++n, now += 20ms) {
    if (UpstreamEntry* entry =
          board.Choose(Spec(), {}, Urgency::Normal, UpstreamTable::SlotFilter::Any, now)) {
      ++sent;
      board.RecordDispatch(*entry, Spec(), now);
    }
  }
  CHECK(sent >= 2);
  CHECK(sent <= 5);
}

TEST(UpstreamBoard, WhatWasSeenLongAgoCountsLittle)
{
  Up("u");
  UpstreamEntry& entry = *board.Find(core::UpstreamId("u"));
  for (int n = 0; n < 20; ++n) {
    board.RecordTokenInterval(entry, 50, now);
  }
  now += 30s;
  for (int n = 0; n < 5; ++n) {
    board.RecordTokenInterval(entry, 4, now);
  }
  CHECK(board.TokenIntervalMs(entry) < 5);
}
