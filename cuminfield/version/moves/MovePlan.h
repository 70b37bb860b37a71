#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>
#include <vector>

namespace cuminfield::version::moves {

/// One step of the share after the canary.
struct MoveStep
{
  double share = 1.0;
  /// When it is due, as a part of the time from the canary's beginning to finish-by.
  double due = 1.0;
};

/// Tunables of MovePlan.
struct MovePlanSettings
{
  /// The old version keeps a part of the traffic until the last step, so that late faults can be
  /// told from what befalls both.
  std::vector<MoveStep> steps{ { .share = 0.10, .due = 0.28 },
                               { .share = 0.25, .due = 0.40 },
                               { .share = 0.50, .due = 0.52 },
                               { .share = 0.75, .due = 0.66 },
                               { .share = 1.00, .due = 0.88 } };
  double doneDue = 0.95;         ///< When the watch after the last step ends.
  double minStepFraction = 0.03; ///< Shortest stay at a step, as a part of the whole time.
  double graceFraction = 0.06;   ///< How long past its due time a step waits for more evidence.
  /// A move whose canary begins late is not rushed through in less than this.
  core::Duration minDuration = std::chrono::minutes(5);
  std::uint64_t minStepRequests = 200; ///< Requests to the new version judged before the next step.
  std::uint64_t minTotalRequests = 20; ///< Below this many in all, traffic is too little to tell.
};

/// What a plan says about the next step.
enum class StepAdvice
{
  NotDue,            ///< Not due yet.
  NeedsMoreRequests, ///< Due, but more requests should be seen first.
  TooLittleTraffic,  ///< Due, and the grace is over, but there has been too little traffic to tell.
  Proceed,
};

/// The timetable of one move: when to raise the share, so that it is finished by its set time, and
/// how much must have been seen for it.
class MovePlan
{
public:
  MovePlan(const MovePlanSettings& aSettings, core::WallTime aBegun, core::WallTime aFinishBy);

  /// Advice on leaving step aStep (0: the canary), reached at aReached in this life of the
  /// director, with aSeen requests judged since and aSeenInAll over the whole move. aSpread says
  /// that every busy route has been seen too.
  StepAdvice Advise(std::uint32_t aStep, core::WallTime aReached, core::WallTime aNow,
                    std::uint64_t aSeen, std::uint64_t aSeenInAll, bool aSpread) const;

  /// Steps after the canary; past the last one the move is done.
  std::uint32_t StepCount() const { return static_cast<std::uint32_t>(mSettings.steps.size()); }

  /// Share at step aStep, from 1.
  double Share(std::uint32_t aStep) const { return mSettings.steps[aStep - 1].share; }

private:
  core::WallTime TimeAt(double aPart) const;

  MovePlanSettings mSettings;
  core::WallTime mCanaryStart;
  core::WallTime mFinishBy;
};

} // namespace cuminfield::version::moves
