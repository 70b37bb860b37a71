#include "TestFramework/time/ManualTimerService.h"
#include "UnitTests/request/SeededCheck.h"
#include "cuminfield/request/capacity/CapacityBroker.h"
#include "cuminfield/request/capacity/CapacityClient.h"
#include "cuminfield/request/capacity/CapacityMessages.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::capacity;
using namespace cuminfield::unit_tests::request;

namespace {

constexpr std::uint32_t kHosts = 4;
constexpr std::uint32_t kUpstreams = 3;
constexpr std::uint32_t kSlots = 20;

enum class Fault
{
  None,
  /// A new leader grants slots while grants of its predecessor are still valid.
  NoWaitAfterElection,
  LeaseFromReceipt, ///< A host counts its lease from the arrival of the table.
};

enum class Step
{
  Report,
  Deliver,
  Duplicate,
  Drop,
  Use,
  Advance,
  Elect,
};

struct Action
{
  Step step = Step::Report;
  std::uint32_t choice = 0;
  std::uint32_t amount = 0;
};

std::ostream& operator<<(std::ostream& aStream, const Action& aAction)
{
  return aStream << static_cast<int>(aAction.step) << ":" << aAction.choice << ":"
                 << aAction.amount;
}

rc::Gen<Action> GenerateAction()
{
  return rc::gen::build<Action>(
    rc::gen::set(&Action::step, rc::gen::weightedElement<Step>({ { 6, Step::Report },
                                                                 { 6, Step::Deliver },
                                                                 { 1, Step::Duplicate },
                                                                 { 1, Step::Drop },
                                                                 { 4, Step::Use },
                                                                 { 3, Step::Advance },
                                                                 { 1, Step::Elect } })),
    rc::gen::set(&Action::choice, rc::gen::inRange<std::uint32_t>(0, 100)),
    rc::gen::set(&Action::amount, rc::gen::inRange<std::uint32_t>(0, 60)));
}

core::UpstreamId MakeUpstreamId(std::uint32_t aIndex)
{
  return core::UpstreamId("u" + std::to_string(aIndex));
}

/// A broker and its hosts. Messages between them are delayed, lost, duplicated and reordered.
class CapacityRun
{
public:
  explicit CapacityRun(Fault aFault)
    : mFault(aFault)
  {
    for (std::uint32_t n = 0; n < kHosts; ++n) {
      mClients.push_back(std::make_unique<CapacityClient>(mSettings, mTimers));
      mUses.emplace_back(kUpstreams, 0);
    }
    Elect();
  }

  void Apply(const Action& aAction)
  {
    switch (aAction.step) {
      case Step::Report:
        return Report(aAction.choice % kHosts, aAction.amount);
      case Step::Deliver:
        return Deliver(aAction.choice, true);
      case Step::Duplicate:
        return Deliver(aAction.choice, false);
      case Step::Drop:
        return Drop(aAction.choice);
      case Step::Use:
        return Use(aAction.choice, aAction.amount);
      case Step::Advance:
        return mTimers.Advance(core::Duration(aAction.amount * 20'000));
      case Step::Elect:
        return Elect();
    }
  }

  /// The slots granted to all hosts at an upstream never exceed its grantable slots.
  bool GrantsFit() const
  {
    for (std::uint32_t upstream = 0; upstream < kUpstreams; ++upstream) {
      std::uint32_t sum = 0;
      for (const auto& it : mClients) {
        sum += it->GrantedSlots(MakeUpstreamId(upstream));
      }
      if (sum > GrantableSlots(mSettings, kSlots)) {
        return false;
      }
    }
    return true;
  }

private:
  struct PendingTable
  {
    std::uint32_t host = 0;
    GrantTable table;
  };

  void Report(std::uint32_t aHost, std::uint32_t aDemand)
  {
    DemandReport report;
    report.host = core::HostId("h" + std::to_string(aHost));
    report.sequence = mClients[aHost]->BeginReport();
    report.appliedSequence = mClients[aHost]->AppliedSequence();
    ServiceDemand demand{ .service = core::ServiceId("s") };
    demand.byTier[aDemand % 4] = aDemand;
    report.demands.push_back(demand);
    for (std::uint32_t n = 0; n < kUpstreams; ++n) {
      report.uses.push_back({ .upstream = MakeUpstreamId(n), .inFlight = mUses[aHost][n] });
    }
    // Round trip through the wire format, to cover the conversions as well.
    const GrantTable table = mBroker->OnReport(FromMessage(ToMessage(report)), mTimers.Now());
    mPendingTables.push_back({ .host = aHost, .table = FromMessage(ToMessage(table)) });
  }

  void Deliver(std::uint32_t aChoice, bool aRemove)
  {
    if (mPendingTables.empty()) {
      return;
    }
    const auto it = mPendingTables.begin() + static_cast<long>(aChoice % mPendingTables.size());
    PendingTable pending = *it;
    if (mFault == Fault::LeaseFromReceipt) {
      pending.table.lease *= 2;
    }
    mClients[pending.host]->ApplyTable(pending.table);
    if (aRemove) {
      mPendingTables.erase(it);
    }
  }

  void Drop(std::uint32_t aChoice)
  {
    if (!mPendingTables.empty()) {
      mPendingTables.erase(mPendingTables.begin() +
                           static_cast<long>(aChoice % mPendingTables.size()));
    }
  }

  void Use(std::uint32_t aChoice, std::uint32_t aAmount)
  {
    const std::uint32_t host = aChoice % kHosts;
    const std::uint32_t upstream = aChoice % kUpstreams;
    const std::uint32_t granted = mClients[host]->GrantedSlots(MakeUpstreamId(upstream));
    mUses[host][upstream] = granted == 0 ? 0 : aAmount % (granted + 1);
  }

  void Elect()
  {
    const core::Duration skipped =
      mFault == Fault::NoWaitAfterElection ? mSettings.leaseDuration : core::Duration(0);
    mBroker =
      std::make_unique<CapacityBroker>(mSettings, core::Term(++mTerm), mTimers.Now() - skipped);
    for (std::uint32_t n = 0; n < kUpstreams; ++n) {
      mBroker->AddOrUpdateUpstream(MakeUpstreamId(n), core::ServiceId("s"), kSlots);
    }
  }

  Fault mFault;
  CapacitySettings mSettings;
  test_framework::time::ManualTimerService mTimers;
  std::unique_ptr<CapacityBroker> mBroker;
  std::vector<std::unique_ptr<CapacityClient>> mClients;
  std::vector<std::vector<std::uint32_t>> mUses; ///< By host and upstream.
  std::vector<PendingTable> mPendingTables;
  std::uint64_t mTerm = 0;
};

void CheckRun(Fault aFault)
{
  const auto actions = *rc::gen::container<std::vector<Action>>(400, GenerateAction());
  CapacityRun run(aFault);
  for (const Action& it : actions) {
    run.Apply(it);
    RC_ASSERT(run.GrantsFit());
  }
}

} // namespace

TEST_GROUP(CapacityProperty){ bool Holds(Fault aFault, int aCases) const {
  return PropertyHolds([aFault] { CheckRun(aFault); }, 1, aCases, aFault != Fault::None);
}
}
;

TEST(CapacityProperty, NeverOvergrants)
{
  CHECK(Holds(Fault::None, 2'000));
}

TEST(CapacityProperty, DetectsALeaderThatDoesNotWait)
{
  CHECK_FALSE(Holds(Fault::NoWaitAfterElection, 300));
}

TEST(CapacityProperty, DetectsAHostThatHoldsAGrantTooLong)
{
  CHECK_FALSE(Holds(Fault::LeaseFromReceipt, 300));
}
