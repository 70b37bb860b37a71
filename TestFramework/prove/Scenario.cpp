#include "TestFramework/prove/Scenario.h"

#include <csignal>
#include <filesystem>

namespace cuminfield::test_framework::prove {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kHostCount = Cluster::kHosts.size();
constexpr int kChangesPerRestart = 20;
/// A document is in force everywhere within this once all hosts can be reached.
constexpr core::Duration kInForce = 5s;
/// Time that a host is given to come back before the document is looked for.
constexpr core::Duration kComeBack = 5s;

/// A random time between the two.
core::Duration Between(core::Random& aRandom, core::Duration aLow, core::Duration aHigh)
{
  const auto span = static_cast<std::uint64_t>((aHigh - aLow).count());
  return aLow + core::Duration(static_cast<std::int64_t>(aRandom.Below(span)));
}

void Settle(Stage& aStage)
{
  aStage.revisions.Look();
  aStage.revisions.AwaitEverywhere(aStage.timers, kInForce + kComeBack);
}

/// SIGKILL of one host or two while requests wait.
class KillScenario : public Scenario
{
public:
  void Round(Stage& aStage) override
  {
    aStage.timers.RunFor(Between(aStage.random, 500ms, 1500ms));
    const std::size_t one = aStage.random.Below(kHostCount);
    const std::size_t other = aStage.random.Chance(0.3) ? aStage.random.Below(kHostCount) : one;
    aStage.cluster.Children().Kill(Cluster::kHosts.at(one));
    aStage.cluster.Children().Kill(Cluster::kHosts.at(other));
    aStage.revisions.Change((one + 1) % kHostCount);
    aStage.timers.RunFor(Between(aStage.random, 200ms, 3s));
    aStage.cluster.StartHost(one);
    if (other != one) {
      aStage.cluster.StartHost(other);
    }
    Settle(aStage);
  }
};

/// SIGSTOP of a host past its lease.
class FreezeScenario : public Scenario
{
public:
  void Round(Stage& aStage) override
  {
    aStage.timers.RunFor(Between(aStage.random, 500ms, 1500ms));
    const std::size_t frozen = aStage.random.Below(kHostCount);
    aStage.cluster.Children().Signal(Cluster::kHosts.at(frozen), SIGSTOP);
    aStage.timers.RunFor(Between(aStage.random, 2s, 6s));
    aStage.revisions.Change((frozen + 1) % kHostCount);
    aStage.cluster.Children().Signal(Cluster::kHosts.at(frozen), SIGCONT);
    Settle(aStage);
  }
};

/// A silent partition of a data centre or a host, in both directions or in one.
class CutScenario : public Scenario
{
public:
  void Round(Stage& aStage) override
  {
    aStage.timers.RunFor(Between(aStage.random, 500ms, 1500ms));
    const bool wholeCentre = aStage.random.Chance(0.5);
    const std::size_t host = aStage.random.Below(kHostCount);
    const auto inside = [=](std::size_t aHost) {
      return wholeCentre ? Cluster::CentreOf(aHost) == Cluster::CentreOf(host) : aHost == host;
    };
    const std::uint64_t way = aStage.random.Below(3);
    aStage.cluster.Cut([=](std::size_t aFrom, std::size_t aTo) {
      const bool out = inside(aFrom) && !inside(aTo);
      const bool in = !inside(aFrom) && inside(aTo);
      return (out && way != 1) || (in && way != 2);
    });
    aStage.timers.RunFor(Between(aStage.random, 2s, 6s));
    aStage.revisions.Change((host + 3) % kHostCount);
    aStage.cluster.Cut([](std::size_t, std::size_t) { return false; });
    Settle(aStage);
  }
};

/// A data folder wiped, then a second host lost right after the repair.
class LostDiskScenario : public Scenario
{
public:
  void Round(Stage& aStage) override
  {
    aStage.revisions.Change(0);
    const std::size_t lost = aStage.random.Below(kHostCount);
    aStage.cluster.Children().Kill(Cluster::kHosts.at(lost));
    std::filesystem::remove_all(aStage.cluster.DataFolder(lost));
    aStage.timers.RunFor(Between(aStage.random, 200ms, 2s));
    aStage.cluster.StartHost(lost);
    Settle(aStage);
    const std::size_t second = (lost + 1 + aStage.random.Below(kHostCount - 1)) % kHostCount;
    aStage.cluster.Children().Kill(Cluster::kHosts.at(second));
    aStage.timers.RunFor(Between(aStage.random, 1s, 3s));
    aStage.cluster.StartHost(second);
    Settle(aStage);
  }
};

/// Operators with equal base revision, who resend after lost answers.
class OperatorRaceScenario : public Scenario
{
public:
  void Round(Stage& aStage) override
  {
    const std::size_t one = aStage.random.Below(kHostCount);
    const std::size_t other = (one + 1 + aStage.random.Below(kHostCount - 1)) % kHostCount;
    aStage.revisions.Race(one, other);
    aStage.revisions.Look();
    aStage.revisions.AwaitEverywhere(aStage.timers, kInForce);
  }
};

/// Restarts of all hosts after many document changes.
class RestartScenario : public Scenario
{
public:
  void Round(Stage& aStage) override
  {
    for (int i = 0; i < kChangesPerRestart; ++i) {
      aStage.revisions.Change(aStage.random.Below(kHostCount));
    }
    for (const char* it : Cluster::kHosts) {
      aStage.cluster.Children().Kill(it);
    }
    for (std::size_t i = 0; i < kHostCount; ++i) {
      aStage.cluster.StartHost(i);
    }
    Settle(aStage);
  }
};

/// Upstreams that answer late, crossed, in part or not at all.
class LateAnswersScenario : public Scenario
{
public:
  void Round(Stage& aStage) override
  {
    static constexpr std::array kFaults = {
      R"({"late":0.5,"late_ms":1500})", R"({"crossed":0.2,"late":0.2})",
      R"({"stall":0.05,"close":0.1})", R"({"close":0.2,"refuse":0.2,"fail":0.1})",
      R"({"late":0.3,"crossed":0.1,"stall":0.02,"close":0.1,"refuse":0.1,"slow":2})"
    };
    aStage.cluster.SetFaults(kFaults.at(aStage.random.Below(kFaults.size())));
    aStage.timers.RunFor(Between(aStage.random, 2s, 4s));
    aStage.cluster.SetFaults("{}");
    aStage.timers.RunFor(Between(aStage.random, 500ms, 1s));
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
    return std::make_unique<CutScenario>();
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
    return std::make_unique<LateAnswersScenario>();
  }
  return nullptr;
}

const char* ScenarioNames()
{
  return "kill freeze cut lost-disk operator-race restart late-answers";
}

} // namespace cuminfield::test_framework::prove
