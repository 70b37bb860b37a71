#include "cuminfield/request/routing/OutlierDetector.h"

#include <algorithm>

namespace cuminfield::request::routing {

namespace {

constexpr double kSlowdownWeight = 0.01;      ///< Weight of the newest interval in the slowdown.
constexpr double kBucketsPerFullUpstream = 4; ///< Fill buckets up to full slots.
constexpr double kMaxIntervalRatio = 10;      ///< Limits the effect of a single pause.
constexpr double kFailureWeight = 0.1; ///< Weight of the newest attempt in the failure share.

} // namespace

void OutlierDetector::ObserveTokenInterval(UpstreamHealth& aHealth, core::Duration aInterval,
                                           double aFill, std::uint32_t aStreams) const
{
  const auto interval = static_cast<double>(aInterval.count());
  const auto bucket = static_cast<std::size_t>(std::max(0.0, aFill) * kBucketsPerFullUpstream);
  double& baseline = aHealth.baselineIntervals[std::min(bucket, kFillBuckets - 1)];
  ++aHealth.samples;
  if (baseline == 0) {
    baseline = interval;
    return;
  }
  aHealth.slowdown +=
    kSlowdownWeight * (std::min(interval / baseline, kMaxIntervalRatio) - aHealth.slowdown);
  // All streams of an upstream observe the same decode step; together they update the baseline
  // once.
  const double timeConstant =
    static_cast<double>(mSettings.baselineTimeConstant.count()) * aStreams;
  baseline += std::min(1.0, interval / std::max(timeConstant, 1.0)) * (interval - baseline);
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

bool OutlierDetector::IsStraggler(const UpstreamHealth& aHealth, double aMedianSlowdown) const
{
  if (aHealth.samples < mSettings.minSamples) {
    return false;
  }
  return aHealth.slowdown > mSettings.maxSlowdownRatio * aMedianSlowdown ||
         aHealth.failureShare > mSettings.maxFailureShare;
}

void OutlierDetector::Eject(UpstreamHealth& aHealth, core::Instant aNow) const
{
  const core::Duration nextDuration =
    std::max(mSettings.initialEjection, aHealth.ejectionDuration * 2);
  aHealth.ejectionDuration = std::min(nextDuration, mSettings.maxEjection);
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
  const auto middlePeer = aPeers.begin() + static_cast<std::ptrdiff_t>(aPeers.size() / 2);
  std::nth_element(aPeers.begin(), middlePeer, aPeers.end(),
                   [](const UpstreamHealth* aLeft, const UpstreamHealth* aRight) {
                     return aLeft->slowdown < aRight->slowdown;
                   });
  const double medianSlowdown = std::max(1.0, (*middlePeer)->slowdown);
  const auto maxEjected = static_cast<double>(aPeers.size()) * mSettings.maxEjectedShare;
  for (UpstreamHealth* it : aPeers) {
    if (it->ejected) {
      continue;
    }
    if (IsStraggler(*it, medianSlowdown) && static_cast<double>(ejected + 1) <= maxEjected) {
      Eject(*it, aNow);
      ++ejected;
    } else if (it->onProbation && it->samples > mSettings.minSamples * 4) {
      it->onProbation = false;
      it->ejectionDuration = core::Duration(0);
    }
  }
}

} // namespace cuminfield::request::routing
