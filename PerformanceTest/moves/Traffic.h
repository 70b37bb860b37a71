#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/Units.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminfield::performance_test::moves {

inline constexpr std::uint32_t kDataCentres = 3;
inline constexpr std::uint32_t kRoutes = 5;

/// A simulated request of a caller of a small shared service.
struct TrafficRequest
{
  std::uint32_t route = 0;
  double predictedFirstToken = 0.1; ///< Seconds, predicted from the prompt length.
  double firstToken = 0.1;          ///< Seconds, on an upstream of the old version.
  double tokenGap = 0.02;           ///< Seconds, on an upstream of the old version.
  double tokens = 100.0;
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

  bool IsBurst(core::Duration aAt) const { return Inside(mBursts, aAt); }

  /// Draws a request that arrives at aAt in a data centre.
  TrafficRequest Draw(core::Duration aAt, std::uint32_t aDataCentre);

private:
  struct Span
  {
    core::Duration begin;
    core::Duration end;
    std::uint32_t dataCentre = 0;
  };

  static bool Inside(const std::vector<Span>& aSpans, core::Duration aAt);
  void DrawSpans(std::vector<Span>& aSpans, core::Duration aLength, double aMeanInterval,
                 double aMinLength, double aMaxLength);
  std::uint32_t DrawRoute();
  double LoadFactor(core::Duration aAt) const;
  bool IsInTrouble(core::Duration aAt, std::uint32_t aDataCentre) const;

  core::Random& mRandom;
  double mBaseRate;
  double mBaseFailureRate;
  double mTroubleRate;
  std::array<double, kRoutes>
    mBias{}; ///< Ratio of the typical to the predicted time to first token, by route.
  std::vector<Span> mBursts;
  std::vector<Span> mTroubles;
};

} // namespace cuminfield::performance_test::moves
