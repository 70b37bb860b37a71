#include "cuminfield/request/routing/RateEstimator.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::routing {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kSpreadWeight = 0.05; ///< Of the newest error in the mean.
constexpr double kMostError = 2;       ///< One error counts for no more than this.
constexpr double kLeastSlope = 0.1;    ///< Of the initial time for a token: no faster is believed.
constexpr double kOverheadSteps = 1.5; ///< Half the running step and one of its own.

core::Duration Micros(double aMicros)
{
  return core::Duration(static_cast<std::int64_t>(aMicros));
}

} // namespace

RateEstimator::RateEstimator(const RateEstimatorSettings& aSettings)
  : mSettings(aSettings)
  , mTokens(static_cast<double>(aSettings.priorTokens.value))
  , mMicros(mTokens * kMicrosPerSecond / aSettings.initialPrefillPerSecond)
  , mSpread(aSettings.initialSpread)
  , mGap(static_cast<double>(aSettings.initialGap.count()))
{
}

core::Duration RateEstimator::FirstToken(core::Tokens aPrefill) const
{
  return Micros(mGap * kOverheadSteps) + Prefill(aPrefill);
}

core::Duration RateEstimator::Prefill(core::Tokens aPrefill) const
{
  return Micros(static_cast<double>(aPrefill.value) * mMicros / mTokens);
}

core::Tokens RateEstimator::Progress(core::Duration aElapsed) const
{
  return { static_cast<std::int64_t>(static_cast<double>(aElapsed.count()) * mTokens / mMicros) };
}

void RateEstimator::ObserveFirstToken(core::Tokens aPrefill, core::Duration aElapsed)
{
  const auto elapsed = static_cast<double>(aElapsed.count());
  const auto predicted = static_cast<double>(FirstToken(aPrefill).count());
  const double error = std::abs(elapsed - predicted) / std::max(predicted, 1.0);
  mSpread += kSpreadWeight * (std::min(error, kMostError) - mSpread);
  const auto tokens = static_cast<double>(aPrefill.value);
  const double keep = std::exp(-tokens / static_cast<double>(mSettings.memory.value));
  const double least = tokens * kLeastSlope * kMicrosPerSecond / mSettings.initialPrefillPerSecond;
  mTokens = mTokens * keep + tokens;
  mMicros = mMicros * keep + std::max(least, elapsed - mGap * kOverheadSteps);
  ++mSamples;
}

void RateEstimator::ObserveGap(core::Duration aGap, std::uint32_t aStreams)
{
  const auto gap = static_cast<double>(aGap.count());
  const double memory = static_cast<double>(mSettings.gapMemory.count()) * std::max(1U, aStreams);
  const double weight = std::min(0.1, gap / memory);
  mGapDeviation += weight * (std::abs(gap - mGap) - mGapDeviation);
  mGap += weight * (gap - mGap);
}

} // namespace cuminfield::request::routing
