#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/version/moves/Observation.h"

#include <cstdint>
#include <vector>

namespace cuminfield::version::moves {

/// Report of a host to its data centre's evaluator and to the coordinator, with all counters since
/// the process started. A report replaces all earlier ones, so lost and duplicate reports do no
/// harm.
struct ObservationReport
{
  core::HostId host;
  core::DataCentreId dataCentre;
  /// Increases with each restart of the host, which resets the counters.
  core::Incarnation incarnation;
  std::uint64_t sequence = 0; ///< 1 for the first report of an incarnation.
  std::vector<Observation> totals;
  /// Moves that this host left on its own (HostCircuitBreaker).
  std::vector<core::MoveId> trippedMoves;
};

} // namespace cuminfield::version::moves
