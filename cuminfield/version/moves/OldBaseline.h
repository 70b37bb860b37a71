#pragma once

#include "cuminfield/version/moves/DecayedCounts.h"
#include "cuminfield/version/moves/SequentialTest.h"

#include <optional>

namespace cuminfield::version::moves {

/// Settings of OldBaseline: bounds for the new version and for the variation of the old version's
/// rates.
struct OldBaselineSettings
{
  double failureRatio = 1.25; ///< Allowed ratio of the new version's failure rate to the old one's.
  double failureMargin = 0.01; ///< Allowed excess over that.
  /// Allowed slowdown as a fraction of a latency class. A full class is a factor of about 1.5.
  double latencyClassMargin = 0.45;
  double baselineRequests = 2'000; ///< Requests that the usual rates are estimated from.
  double minLatencies = 40;        ///< Number of latencies required before slowness is evaluated.
  /// In a block without requests to the old version, failures (or slow requests) up to this rate
  /// may have a common cause and do not count against the new version.
  double maxUncontrolledFailureRate = 0.35;
  double maxUncontrolledSlowRate = 0.60;
};

/// Latency threshold for slow requests, and the null bound on their fraction.
struct LatencyBound
{
  std::size_t latencyClass = 0; ///< Requests above this class are slow.
  NullBound bound;
};

/// Estimates the old version's rates on one route and derives the bounds for the new version. All
/// bounds are based on requests from before the block that they are applied to.
class OldBaseline
{
public:
  explicit OldBaseline(const OldBaselineSettings& aSettings = {});

  /// Adds requests to the old version.
  void Add(const Observation& aOld);

  /// aHasControl: the block also contains requests to the old version. Then faults that affect both
  /// versions at the same time are tolerated at any strength, otherwise only within the limits in
  /// the settings.
  NullBound FailureBound(bool aHasControl) const;

  /// Returns the lowest latency class that at most a fraction aQuantile of the old version's
  /// requests exceed, by time to first token or by token gap. Absent while there are too few
  /// latencies.
  std::optional<LatencyBound> FirstTokenBound(double aQuantile, bool aHasControl) const;
  std::optional<LatencyBound> TokenGapBound(double aQuantile, bool aHasControl) const;

  /// Usual failure rate of the old version.
  double FailureRate() const { return mCounts.FailureRate(); }

private:
  using FractionAboveMethod = double (DecayedCounts::*)(std::size_t) const;

  LatencyBound MakeLatencyBound(FractionAboveMethod aFractionAbove, double aQuantile,
                                bool aHasControl) const;
  static double RateCeiling(double aUsualRate, double aMaxUncontrolledRate, bool aHasControl);

  OldBaselineSettings mSettings;
  DecayedCounts mCounts;
};

} // namespace cuminfield::version::moves
