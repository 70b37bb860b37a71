#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/Units.h"

#include <cstdint>
#include <string>

namespace cuminfield::performance_test::moves {

enum class FaultKind
{
  Failing,
  Slow,
};

enum class FaultTiming
{
  Immediate,
  Delayed,
  UnderLoad, ///< Active only during bursts.
  SingleRoute,
};

/// Fault of a bad version.
struct Fault
{
  FaultKind kind = FaultKind::Failing;
  FaultTiming timing = FaultTiming::Immediate;
  bool isSevere = true;
  double addedFailureRate = 0.0; ///< Added to the rate of the old version.
  bool hangs = false;            ///< Failures are only noticed at the request timeout.
  double firstTokenFactor = 1.0;
  double tokenGapFactor = 1.0;
  double onsetShare = 0.0;         ///< Delayed only: share of the time up to finish-by.
  std::uint32_t affectedRoute = 0; ///< SingleRoute only.

  /// Table label, for example `failing late mild`.
  std::string Label() const;
};

/// Draws a random fault; aIndex selects one of the 16 combinations of kind, timing and severity.
Fault DrawFault(std::uint32_t aIndex, std::uint32_t aRoutes, core::Random& aRandom);

} // namespace cuminfield::performance_test::moves
