#pragma once

#include "cuminfield/version/moves/Observation.h"

#include <array>

namespace cuminfield::version::moves {

/// Request counts with decaying weights, so that rates follow recent traffic.
class DecayedCounts
{
public:
  /// aCapacity: approximate number of recent requests that the rates are based on.
  explicit DecayedCounts(double aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /// Adds an observation. If the total exceeds the capacity, all counts are scaled down to it.
  void Add(const Observation& aObservation);

  /// Weight of all requests.
  double RequestWeight() const { return mSucceeded + mFailed; }

  /// Fraction of requests that failed; 0 without requests.
  double FailureRate() const;

  /// Weight of the requests with a time to first token, and the fraction of them above latency
  /// class aClass.
  double FirstTokenWeight() const { return Sum(mFirstTokenWeights); }
  double FirstTokenFractionAbove(std::size_t aClass) const
  {
    return FractionAbove(mFirstTokenWeights, aClass);
  }

  /// Weight of the requests with a token gap, and the fraction of them above latency class aClass.
  double TokenGapWeight() const { return Sum(mTokenGapWeights); }
  double TokenGapFractionAbove(std::size_t aClass) const
  {
    return FractionAbove(mTokenGapWeights, aClass);
  }

private:
  using Weights = std::array<double, kLatencyBounds.size() + 1>;

  static double Sum(const Weights& aWeights);
  static double FractionAbove(const Weights& aWeights, std::size_t aClass);
  static void AddWeights(Weights& aWeights, const LatencyCounts& aCounts);
  static void Scale(Weights& aWeights, double aFactor);

  double mCapacity;
  double mSucceeded = 0.0;
  double mFailed = 0.0;
  Weights mFirstTokenWeights{};
  Weights mTokenGapWeights{};
};

} // namespace cuminfield::version::moves
