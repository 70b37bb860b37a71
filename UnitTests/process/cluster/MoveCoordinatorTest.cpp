#include "cuminfield/process/cluster/MoveCoordinator.h"

#include "cuminfield/process/cluster/VersionShares.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace cuminfield;
using namespace cuminfield::process::cluster;
using namespace std::chrono_literals;

TEST_GROUP(MoveCoordinator)
{
  MoveCoordinator director{ {} };
  proto::Move move;
  FollowerTable::EvidenceMap evidence;

  void setup() override
  {
    move.set_service("s");
    move.set_target("v2");
    move.set_former("v1");
    move.set_duration_ms(12'000);
    move.set_number(5);
  }

  void Add(const std::string& aRoute, bool aTarget, std::uint64_t aGood, std::uint64_t aBad,
           std::uint64_t aMeanMs, std::uint64_t aMove = 5)
  {
    proto::Evidence it;
    it.set_move(aMove);
    it.set_route(aRoute);
    it.set_target(aTarget);
    it.set_good(aGood);
    it.set_bad(aBad);
    it.set_latency_ms(aGood * aMeanMs);
    evidence[{ "host", 1 }].push_back(it);
  }

  void AddPaces(const std::string& aRoute, bool aTarget, std::uint64_t aPaces, double aTokenMs)
  {
    Add(aRoute, aTarget, 20, 0, 150);
    proto::Evidence& it = evidence[{ "host", 1 }].back();
    it.set_paces(aPaces);
    it.set_pace_logs(static_cast<double>(aPaces) * std::log(aTokenMs));
  }

  void ExpectPhase(proto::MovePhase aPhase, core::Duration aElapsed)
  {
    const auto next = director.Decide(move, aElapsed, evidence);
    CHECK(next.has_value());
    CHECK_EQUAL(aPhase, next->phase);
  }

  void ExpectWait(core::Duration aElapsed)
  {
    CHECK_FALSE(director.Decide(move, aElapsed, evidence).has_value());
  }
};

TEST(MoveCoordinator, AGoodVersionIsCompletedBeforeItIsDue)
{
  Add("r", false, 500, 5, 100);
  Add("r", true, 30, 0, 110);
  ExpectWait(5s);
  ExpectPhase(proto::SHIFTED, 10'100ms);
  move.set_phase(proto::SHIFTED);
  ExpectWait(10'500ms);
  ExpectPhase(proto::COMPLETED, 11'400ms);
}

TEST(MoveCoordinator, AFailingVersionIsRolledBackAtOnce)
{
  Add("r", false, 500, 5, 100);
  Add("r", true, 4, 3, 100);
  ExpectPhase(proto::ROLLED_BACK, 2s);
}

TEST(MoveCoordinator, AFaultOnOneRouteOnlyIsFound)
{
  Add("good", false, 900, 0, 100);
  Add("good", true, 90, 0, 100);
  Add("bad", false, 50, 0, 100);
  Add("bad", true, 1, 3, 100);
  ExpectPhase(proto::ROLLED_BACK, 4s);
}

TEST(MoveCoordinator, ASlowVersionIsRolledBack)
{
  Add("r", false, 100, 0, 100);
  Add("r", true, 8, 0, 300);
  ExpectPhase(proto::ROLLED_BACK, 4s);
}

/// The first event latency does not show slow tokens: with its small share, few requests wait for
/// the new version.
TEST(MoveCoordinator, AVersionWhoseTokensAreSlowIsNotCompleted)
{
  AddPaces("r", false, 900, 4);
  AddPaces("r", true, 40, 11);
  ExpectPhase(proto::ROLLED_BACK, 2s);
  move.set_phase(proto::SHIFTED);
  ExpectPhase(proto::ROLLED_BACK, 10'600ms);
}

TEST(MoveCoordinator, AFewSlowStreamsProveNothing)
{
  AddPaces("r", false, 900, 4);
  AddPaces("r", true, 16, 11);
  ExpectWait(2s);
}

/// Streams that run beside a long prompt are slow although their version is as fast as the former
/// one.
TEST(MoveCoordinator, AFewSlowStreamsAmongFastOnesAreNoFault)
{
  AddPaces("r", false, 900, 4);
  AddPaces("r", true, 30, 3);
  AddPaces("q", true, 10, 25);
  ExpectWait(2s);
}

/// Once all requests go to the new version, the load slows its tokens down.
TEST(MoveCoordinator, AVersionThatIsSlowerByItsLoadAloneIsCompleted)
{
  AddPaces("r", false, 900, 4);
  AddPaces("r", true, 300, 8);
  move.set_phase(proto::SHIFTED);
  ExpectPhase(proto::COMPLETED, 11'400ms);
}

TEST(MoveCoordinator, FailuresThatTheFormerVersionHasTooAreNoFault)
{
  Add("r", false, 80, 20, 100);
  Add("r", true, 20, 5, 100);
  ExpectWait(4s);
}

TEST(MoveCoordinator, AVersionThatTurnsBadUnderAllTrafficIsRolledBack)
{
  Add("r", false, 500, 0, 100);
  Add("r", true, 60, 12, 100);
  move.set_phase(proto::SHIFTED);
  ExpectPhase(proto::ROLLED_BACK, 10'600ms);
}

TEST(MoveCoordinator, EvidenceOfAnEarlierMoveDoesNotCount)
{
  Add("r", true, 0, 50, 0, 4);
  ExpectWait(4s);
}

TEST(MoveCoordinator, AVersionThatNobodyCouldTryIsNotGivenAllTraffic)
{
  Add("r", false, 500, 0, 100);
  ExpectPhase(proto::ROLLED_BACK, 10'100ms);
}

/// A version that turns bad with the last step must not have got more requests than the exposure
/// bound allows.
TEST(MoveCoordinator, ExposureStaysWithinTheBound)
{
  const MoveCoordinatorSettings settings;
  const VersionSharesSettings shares;
  constexpr double kShareBound =
    0.1; // Share of all requests between the request for the move and its deadline,
  constexpr double kSlackBound = 50;     // plus this number of requests.
  constexpr double kDetectSeconds = 0.6; // Time of report, feed, commit and second feed.
  constexpr double kDuration = 12;
  const double shiftAt = kDuration - std::chrono::duration<double>(settings.shiftBeforeDue).count();
  for (const double rate : { 10.0, 40.0, 120.0, 160.0 }) {
    const double canary = shares.canaryShare * rate * shiftAt;
    const double exposed = canary + rate * kDetectSeconds;
    CHECK(exposed <= kShareBound * rate * kDuration + kSlackBound);
  }
}

TEST_GROUP(VersionShares)
{
  VersionShares shares{ {} };
  const core::ServiceId service{ "s" };
  const core::RouteId route{ "r" };

  void Feed(proto::MovePhase aPhase, std::uint64_t aApplied)
  {
    proto::Feed feed;
    feed.set_state_applied(aApplied);
    proto::Move* move = feed.add_moves();
    move->set_service("s");
    move->set_target("v2");
    move->set_phase(aPhase);
    move->set_number(7);
    proto::ServiceVersion* version = feed.add_versions();
    version->set_service("s");
    version->set_version("v1");
    shares.ApplyFeed(feed);
  }

  std::string At(double aPoint) const
  {
    return shares.Choose(service, route, aPoint).Text();
  }
};

TEST(VersionShares, OnlyTheCanaryShareGoesToANewVersion)
{
  Feed(proto::CANARY, 3);
  STRCMP_EQUAL("v2", At(0.01).c_str());
  STRCMP_EQUAL("v1", At(0.2).c_str());
  Feed(proto::SHIFTED, 4);
  STRCMP_EQUAL("v2", At(0.2).c_str());
  Feed(proto::ROLLED_BACK, 5);
  STRCMP_EQUAL("v1", At(0.01).c_str());
}

TEST(VersionShares, AFeedWithoutStateChangesNothing)
{
  Feed(proto::CANARY, 3);
  shares.ApplyFeed(proto::Feed());
  STRCMP_EQUAL("v2", At(0.01).c_str());
}

TEST(VersionShares, EvidenceIsKeptForTheRunningMoveOnly)
{
  Feed(proto::CANARY, 3);
  shares.CountAttempt(service, route, core::VersionId("v2"), true, 40ms);
  shares.CountAttempt(service, route, core::VersionId("v2"), false, 0ms);
  proto::Report report;
  shares.FillReport(report);
  CHECK_EQUAL(1, report.evidence_size());
  CHECK_EQUAL(1, report.evidence(0).good());
  CHECK_EQUAL(1, report.evidence(0).bad());
  CHECK_EQUAL(40, report.evidence(0).latency_ms());
  Feed(proto::ROLLED_BACK, 4);
  proto::Report later;
  shares.FillReport(later);
  CHECK_EQUAL(0, later.evidence_size());
}

TEST(VersionShares, ALongStreamIsNoMoreEvidenceThanAShortOne)
{
  Feed(proto::CANARY, 3);
  for (std::uint32_t n = 0; n < 50; ++n) {
    shares.CountTokenInterval(service, route, core::VersionId("v2"),
                              { .index = n, .tokenIntervalMs = 20 });
  }
  proto::Report report;
  shares.FillReport(report);
  CHECK_EQUAL(VersionSharesSettings().maxSamplesPerStream, report.evidence(0).paces());
  DOUBLES_EQUAL(std::log(20) * VersionSharesSettings().maxSamplesPerStream,
                report.evidence(0).pace_logs(), 0.001);
}
