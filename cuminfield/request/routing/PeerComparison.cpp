#include "cuminfield/request/routing/PeerComparison.h"

#include <algorithm>

namespace cuminfield::request::routing {

namespace {

constexpr double kGapWeight = 0.01;    ///< Of the newest gap in the recent pace.
constexpr double kFillsPerSlots = 4;   ///< Steps of fullness until all slots are taken.
constexpr double kMostRatio = 10;      ///< One pause counts for no more than this.
constexpr double kFailureWeight = 0.1; ///< Of the newest answer in the share of failures.

} // namespace

void PeerComparison::ObserveGap(PeerHealth& aHealth, core::Duration aGap, double aFill,
                                std::uint32_t aStreams) const
{
  const auto gap = static_cast<double>(aGap.count());
  const auto step = static_cast<std::size_t>(std::max(0.0, aFill) * kFillsPerSlots);
  double& usual = aHealth.usual[std::min(step, kFills - 1)];
  ++aHealth.samples;
  if (usual == 0) {
    usual = gap;
    return;
  }
  aHealth.pace += kGapWeight * (std::min(gap / usual, kMostRatio) - aHealth.pace);
  // Many streams show the same step; together they move the usual pace once.
  const double memory = static_cast<double>(mSettings.baselineMemory.count()) * aStreams;
  usual += std::min(1.0, gap / std::max(memory, 1.0)) * (gap - usual);
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
