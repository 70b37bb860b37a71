#pragma once

#include "TestFramework/prove/Cluster.h"
#include "TestFramework/prove/Oracle.h"
#include "TestFramework/prove/RevisionChecker.h"
#include "cuminfield/core/Random.h"

#include <memory>
#include <string>

namespace cuminfield::test_framework::prove {

/// The test environment that a scenario acts on.
struct ScenarioContext
{
  time::LoopTimerService& timers;
  Cluster& cluster;
  Oracle& oracle;
  RevisionChecker& revisionChecker;
  core::Random& random;
};

/// A kind of failure that is injected in each round while callers send requests.
class Scenario
{
public:
  virtual ~Scenario() = default;

  /// Injects the failure once, then removes it.
  virtual void RunRound(ScenarioContext& aContext) = 0;
};

/// Returns the scenario with this name, or null.
std::unique_ptr<Scenario> MakeScenario(const std::string& aName);

/// Returns all scenario names, separated by spaces.
const char* ScenarioNames();

} // namespace cuminfield::test_framework::prove
