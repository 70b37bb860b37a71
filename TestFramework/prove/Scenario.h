#pragma once

#include "TestFramework/prove/Cluster.h"
#include "TestFramework/prove/Oracle.h"
#include "TestFramework/prove/RevisionWatch.h"
#include "cuminfield/core/Random.h"

#include <memory>
#include <string>

namespace cuminfield::test_framework::prove {

/// What a scenario works on.
struct Stage
{
  time::LoopTimerService& timers;
  Cluster& cluster;
  Oracle& oracle;
  RevisionWatch& revisions;
  core::Random& random;
};

/// One kind of failure, brought about again in each round while callers send requests.
class Scenario
{
public:
  virtual ~Scenario() = default;

  /// Brings the failure about once and takes it away again.
  virtual void Round(Stage& aStage) = 0;
};

/// The scenario of this name, or null.
std::unique_ptr<Scenario> MakeScenario(const std::string& aName);

/// All names, separated by spaces.
const char* ScenarioNames();

} // namespace cuminfield::test_framework::prove
