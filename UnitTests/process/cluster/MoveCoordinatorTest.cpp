#include "cuminfield/process/cluster/MoveCoordinator.h"

#include "cuminfield/process/cluster/VersionShares.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace cuminfield;
using namespace cuminfield::process::cluster;
using namespace std::chrono_literals;

TEST_GROUP(MoveCoordinator)
{
  MoveCoordinator coordinator{ {} };
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

  void AddEvidence(const std::string& aRoute, bool aTarget, std::uint64_t aGood, std::uint64_t aBad,
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

  void AddTokenSamples(const std::string& aRoute, bool aTarget, std::uint64_t aSamples,
                       double aTokenIntervalMs)
  {
    AddEvidence(aRoute, aTarget, 20, 0, 150);
    proto::Evidence& it = evidence[{ "host", 1 }].back();
    it.set_paces(aSamples);
    it.set_pace_logs(static_cast<double>(aSamples) * std::log(aTokenIntervalMs));
  }

  void ExpectPhase(proto::MovePhase aPhase, core::Duration aElapsed)
  {
    const auto next = coordinator.Decide(move, aElapsed, evidence);
    CHECK(next.has_value());
    CHECK_EQUAL(aPhase, next->phase);
  }

  void ExpectNoStep(core::Duration aElapsed)
  {
    CHECK_FALSE(coordinator.Decide(move, aElapsed, evidence).has_value());
  }
};

TEST(MoveCoordinator, CompletesGoodVersionBeforeDue)
{
  AddEvidence("r", false, 500, 5, 100);
  AddEvidence("r", true, 30, 0, 110);
  ExpectNoStep(5s);
  ExpectPhase(proto::SHIFTED, 10'100ms);
  move.set_phase(proto::SHIFTED);
  ExpectNoStep(10'500ms);
  ExpectPhase(proto::COMPLETED, 11'400ms);
}

TEST(MoveCoordinator, RollsBackFailingVersionImmediately)
{
  AddEvidence("r", false, 500, 5, 100);
  AddEvidence("r", true, 4, 3, 100);
  ExpectPhase(proto::ROLLED_BACK, 2s);
}

TEST(MoveCoordinator, FindsFaultOnSingleRoute)
{
  AddEvidence("good", false, 900, 0, 100);
  AddEvidence("good", true, 90, 0, 100);
  AddEvidence("bad", false, 50, 0, 100);
  AddEvidence("bad", true, 1, 3, 100);
  ExpectPhase(proto::ROLLED_BACK, 4s);
}

TEST(MoveCoordinator, RollsBackVersionWithSlowFirstEvents)
{
  AddEvidence("r", false, 100, 0, 100);
  AddEvidence("r", true, 8, 0, 300);
  ExpectPhase(proto::ROLLED_BACK, 4s);
}

/// The first event latency does not show slow tokens: with its small share, few requests wait for
/// the new version.
TEST(MoveCoordinator, RollsBackVersionWithSlowTokens)
{
  AddTokenSamples("r", false, 900, 4);
  AddTokenSamples("r", true, 40, 11);
  ExpectPhase(proto::ROLLED_BACK, 2s);
  move.set_phase(proto::SHIFTED);
  ExpectPhase(proto::ROLLED_BACK, 10'600ms);
}

TEST(MoveCoordinator, TooFewSlowSamplesAreNoFault)
{
  AddTokenSamples("r", false, 900, 4);
  AddTokenSamples("r", true, 16, 11);
  ExpectNoStep(2s);
}

/// Streams that run beside a long prompt are slow although their version is as fast as the former
/// one.
TEST(MoveCoordinator, FewSlowStreamsAmongFastOnesAreNoFault)
{
  AddTokenSamples("r", false, 900, 4);
  AddTokenSamples("r", true, 30, 3);
  AddTokenSamples("q", true, 10, 25);
  ExpectNoStep(2s);
}

/// Once all requests go to the new version, the load slows its tokens down.
TEST(MoveCoordinator, CompletesVersionSlowedOnlyByLoad)
{
  AddTokenSamples("r", false, 900, 4);
  AddTokenSamples("r", true, 300, 8);
  move.set_phase(proto::SHIFTED);
  ExpectPhase(proto::COMPLETED, 11'400ms);
}

TEST(MoveCoordinator, FailuresSharedWithFormerVersionAreNoFault)
{
  AddEvidence("r", false, 80, 20, 100);
  AddEvidence("r", true, 20, 5, 100);
  ExpectNoStep(4s);
}

TEST(MoveCoordinator, RollsBackVersionFailingUnderAllTraffic)
{
  AddEvidence("r", false, 500, 0, 100);
  AddEvidence("r", true, 60, 12, 100);
  move.set_phase(proto::SHIFTED);
  ExpectPhase(proto::ROLLED_BACK, 10'600ms);
}

TEST(MoveCoordinator, IgnoresEvidenceOfEarlierMove)
{
  AddEvidence("r", true, 0, 50, 0, 4);
  ExpectNoStep(4s);
}

TEST(MoveCoordinator, RollsBackVersionWithoutResponses)
{
  AddEvidence("r", false, 500, 0, 100);
  ExpectPhase(proto::ROLLED_BACK, 10'100ms);
}

/// A version that turns bad with the last step must not have got more requests than the exposure
/// bound allows.
TEST(MoveCoordinator, ExposureStaysWithinBound)
{
  const MoveCoordinatorSettings settings;
  const VersionSharesSettings shares;
  constexpr double kExposureShareBound = 0.1;   // Of all requests until the move is due,
  constexpr double kExposureSlackRequests = 50; // plus this number of requests.
  constexpr double kDetectionSeconds = 0.6;     // Time of report, feed, commit and second feed.
  constexpr double kMoveSeconds = 12;
  const double shiftSeconds =
    kMoveSeconds - std::chrono::duration<double>(settings.shiftBeforeDue).count();
  for (const double rate : { 10.0, 40.0, 120.0, 160.0 }) {
    const double canaryRequests = shares.canaryShare * rate * shiftSeconds;
    const double exposedRequests = canaryRequests + rate * kDetectionSeconds;
    CHECK(exposedRequests <= kExposureShareBound * rate * kMoveSeconds + kExposureSlackRequests);
  }
}

TEST_GROUP(VersionShares)
{
  VersionShares shares{ {} };
  const core::ServiceId service{ "s" };
  const core::RouteId route{ "r" };

  void ApplyFeed(proto::MovePhase aPhase, std::uint64_t aApplied)
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

  std::string ChooseVersion(double aPoint) const
  {
    return shares.Choose(service, route, aPoint).Text();
  }
};

TEST(VersionShares, RoutesOnlyCanaryShareToNewVersion)
{
  ApplyFeed(proto::CANARY, 3);
  STRCMP_EQUAL("v2", ChooseVersion(0.01).c_str());
  STRCMP_EQUAL("v1", ChooseVersion(0.2).c_str());
  ApplyFeed(proto::SHIFTED, 4);
  STRCMP_EQUAL("v2", ChooseVersion(0.2).c_str());
  ApplyFeed(proto::ROLLED_BACK, 5);
  STRCMP_EQUAL("v1", ChooseVersion(0.01).c_str());
}

TEST(VersionShares, IgnoresFeedWithoutState)
{
  ApplyFeed(proto::CANARY, 3);
  shares.ApplyFeed(proto::Feed());
  STRCMP_EQUAL("v2", ChooseVersion(0.01).c_str());
}

TEST(VersionShares, StoresEvidenceForRunningMoveOnly)
{
  ApplyFeed(proto::CANARY, 3);
  shares.CountAttempt(service, route, core::VersionId("v2"), true, 40ms);
  shares.CountAttempt(service, route, core::VersionId("v2"), false, 0ms);
  proto::Report report;
  shares.FillReport(report);
  CHECK_EQUAL(1, report.evidence_size());
  CHECK_EQUAL(1, report.evidence(0).good());
  CHECK_EQUAL(1, report.evidence(0).bad());
  CHECK_EQUAL(40, report.evidence(0).latency_ms());
  ApplyFeed(proto::ROLLED_BACK, 4);
  proto::Report later;
  shares.FillReport(later);
  CHECK_EQUAL(0, later.evidence_size());
}

TEST(VersionShares, LimitsSamplesPerStream)
{
  ApplyFeed(proto::CANARY, 3);
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
