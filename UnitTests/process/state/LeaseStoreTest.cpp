#include "UnitTests/process/state/StateTest.h"
#include "cuminfield/process/state/LeaseHolder.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace cuminfield;
using namespace cuminfield::unit_tests::state;
using namespace std::chrono_literals;
using process::state::LeaseHolder;

namespace {

struct LeaseOracle
{
  /// Checks that fencing numbers increase with every grant.
  struct HistoryChecker
  {
    std::uint64_t lastFencing = 0;
    std::map<std::uint64_t, std::string> grants;

    bool IsConsistent(const proto::Command& aCommand, const proto::Answer& aAnswer)
    {
      if (aAnswer.lease().verdict() != proto::LEASE_VERDICT_GRANTED) {
        return true;
      }
      const proto::AcquireLease& lease = aCommand.acquire_lease();
      const std::string grant = lease.name() + "/" + lease.holder() + "/" + lease.request_id();
      const std::uint64_t fencing = aAnswer.lease().fencing();
      if (grants.contains(fencing)) {
        return grants[fencing] == grant;
      }
      grants[fencing] = grant;
      return fencing > std::exchange(lastFencing, fencing);
    }
  };

  struct Lease
  {
    std::string acquireId; ///< Holder and request id.
    std::string holder;
    std::uint64_t fencing = 0;
    std::int64_t maxValidity = 0; ///< Duration plus clock drift.
    std::int64_t renewedAt = 0;
    std::int64_t wait = 0;
    bool held = false;
  };

  std::int64_t now = 0;
  std::uint64_t lastFencing = 0;
  std::map<std::string, Lease> leases;

  proto::Command RandomCommand() const
  {
    proto::Command command;
    command.set_now(RandomTime(now));
    const std::string name = OneOf({ "moves", "moves", "other" });
    const std::string holder = OneOf({ "g1", "g2" });
    const std::uint64_t currentFencing = leases.contains(name) ? leases.at(name).fencing : 0;
    const std::uint64_t fencing =
      *rc::gen::inRange(0, 5) == 0 ? currentFencing - 1 : currentFencing;
    const bool waited = *rc::gen::arbitrary<bool>();
    const auto fill = [&](auto& aMessage) {
      aMessage.set_name(name);
      aMessage.set_holder(holder);
      aMessage.set_fencing(fencing);
      aMessage.set_waited(waited);
    };
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        fill(*command.mutable_renew_lease());
        break;
      case 1:
        fill(*command.mutable_release_lease());
        break;
      default:
        command.mutable_acquire_lease()->set_name(name);
        command.mutable_acquire_lease()->set_holder(holder);
        command.mutable_acquire_lease()->set_request_id(OneOf({ "r1", "r2", "r3" }));
        command.mutable_acquire_lease()->set_duration(*rc::gen::inRange(1, 3) * kMicrosPerSecond);
        break;
    }
    return command;
  }

  std::string Predict(const proto::Command& aCommand)
  {
    now = std::max(now, aCommand.now());
    if (aCommand.has_acquire_lease()) {
      return Acquire(aCommand.acquire_lease());
    }
    if (aCommand.has_renew_lease()) {
      const proto::RenewLease& renew = aCommand.renew_lease();
      Lease& lease = leases[renew.name()];
      if (!lease.held || lease.holder != renew.holder() || lease.fencing != renew.fencing()) {
        return "STALE";
      }
      lease.renewedAt = now;
      lease.wait = renew.waited() ? 0 : lease.wait;
      return "RENEWED";
    }
    const proto::ReleaseLease& release = aCommand.release_lease();
    Lease& lease = leases[release.name()];
    const bool isCurrent = lease.holder == release.holder() && lease.fencing == release.fencing();
    if (lease.fencing == 0 || !isCurrent) {
      return "STALE";
    }
    lease.wait = lease.held && release.waited() ? 0 : lease.wait;
    lease.held = false;
    return "RELEASED";
  }

  std::string Acquire(const proto::AcquireLease& aCommand)
  {
    Lease& lease = leases[aCommand.name()];
    const std::string owner = aCommand.holder() + "/" + aCommand.request_id();
    if (lease.acquireId == owner) {
      return lease.held ? DescribeGranted(lease) : "STALE";
    }
    if (lease.held && now <= lease.renewedAt + lease.maxValidity) {
      return "HELD " + std::to_string(lease.renewedAt + lease.maxValidity - now);
    }
    if (lease.held) {
      lease.wait = std::max(lease.wait, lease.maxValidity);
    }
    lastFencing = std::max<std::uint64_t>(lastFencing + 1, now / 1000);
    lease = { .acquireId = owner,
              .holder = aCommand.holder(),
              .fencing = lastFencing,
              .maxValidity = aCommand.duration() / 100 * 101,
              .renewedAt = now,
              .wait = lease.wait,
              .held = true };
    return DescribeGranted(lease);
  }

  static std::string DescribeGranted(const Lease& aLease)
  {
    return "GRANTED " + std::to_string(aLease.fencing) + " " + std::to_string(aLease.wait);
  }

  static std::string Describe(const proto::Answer& aAnswer)
  {
    const proto::LeaseAnswer& answer = aAnswer.lease();
    const char* const verdicts[] = { "NONE", "GRANTED", "RENEWED", "RELEASED",
                                     "HELD", "STALE",   "INVALID" };
    std::string verdict = verdicts[answer.verdict()];
    if (answer.verdict() == proto::LEASE_VERDICT_GRANTED) {
      return verdict + " " + std::to_string(answer.fencing()) + " " + std::to_string(answer.wait());
    }
    if (answer.verdict() == proto::LEASE_VERDICT_HELD) {
      return verdict + " " + std::to_string(answer.retry_after());
    }
    return verdict;
  }
};

/// Injected fault of a lease holder.
enum class HolderFault
{
  None,
  IgnoresWait,      ///< Acts immediately after acquiring an expired lease.
  CountsFromAnswer, ///< Counts the duration from the answer instead of from the request.
};

/// Simulates hosts with drifting monotonic clocks, wall clock jumps and arbitrary message delays.
class LeaseSimulation
{
public:
  explicit LeaseSimulation(HolderFault aFault)
    : mFault(aFault)
  {
    constexpr std::int64_t kRates[] = { 995, 1000, 1005 };
    for (const std::int64_t rate : kRates) {
      mHosts.emplace_back().clockRatePerMille = rate;
    }
  }

  void RandomEvent()
  {
    // One host is active for a while. The others are suspended and their messages wait.
    if (*rc::gen::inRange(0, 12) == 0) {
      mActiveHost = *rc::gen::inRange<std::size_t>(0, mHosts.size());
    }
    Host& host = mHosts[mActiveHost];
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        mTrueTime +=
          *rc::gen::elementOf(std::vector<std::int64_t>{ 1, 100'000, 300'000, 1'200'000 });
        break;
      case 1:
        Send(host);
        break;
      case 2:
        mWallTime = RandomTime(mWallTime);
        break;
      default:
        Deliver(host);
        break;
    }
  }

  std::size_t CountHolders() const
  {
    return std::ranges::count_if(
      mHosts, [this](const Host& aHost) { return aHost.holder.IsHeld(LocalTime(aHost)); });
  }

private:
  static constexpr core::Duration kDuration = 1s;

  struct Host
  {
    LeaseHolder holder{ kDuration };
    std::int64_t clockRatePerMille = 1000; ///< Rate of the monotonic clock relative to true time.
    proto::Command request;                ///< In flight, or executed with the answer in flight.
    proto::Answer answer;
    core::Instant sentAt{};
    int requestCount = 0;
  };

  core::Instant LocalTime(const Host& aHost) const
  {
    return core::Instant(core::Duration(mTrueTime * aHost.clockRatePerMille / 1000));
  }

  void Send(Host& aHost)
  {
    const std::string name = "g" + std::to_string(aHost.clockRatePerMille);
    const bool waited = aHost.holder.IsWaitOver(LocalTime(aHost));
    proto::Command command;
    if (aHost.holder.IsRenewalDue(LocalTime(aHost)) && *rc::gen::inRange(0, 4) != 0) {
      command.mutable_renew_lease()->set_name("moves");
      command.mutable_renew_lease()->set_holder(name);
      command.mutable_renew_lease()->set_fencing(aHost.holder.Fencing().Value());
      command.mutable_renew_lease()->set_waited(waited);
    } else if (waited && *rc::gen::inRange(0, 4) == 0) {
      command.mutable_release_lease()->set_name("moves");
      command.mutable_release_lease()->set_holder(name);
      command.mutable_release_lease()->set_fencing(aHost.holder.Fencing().Value());
      command.mutable_release_lease()->set_waited(true);
      aHost.holder.OnLost();
    } else {
      command.mutable_acquire_lease()->set_name("moves");
      command.mutable_acquire_lease()->set_holder(name);
      command.mutable_acquire_lease()->set_request_id(std::to_string(++aHost.requestCount));
      command.mutable_acquire_lease()->set_duration(kDuration.count());
    }
    aHost.request = command;
    aHost.answer.Clear();
    aHost.sentAt = LocalTime(aHost);
  }

  /// Executes the host's request or delivers its answer.
  void Deliver(Host& aHost)
  {
    if (aHost.request.kind_case() == proto::Command::KIND_NOT_SET) {
      return;
    }
    if (aHost.answer.kind_case() == proto::Answer::KIND_NOT_SET) {
      aHost.request.set_now(mWallTime);
      aHost.answer = mMachine.ExecuteCommand(aHost.request);
      return;
    }
    const proto::LeaseAnswer& answer = aHost.answer.lease();
    const bool countsFromAnswer = mFault == HolderFault::CountsFromAnswer;
    const core::Instant sentAt = countsFromAnswer ? LocalTime(aHost) : aHost.sentAt;
    const core::FencingNumber fencing(answer.fencing());
    if (answer.verdict() == proto::LEASE_VERDICT_GRANTED) {
      const core::Duration wait(mFault == HolderFault::IgnoresWait ? 0 : answer.wait());
      aHost.holder.OnGranted(fencing, wait, sentAt, LocalTime(aHost));
    } else if (answer.verdict() == proto::LEASE_VERDICT_RENEWED) {
      aHost.holder.OnRenewed(fencing, sentAt);
    }
    aHost.request.Clear();
  }

  HolderFault mFault;
  std::int64_t mTrueTime = 0;
  std::int64_t mWallTime = kStartMicros;
  std::vector<Host> mHosts;
  std::size_t mActiveHost = 0;
  GroupStateMachine mMachine{ GroupStateMachine::Settings() };
};

bool HasAtMostOneHolder(HolderFault aFault)
{
  const auto property = [aFault] {
    LeaseSimulation world(aFault);
    constexpr int kEvents = 600;
    for (int i = 0; i < kEvents; ++i) {
      world.RandomEvent();
      RC_ASSERT(world.CountHolders() <= 1U);
    }
  };
  return HoldsInEveryRun(property, true);
}

core::Instant At(core::Duration aTime)
{
  return core::Instant(aTime);
}

} // namespace

TEST_GROUP(LeaseStore){};

TEST(LeaseStore, AgreesWithOracle)
{
  CHECK(AgreesWithOracle<LeaseOracle>({}, {}));
}

TEST(LeaseStore, OracleDetectsLostFencingNumber)
{
  CHECK(!AgreesWithOracle<LeaseOracle>(
    {}, { .alterCommand = {}, .alterSnapshot = [](proto::Snapshot& aSnapshot) {
           aSnapshot.mutable_leases()->set_last_fencing(0);
         } }));
}

TEST(LeaseStore, OracleDetectsEarlyExpiry)
{
  CHECK(!AgreesWithOracle<LeaseOracle>(
    {}, { .alterCommand = {}, .alterSnapshot = [](proto::Snapshot& aSnapshot) {
           for (auto& record : *aSnapshot.mutable_leases()->mutable_records()) {
             record.set_held(false);
           }
         } }));
}

TEST(LeaseStore, FencingNumbersIncreaseWhenGroupIsFoundedAgain)
{
  proto::Command command;
  command.set_now(kStartMicros);
  command.mutable_acquire_lease()->set_name("moves");
  command.mutable_acquire_lease()->set_holder("g1");
  command.mutable_acquire_lease()->set_request_id("r1");
  command.mutable_acquire_lease()->set_duration(kMicrosPerSecond);
  const std::uint64_t former = GroupStateMachine({}).ExecuteCommand(command).lease().fencing();
  command.set_now(kStartMicros + kMicrosPerSecond);
  CHECK(GroupStateMachine({}).ExecuteCommand(command).lease().fencing() > former);
}

TEST_GROUP(LeaseHolder){};

TEST(LeaseHolder, AtMostOneHolderAtATime)
{
  CHECK(HasAtMostOneHolder(HolderFault::None));
}

TEST(LeaseHolder, DetectsIgnoredWait)
{
  CHECK(!HasAtMostOneHolder(HolderFault::IgnoresWait));
}

TEST(LeaseHolder, DetectsDurationCountedFromAnswer)
{
  CHECK(!HasAtMostOneHolder(HolderFault::CountsFromAnswer));
}

TEST(LeaseHolder, CountsFromRequestAndSubtractsDrift)
{
  LeaseHolder holder(1s);
  holder.OnGranted(core::FencingNumber(7), 0s, At(100ms), At(400ms));
  CHECK(holder.IsHeld(At(400ms)));
  CHECK(holder.IsHeld(At(1089ms)));
  CHECK(!holder.IsHeld(At(1090ms)));
  holder.OnRenewed(core::FencingNumber(7), At(500ms));
  CHECK(holder.IsHeld(At(1489ms)));
  holder.OnRenewed(core::FencingNumber(6), At(5s));
  CHECK(!holder.IsHeld(At(1490ms)));
}

TEST(LeaseHolder, LeaseExpiresWhileHolderIsSuspended)
{
  LeaseHolder holder(1s);
  holder.OnGranted(core::FencingNumber(7), 0s, At(0s), At(10ms));
  CHECK(holder.IsHeld(At(20ms)));
  // The process is suspended for a minute between the check and the effect.
  CHECK(!holder.IsHeld(At(60s)));
  CHECK(holder.IsRenewalDue(At(60s)));
}

TEST(LeaseHolder, NewHolderWaitsForFormerLeaseToExpire)
{
  LeaseHolder holder(2s);
  holder.OnGranted(core::FencingNumber(8), 1s, At(0s), At(100ms));
  CHECK(!holder.IsHeld(At(1109ms)));
  CHECK(holder.IsHeld(At(1110ms)));
  holder.OnGranted(core::FencingNumber(8), 1s, At(0s), At(1200ms)); // A resent answer.
  CHECK(holder.IsHeld(At(1200ms)));
  holder.OnLost();
  CHECK(!holder.IsHeld(At(1200ms)));
}
