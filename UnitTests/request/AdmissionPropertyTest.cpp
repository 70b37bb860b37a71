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
constexpr double kMostPerSlot = 1.5;

/// Fault injected between the oracle and the scheduler.
enum class Fault
{
  None,
  IgnoresLeave,     ///< Does not pass upstream removals on to the scheduler.
  RepeatsFailed,    ///< Reports failed attempts as refused, so that the scheduler retries them.
  InvertsTiers,     ///< Submits requests with the order of tiers reversed.
  ForgetsWithdrawn, ///< Does not pass withdrawals on to the scheduler.
};

enum class Step
{
  Submit,
  Withdraw,
  Succeed,
  Fail,
  Refuse,
  UpstreamUp,
  UpstreamGone,
  Wait,
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

rc::Gen<Action> AnyAction()
{
  return rc::gen::build<Action>(
    rc::gen::set(&Action::step, rc::gen::weightedElement<Step>({ { 8, Step::Submit },
                                                                 { 1, Step::Withdraw },
                                                                 { 4, Step::Succeed },
                                                                 { 1, Step::Fail },
                                                                 { 1, Step::Refuse },
                                                                 { 1, Step::UpstreamUp },
                                                                 { 1, Step::UpstreamGone },
                                                                 { 1, Step::Wait } })),
    rc::gen::set(&Action::choice, rc::gen::inRange<std::uint32_t>(0, 1'000)));
}

/// Reference model: checks the rules that any scheduler must keep, with one set for each state.
class Oracle : public SchedulerListener
{
public:
  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override
  {
    const std::string& id = aRequest.Text();
    Demand(waiting.count(id) == 1, "dispatched though not waiting");
    Demand(live.count(aUpstream.id.Text()) == 1, "dispatched to an upstream that is gone");
    for (const auto& [other, tier] : waiting) {
      Demand(tier >= waiting[id], "a higher tier was waiting");
    }
    inFlight[id] = aUpstream.id.Text();
    tiers[id] = waiting[id];
    waiting.erase(id);
    std::size_t there = 0;
    for (const auto& it : inFlight) {
      there += it.second == aUpstream.id.Text() ? 1 : 0;
    }
    Demand(static_cast<double>(there) <= kSlots * kMostPerSlot, "more in flight than the limit");
  }

  void OnShed(const core::RequestId& aRequest, ShedReason aReason, core::Duration) override
  {
    const std::string& id = aRequest.Text();
    Demand(waiting.count(id) == 1, "shed though not waiting");
    for (const auto& [other, tier] : waiting) {
      Demand(aReason != ShedReason::Overload || tier <= waiting[id], "a lower tier was waiting");
    }
    Demand(aReason != ShedReason::NoUpstream || live.empty() || refused.count(id) == 1,
           "shed for want of an upstream that is there");
    waiting.erase(id);
  }

  void Demand(bool aCondition, const char* aWhat)
  {
    if (!aCondition && broken.empty()) {
      broken = aWhat;
    }
  }

  std::map<std::string, std::uint32_t> waiting; ///< Tier by request.
  std::map<std::string, std::string> inFlight;  ///< Upstream by request.
  std::map<std::string, std::uint32_t> tiers;   ///< Tier by request that is or was in flight.
  std::set<std::string> live;                   ///< Known upstreams.
  std::set<std::string> refused;
  std::string broken; ///< First rule that was violated.
};

admission::SchedulerSettings SmallSettings()
{
  admission::SchedulerSettings settings;
  settings.maxWaitingRequests = kMaxWaiting;
  return settings;
}

/// Applies actions to a scheduler and to the oracle.
class Run
{
public:
  explicit Run(Fault aFault)
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

  void Do(const Action& aAction)
  {
    switch (aAction.step) {
      case Step::Submit:
        return Submit(aAction.choice);
      case Step::Withdraw:
        return Withdraw(aAction.choice);
      case Step::Succeed:
        return End(aAction.choice, AttemptOutcome::Succeeded);
      case Step::Fail:
        return End(aAction.choice, AttemptOutcome::Failed);
      case Step::Refuse:
        return End(aAction.choice, AttemptOutcome::Refused);
      case Step::UpstreamUp:
        return Up(aAction.choice);
      case Step::UpstreamGone:
        return Gone(aAction.choice);
      case Step::Wait:
        return mTimers.Advance(core::Duration(100'000));
    }
  }

  /// Finishes requests until none waits or is in flight, so that each has received its decision.
  void Drain()
  {
    Up(0);
    for (int n = 0; n < 2'000 && (!oracle.waiting.empty() || !oracle.inFlight.empty()); ++n) {
      End(0, AttemptOutcome::Succeeded);
      mTimers.Advance(core::Duration(1'000'000));
    }
    oracle.Demand(oracle.waiting.empty(), "a request never got its decision");
    oracle.Demand(mScheduler.Size() == 0, "the scheduler still holds a request that has ended");
  }

  Oracle oracle;

private:
  void Submit(std::uint32_t aChoice)
  {
    const std::string id = "r" + std::to_string(mNext++);
    const std::uint32_t tier = aChoice % 4;
    oracle.waiting[id] = tier;
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
    if (oracle.waiting.empty()) {
      return;
    }
    const auto it =
      std::next(oracle.waiting.begin(), static_cast<long>(aChoice % oracle.waiting.size()));
    const core::RequestId id(it->first);
    oracle.waiting.erase(it);
    if (mFault != Fault::ForgetsWithdrawn) {
      mScheduler.Withdraw(id);
    }
  }

  void End(std::uint32_t aChoice, AttemptOutcome aOutcome)
  {
    if (oracle.inFlight.empty()) {
      return;
    }
    const auto it =
      std::next(oracle.inFlight.begin(), static_cast<long>(aChoice % oracle.inFlight.size()));
    const std::string id = it->first;
    oracle.inFlight.erase(it);
    if (aOutcome == AttemptOutcome::Refused) {
      oracle.waiting[id] = oracle.tiers[id];
      oracle.refused.insert(id);
    } else {
      mScheduler.OnFirstToken(core::RequestId(id));
    }
    const bool repeats = mFault == Fault::RepeatsFailed && aOutcome == AttemptOutcome::Failed;
    mScheduler.OnAttemptEnded(core::RequestId(id), repeats ? AttemptOutcome::Refused : aOutcome);
  }

  void Up(std::uint32_t aChoice)
  {
    const std::string id = "u" + std::to_string(aChoice % kUpstreams);
    oracle.live.insert(id);
    UpstreamAnnouncement announcement;
    announcement.id = core::UpstreamId(id);
    announcement.service = core::ServiceId("s");
    announcement.dataCentre = core::DataCentreId("gent-a");
    announcement.region = core::RegionId("gent");
    announcement.slots = kSlots;
    mScheduler.AddOrUpdateUpstream(announcement);
  }

  void Gone(std::uint32_t aChoice)
  {
    const std::string id = "u" + std::to_string(aChoice % kUpstreams);
    oracle.live.erase(id);
    if (mFault != Fault::IgnoresLeave) {
      mScheduler.RemoveUpstream(core::UpstreamId(id));
    }
  }

  Fault mFault;
  test_framework::time::ManualTimerService mTimers;
  core::Random mRandom{ 1 };
  FixedVersionChooser mVersions;
  admission::TieredScheduler mScheduler;
  std::uint32_t mNext = 0;
};

void CheckRun(Fault aFault)
{
  const auto actions = *rc::gen::container<std::vector<Action>>(AnyAction());
  Run run(aFault);
  for (const Action& it : actions) {
    run.Do(it);
    RC_ASSERT(run.oracle.broken == "");
  }
  run.Drain();
  RC_ASSERT(run.oracle.broken == "");
}

} // namespace

TEST_GROUP(AdmissionProperty){ bool Holds(Fault aFault, int aCases) const {
  return PropertyHolds([aFault] { CheckRun(aFault); }, 1, aCases, aFault != Fault::None);
}
}
;

TEST(AdmissionProperty, HoldsUnderAnyActions)
{
  CHECK(Holds(Fault::None, 4'000));
}

TEST(AdmissionProperty, FindsASchedulerThatIgnoresALeave)
{
  CHECK_FALSE(Holds(Fault::IgnoresLeave, 200));
}

TEST(AdmissionProperty, FindsASchedulerThatRepeatsAfterAFailure)
{
  CHECK_FALSE(Holds(Fault::RepeatsFailed, 200));
}

TEST(AdmissionProperty, FindsASchedulerThatInvertsTiers)
{
  CHECK_FALSE(Holds(Fault::InvertsTiers, 200));
}

TEST(AdmissionProperty, FindsASchedulerThatForgetsAWithdrawal)
{
  CHECK_FALSE(Holds(Fault::ForgetsWithdrawn, 200));
}
