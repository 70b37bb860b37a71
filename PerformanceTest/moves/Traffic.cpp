#include "PerformanceTest/moves/Traffic.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::performance_test::moves {

namespace {

constexpr std::array<double, kRouteCount> kRouteWeights{ 0.45, 0.27, 0.15, 0.09, 0.04 };
constexpr double kBurstRateFactor = 2.2;
constexpr double kBurstSlowdown = 1.35;
/// Longest prompt and response of each tier relative to the shortest.
constexpr std::array<double, 3> kTierLengthRatios{ 5.0, 25.0, 100.0 };
/// Factor on the prompt length of each workspace.
constexpr std::array<double, 5> kWorkspaceLengthFactors{ 0.6, 0.8, 1.0, 1.3, 1.8 };
constexpr std::array<double, 3> kEngineSpeeds{ 0.8, 1.0, 1.3 };

core::Duration Seconds(double aSeconds)
{
  return core::Duration(static_cast<std::int64_t>(aSeconds * 1e6));
}

/// Draws a log-normal factor with median 1; aDeviation is that of its logarithm.
double DrawLogNormalFactor(core::Random& aRandom, double aDeviation)
{
  return std::exp(aRandom.Normal(0.0, aDeviation));
}

} // namespace

Traffic::Traffic(core::Duration aLength, double aRate, core::Random& aRandom)
  : mRandom(aRandom)
  , mBaseRate(aRate > 0.0 ? aRate : 60.0 + 80.0 * aRandom.Uniform())
  , mBaseFailureRate(0.003 + 0.005 * aRandom.Uniform())
  , mDisturbanceFailureRate(0.1 + 0.2 * aRandom.Uniform())
{
  for (double& it : mPredictionBias) {
    it = DrawLogNormalFactor(aRandom, 0.2);
  }
  DrawSpans(mBursts, aLength, 120.0, 20.0, 45.0);
  DrawSpans(mDisturbances, aLength, 400.0, 5.0, 20.0);
}

double Traffic::Rate(core::Duration aAt) const
{
  return IsBurst(aAt) ? mBaseRate * kBurstRateFactor : mBaseRate;
}

TrafficRequest Traffic::DrawRequest(core::Duration aAt, std::uint32_t aDataCentre)
{
  TrafficRequest request;
  request.route = DrawRoute();
  const double maxRatio = kTierLengthRatios[mRandom.UniformBelow(kTierLengthRatios.size())];
  const double workspaceFactor =
    kWorkspaceLengthFactors[mRandom.UniformBelow(kWorkspaceLengthFactors.size())];
  const double prompt = workspaceFactor * std::pow(maxRatio, mRandom.Uniform());
  const double speed = kEngineSpeeds[mRandom.UniformBelow(kEngineSpeeds.size())];
  const double load = LatencyFactor(aAt);
  request.predictedFirstToken = 0.02 + 0.015 * prompt;
  request.firstToken = request.predictedFirstToken * mPredictionBias[request.route] * load *
                       DrawLogNormalFactor(mRandom, 0.4) / speed;
  request.tokenGap = 0.02 * load * DrawLogNormalFactor(mRandom, 0.2) / speed;
  request.responseTokens = 5.0 * std::pow(maxRatio, mRandom.Uniform());
  request.failureRate =
    mBaseFailureRate + (IsDisturbed(aAt, aDataCentre) ? mDisturbanceFailureRate : 0.0);
  return request;
}

bool Traffic::IsInside(const std::vector<TimeSpan>& aSpans, core::Duration aAt)
{
  return std::any_of(aSpans.begin(), aSpans.end(),
                     [&](const TimeSpan& aSpan) { return aAt >= aSpan.begin && aAt < aSpan.end; });
}

void Traffic::DrawSpans(std::vector<TimeSpan>& aSpans, core::Duration aLength, double aMeanInterval,
                        double aMinLength, double aMaxLength)
{
  core::Duration at = Seconds(0.2 * aMeanInterval + mRandom.Exponential(aMeanInterval));
  while (at < aLength) {
    const double length = aMinLength + (aMaxLength - aMinLength) * mRandom.Uniform();
    const auto dataCentre = static_cast<std::uint32_t>(mRandom.UniformBelow(kDataCentreCount));
    aSpans.push_back({ .begin = at, .end = at + Seconds(length), .dataCentre = dataCentre });
    at += Seconds(length + 0.2 * aMeanInterval + mRandom.Exponential(aMeanInterval));
  }
}

std::uint32_t Traffic::DrawRoute()
{
  double point = mRandom.Uniform();
  for (std::uint32_t it = 0; it < kRouteCount; ++it) {
    point -= kRouteWeights[it];
    if (point < 0.0) {
      return it;
    }
  }
  return 0;
}

double Traffic::LatencyFactor(core::Duration aAt) const
{
  return IsBurst(aAt) ? kBurstSlowdown : 1.0;
}

bool Traffic::IsDisturbed(core::Duration aAt, std::uint32_t aDataCentre) const
{
  return std::any_of(mDisturbances.begin(), mDisturbances.end(), [&](const TimeSpan& aSpan) {
    return aSpan.dataCentre == aDataCentre && aAt >= aSpan.begin && aAt < aSpan.end;
  });
}

} // namespace cuminfield::performance_test::moves
