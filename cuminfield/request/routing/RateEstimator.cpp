#include "cuminfield/request/routing/RateEstimator.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::routing {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kSpreadWeight = 0.05; ///< Of the newest error in the mean.

core::Duration Micros(double aMicros)
{
  return core::Duration(static_cast<std::int64_t>(aMicros));
}

} // namespace

RateEstimator::RateEstimator(const RateEstimatorSettings& aSettings)
  : mSettings(aSettings)
  , mTokens(static_cast<double>(aSettings.overhead.value) * 4)
  , mSpread(aSettings.initialSpread)
  , mGap(static_cast<double>(aSettings.initialGap.count()))
{
  mMicros = mTokens * kMicrosPerSecond / aSettings.initialPrefillPerSecond;
}

core::Duration RateEstimator::FirstToken(core::Tokens aPrefill) const
{
  return Prefill(aPrefill + mSettings.overhead);
}

core::Duration RateEstimator::Prefill(core::Tokens aPrefill) const
{
  return Micros(static_cast<double>(aPrefill.value) * MicrosPerToken());
}

core::Tokens RateEstimator::Progress(core::Duration aElapsed) const
{
  return { static_cast<std::int64_t>(static_cast<double>(aElapsed.count()) / MicrosPerToken()) };
}

void RateEstimator::ObserveFirstToken(core::Tokens aPrefill, core::Duration aElapsed)
{
  const auto elapsed = static_cast<double>(aElapsed.count());
  const auto predicted = static_cast<double>(FirstToken(aPrefill).count());
  const double error = std::abs(elapsed - predicted) / std::max(predicted, 1.0);
  mSpread += kSpreadWeight * (std::min(error, 2.0) - mSpread);
  const auto tokens = static_cast<double>((aPrefill + mSettings.overhead).value);
  const double keep = std::exp2(-tokens / static_cast<double>(mSettings.memory.value));
  mMicros = mMicros * keep + elapsed;
  mTokens = mTokens * keep + tokens;
  ++mSamples;
}

void RateEstimator::ObserveGap(core::Duration aGap)
{
  const auto gap = static_cast<double>(aGap.count());
  const double weight = std::min(0.1, gap / static_cast<double>(mSettings.gapMemory.count()));
  mGapDeviation += weight * (std::abs(gap - mGap) - mGapDeviation);
  mGap += weight * (gap - mGap);
}

} // namespace cuminfield::request::routing
