#pragma once

#include "cuminfield/version/moves/DecayedCounts.h"
#include "cuminfield/version/moves/SequentialTest.h"

#include <optional>

namespace cuminfield::version::moves {

/// Tunables of OldBaseline: what counts as bad, and how far the old version's rates may wander.
struct OldBaselineSettings
{
  double failureRatio = 1.25;  ///< A new version may fail this many times as often as the old
  double failureMargin = 0.01; ///< and this much more.
  /// A new version may be slower by this part of a latency class (about half, so a class is 1.5).
  double latencyClassMargin = 0.45;
  double baselineRequests = 2'000; ///< Requests that the usual rates are learned from.
  double minLatencies = 40;        ///< Latencies needed before slowness is judged.
  /// Without requests to the old version to compare with, trouble that makes up to this part of all
  /// requests fail, or be slow, is not held against the new version.
  double maxUncontrolledFailureRate = 0.35;
  double maxUncontrolledSlowRate = 0.60;
};

/// A bound between fast and slow requests, and the null bound on the part of slow ones.
struct LatencyBound
{
  std::size_t latencyClass = 0; ///< Requests above this class are slow.
  NullBound bound;
};

/// Learns the old version's rates on one route and derives the bounds that the new version is held
/// to. All bounds rest on requests seen before the block that they judge.
class OldBaseline
{
public:
  explicit OldBaseline(const OldBaselineSettings& aSettings = {});

  /// Learns from requests to the old version.
  void Add(const Observation& aOld);

  /// aHasControl: the block has requests to the old version too. Then whatever befalls both at the
  /// same time is allowed for, however strong; without them only within the settings' limits.
  NullBound FailureBound(bool aHasControl) const;

  /// The smallest latency class that at most aQuantile of the old version's requests exceed, by
  /// time to first token or by token gap. Absent while too few latencies are known.
  std::optional<LatencyBound> FirstTokenBound(double aQuantile, bool aHasControl) const;
  std::optional<LatencyBound> TokenGapBound(double aQuantile, bool aHasControl) const;

  /// Usual failure rate of the old version.
  double FailureRate() const { return mCounts.FailureRate(); }

private:
  using FractionAboveMethod = double (DecayedCounts::*)(std::size_t) const;

  LatencyBound MakeLatencyBound(FractionAboveMethod aAbove, double aQuantile,
                                bool aHasControl) const;
  static double RateCeiling(double aUsual, double aUncontrolled, bool aHasControl);

  OldBaselineSettings mSettings;
  DecayedCounts mCounts;
};

} // namespace cuminfield::version::moves
