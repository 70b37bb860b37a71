#pragma once

#include "cuminfield/version/moves/ObservationReport.h"

#include <map>
#include <vector>

namespace cuminfield::version::moves {

/// Determines what is new in each host report. Reports may be lost, duplicated or reordered:
/// nothing is counted twice, and the contents of a lost report are included in the next one.
class ReportDeltaTracker
{
public:
  /// Returns the difference to the reports added before. Empty for outdated and duplicate reports.
  /// Also empty for the first report received from a host that had already sent others: its
  /// counters mix different times and shares, so they only serve as the starting point.
  std::vector<Observation> AddReport(const ObservationReport& aReport);

private:
  struct HostState
  {
    core::Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::vector<Observation> totals;
  };

  static bool IsOutdated(const HostState& aState, const ObservationReport& aReport);
  static Observation FindPreviousTotal(const HostState& aState, const Observation& aTotal,
                                       std::size_t aHint);

  std::map<core::HostId, HostState> mHosts;
};

} // namespace cuminfield::version::moves
