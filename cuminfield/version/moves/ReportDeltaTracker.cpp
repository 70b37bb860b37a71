#include "cuminfield/version/moves/ReportDeltaTracker.h"

#include <algorithm>

namespace cuminfield::version::moves {

std::vector<Observation> ReportDeltaTracker::AddReport(const ObservationReport& aReport)
{
  auto [entry, isFirst] = mHosts.try_emplace(aReport.host);
  HostState& state = entry->second;
  if (!isFirst && IsOutdated(state, aReport)) {
    return {};
  }
  const bool isStartingPoint = isFirst && aReport.sequence > 1;
  if (state.incarnation != aReport.incarnation) {
    state.totals.clear();
  }
  std::vector<Observation> deltas;
  for (std::size_t it = 0; it < aReport.totals.size() && !isStartingPoint; ++it) {
    const Observation& total = aReport.totals[it];
    Observation delta = total.DeltaSince(FindPreviousTotal(state, total, it));
    if (delta.RequestCount() > 0) {
      deltas.push_back(std::move(delta));
    }
  }
  state.incarnation = aReport.incarnation;
  state.sequence = aReport.sequence;
  state.totals = aReport.totals;
  return deltas;
}

bool ReportDeltaTracker::IsOutdated(const HostState& aState, const ObservationReport& aReport)
{
  if (aReport.incarnation != aState.incarnation) {
    return aReport.incarnation < aState.incarnation;
  }
  return aReport.sequence <= aState.sequence;
}

Observation ReportDeltaTracker::FindPreviousTotal(const HostState& aState,
                                                  const Observation& aTotal, std::size_t aHint)
{
  // Hosts append counters and never reorder them, so the position almost always matches.
  if (aHint < aState.totals.size() && aState.totals[aHint].HasSameKey(aTotal)) {
    return aState.totals[aHint];
  }
  const auto found = std::find_if(aState.totals.begin(), aState.totals.end(),
                                  [&](const Observation& aIt) { return aIt.HasSameKey(aTotal); });
  return found == aState.totals.end() ? Observation{} : *found;
}

} // namespace cuminfield::version::moves
