#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/Units.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminfield::performance_test::moves {

inline constexpr std::uint32_t kDataCentres = 3;
inline constexpr std::uint32_t kRoutes = 5;

/// One request as the callers of a small shared service make it.
struct TrafficRequest
{
  std::uint32_t route = 0;
  double predictedFirstToken = 0.1; ///< Seconds, from its length.
  double firstToken = 0.1;          ///< Seconds, on an upstream of the old version.
  double tokenGap = 0.02;           ///< Seconds, on an upstream of the old version.
  double tokens = 100.0;            ///< Of the answer.
  double failureRate = 0.005;       ///< On the old version.
};

/// Requests to one service: lengths differ a hundredfold, several routes, workspaces and tiers,
/// bursts, engines of three speeds, and now and then trouble that befalls both versions.
class Traffic
{
public:
  Traffic(core::Duration aLength, core::Random& aRandom);

  /// Requests a second over all hosts at this time from the beginning.
  double Rate(core::Duration aAt) const;

  /// True during a burst.
  bool IsBurst(core::Duration aAt) const { return Inside(mBursts, aAt); }

  /// Draws a request that arrives now in a data centre.
  TrafficRequest Draw(core::Duration aAt, std::uint32_t aDataCentre);

private:
  struct Span
  {
    core::Duration begin;
    core::Duration end;
    std::uint32_t dataCentre = 0;
  };

  static bool Inside(const std::vector<Span>& aSpans, core::Duration aAt);
  void DrawSpans(std::vector<Span>& aSpans, core::Duration aLength, double aMeanPause,
                 double aShortest, double aLongest);
  std::uint32_t DrawRoute();
  double LoadFactor(core::Duration aAt) const;
  bool IsInTrouble(core::Duration aAt, std::uint32_t aDataCentre) const;

  core::Random& mRandom;
  double mBaseRate;
  double mBaseFailureRate;
  double mTroubleRate;
  std::array<double, kRoutes> mBias{}; ///< How far predictions are off on a route.
  std::vector<Span> mBursts;
  std::vector<Span> mTroubles;
};

} // namespace cuminfield::performance_test::moves
