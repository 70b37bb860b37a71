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
  AtOnce,
  Late,
  UnderLoad, ///< Active only during bursts.
  OneRoute,
};

/// Fault of a bad version.
struct Fault
{
  FaultKind kind = FaultKind::Failing;
  FaultTiming timing = FaultTiming::AtOnce;
  bool isSevere = true;
  double failureRate = 0.0; ///< Added to the rate of the old version.
  bool hangs = false;       ///< Failures are only noticed at the request timeout.
  double slowFirstToken = 1.0;
  double slowGap = 1.0;
  double onset = 0.0;      ///< Delayed only: share of the time up to finish-by.
  std::uint32_t route = 0; ///< SingleRoute only.

  /// Table label, for example `failing late mild`.
  std::string Label() const;
};

/// Draws a random fault; aIndex selects one of the 16 combinations of kind, timing and severity.
Fault DrawFault(std::uint32_t aIndex, std::uint32_t aRoutes, core::Random& aRandom);

} // namespace cuminfield::performance_test::moves
