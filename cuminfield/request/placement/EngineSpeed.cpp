#include "cuminfield/request/placement/EngineSpeed.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::placement {

namespace {

constexpr double kUsualPercent = 100;

} // namespace

void EngineSpeed::SetReported(std::uint32_t aPercent, core::Instant aNow,
                              const EngineSpeedSettings& aSettings)
{
  if (aPercent < kMinPercent || aPercent > kMaxPercent) {
    return;
  }
  UpdateMean(aNow, aSettings);
  mReported = Figure{ .factor = aPercent / kUsualPercent, .readAt = aNow };
  mReportedPercent = aPercent;
  mIsReportDue = true;
}

void EngineSpeed::SetRemote(std::uint64_t aPercentSum, std::uint32_t aSamples, core::Instant aNow,
                            const EngineSpeedSettings& aSettings)
{
  if (aSamples == 0) {
    mRemoteSamples = 0;
    return;
  }
  const double percent = static_cast<double>(aPercentSum) / aSamples;
  if (percent < kMinPercent || percent > kMaxPercent) {
    return;
  }
  UpdateMean(aNow, aSettings);
  // The same sum again: hosts still report figures that they have read before.
  const bool isRepeated = mRemote && mRemotePercentSum == aPercentSum && mRemoteSamples == aSamples;
  const core::Instant oldest = aNow - aSettings.fullWeightAge - aSettings.transferTime;
  mRemote = Figure{ .factor = percent / kUsualPercent,
                    .readAt = isRepeated ? std::max(mRemote->readAt, oldest)
                                         : aNow - aSettings.transferTime };
  mRemotePercentSum = aPercentSum;
  mRemoteSamples = aSamples;
}

const EngineSpeed::Figure& EngineSpeed::Newest() const
{
  return !mRemote || (mReported && mReported->readAt >= mRemote->readAt) ? *mReported : *mRemote;
}

void EngineSpeed::UpdateMean(core::Instant aNow, const EngineSpeedSettings& aSettings)
{
  if (IsKnown()) {
    const core::Duration elapsed = aNow - mUpdatedAt;
    const double kept = std::exp(-core::Seconds(elapsed) / core::Seconds(aSettings.meanDecayTime));
    // An old figure says nothing about the time since.
    const double weight = core::Seconds(std::min(elapsed, aSettings.fullWeightAge));
    mMeanSum = mMeanSum * kept + Newest().factor * weight;
    mMeanWeight = mMeanWeight * kept + weight;
  }
  mUpdatedAt = aNow;
}

std::optional<std::uint32_t> EngineSpeed::TakeReport(core::Instant aNow,
                                                     const EngineSpeedSettings& aSettings)
{
  if (!mReported) {
    return std::nullopt;
  }
  const core::Duration age = aNow - mReported->readAt;
  const bool isDue = mIsReportDue && age <= aSettings.fullWeightAge + aSettings.fadeTime;
  mIsReportDue = false;
  if (isDue || age <= aSettings.fullWeightAge) {
    return mReportedPercent;
  }
  return std::nullopt;
}

double EngineSpeed::Correction(double aObservations, double aPriorWeight, core::Instant aNow,
                               const EngineSpeedSettings& aSettings) const
{
  if (!IsKnown()) {
    return 1;
  }
  const Figure& newest = Newest();
  const double faded = core::Seconds(aNow - newest.readAt - aSettings.fullWeightAge) /
                       core::Seconds(aSettings.fadeTime);
  const double weight = 1 - std::clamp(faded, 0.0, 1.0);
  const double mean = mMeanWeight > 0 ? mMeanSum / mMeanWeight : 1;
  // The nominal value holds at the usual speed.
  const double total = aPriorWeight + aObservations;
  const double observed = total > 0 ? (aPriorWeight + aObservations * mean) / total : 1;
  return (weight * newest.factor + (1 - weight) * observed) / observed;
}

} // namespace cuminfield::request::placement
