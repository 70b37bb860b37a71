#pragma once

#include "cuminfield/core/Units.h"

namespace cuminfield::request::routing {

/// Tunables of RateEstimator.
struct RateEstimatorSettings
{
  double initialPrefillPerSecond = 6'000; ///< Prompt tokens per second before the first answer.
  core::Duration initialGap{ 25'000 };    ///< Between two tokens before the first answer.
  core::Tokens overhead{ 128 };           ///< What a first token costs besides its prompt.
  core::Tokens memory{ 20'000 };          ///< Prompt tokens after which a sample's weight halves.
  core::Duration gapMemory{ 2'000'000 };  ///< Time after which a gap's weight has fallen to 1/e.
  double initialSpread = 0.3;             ///< Relative spread before the first answer.
};

/// Learns one upstream's prefill and decode rate from its answers. The prefill rate is a ratio of
/// decaying sums, so that long prompts count for more than short ones; the spread is the mean
/// absolute relative error of the predictions.
class RateEstimator
{
public:
  explicit RateEstimator(const RateEstimatorSettings& aSettings);

  /// Predicted time to compute this many prompt tokens and to send the first token.
  core::Duration FirstToken(core::Tokens aPrefill) const;

  /// Predicted time to compute this many prompt tokens, nothing besides.
  core::Duration Prefill(core::Tokens aPrefill) const;

  /// Prompt tokens computed in this time.
  core::Tokens Progress(core::Duration aElapsed) const;

  /// A first token came aElapsed after its dispatch, behind and including aPrefill tokens.
  void ObserveFirstToken(core::Tokens aPrefill, core::Duration aElapsed);

  /// A further token came aGap after the last.
  void ObserveGap(core::Duration aGap);

  /// Relative spread of the first-token prediction: 0.2 is 20% of it.
  double Spread() const { return mSpread; }

  /// Mean time between two tokens.
  core::Duration Gap() const { return core::Duration(static_cast<std::int64_t>(mGap)); }

  /// Mean absolute deviation of the time between two tokens.
  core::Duration GapDeviation() const
  {
    return core::Duration(static_cast<std::int64_t>(mGapDeviation));
  }

  /// Number of first tokens that have been observed.
  std::uint64_t Samples() const { return mSamples; }

private:
  double MicrosPerToken() const { return mMicros / mTokens; }

  RateEstimatorSettings mSettings;
  double mMicros = 0; ///< Decaying sum of the times observed.
  double mTokens = 0; ///< Decaying sum of the tokens that took them.
  double mSpread = 0;
  double mGap = 0;
  double mGapDeviation = 0;
  std::uint64_t mSamples = 0;
};

} // namespace cuminfield::request::routing
