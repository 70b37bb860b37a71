#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/Units.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminfield::performance_test::moves {

inline constexpr std::uint32_t kDataCentreCount = 3;
inline constexpr std::uint32_t kRouteCount = 5;

/// A simulated request of a caller of a small shared service.
struct TrafficRequest
{
  std::uint32_t route = 0;
  double predictedFirstToken = 0.1; ///< Seconds, predicted from the prompt length.
  double firstToken = 0.1;          ///< Seconds, on an upstream of the old version.
  double tokenGap = 0.02;           ///< Seconds, on an upstream of the old version.
  double responseTokens = 100.0;
  double failureRate = 0.005; ///< On the old version.
};

/// Generates requests to one service: lengths that differ up to a hundredfold; several routes,
/// workspaces and tiers; bursts; engines of three speeds; and occasional disturbances that raise
/// the failure rate of both versions in one data centre.
class Traffic
{
public:
  /// aRate: requests per second outside bursts; 0 draws a rate between 60 and 140.
  Traffic(core::Duration aLength, double aRate, core::Random& aRandom);

  /// Requests per second over all hosts. aAt: time since the start.
  double Rate(core::Duration aAt) const;

  bool IsBurst(core::Duration aAt) const { return IsInside(mBursts, aAt); }

  /// Draws a request that arrives at aAt in a data centre.
  TrafficRequest DrawRequest(core::Duration aAt, std::uint32_t aDataCentre);

private:
  struct TimeSpan
  {
    core::Duration begin;
    core::Duration end;
    std::uint32_t dataCentre = 0;
  };

  static bool IsInside(const std::vector<TimeSpan>& aSpans, core::Duration aAt);
  void DrawSpans(std::vector<TimeSpan>& aSpans, core::Duration aLength, double aMeanInterval,
                 double aMinLength, double aMaxLength);
  std::uint32_t DrawRoute();
  double LatencyFactor(core::Duration aAt) const;
  bool IsDisturbed(core::Duration aAt, std::uint32_t aDataCentre) const;

  core::Random& mRandom;
  double mBaseRate;
  double mBaseFailureRate;
  double mDisturbanceFailureRate;
  std::array<double, kRouteCount>
    mPredictionBias{}; ///< Ratio of the typical to the predicted time to first token, by route.
  std::vector<TimeSpan> mBursts;
  std::vector<TimeSpan> mDisturbances;
};

} // namespace cuminfield::performance_test::moves
