#include "UnitTests/request/SchedulerFixture.h"
#include "UnitTests/request/SeededCheck.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::unit_tests::request;

namespace {

constexpr std::uint32_t kUpstreams = 3;
constexpr std::uint32_t kSlots = 2;
constexpr std::uint32_t kMaxWaiting = 6;
/// Upper bound of the in-flight limit, as a multiple of the slots.
constexpr double kMaxInFlightPerSlot = 1.5;

/// Fault injected between the oracle and the scheduler.
enum class Fault
{
  None,
  IgnoresRemoval,    ///< Does not pass upstream removals on to the scheduler.
  RetriesFailed,     ///< Reports failed attempts as refused, so that the scheduler retries them.
  InvertsTiers,      ///< Submits requests with the order of tiers reversed.
  IgnoresWithdrawal, ///< Does not pass withdrawals on to the scheduler.
};

enum class Step
{
  Submit,
  Withdraw,
  Succeed,
  Fail,
  Refuse,
  AddUpstream,
  RemoveUpstream,
  Advance,
};

struct Action
{
  Step step = Step::Submit;
  std::uint32_t choice = 0; ///< Tier, upstream or request, depending on the step.
};

std::ostream& operator<<(std::ostream& aStream, const Action& aAction)
{
  return aStream << static_cast<int>(aAction.step) << ":" << aAction.choice;
}

rc::Gen<Action> GenerateAction()
{
  return rc::gen::build<Action>(
    rc::gen::set(&Action::step, rc::gen::weightedElement<Step>({ { 8, Step::Submit },
                                                                 { 1, Step::Withdraw },
                                                                 { 4, Step::Succeed },
                                                                 { 1, Step::Fail },
                                                                 { 1, Step::Refuse },
                                                                 { 1, Step::AddUpstream },
                                                                 { 1, Step::RemoveUpstream },
                                                                 { 1, Step::Advance } })),
    rc::gen::set(&Action::choice, rc::gen::inRange<std::uint32_t>(0, 1'000)));
}

/// Reference model: checks the rules that any scheduler must keep, with one set for each state.
class Oracle : public SchedulerListener
{
public:
  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override
  {
    const std::string& id = aRequest.Text();
    Require(waitingTiers.count(id) == 1, "dispatched a request that was not waiting");
    Require(liveUpstreams.count(aUpstream.id.Text()) == 1, "dispatched to a removed upstream");
    for (const auto& [other, tier] : waitingTiers) {
      Require(tier >= waitingTiers[id], "dispatched while a higher tier was waiting");
    }
    upstreamByRequest[id] = aUpstream.id.Text();
    tierByRequest[id] = waitingTiers[id];
    waitingTiers.erase(id);
    std::size_t atUpstream = 0;
    for (const auto& it : upstreamByRequest) {
      atUpstream += it.second == aUpstream.id.Text() ? 1 : 0;
    }
    Require(static_cast<double>(atUpstream) <= kSlots * kMaxInFlightPerSlot,
            "in-flight limit exceeded");
  }

  void OnShed(const core::RequestId& aRequest, ShedReason aReason, core::Duration) override
  {
    const std::string& id = aRequest.Text();
    Require(waitingTiers.count(id) == 1, "shed a request that was not waiting");
    for (const auto& [other, tier] : waitingTiers) {
      Require(aReason != ShedReason::Overload || tier <= waitingTiers[id],
              "shed for overload while a lower tier was waiting");
    }
    Require(aReason != ShedReason::NoUpstream || liveUpstreams.empty() ||
              refusedRequests.count(id) == 1,
            "shed for lack of an upstream while one was available");
    waitingTiers.erase(id);
  }

  void Require(bool aCondition, const char* aViolation)
  {
    if (!aCondition && violation.empty()) {
      violation = aViolation;
    }
  }

  std::map<std::string, std::uint32_t> waitingTiers; ///< Tier by request.
  std::map<std::string, std::string> upstreamByRequest;
  std::map<std::string, std::uint32_t> tierByRequest; ///< Tier by request that is or was in flight.
  std::set<std::string> liveUpstreams;                ///< Known upstreams.
  std::set<std::string> refusedRequests;
  std::string violation; ///< First rule that was violated.
};

admission::SchedulerSettings SmallSettings()
{
  admission::SchedulerSettings settings;
  settings.maxWaitingRequests = kMaxWaiting;
  return settings;
}

/// Applies actions to a scheduler and to the oracle.
class SchedulerRun
{
public:
  explicit SchedulerRun(Fault aFault)
    : mFault(aFault)
    , mScheduler({ .settings = SmallSettings(),
                   .timers = mTimers,
                   .random = mRandom,
                   .listener = oracle,
                   .versions = mVersions,
                   .host = core::HostId("host-1"),
                   .dataCentre = core::DataCentreId("gent-a"),
                   .region = core::RegionId("gent") })
  {
  }

  void Apply(const Action& aAction)
  {
    switch (aAction.step) {
      case Step::Submit:
        return Submit(aAction.choice);
      case Step::Withdraw:
        return Withdraw(aAction.choice);
      case Step::Succeed:
        return FinishAttempt(aAction.choice, AttemptOutcome::Succeeded);
      case Step::Fail:
        return FinishAttempt(aAction.choice, AttemptOutcome::Failed);
      case Step::Refuse:
        return FinishAttempt(aAction.choice, AttemptOutcome::Refused);
      case Step::AddUpstream:
        return AddUpstream(aAction.choice);
      case Step::RemoveUpstream:
        return RemoveUpstream(aAction.choice);
      case Step::Advance:
        return mTimers.Advance(core::Duration(100'000));
    }
  }

  /// Finishes requests until none waits or is in flight, so that each has received its decision.
  void Drain()
  {
    AddUpstream(0);
    for (int n = 0;
         n < 2'000 && (!oracle.waitingTiers.empty() || !oracle.upstreamByRequest.empty()); ++n) {
      FinishAttempt(0, AttemptOutcome::Succeeded);
      mTimers.Advance(core::Duration(1'000'000));
    }
    oracle.Require(oracle.waitingTiers.empty(), "a request never received a decision");
    oracle.Require(mScheduler.Size() == 0, "the scheduler still holds a request that has ended");
  }

  Oracle oracle;

private:
  void Submit(std::uint32_t aChoice)
  {
    const std::string id = "r" + std::to_string(mNextRequest++);
    const std::uint32_t tier = aChoice % 4;
    oracle.waitingTiers[id] = tier;
    RequestSpec spec;
    spec.id = core::RequestId(id);
    spec.workspace = core::WorkspaceId("w" + std::to_string(aChoice % 3));
    spec.tier = mFault == Fault::InvertsTiers ? 3 - tier : tier;
    spec.service = core::ServiceId("s");
    spec.arrival = mTimers.Now();
    spec.deadline = mTimers.Now() + std::chrono::hours(1);
    spec.firstTokenTarget = std::chrono::hours(1);
    spec.promptTokens = core::Tokens{ 10 };
    mScheduler.Submit(spec);
  }

  void Withdraw(std::uint32_t aChoice)
  {
    if (oracle.waitingTiers.empty()) {
      return;
    }
    const auto it = std::next(oracle.waitingTiers.begin(),
                              static_cast<long>(aChoice % oracle.waitingTiers.size()));
    const core::RequestId id(it->first);
    oracle.waitingTiers.erase(it);
    if (mFault != Fault::IgnoresWithdrawal) {
      mScheduler.Withdraw(id);
    }
  }

  void FinishAttempt(std::uint32_t aChoice, AttemptOutcome aOutcome)
  {
    if (oracle.upstreamByRequest.empty()) {
      return;
    }
    const auto it = std::next(oracle.upstreamByRequest.begin(),
                              static_cast<long>(aChoice % oracle.upstreamByRequest.size()));
    const std::string id = it->first;
    oracle.upstreamByRequest.erase(it);
    if (aOutcome == AttemptOutcome::Refused) {
      oracle.waitingTiers[id] = oracle.tierByRequest[id];
      oracle.refusedRequests.insert(id);
    } else {
      mScheduler.OnFirstToken(core::RequestId(id));
    }
    const bool retryFailed = mFault == Fault::RetriesFailed && aOutcome == AttemptOutcome::Failed;
    mScheduler.OnAttemptEnded(core::RequestId(id),
                              retryFailed ? AttemptOutcome::Refused : aOutcome);
  }

  void AddUpstream(std::uint32_t aChoice)
  {
    const std::string id = "u" + std::to_string(aChoice % kUpstreams);
    oracle.liveUpstreams.insert(id);
    UpstreamAnnouncement announcement;
    announcement.id = core::UpstreamId(id);
    announcement.service = core::ServiceId("s");
    announcement.dataCentre = core::DataCentreId("gent-a");
    announcement.region = core::RegionId("gent");
    announcement.slots = kSlots;
    mScheduler.AddOrUpdateUpstream(announcement);
  }

  void RemoveUpstream(std::uint32_t aChoice)
  {
    const std::string id = "u" + std::to_string(aChoice % kUpstreams);
    oracle.liveUpstreams.erase(id);
    if (mFault != Fault::IgnoresRemoval) {
      mScheduler.RemoveUpstream(core::UpstreamId(id));
    }
  }

  Fault mFault;
  test_framework::time::ManualTimerService mTimers;
  core::Random mRandom{ 1 };
  FixedVersionChooser mVersions;
  admission::TieredScheduler mScheduler;
  std::uint32_t mNextRequest = 0;
};

void CheckRun(Fault aFault)
{
  const auto actions = *rc::gen::container<std::vector<Action>>(GenerateAction());
  SchedulerRun run(aFault);
  for (const Action& it : actions) {
    run.Apply(it);
    RC_ASSERT(run.oracle.violation == "");
  }
  run.Drain();
  RC_ASSERT(run.oracle.violation == "");
}

} // namespace

TEST_GROUP(AdmissionProperty){ bool Holds(Fault aFault, int aCases) const {
  return PropertyHolds([aFault] { CheckRun(aFault); }, 1, aCases, aFault != Fault::None);
}
}
;

TEST(AdmissionProperty, HoldsForRandomActions)
{
  CHECK(Holds(Fault::None, 4'000));
}

TEST(AdmissionProperty, DetectsASchedulerThatIgnoresARemoval)
{
  CHECK_FALSE(Holds(Fault::IgnoresRemoval, 200));
}

TEST(AdmissionProperty, DetectsASchedulerThatRetriesAfterAFailure)
{
  CHECK_FALSE(Holds(Fault::RetriesFailed, 200));
}

TEST(AdmissionProperty, DetectsASchedulerThatInvertsTiers)
{
  CHECK_FALSE(Holds(Fault::InvertsTiers, 200));
}

TEST(AdmissionProperty, DetectsASchedulerThatIgnoresAWithdrawal)
{
  CHECK_FALSE(Holds(Fault::IgnoresWithdrawal, 200));
}
