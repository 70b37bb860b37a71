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
  Repeat,
  Lose,
  Use,
  Wait,
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

rc::Gen<Action> AnyAction()
{
  return rc::gen::build<Action>(
    rc::gen::set(&Action::step, rc::gen::weightedElement<Step>({ { 6, Step::Report },
                                                                 { 6, Step::Deliver },
                                                                 { 1, Step::Repeat },
                                                                 { 1, Step::Lose },
                                                                 { 4, Step::Use },
                                                                 { 3, Step::Wait },
                                                                 { 1, Step::Elect } })),
    rc::gen::set(&Action::choice, rc::gen::inRange<std::uint32_t>(0, 100)),
    rc::gen::set(&Action::amount, rc::gen::inRange<std::uint32_t>(0, 60)));
}

core::UpstreamId UpstreamOf(std::uint32_t aIndex)
{
  return core::UpstreamId("u" + std::to_string(aIndex));
}

/// A broker and its hosts. Messages between them are delayed, lost, duplicated and reordered.
class Run
{
public:
  explicit Run(Fault aFault)
    : mFault(aFault)
  {
    for (std::uint32_t n = 0; n < kHosts; ++n) {
      mClients.push_back(std::make_unique<CapacityClient>(mSettings, mTimers));
      mUses.emplace_back(kUpstreams, 0);
    }
    Elect();
  }

  void Do(const Action& aAction)
  {
    switch (aAction.step) {
      case Step::Report:
        return Report(aAction.choice % kHosts, aAction.amount);
      case Step::Deliver:
        return Deliver(aAction.choice, true);
      case Step::Repeat:
        return Deliver(aAction.choice, false);
      case Step::Lose:
        return Lose(aAction.choice);
      case Step::Use:
        return Use(aAction.choice, aAction.amount);
      case Step::Wait:
        return mTimers.Advance(core::Duration(aAction.amount * 20'000));
      case Step::Elect:
        return Elect();
    }
  }

  /// The slots granted to all hosts at an upstream never exceed its grantable slots.
  bool Holds() const
  {
    for (std::uint32_t upstream = 0; upstream < kUpstreams; ++upstream) {
      std::uint32_t sum = 0;
      for (const auto& it : mClients) {
        sum += it->GrantedSlots(UpstreamOf(upstream));
      }
      if (sum > GrantableSlots(mSettings, kSlots)) {
        return false;
      }
    }
    return true;
  }

private:
  struct Letter
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
      report.uses.push_back({ .upstream = UpstreamOf(n), .inFlight = mUses[aHost][n] });
    }
    // Round trip through the wire format, to cover the conversions as well.
    const GrantTable table = mBroker->OnReport(FromMessage(ToMessage(report)), mTimers.Now());
    mLetters.push_back({ .host = aHost, .table = FromMessage(ToMessage(table)) });
  }

  void Deliver(std::uint32_t aChoice, bool aRemove)
  {
    if (mLetters.empty()) {
      return;
    }
    const auto it = mLetters.begin() + static_cast<long>(aChoice % mLetters.size());
    Letter letter = *it;
    if (mFault == Fault::LeaseFromReceipt) {
      letter.table.lease *= 2;
    }
    mClients[letter.host]->ApplyTable(letter.table);
    if (aRemove) {
      mLetters.erase(it);
    }
  }

  void Lose(std::uint32_t aChoice)
  {
    if (!mLetters.empty()) {
      mLetters.erase(mLetters.begin() + static_cast<long>(aChoice % mLetters.size()));
    }
  }

  void Use(std::uint32_t aChoice, std::uint32_t aAmount)
  {
    const std::uint32_t host = aChoice % kHosts;
    const std::uint32_t upstream = aChoice % kUpstreams;
    const std::uint32_t granted = mClients[host]->GrantedSlots(UpstreamOf(upstream));
    mUses[host][upstream] = granted == 0 ? 0 : aAmount % (granted + 1);
  }

  void Elect()
  {
    const core::Duration skipped =
      mFault == Fault::NoWaitAfterElection ? mSettings.leaseDuration : core::Duration(0);
    mBroker =
      std::make_unique<CapacityBroker>(mSettings, core::Term(++mTerm), mTimers.Now() - skipped);
    for (std::uint32_t n = 0; n < kUpstreams; ++n) {
      mBroker->AddOrUpdateUpstream(UpstreamOf(n), core::ServiceId("s"), kSlots);
    }
  }

  Fault mFault;
  CapacitySettings mSettings;
  test_framework::time::ManualTimerService mTimers;
  std::unique_ptr<CapacityBroker> mBroker;
  std::vector<std::unique_ptr<CapacityClient>> mClients;
  std::vector<std::vector<std::uint32_t>> mUses; ///< By host and upstream.
  std::vector<Letter> mLetters;
  std::uint64_t mTerm = 0;
};

void CheckRun(Fault aFault)
{
  const auto actions = *rc::gen::container<std::vector<Action>>(400, AnyAction());
  Run run(aFault);
  for (const Action& it : actions) {
    run.Do(it);
    RC_ASSERT(run.Holds());
  }
}

} // namespace

TEST_GROUP(CapacityProperty){ bool Holds(Fault aFault, int aCases) const {
  return PropertyHolds([aFault] { CheckRun(aFault); }, 1, aCases, aFault != Fault::None);
}
}
;

TEST(CapacityProperty, NeverGrantsMoreThanThereIs)
{
  CHECK(Holds(Fault::None, 2'000));
}

TEST(CapacityProperty, FindsALeaderThatDoesNotWait)
{
  CHECK_FALSE(Holds(Fault::NoWaitAfterElection, 300));
}

TEST(CapacityProperty, FindsAHostThatKeepsAGrantTooLong)
{
  CHECK_FALSE(Holds(Fault::LeaseFromReceipt, 300));
}
