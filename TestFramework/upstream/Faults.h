#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/Units.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace cuminfield::test_framework::upstream {

/// Faults that a stand-in injects. Chances are in [0, 1]. The JSON keys are given below.
struct FaultSettings
{
  double errorChance = 0;             ///< `fail`: response with status 500.
  double slowdown = 1;                ///< `slow`: factor on the response time.
  double stallChance = 0;             ///< `stall`: response that stops midway.
  double delayChance = 0;             ///< `late`: delay before the response.
  core::Duration maxDelay{ 500'000 }; ///< `late_ms`: maximum delay.
  double swapChance = 0;              ///< `crossed`: response of another request.
  double rejectChance = 0;            ///< `refuse`: 503 with `X-Outcome: not-run`.
  double closeChance = 0;             ///< `close`: connection closed midway.
  std::size_t aboveRunning = 0;       ///< `above`: only if more requests than this run.
  std::string pathPrefix;             ///< `path`: only on paths with this prefix.
};

/// Faults to inject into one request.
struct FaultPlan
{
  bool fail = false;
  double slowdown = 1;
  bool stall = false;
  core::Duration delay{ 0 };
  bool swapResponse = false;
  bool reject = false;
  bool close = false;
};

/// Parses settings from JSON. Missing keys keep their defaults; unknown keys are an error.
core::Result<FaultSettings> ParseFaults(const nlohmann::json& aJson);

/// Selects the faults of each request at random. Settings may change at run time.
class FaultInjector
{
public:
  FaultInjector(FaultSettings aSettings, std::uint64_t aSeed);

  void SetSettings(FaultSettings aSettings) { mSettings = std::move(aSettings); }

  /// Draws the faults of a request for aPath while aRunningCount requests run.
  FaultPlan DrawPlan(const std::string& aPath, std::size_t aRunningCount);

private:
  FaultSettings mSettings;
  core::Random mRandom;
};

} // namespace cuminfield::test_framework::upstream
