#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::request::routing {

struct RateEstimatorSettings
{
  double initialPrefillPerSecond = 6'000; ///< Prompt tokens per second, before the first response.
  core::Tokens priorTokens{ 2'000 };      ///< Weight of the initial rate in prompt tokens.
  /// Number of tokens after which the weight of a response has fallen to 1/e.
  core::Tokens decayTokens{ 40'000 };
  core::Duration initialTokenInterval{ 25'000 }; ///< Before the first response.
  /// Time constant of the token interval's decay.
  core::Duration tokenIntervalTimeConstant{ 2'000'000 };
  double initialPredictionError = 0.3; ///< Before the first response.
};

/// Learns the prefill and decode rates of one upstream from its responses. The time to the first
/// token consists of the wait for a step and a time per prompt token, both queued and own. The time
/// per token is a ratio of decaying sums: the queued tokens are only estimated, and symmetric
/// errors leave the ratio unbiased, whereas a fitted line would become too flat. The prediction
/// error is the mean absolute relative error.
class RateEstimator
{
public:
  explicit RateEstimator(const RateEstimatorSettings& aSettings);

  /// Predicts the time to compute this many prompt tokens and to send the first token.
  core::Duration PredictFirstToken(core::Tokens aPrefill) const;

  /// Predicts the time to compute this many prompt tokens, without the wait for a step.
  core::Duration PredictPrefill(core::Tokens aPrefill) const;

  /// Predicts the number of prompt tokens computed in this time.
  core::Tokens PredictPrefilledTokens(core::Duration aElapsed) const;

  /// Records a first token received aElapsed after dispatch. aPrefill includes the tokens queued
  /// before it.
  void ObserveFirstToken(core::Tokens aPrefill, core::Duration aElapsed);

  /// Records the interval between two tokens of a stream, with aStreams streams of this host at the
  /// upstream.
  void ObserveTokenInterval(core::Duration aInterval, std::uint32_t aStreams);

  /// Mean relative error of the first-token prediction: 0.2 is 20%.
  double PredictionError() const { return mPredictionError; }

  /// Mean time between two tokens of a stream.
  core::Duration TokenInterval() const
  {
    return core::Duration(static_cast<std::int64_t>(mTokenInterval));
  }

  /// Mean absolute deviation of the token interval.
  core::Duration TokenIntervalDeviation() const
  {
    return core::Duration(static_cast<std::int64_t>(mTokenIntervalDeviation));
  }

  /// Number of first tokens observed.
  std::uint64_t SampleCount() const { return mSampleCount; }

private:
  RateEstimatorSettings mSettings;
  double mPrefillTokens; ///< Decaying sum of prompt tokens computed.
  double mPrefillMicros; ///< Decaying sum of the time spent on them.
  double mPredictionError;
  double mTokenInterval;
  double mTokenIntervalDeviation = 0;
  std::uint64_t mSampleCount = 0;
};

} // namespace cuminfield::request::routing
