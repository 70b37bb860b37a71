#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::request::routing {

struct InFlightLimitSettings
{
  double initialShare = 1.3;   ///< Initial limit, as a fraction of the upstream's slots.
  double minShare = 0.25;      ///< Lower bound, as a fraction of the slots.
  double maxShare = 1.5;       ///< Upper bound, as a fraction of the slots.
  double decreaseFactor = 0.9; ///< Applied while the token interval is above the target.
  /// Requests added while the token interval is within the target and the limit is in use.
  double increaseStep = 0.5;
  double minUtilization = 0.8; ///< The limit grows only if at least this fraction of it is in use.
  double targetShare = 0.95;   ///< Fraction of the target that the token interval may reach.
  core::Duration adjustPeriod{ 500'000 }; ///< Time between two adjustments.
};

/// Limits the requests in flight at one upstream so that the upstream's own queue stays near empty.
/// Uses additive increase and multiplicative decrease (Chiu and Jain, 1989) on the token interval.
class InFlightLimit
{
public:
  InFlightLimit(const InFlightLimitSettings& aSettings, std::uint32_t aSlots);

  /// Adjusts the limit to the token interval observed with this many requests in flight.
  void Adjust(core::Duration aTokenInterval, core::Duration aTarget, double aInFlight,
              core::Instant aNow);

  /// Maximum number of requests in flight.
  double Value() const { return mLimit; }

private:
  InFlightLimitSettings mSettings;
  double mSlots;
  double mLimit;
  core::Instant mLastAdjustmentAt{};
};

} // namespace cuminfield::request::routing
