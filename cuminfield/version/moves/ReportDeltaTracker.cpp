#include "cuminfield/version/moves/ReportDeltaTracker.h"

#include <algorithm>

namespace cuminfield::version::moves {

std::vector<Observation> ReportDeltaTracker::AddReport(const ObservationReport& aReport)
{
  auto [entry, isFirst] = mHosts.try_emplace(aReport.host);
  HostState& known = entry->second;
  if (!isFirst && IsOutdated(known, aReport)) {
    return {};
  }
  const bool onlyStartingPoint = isFirst && aReport.sequence > 1;
  if (known.incarnation != aReport.incarnation) {
    known.totals.clear();
  }
  std::vector<Observation> news;
  for (std::size_t it = 0; it < aReport.totals.size() && !onlyStartingPoint; ++it) {
    const Observation& total = aReport.totals[it];
    Observation delta = total.DeltaSince(FindPreviousTotal(known, total, it));
    if (delta.RequestCount() > 0) {
      news.push_back(std::move(delta));
    }
  }
  known.incarnation = aReport.incarnation;
  known.sequence = aReport.sequence;
  known.totals = aReport.totals;
  return news;
}

bool ReportDeltaTracker::IsOutdated(const HostState& aKnown, const ObservationReport& aReport)
{
  if (aReport.incarnation != aKnown.incarnation) {
    return aReport.incarnation < aKnown.incarnation;
  }
  return aReport.sequence <= aKnown.sequence;
}

Observation ReportDeltaTracker::FindPreviousTotal(const HostState& aKnown,
                                                  const Observation& aTotal, std::size_t aHint)
{
  // Hosts append counters and never reorder them, so the position almost always matches.
  if (aHint < aKnown.totals.size() && aKnown.totals[aHint].HasSameKey(aTotal)) {
    return aKnown.totals[aHint];
  }
  const auto found = std::find_if(aKnown.totals.begin(), aKnown.totals.end(),
                                  [&](const Observation& aIt) { return aIt.HasSameKey(aTotal); });
  return found == aKnown.totals.end() ? Observation{} : *found;
}

} // namespace cuminfield::version::moves
