#include "cuminfield/request/routing/PeerComparison.h"

#include <algorithm>

namespace cuminfield::request::routing {

namespace {

constexpr double kGapWeight = 0.02;    ///< Of the newest gap in the recent pace.
constexpr double kFailureWeight = 0.1; ///< Of the newest answer in the share of failures.

} // namespace

void PeerComparison::ObserveGap(PeerHealth& aHealth, core::Duration aGap) const
{
  const auto gap = static_cast<double>(aGap.count());
  ++aHealth.samples;
  if (aHealth.recent == 0) {
    aHealth.recent = gap;
    aHealth.usual = gap;
  }
  aHealth.recent += kGapWeight * (gap - aHealth.recent);
  // The usual pace follows a better one at once and a worse one slowly.
  const double slow = std::min(1.0, gap / static_cast<double>(mSettings.baselineMemory.count()));
  const double weight = aHealth.recent < aHealth.usual ? kGapWeight : slow * kGapWeight;
  aHealth.usual += weight * (aHealth.recent - aHealth.usual);
  aHealth.pace = aHealth.recent / std::max(aHealth.usual, 1.0);
}

void PeerComparison::ObserveEnd(PeerHealth& aHealth, bool aFailed) const
{
  ++aHealth.samples;
  aHealth.failures += kFailureWeight * ((aFailed ? 1.0 : 0.0) - aHealth.failures);
}

void PeerComparison::Settle(PeerHealth& aHealth, core::Instant aNow)
{
  if (!aHealth.ejected || aNow < aHealth.until) {
    return;
  }
  aHealth.ejected = false;
  aHealth.probation = true;
  aHealth.samples = 0;
  aHealth.failures = 0;
  aHealth.recent = aHealth.usual;
  aHealth.pace = 1;
}

bool PeerComparison::IsStraggler(const PeerHealth& aHealth, double aMedian) const
{
  if (aHealth.samples < mSettings.minSamples) {
    return false;
  }
  return aHealth.pace > mSettings.slowFactor * aMedian || aHealth.failures > mSettings.failureShare;
}

void PeerComparison::Eject(PeerHealth& aHealth, core::Instant aNow) const
{
  const core::Duration longer = std::max(mSettings.firstEject, aHealth.length * 2);
  aHealth.length = std::min(longer, mSettings.maxEject);
  aHealth.until = aNow + aHealth.length;
  aHealth.ejected = true;
  aHealth.probation = false;
}

void PeerComparison::Judge(std::vector<PeerHealth*>& aPeers, core::Instant aNow) const
{
  std::size_t ejected = 0;
  for (PeerHealth* it : aPeers) {
    Settle(*it, aNow);
    ejected += it->ejected ? 1 : 0;
  }
  if (aPeers.size() < 2) {
    return;
  }
  const auto middle = aPeers.begin() + static_cast<std::ptrdiff_t>(aPeers.size() / 2);
  std::nth_element(
    aPeers.begin(), middle, aPeers.end(),
    [](const PeerHealth* aLeft, const PeerHealth* aRight) { return aLeft->pace < aRight->pace; });
  const double median = std::max(1.0, (*middle)->pace);
  const auto most = static_cast<double>(aPeers.size()) * mSettings.maxEjected;
  for (PeerHealth* it : aPeers) {
    if (it->ejected) {
      continue;
    }
    if (IsStraggler(*it, median) && static_cast<double>(ejected + 1) <= most) {
      Eject(*it, aNow);
      ++ejected;
    } else if (it->probation && it->samples > mSettings.minSamples * 4) {
      it->probation = false;
      it->length = core::Duration(0);
    }
  }
}

} // namespace cuminfield::request::routing
