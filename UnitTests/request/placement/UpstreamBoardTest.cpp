#include "cuminfield/request/placement/UpstreamBoard.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamBoard)
{
  core::Random random{ 5 };
  const UpstreamBoardSettings settings{};
  UpstreamBoard board{ settings, core::DataCentreId("here"), random };
  core::Instant now{ 100s };

  void Up(const std::string& aId, std::uint32_t aSlots = 10)
  {
    UpstreamAnnouncement upstream;
    upstream.id = core::UpstreamId(aId);
    upstream.incarnation = core::Incarnation(1);
    upstream.service = core::ServiceId("s");
    upstream.dataCentre = core::DataCentreId("here");
    upstream.slots = aSlots;
    upstream.engine = true;
    board.Up(upstream);
  }

  static RequestSpec Spec(std::int64_t aPrompt = 600)
  {
    RequestSpec spec;
    spec.service = core::ServiceId("s");
    spec.deadline = core::Instant(115s);
    spec.firstTokenTarget = 400ms;
    spec.tokenGapTarget = 250ms;
    spec.eventTokens = 8;
    spec.prompt.value = aPrompt;
    spec.maxAnswer.value = 200;
    spec.engine = true;
    return spec;
  }

  std::string Chosen(const RequestSpec& aSpec)
  {
    const BoardEntry* entry =
      board.Choose(aSpec, {}, Pressure::Lower, UpstreamBoard::Free::Any, now);
    return entry ? entry->upstream.id.Text() : "none";
  }

  /// Sends a request that is never answered.
  void Hang(const std::string& aId)
  {
    board.Dispatched(*board.Find(core::UpstreamId(aId)), Spec(), now);
  }

  void SetTrust(const std::string& aId, std::uint32_t aDoubting, std::uint32_t aTrusting)
  {
    board.SetTrust(core::UpstreamId(aId), aDoubting, aTrusting, now);
  }
};

/// Sixty hosts and sixty engines, a third of them three times slower: each pair meets every few
/// seconds only, so a host that went by its own answers would learn of it when the day is over.
TEST(UpstreamBoard, AnEngineThatOthersFoundSlowGetsNoLongPrompt)
{
  Up("slow");
  Up("fast");
  board.SetTold(core::UpstreamId("slow"),
                { .paces = 30, .tokenMs = 390, .firsts = 10, .firstFactor = 30 });
  board.SetTold(core::UpstreamId("fast"),
                { .paces = 30, .tokenMs = 90, .firsts = 10, .firstFactor = 7 });
  for (int n = 0; n < 20; ++n) {
    STRCMP_EQUAL("fast", Chosen(Spec(6'600)).c_str());
  }
}

TEST(UpstreamBoard, OneThatOthersFoundFailingIsLeftAlone)
{
  Up("failing");
  Up("sound");
  board.SetTold(core::UpstreamId("failing"), { .answers = 20, .failures = 8 });
  board.SetTold(core::UpstreamId("sound"), { .answers = 20 });
  for (int n = 0; n < 20; ++n) {
    STRCMP_EQUAL("sound", Chosen(Spec()).c_str());
  }
}

TEST(UpstreamBoard, OneFailureDoesNotCondemn)
{
  Up("only-once");
  Up("other");
  BoardEntry& entry = *board.Find(core::UpstreamId("only-once"));
  board.Dispatched(entry, Spec(), now);
  board.Ended(entry, Spec(), TryOutcome::Failed, false, now);
  for (int n = 0; n < 10; ++n) {
    board.Dispatched(*board.Find(core::UpstreamId("other")), Spec(), now);
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
    if (BoardEntry* entry =
          board.Choose(Spec(), {}, Pressure::Lower, UpstreamBoard::Free::Any, now)) {
      ++tried;
      board.Dispatched(*entry, Spec(), now);
      board.Ended(*entry, Spec(), TryOutcome::Cancelled, false, now);
    }
  }
  CHECK(tried >= 3); // In 10 s.
  CHECK(tried <= 10);
  BoardEntry& entry = *board.Find(core::UpstreamId("u"));
  board.Heard(entry, now);
  STRCMP_EQUAL("u", Chosen(Spec()).c_str());
}

TEST(UpstreamBoard, AHostThatHearsNothingDoubtsAndOneThatHearsVouches)
{
  Up("u");
  BoardEntry& entry = *board.Find(core::UpstreamId("u"));
  CHECK_EQUAL(0, board.Opinion(entry, now).doubting + board.Opinion(entry, now).trusting);
  Hang("u");
  now += settings.engineSilence + 1ms;
  CHECK_EQUAL(1, board.Opinion(entry, now).doubting);
  board.Heard(entry, now);
  CHECK_EQUAL(0, board.Opinion(entry, now).doubting);
  CHECK_EQUAL(1, board.Opinion(entry, now).trusting);
  now += settings.trustLasts + 1ms;
  CHECK_EQUAL(0, board.Opinion(entry, now).trusting);
}

/// One request hangs at an upstream that works: it must not bar the upstream for as long as its
/// caller waits, nor may more and more requests be sent after it where nothing is answered.
TEST(UpstreamBoard, AHungRequestDoesNotBarAnUpstreamThatOthersHearFrom)
{
  Up("u");
  Hang("u");
  now += settings.engineSilence + 1ms;
  STRCMP_EQUAL("none", Chosen(Spec()).c_str());
  SetTrust("u", 0, 5);
  STRCMP_EQUAL("u", Chosen(Spec()).c_str());
  int sent = 0;
  for (int n = 0; n < 500; ++n, now += 20ms) {
    if (BoardEntry* entry =
          board.Choose(Spec(), {}, Pressure::Lower, UpstreamBoard::Free::Any, now)) {
      ++sent;
      board.Dispatched(*entry, Spec(), now);
    }
  }
  CHECK(sent >= 2);
  CHECK(sent <= 5);
}

TEST(UpstreamBoard, WhatWasSeenLongAgoCountsLittle)
{
  Up("u");
  BoardEntry& entry = *board.Find(core::UpstreamId("u"));
  for (int n = 0; n < 20; ++n) {
    board.Paced(entry, 50, now);
  }
  now += 30s;
  for (int n = 0; n < 5; ++n) {
    board.Paced(entry, 4, now);
  }
  CHECK(board.TokenMs(entry) < 5);
}
