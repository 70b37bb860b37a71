#include "cuminfield/request/routing/RateEstimator.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::routing {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kPredictionErrorWeight = 0.05; ///< Weight of the newest error in the mean.
constexpr double kMaxPredictionError = 2;       ///< Limits the effect of a single outlier.
/// Lower bound of the time per token, as a fraction of the initial time.
constexpr double kMinTokenTimeShare = 0.1;
constexpr double kOverheadSteps = 1.5; ///< Half of the running step and one step of its own.

core::Duration ToDuration(double aMicros)
{
  return core::Duration(static_cast<std::int64_t>(aMicros));
}

} // namespace

RateEstimator::RateEstimator(const RateEstimatorSettings& aSettings)
  : mSettings(aSettings)
  , mPrefillTokens(static_cast<double>(aSettings.priorTokens.value))
  , mPrefillMicros(mPrefillTokens * kMicrosPerSecond / aSettings.initialPrefillPerSecond)
  , mPredictionError(aSettings.initialPredictionError)
  , mTokenInterval(static_cast<double>(aSettings.initialTokenInterval.count()))
{
}

core::Duration RateEstimator::PredictFirstToken(core::Tokens aPrefill) const
{
  return ToDuration(mTokenInterval * kOverheadSteps) + PredictPrefill(aPrefill);
}

core::Duration RateEstimator::PredictPrefill(core::Tokens aPrefill) const
{
  return ToDuration(static_cast<double>(aPrefill.value) * mPrefillMicros / mPrefillTokens);
}

core::Tokens RateEstimator::PredictPrefilledTokens(core::Duration aElapsed) const
{
  return { static_cast<std::int64_t>(static_cast<double>(aElapsed.count()) * mPrefillTokens /
                                     mPrefillMicros) };
}

void RateEstimator::ObserveFirstToken(core::Tokens aPrefill, core::Duration aElapsed)
{
  const auto elapsed = static_cast<double>(aElapsed.count());
  const auto predicted = static_cast<double>(PredictFirstToken(aPrefill).count());
  const double error = std::abs(elapsed - predicted) / std::max(predicted, 1.0);
  mPredictionError +=
    kPredictionErrorWeight * (std::min(error, kMaxPredictionError) - mPredictionError);
  const auto tokens = static_cast<double>(aPrefill.value);
  const double decay = std::exp(-tokens / static_cast<double>(mSettings.decayTokens.value));
  const double minMicros =
    tokens * kMinTokenTimeShare * kMicrosPerSecond / mSettings.initialPrefillPerSecond;
  mPrefillTokens = mPrefillTokens * decay + tokens;
  mPrefillMicros =
    mPrefillMicros * decay + std::max(minMicros, elapsed - mTokenInterval * kOverheadSteps);
  ++mSampleCount;
}

void RateEstimator::ObserveTokenInterval(core::Duration aInterval, std::uint32_t aStreams)
{
  const auto interval = static_cast<double>(aInterval.count());
  const double timeConstant =
    static_cast<double>(mSettings.tokenIntervalTimeConstant.count()) * std::max(1U, aStreams);
  const double weight = std::min(0.1, interval / timeConstant);
  mTokenIntervalDeviation +=
    weight * (std::abs(interval - mTokenInterval) - mTokenIntervalDeviation);
  mTokenInterval += weight * (interval - mTokenInterval);
}

} // namespace cuminfield::request::routing
