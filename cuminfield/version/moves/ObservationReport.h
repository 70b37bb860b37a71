#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/version/moves/Observation.h"

#include <cstdint>
#include <vector>

namespace cuminfield::version::moves {

/// What a host tells the judge of its data centre and the director: all its counters since its
/// process started. A report replaces every earlier one, so a lost or doubled one does no harm.
struct ObservationReport
{
  core::HostId host;
  core::DataCentreId dataCentre;
  core::Incarnation incarnation; ///< Grows with each restart of the host; counters start over.
  std::uint64_t sequence = 0;    ///< 1 for the first report of an incarnation.
  std::vector<Observation> totals;
  std::vector<core::MoveId> trippedMoves; ///< Moves that this host has left by itself (HostTrip).
};

} // namespace cuminfield::version::moves
