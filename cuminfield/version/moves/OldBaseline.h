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
  double slowClasses = 0.45;
  double longMemory = 2'000;   ///< Requests that the usual rates are learned from.
  double shortMemory = 100;    ///< Requests that tell whether the rates are unusual now.
  double fewestLatencies = 40; ///< Latencies needed before slowness is judged.
  double failureSlack = 0.005; ///< Room above the usual failure rate for its own changes.
  double latencySlack = 0.04;  ///< Room above the usual part of slow requests.
  double unusual = 3.0;        ///< Standard errors from which on the present counts as unusual.
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

  NullBound FailureBound() const;

  /// The smallest latency class that at most aQuantile of the old version's requests exceed, by
  /// time to first token or by token gap. Absent while too few latencies are known.
  std::optional<LatencyBound> FirstTokenBound(double aQuantile) const;
  std::optional<LatencyBound> TokenGapBound(double aQuantile) const;

  /// Usual failure rate of the old version.
  double FailureRate() const { return mLong.FailureRate(); }

private:
  using AboveMethod = double (DecayedCounts::*)(std::size_t) const;

  LatencyBound MakeLatencyBound(AboveMethod aAbove, double aQuantile) const;
  double Ceiling(double aUsual, double aNow, double aSlack) const;

  OldBaselineSettings mSettings;
  DecayedCounts mLong;
  DecayedCounts mShort;
};

} // namespace cuminfield::version::moves
