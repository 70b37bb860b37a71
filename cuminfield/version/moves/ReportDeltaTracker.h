#pragma once

#include "cuminfield/version/moves/ObservationReport.h"

#include <map>
#include <vector>

namespace cuminfield::version::moves {

/// Turns hosts' reports into what is new in each. Reports may be lost, doubled or reordered:
/// nothing is counted twice, and what a lost report held comes with the next.
class ReportDeltaTracker
{
public:
  /// What aReport adds to the reports taken before. Empty for an old or doubled report, and for the
  /// first one heard from a host that was reporting before this book began: its counters mix times
  /// and shares, so they only serve as the starting point.
  std::vector<Observation> AddReport(const ObservationReport& aReport);

private:
  struct HostState
  {
    core::Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::vector<Observation> totals;
  };

  static bool IsOutdated(const HostState& aKnown, const ObservationReport& aReport);
  static Observation FindPreviousTotal(const HostState& aKnown, const Observation& aTotal,
                                       std::size_t aHint);

  std::map<core::HostId, HostState> mHosts;
};

} // namespace cuminfield::version::moves
