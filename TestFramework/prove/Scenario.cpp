#include "TestFramework/prove/Scenario.h"

#include <csignal>
#include <filesystem>

namespace cuminfield::test_framework::prove {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kHostCount = Cluster::kHostIds.size();
constexpr int kChangesPerRestart = 20;
/// Time limit for a document to be in force at all hosts once all of them are reachable.
constexpr core::Duration kConvergenceTimeout = 5s;
/// Additional time for a host to recover before its document is checked.
constexpr core::Duration kHostRecoveryTime = 5s;

/// Returns a random duration from aMin to less than aMax.
core::Duration RandomDuration(core::Random& aRandom, core::Duration aMin, core::Duration aMax)
{
  const auto range = static_cast<std::uint64_t>((aMax - aMin).count());
  return aMin + core::Duration(static_cast<std::int64_t>(aRandom.UniformBelow(range)));
}

void AwaitRecovery(ScenarioContext& aContext)
{
  aContext.revisionChecker.CheckHosts();
  aContext.revisionChecker.AwaitConvergence(aContext.timers,
                                            kConvergenceTimeout + kHostRecoveryTime);
}

/// Kills one or two hosts with SIGKILL while requests are pending.
class KillScenario : public Scenario
{
public:
  void RunRound(ScenarioContext& aContext) override
  {
    aContext.timers.RunFor(RandomDuration(aContext.random, 500ms, 1500ms));
    const std::size_t one = aContext.random.UniformBelow(kHostCount);
    const std::size_t other =
      aContext.random.Chance(0.3) ? aContext.random.UniformBelow(kHostCount) : one;
    aContext.cluster.ChildProcesses().Kill(Cluster::kHostIds.at(one));
    aContext.cluster.ChildProcesses().Kill(Cluster::kHostIds.at(other));
    aContext.revisionChecker.SubmitChange((one + 1) % kHostCount);
    aContext.timers.RunFor(RandomDuration(aContext.random, 200ms, 3s));
    aContext.cluster.StartHost(one);
    if (other != one) {
      aContext.cluster.StartHost(other);
    }
    AwaitRecovery(aContext);
  }
};

/// Suspends a host with SIGSTOP for longer than its lease.
class FreezeScenario : public Scenario
{
public:
  void RunRound(ScenarioContext& aContext) override
  {
    aContext.timers.RunFor(RandomDuration(aContext.random, 500ms, 1500ms));
    const std::size_t suspended = aContext.random.UniformBelow(kHostCount);
    aContext.cluster.ChildProcesses().SendSignal(Cluster::kHostIds.at(suspended), SIGSTOP);
    aContext.timers.RunFor(RandomDuration(aContext.random, 2s, 6s));
    aContext.revisionChecker.SubmitChange((suspended + 1) % kHostCount);
    aContext.cluster.ChildProcesses().SendSignal(Cluster::kHostIds.at(suspended), SIGCONT);
    AwaitRecovery(aContext);
  }
};

/// Partitions a data centre or a host from the others in one or both directions, without closing
/// connections.
class PartitionScenario : public Scenario
{
public:
  void RunRound(ScenarioContext& aContext) override
  {
    aContext.timers.RunFor(RandomDuration(aContext.random, 500ms, 1500ms));
    const bool isDataCentre = aContext.random.Chance(0.5);
    const std::size_t host = aContext.random.UniformBelow(kHostCount);
    const auto isInside = [=](std::size_t aHost) {
      return isDataCentre ? Cluster::DataCentreOf(aHost) == Cluster::DataCentreOf(host)
                          : aHost == host;
    };
    const std::uint64_t direction = aContext.random.UniformBelow(3);
    aContext.cluster.BlockLinks([=](std::size_t aFrom, std::size_t aTo) {
      const bool isOutbound = isInside(aFrom) && !isInside(aTo);
      const bool isInbound = !isInside(aFrom) && isInside(aTo);
      return (isOutbound && direction != 1) || (isInbound && direction != 2);
    });
    aContext.timers.RunFor(RandomDuration(aContext.random, 2s, 6s));
    aContext.revisionChecker.SubmitChange((host + 3) % kHostCount);
    aContext.cluster.BlockLinks([](std::size_t, std::size_t) { return false; });
    AwaitRecovery(aContext);
  }
};

/// Deletes the data folder of a host, and kills a second host right after the repair.
class LostDiskScenario : public Scenario
{
public:
  void RunRound(ScenarioContext& aContext) override
  {
    aContext.revisionChecker.SubmitChange(0);
    const std::size_t lost = aContext.random.UniformBelow(kHostCount);
    aContext.cluster.ChildProcesses().Kill(Cluster::kHostIds.at(lost));
    std::filesystem::remove_all(aContext.cluster.DataFolder(lost));
    aContext.timers.RunFor(RandomDuration(aContext.random, 200ms, 2s));
    aContext.cluster.StartHost(lost);
    AwaitRecovery(aContext);
    const std::size_t second =
      (lost + 1 + aContext.random.UniformBelow(kHostCount - 1)) % kHostCount;
    aContext.cluster.ChildProcesses().Kill(Cluster::kHostIds.at(second));
    aContext.timers.RunFor(RandomDuration(aContext.random, 1s, 3s));
    aContext.cluster.StartHost(second);
    AwaitRecovery(aContext);
  }
};

/// Submits concurrent changes with the same base revision and resends after lost responses.
class OperatorRaceScenario : public Scenario
{
public:
  void RunRound(ScenarioContext& aContext) override
  {
    const std::size_t one = aContext.random.UniformBelow(kHostCount);
    const std::size_t other = (one + 1 + aContext.random.UniformBelow(kHostCount - 1)) % kHostCount;
    aContext.revisionChecker.SubmitConcurrentChanges(one, other);
    aContext.revisionChecker.CheckHosts();
    aContext.revisionChecker.AwaitConvergence(aContext.timers, kConvergenceTimeout);
  }
};

/// Restarts all hosts after many document changes.
class RestartScenario : public Scenario
{
public:
  void RunRound(ScenarioContext& aContext) override
  {
    for (int i = 0; i < kChangesPerRestart; ++i) {
      aContext.revisionChecker.SubmitChange(aContext.random.UniformBelow(kHostCount));
    }
    for (const char* it : Cluster::kHostIds) {
      aContext.cluster.ChildProcesses().Kill(it);
    }
    for (std::size_t i = 0; i < kHostCount; ++i) {
      aContext.cluster.StartHost(i);
    }
    AwaitRecovery(aContext);
  }
};

/// Makes upstreams send late, swapped, partial or no responses, or errors.
class LateResponsesScenario : public Scenario
{
public:
  void RunRound(ScenarioContext& aContext) override
  {
    static constexpr std::array kFaults = {
      R"({"late":0.5,"late_ms":1500})", R"({"crossed":0.2,"late":0.2})",
      R"({"stall":0.05,"close":0.1})", R"({"close":0.2,"refuse":0.2,"fail":0.1})",
      R"({"late":0.3,"crossed":0.1,"stall":0.02,"close":0.1,"refuse":0.1,"slow":2})"
    };
    aContext.cluster.SetFaults(kFaults.at(aContext.random.UniformBelow(kFaults.size())));
    aContext.timers.RunFor(RandomDuration(aContext.random, 2s, 4s));
    aContext.cluster.SetFaults("{}");
    aContext.timers.RunFor(RandomDuration(aContext.random, 500ms, 1s));
  }
};

} // namespace

std::unique_ptr<Scenario> MakeScenario(const std::string& aName)
{
  if (aName == "kill") {
    return std::make_unique<KillScenario>();
  }
  if (aName == "freeze") {
    return std::make_unique<FreezeScenario>();
  }
  if (aName == "cut") {
    return std::make_unique<PartitionScenario>();
  }
  if (aName == "lost-disk") {
    return std::make_unique<LostDiskScenario>();
  }
  if (aName == "operator-race") {
    return std::make_unique<OperatorRaceScenario>();
  }
  if (aName == "restart") {
    return std::make_unique<RestartScenario>();
  }
  if (aName == "late-answers") {
    return std::make_unique<LateResponsesScenario>();
  }
  return nullptr;
}

const char* ScenarioNames()
{
  return "kill freeze cut lost-disk operator-race restart late-answers";
}

} // namespace cuminfield::test_framework::prove
