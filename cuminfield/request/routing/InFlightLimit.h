#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::request::routing {

/// Tunables of InFlightLimit.
struct InFlightLimitSettings
{
  double initialShare = 1.3;   ///< First limit, as a share of the upstream's slots.
  double minShare = 0.25;      ///< Lower bound, as a share of the slots.
  double maxShare = 1.5;       ///< Upper bound, as a share of the slots.
  double decreaseFactor = 0.9; ///< Factor while tokens come too slowly.
  double increaseStep = 0.5;   ///< Requests added while tokens come in time and the limit binds.
  double minUtilization = 0.8; ///< The limit grows only while this share of it is in use.
  double targetShare = 0.95;   ///< Share of the target that the time between tokens may take.
  core::Duration adjustPeriod{ 500'000 }; ///< Between two adjustments.
};

/// Bounds the requests in flight at one upstream so that its own queue stays near empty: additive
/// increase and multiplicative decrease (Chiu and Jain, 1989) on the time between tokens.
class InFlightLimit
{
public:
  InFlightLimit(const InFlightLimitSettings& aSettings, std::uint32_t aSlots);

  /// Adjusts the limit to the observed time between tokens with this many requests in flight.
  void Adjust(core::Duration aGap, core::Duration aTarget, double aInFlight, core::Instant aNow);

  /// Requests that may be in flight.
  double Value() const { return mLimit; }

private:
  InFlightLimitSettings mSettings;
  double mSlots;
  double mLimit;
  core::Instant mLastAdjustmentAt{};
};

} // namespace cuminfield::request::routing
