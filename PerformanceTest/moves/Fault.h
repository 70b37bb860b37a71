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
  UnderLoad, ///< Only during bursts.
  OneRoute,
};

/// What is wrong with a bad version.
struct Fault
{
  FaultKind kind = FaultKind::Failing;
  FaultTiming timing = FaultTiming::AtOnce;
  bool isSevere = true;
  double failureRate = 0.0;    ///< Added to the usual one.
  bool hangs = false;          ///< Failures show only after a timeout.
  double slowFirstToken = 1.0; ///< Factor.
  double slowGap = 1.0;        ///< Factor.
  double onset = 0.0;          ///< Late ones: part of the time up to finish-by.
  std::uint32_t route = 0;     ///< OneRoute ones.

  /// `failing late mild`, for the table.
  std::string Label() const;
};

/// Draws a fault; aIndex walks through all combinations of kind, timing and severity.
Fault DrawFault(std::uint32_t aIndex, std::uint32_t aRoutes, core::Random& aRandom);

} // namespace cuminfield::performance_test::moves
