#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::request::routing {

/// Tunables of RateEstimator.
struct RateEstimatorSettings
{
  double initialPrefillPerSecond = 6'000; ///< Prompt tokens per second before the first answer.
  core::Tokens priorTokens{ 2'000 };      ///< Prompt tokens that the initial rate counts for.
  core::Tokens decayTokens{ 40'000 };     ///< After which an answer's weight has fallen to 1/e.
  core::Duration initialTokenInterval{ 25'000 }; ///< Between two tokens before the first answer.
  core::Duration tokenIntervalTimeConstant{
    2'000'000
  };                                   ///< The same for times between tokens, in time.
  double initialPredictionError = 0.3; ///< Relative spread before the first answer.
};

/// Learns one upstream's prefill and decode rate from its answers. The time of a first token is the
/// wait for a step and a time for each prompt token ahead and its own. That time is a ratio of
/// decaying sums: what is ahead is only estimated, and errors that are even in both directions
/// leave the ratio true, where a fitted line would become too flat. The spread is the mean absolute
/// relative error of the predictions.
class RateEstimator
{
public:
  explicit RateEstimator(const RateEstimatorSettings& aSettings);

  /// Predicted time to compute this many prompt tokens and to send the first token.
  core::Duration PredictFirstToken(core::Tokens aPrefill) const;

  /// Predicted time to compute this many prompt tokens, nothing besides.
  core::Duration PredictPrefill(core::Tokens aPrefill) const;

  /// Prompt tokens computed in this time.
  core::Tokens PredictPrefilledTokens(core::Duration aElapsed) const;

  /// A first token came aElapsed after its dispatch, behind and including aPrefill tokens.
  void ObserveFirstToken(core::Tokens aPrefill, core::Duration aElapsed);

  /// A further token came aGap after the last, one of aStreams of this host.
  void ObserveTokenInterval(core::Duration aGap, std::uint32_t aStreams);

  /// Relative spread of the first-token prediction: 0.2 is 20% of it.
  double PredictionError() const { return mPredictionError; }

  /// Mean time between two tokens.
  core::Duration TokenInterval() const
  {
    return core::Duration(static_cast<std::int64_t>(mTokenInterval));
  }

  /// Mean absolute deviation of the time between two tokens.
  core::Duration TokenIntervalDeviation() const
  {
    return core::Duration(static_cast<std::int64_t>(mTokenIntervalDeviation));
  }

  /// Number of first tokens that have been observed.
  std::uint64_t SampleCount() const { return mSampleCount; }

private:
  RateEstimatorSettings mSettings;
  double mPrefillTokens; ///< Decaying sum of the prompt tokens computed.
  double mPrefillMicros; ///< Decaying sum of the time that they took.
  double mPredictionError;
  double mTokenInterval;
  double mTokenIntervalDeviation = 0;
  std::uint64_t mSampleCount = 0;
};

} // namespace cuminfield::request::routing
