#include "cuminfield/request/quarantine/CrashAttribution.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cuminfield;
using namespace cuminfield::request::quarantine;

TEST_GROUP(CrashAttribution)
{
  CrashAttribution crashes;
  std::uint64_t nowMs = 1'000'000;

  static ServicePart Part(const std::string& aPart, const std::string& aService = "s")
  {
    return { core::ServiceId(aService), core::PromptPartId(aPart) };
  }

  /// A request with these parts broke off; all hosts suspected them before.
  bool Break(const std::string& aUpstream, const std::vector<std::string>& aParts,
             bool aWasSuspected = true, const std::string& aService = "s")
  {
    CrashReport report{ .crash = { .service = core::ServiceId(aService),
                                   .upstream = core::UpstreamId(aUpstream),
                                   .incarnation = core::Incarnation(1) },
                        .parts = {} };
    for (const std::string& it : aParts) {
      report.parts.push_back({ .part = core::PromptPartId(it), .wasSuspected = aWasSuspected });
    }
    return crashes.RecordCrash(report, nowMs);
  }

  /// "a b+c": `a` alone is quarantined, `b` and `c` only together.
  std::string Quarantined() const
  {
    std::string text;
    for (const PartGroup& group : crashes.Quarantined()) {
      text += text.empty() ? "" : " ";
      for (const core::PromptPartId& it : group) {
        text += (it == group.front() ? "" : "+") + it.Text();
      }
    }
    return text;
  }
};

TEST(CrashAttribution, PartOfThreeCrashesIsQuarantined)
{
  Break("u1", { "common", "fatal" }, false);
  Break("u2", { "other", "fatal" });
  STRCMP_EQUAL("", Quarantined().c_str());
  Break("u3", { "third", "fatal" });
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

TEST(CrashAttribution, RepeatedReportsOfOneCrashCountOnce)
{
  CHECK(Break("u1", { "fatal" }));
  CHECK_FALSE(Break("u1", { "fatal" }));
  Break("u1", { "fatal" });
  Break("u2", { "fatal" });
  STRCMP_EQUAL("", Quarantined().c_str());
}

TEST(CrashAttribution, EveryIncarnationOfAnUpstreamIsACrashOfItsOwn)
{
  for (std::uint64_t life = 1; life <= 3; ++life) {
    crashes.RecordCrash(
      { .crash = { .service = core::ServiceId("s"),
                   .upstream = core::UpstreamId("u"),
                   .incarnation = core::Incarnation(life) },
        .parts = { { .part = core::PromptPartId("fatal"), .wasSuspected = life > 1 } } },
      nowMs);
  }
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

TEST(CrashAttribution, PartThatBeginsIsCleared)
{
  for (int n = 0; n < 20; ++n) {
    Break("u" + std::to_string(n), { "common", "fatal" });
    CHECK(n == 0 || crashes.RecordStart(Part("common")));
  }
  STRCMP_EQUAL("fatal", Quarantined().c_str());
  CHECK_FALSE(crashes.IsSuspect(Part("common")));
  CHECK_FALSE(crashes.RecordStart(Part("never seen")));
}

/// Guards against a common part that is refused after upstreams failed together.
TEST(CrashAttribution, UpstreamsThatFailTogetherQuarantineNothing)
{
  for (int n = 0; n < 50; ++n) {
    Break("u" + std::to_string(n), { "common", "own-" + std::to_string(n % 5) }, false);
  }
  STRCMP_EQUAL("", Quarantined().c_str());
  CHECK(crashes.IsSuspect(Part("common")));
}

TEST(CrashAttribution, QuarantinedPartThatBeginsIsReleased)
{
  Break("u1", { "innocent" });
  Break("u2", { "innocent" });
  Break("u3", { "innocent" });
  STRCMP_EQUAL("innocent", Quarantined().c_str());
  crashes.RecordStart(Part("innocent"));
  STRCMP_EQUAL("", Quarantined().c_str());
}

/// Guards against sound requests that are refused for a part that they share with fatal ones.
TEST(CrashAttribution, PartsSeenOnlyTogetherAreRefusedOnlyTogether)
{
  for (const char* it : { "u1", "u2", "u3" }) {
    Break(it, { "companion", "fatal" });
  }
  STRCMP_EQUAL("companion+fatal", Quarantined().c_str());
  Break("u4", { "fatal" });
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

TEST(CrashAttribution, ClearedCompanionLeavesTheFatalPartAlone)
{
  for (const char* it : { "u1", "u2", "u3" }) {
    Break(it, { "companion", "fatal" });
  }
  crashes.RecordStart(Part("companion"));
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

TEST(CrashAttribution, PartWhoseCrashesAnotherPartExplainsStaysFree)
{
  for (const char* it : { "u1", "u2", "u3", "u4" }) {
    Break(it, { "fatal" });
  }
  for (const char* it : { "u1", "u2", "u3" }) {
    Break(it, { "bystander" });
  }
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

/// Guards against sound requests that are refused because a fatal part crashed many upstreams
/// before it was found, some of them with a part that it shares with sound requests.
TEST(CrashAttribution, FatalPartExplainsAllOfItsCrashes)
{
  for (int n = 0; n < 30; ++n) {
    Break("u" + std::to_string(n), { n < 15 ? "companion" : "other", "fatal" });
  }
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

/// Guards against sound requests that are refused for a part that is beside a fatal one and was
/// near an ordinary crash before (LOST).
TEST(CrashAttribution, PartThatStartedBeforeIsNotBlamedForItsCompanion)
{
  Break("u1", { "companion" }, false);
  Break("u2", { "companion", "fatal" });
  CHECK(crashes.SuspectsWithoutStart() == std::vector{ Part("companion") });
  CHECK(crashes.RecordEarlierStart(Part("companion")));
  CHECK_FALSE(crashes.RecordEarlierStart(Part("companion")));
  CHECK(crashes.SuspectsWithoutStart().empty());
  Break("u3", { "companion", "fatal" });
  STRCMP_EQUAL("", Quarantined().c_str());
  Break("u4", { "companion", "fatal" });
  STRCMP_EQUAL("fatal", Quarantined().c_str());
  // An ordinary crash more gives it five in all, of which the fatal part explains three.
  Break("u5", { "companion" });
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

TEST(CrashAttribution, PartThatStartedBeforeIsQuarantinedAfterFiveCrashes)
{
  for (int n = 1; n <= 5; ++n) {
    STRCMP_EQUAL("", Quarantined().c_str());
    Break("u" + std::to_string(n), { "fatal" });
    crashes.RecordEarlierStart(Part("fatal"));
  }
  STRCMP_EQUAL("fatal", Quarantined().c_str());
  nowMs += CrashAttributionSettings().quarantineMs + 1;
  CHECK(crashes.Expire(nowMs));
  STRCMP_EQUAL("", Quarantined().c_str());
  Break("u6", { "fatal" });
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

TEST(CrashAttribution, TwoFatalPartsAreBothFound)
{
  for (const char* it : { "u1", "u2", "u3" }) {
    Break(it, { "common", "one" });
  }
  for (const char* it : { "u4", "u5", "u6" }) {
    Break(it, { "common", "two" });
  }
  crashes.RecordStart(Part("common"));
  STRCMP_EQUAL("one two", Quarantined().c_str());
}

TEST(CrashAttribution, CrashesOfAllServicesCountTogether)
{
  Break("u1", { "fatal" }, false, "s");
  Break("u2", { "fatal" }, true, "t");
  Break("u3", { "fatal" }, true, "s");
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

TEST(CrashAttribution, StartAtOneServiceDoesNotClearAnother)
{
  for (const char* it : { "u1", "u2", "u3" }) {
    Break(it, { "fatal" });
  }
  CHECK_FALSE(crashes.RecordStart(Part("fatal", "t")));
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

TEST(CrashAttribution, QuarantineEndsOnProbation)
{
  const CrashAttributionSettings settings;
  for (const char* it : { "u1", "u2", "u3" }) {
    Break(it, { "fatal" });
  }
  CHECK_FALSE(crashes.HasExpired(nowMs + settings.quarantineMs));
  nowMs += settings.quarantineMs + 1;
  CHECK(crashes.HasExpired(nowMs));
  CHECK(crashes.Expire(nowMs));
  STRCMP_EQUAL("", Quarantined().c_str());
  // One more crash renews it, for twice as long.
  Break("u4", { "fatal" });
  STRCMP_EQUAL("fatal", Quarantined().c_str());
  CHECK_FALSE(crashes.HasExpired(nowMs + 2 * settings.quarantineMs));
  CHECK(crashes.HasExpired(nowMs + 2 * settings.quarantineMs + 1));
}

TEST(CrashAttribution, OldSuspicionIsForgotten)
{
  Break("u1", { "rare" });
  nowMs += CrashAttributionSettings().suspicionMs + 1;
  CHECK(crashes.Expire(nowMs));
  CHECK(crashes.Records().empty());
}

/// Guards against callers that fill the memory, or drive out a fatal part, with parts of their own.
TEST(CrashAttribution, NumberOfPartsIsBounded)
{
  Break("u1", { "fatal" });
  Break("u2", { "fatal" });
  for (int n = 0; n < 3000; ++n) {
    Break("v" + std::to_string(n), { "own-" + std::to_string(n) });
  }
  CHECK_EQUAL(CrashAttributionSettings().maxParts, crashes.Records().size());
  Break("u3", { "fatal" });
  STRCMP_EQUAL("fatal", Quarantined().c_str());
}

TEST(CrashAttribution, RestoredStateQuarantinesTheSame)
{
  for (const char* it : { "u1", "u2", "u3" }) {
    Break(it, { "companion", "fatal" });
  }
  CrashAttribution restored;
  restored.Restore(crashes.Records());
  CHECK(restored.Quarantined() == crashes.Quarantined());
  CHECK(restored.Suspects() == crashes.Suspects());
}
