#include "cuminfield/request/routing/OutlierDetector.h"

#include <algorithm>

namespace cuminfield::request::routing {

namespace {

constexpr double kSlowdownWeight = 0.01;      ///< Weight of the newest interval in the slowdown.
constexpr double kBucketsPerFullUpstream = 4; ///< Fill buckets up to full slots.
constexpr double kMaxIntervalRatio = 10;      ///< Limits the effect of a single pause.
constexpr double kFailureWeight = 0.1; ///< Weight of the newest attempt in the failure share.

} // namespace

void OutlierDetector::ObserveTokenInterval(UpstreamHealth& aHealth, core::Duration aGap,
                                           double aFill, std::uint32_t aStreams) const
{
  const auto gap = static_cast<double>(aGap.count());
  const auto step = static_cast<std::size_t>(std::max(0.0, aFill) * kBucketsPerFullUpstream);
  double& usual = aHealth.baselineIntervals[std::min(step, kFillBuckets - 1)];
  ++aHealth.samples;
  if (usual == 0) {
    usual = gap;
    return;
  }
  aHealth.slowdown +=
    kSlowdownWeight * (std::min(gap / usual, kMaxIntervalRatio) - aHealth.slowdown);
  // All streams of an upstream observe the same decode step; together they update the baseline
  // once.
  const double memory = static_cast<double>(mSettings.baselineTimeConstant.count()) * aStreams;
  usual += std::min(1.0, gap / std::max(memory, 1.0)) * (gap - usual);
}

void OutlierDetector::ObserveAttemptEnd(UpstreamHealth& aHealth, bool aFailed) const
{
  ++aHealth.samples;
  aHealth.failureShare += kFailureWeight * ((aFailed ? 1.0 : 0.0) - aHealth.failureShare);
}

void OutlierDetector::EndExpiredEjection(UpstreamHealth& aHealth, core::Instant aNow)
{
  if (!aHealth.ejected || aNow < aHealth.ejectedUntil) {
    return;
  }
  aHealth.ejected = false;
  aHealth.onProbation = true;
  aHealth.samples = 0;
  aHealth.failureShare = 0;
  aHealth.slowdown = 1;
}

bool OutlierDetector::IsStraggler(const UpstreamHealth& aHealth, double aMedian) const
{
  if (aHealth.samples < mSettings.minSamples) {
    return false;
  }
  return aHealth.slowdown > mSettings.maxSlowdownRatio * aMedian ||
         aHealth.failureShare > mSettings.maxFailureShare;
}

void OutlierDetector::Eject(UpstreamHealth& aHealth, core::Instant aNow) const
{
  const core::Duration longer = std::max(mSettings.initialEjection, aHealth.ejectionDuration * 2);
  aHealth.ejectionDuration = std::min(longer, mSettings.maxEjection);
  aHealth.ejectedUntil = aNow + aHealth.ejectionDuration;
  aHealth.ejected = true;
  aHealth.onProbation = false;
}

void OutlierDetector::Evaluate(std::vector<UpstreamHealth*>& aPeers, core::Instant aNow) const
{
  std::size_t ejected = 0;
  for (UpstreamHealth* it : aPeers) {
    EndExpiredEjection(*it, aNow);
    ejected += it->ejected ? 1 : 0;
  }
  if (aPeers.size() < 2) {
    return;
  }
  const auto middle = aPeers.begin() + static_cast<std::ptrdiff_t>(aPeers.size() / 2);
  std::nth_element(aPeers.begin(), middle, aPeers.end(),
                   [](const UpstreamHealth* aLeft, const UpstreamHealth* aRight) {
                     return aLeft->slowdown < aRight->slowdown;
                   });
  const double median = std::max(1.0, (*middle)->slowdown);
  const auto most = static_cast<double>(aPeers.size()) * mSettings.maxEjectedShare;
  for (UpstreamHealth* it : aPeers) {
    if (it->ejected) {
      continue;
    }
    if (IsStraggler(*it, median) && static_cast<double>(ejected + 1) <= most) {
      Eject(*it, aNow);
      ++ejected;
    } else if (it->onProbation && it->samples > mSettings.minSamples * 4) {
      it->onProbation = false;
      it->ejectionDuration = core::Duration(0);
    }
  }
}

} // namespace cuminfield::request::routing
