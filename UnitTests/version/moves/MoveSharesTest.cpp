#include "cuminfield/version/moves/MoveShares.h"
#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/core/Invariant.h"

#include <rapidcheck.h>

#include <stdexcept>

// Must be included last: its macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield::version::moves;
using cuminfield::core::DataCentreId;
using cuminfield::core::MoveId;
using cuminfield::core::RouteId;
using cuminfield::core::ServiceId;
using cuminfield::core::VersionId;
using cuminfield::test_framework::time::ManualTimerService;
using cuminfield::version::document::Document;

namespace {

const ServiceId kService("taxateur");
const RouteId kRoute("quote");
const VersionId kOld("v1");
const VersionId kNew("v2");
const MoveId kMove("m1");

Document MakeDocument()
{
  Document document;
  document.services.push_back({ .id = kService, .version = kOld });
  auto& move = document.moves.emplace_back();
  move.id = kMove;
  move.service = kService;
  move.from = kOld;
  move.to = kNew;
  return document;
}

ShareUpdate MakeUpdate(std::uint64_t aRevision, MovePhase aPhase, double aShare)
{
  ShareUpdate update;
  update.move = kMove;
  update.service = kService;
  update.from = kOld;
  update.to = kNew;
  update.dataCentre = DataCentreId("gent-a");
  update.revision = aRevision;
  update.phase = aPhase;
  update.share = aShare;
  return update;
}

struct InvariantViolation : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

void ThrowInvariant(const char* aName)
{
  throw InvariantViolation(aName);
}

/// Injected fault: ignores that a move was stopped on this host.
class SharesIgnoringVerdicts : public MoveShares
{
public:
  using MoveShares::MoveShares;

protected:
  bool IsStopped(const MoveId& /*aMove*/) const override { return false; }
};

} // namespace

TEST_GROUP(MoveShares)
{
  ManualTimerService mTimers;
  MoveShares mShares{ DataCentreId("gent-a"), mTimers };

  void setup() override
  {
    mShares.SetDocument(MakeDocument());
  }
  void teardown() override
  {
    cuminfield::core::SetInvariantHandler(nullptr);
  }

  VersionId Choose(double aPoint) const
  {
    return mShares.Choose(kService, kRoute, aPoint);
  }
};

TEST(MoveShares, OldVersionBeforeTheCanary)
{
  CHECK(Choose(0.0) == kOld);
  mShares.OnShareUpdate(MakeUpdate(1, MovePhase::Loading, 0.5));
  CHECK(Choose(0.0) == kOld);
}

TEST(MoveShares, ChoosesByShare)
{
  mShares.OnShareUpdate(MakeUpdate(1, MovePhase::Advancing, 0.25));
  CHECK(Choose(0.24) == kNew);
  CHECK(Choose(0.26) == kOld);
}

TEST(MoveShares, OlderRevisionIsIgnored)
{
  mShares.OnShareUpdate(MakeUpdate(5, MovePhase::Advancing, 0.25));
  mShares.OnShareUpdate(MakeUpdate(4, MovePhase::Advancing, 0.75));
  CHECK(Choose(0.5) == kOld);
}

TEST(MoveShares, HostWithoutUpdatesReturnsToTheOldVersion)
{
  mShares.OnShareUpdate(MakeUpdate(1, MovePhase::Advancing, 0.75));
  mTimers.Advance(3s);
  CHECK(Choose(0.5) == kNew);
  mTimers.Advance(2s);
  CHECK(Choose(0.5) == kOld);
}

TEST(MoveShares, DoneNeedsNoFurtherUpdates)
{
  mShares.OnShareUpdate(MakeUpdate(1, MovePhase::Done, 1.0));
  mTimers.Advance(1h);
  CHECK(Choose(0.99) == kNew);
}

TEST(MoveShares, HostCannotLeaveACompletedMove)
{
  mShares.OnShareUpdate(MakeUpdate(1, MovePhase::Advancing, 0.5));
  mShares.Trip(kMove);
  CHECK(Choose(0.0) == kOld);
  mShares.OnShareUpdate(MakeUpdate(2, MovePhase::Done, 1.0));
  mShares.Trip(kMove);
  CHECK(Choose(0.0) == kNew);
}

TEST(MoveShares, RollBackInTheDocumentTakesEffectAtOnce)
{
  mShares.OnShareUpdate(MakeUpdate(1, MovePhase::Advancing, 0.75));
  Document document = MakeDocument();
  document.moves[0].rollBack = true;
  mShares.SetDocument(document);
  CHECK(Choose(0.0) == kOld);
}

TEST(MoveShares, CanaryLimitsShareAndRate)
{
  ShareUpdate update = MakeUpdate(1, MovePhase::Canary, 0.60);
  update.maxRequestsPerSecond = 2.0;
  mShares.OnShareUpdate(update);
  DOUBLES_EQUAL(0.05, mShares.ShareOf(kMove), 1e-9);
  int sent = 0;
  for (int it = 0; it < 1000; ++it) {
    mTimers.Advance(10ms);
    sent += Choose(0.0) == kNew;
  }
  CHECK(sent <= 22);
}

TEST(MoveShares, NoTrafficAfterABadVerdictForAnySequenceOfEvents)
{
  rc::check([] {
    ManualTimerService timers;
    MoveShares shares(DataCentreId("gent-a"), timers);
    shares.SetDocument(MakeDocument());
    bool isBad = false;
    const int events = *rc::gen::inRange(1, 60);
    for (int it = 0; it < events; ++it) {
      const int kind = *rc::gen::inRange(0, 8);
      if (kind == 0) {
        shares.OnVerdict({ .move = kMove, .bad = true });
        isBad = true;
      } else if (kind == 1) {
        shares.SetDocument(MakeDocument());
      } else if (kind == 2) {
        timers.Advance(std::chrono::seconds(*rc::gen::inRange(0, 6)));
      } else {
        const auto phase = static_cast<MovePhase>(*rc::gen::inRange(0, 7));
        const auto revision = *rc::gen::inRange<std::uint64_t>(0, 20);
        const double share = *rc::gen::inRange(0, 101) / 100.0;
        shares.OnShareUpdate(MakeUpdate(revision, phase, share));
      }
      const VersionId chosen = shares.Choose(kService, kRoute, 0.0);
      RC_ASSERT(!isBad || chosen == kOld);
    }
  });
}

TEST(MoveShares, DetectsTrafficAfterABadVerdict)
{
  cuminfield::core::SetInvariantHandler(ThrowInvariant);
  SharesIgnoringVerdicts shares(DataCentreId("gent-a"), mTimers);
  shares.SetDocument(MakeDocument());
  shares.OnShareUpdate(MakeUpdate(1, MovePhase::Advancing, 0.5));
  shares.OnVerdict({ .move = kMove, .bad = true });
  std::string violated;
  try {
    shares.Choose(kService, kRoute, 0.0);
  } catch (const InvariantViolation& error) {
    violated = error.what();
  }
  STRCMP_EQUAL("moves.no-traffic-after-verdict", violated.c_str());
}
