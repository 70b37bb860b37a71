#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/Units.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace cuminfield::test_framework::upstream {

/// Which faults a stand-in shows, and when. Chances are in [0, 1].
struct FaultSettings
{
  double fail = 0;                  ///< `fail`: chance of an answer of status 500.
  double slow = 1;                  ///< `slow`: factor on the time of an answer.
  double stall = 0;                 ///< `stall`: chance of an answer that stops midway.
  double late = 0;                  ///< `late`: chance of a delay before the answer.
  core::Duration lateBy{ 500'000 }; ///< `late_ms`: longest such delay.
  double crossed = 0;               ///< `crossed`: chance of another request's answer.
  double refuse = 0;                ///< `refuse`: chance of 503 with `X-Outcome: not-run`.
  double close = 0;                 ///< `close`: chance of a connection closed midway.
  std::size_t above = 0;            ///< `above`: only while more requests than this run.
  std::string path;                 ///< `path`: only on paths that begin so; empty: on all.
};

/// What one request will meet.
struct FaultPlan
{
  bool fail = false;
  double slow = 1;
  bool stall = false;
  core::Duration lateBy{ 0 };
  bool crossed = false;
  bool refuse = false;
  bool close = false;
};

/// Reads settings from JSON; absent keys keep their defaults, unknown ones are an error.
core::Result<FaultSettings> ParseFaults(const nlohmann::json& aJson);

/// Decides for each request which faults it meets; settings may change at run time.
class Faults
{
public:
  Faults(FaultSettings aSettings, std::uint64_t aSeed);

  /// Replaces the settings.
  void Set(FaultSettings aSettings) { mSettings = std::move(aSettings); }

  /// The faults of a request on aPath while aRunning requests run.
  FaultPlan Draw(const std::string& aPath, std::size_t aRunning);

private:
  FaultSettings mSettings;
  core::Random mRandom;
};

} // namespace cuminfield::test_framework::upstream
