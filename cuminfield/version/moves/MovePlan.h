#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>
#include <vector>

namespace cuminfield::version::moves {

/// One increase of the share after the canary.
struct MoveStep
{
  double share = 1.0;
  /// Due time as a fraction of the time from the start of the canary to finish-by.
  double due = 1.0;
};

/// Settings of MovePlan.
struct MovePlanSettings
{
  /// The old version keeps some traffic until the last step, so that late faults can be
  /// distinguished from faults that affect both versions.
  std::vector<MoveStep> steps{ { .share = 0.10, .due = 0.28 },
                               { .share = 0.25, .due = 0.40 },
                               { .share = 0.50, .due = 0.52 },
                               { .share = 0.75, .due = 0.66 },
                               { .share = 1.00, .due = 0.88 } };
  double doneDue = 0.95;         ///< End of the observation after the last step.
  double minStepFraction = 0.03; ///< Minimum duration of a step, as a fraction of the total time.
  double graceFraction = 0.06;   ///< How long past its due time a step waits for more requests.
  /// Minimum total time, even if the canary starts late.
  core::Duration minDuration = std::chrono::minutes(5);
  /// Requests to the new version to be evaluated before the next step.
  std::uint64_t minStepRequests = 200;
  /// With fewer requests in total, there is too little traffic for a decision.
  std::uint64_t minTotalRequests = 20;
};

/// Decision on the next step.
enum class StepAdvice
{
  NotDue,
  NeedsMoreRequests, ///< Due, but more requests should be evaluated first.
  TooLittleTraffic,  ///< Due and past the grace period, but there was too little traffic for a
                     ///< decision.
  Proceed,
};

/// Schedule of one move: when to raise the share so that the move finishes on time, and how many
/// requests must be evaluated before each step.
class MovePlan
{
public:
  MovePlan(const MovePlanSettings& aSettings, core::WallTime aCanaryStart,
           core::WallTime aFinishBy);

  /// Decides whether to leave step aStep (0 is the canary), which this coordinator saw begin at
  /// aReachedAt. aStepRequests were evaluated since then and aTotalRequests during the whole move.
  /// aCoversBusyRoutes: every busy route has been observed too.
  StepAdvice Advise(std::uint32_t aStep, core::WallTime aReachedAt, core::WallTime aNow,
                    std::uint64_t aStepRequests, std::uint64_t aTotalRequests,
                    bool aCoversBusyRoutes) const;

  /// Number of steps after the canary. After the last one the move is done.
  std::uint32_t StepCount() const { return static_cast<std::uint32_t>(mSettings.steps.size()); }

  /// Share at step aStep, counted from 1.
  double Share(std::uint32_t aStep) const { return mSettings.steps[aStep - 1].share; }

private:
  core::WallTime TimeAt(double aFraction) const;

  MovePlanSettings mSettings;
  core::WallTime mCanaryStart;
  core::WallTime mFinishBy;
};

} // namespace cuminfield::version::moves
