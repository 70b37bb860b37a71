#pragma once

#include "cuminfield/core/Units.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminfield::request::routing {

/// Steps of fullness, each a quarter of the slots, by which the usual pace is kept.
inline constexpr std::size_t kFills = 8;

/// Tunables of PeerComparison.
struct PeerComparisonSettings
{
  double slowFactor = 2.0;       ///< Ejected at this many times its peers' median slowdown.
  double failureShare = 0.5;     ///< Ejected at this share of failures among its answers.
  double maxEjected = 0.34;      ///< Share of a pool that may be ejected at once.
  std::uint32_t minSamples = 10; ///< Answers before an upstream is judged.
  core::Duration firstEject{ 5'000'000 }; ///< First ejection; doubles each time up to maxEject.
  core::Duration maxEject{ 60'000'000 };  ///< Longest ejection.
  std::uint32_t probes = 2;               ///< In flight at most while an upstream is on probation.
  core::Duration baselineMemory{ 60'000'000 }; ///< Over which the usual pace is forgotten.
};

/// Health of one upstream, as PeerComparison keeps it.
struct PeerHealth
{
  double pace = 1; ///< Recent ratio of observed to usual times; 1 is as usual.
  /// Usual time between tokens in microseconds, by how full the upstream was.
  std::array<double, kFills> usual{};
  double failures = 0; ///< Recent share of failed answers.
  std::uint32_t samples = 0;
  core::Instant until{};      ///< Ejected until then.
  core::Duration length{ 0 }; ///< Of the last ejection.
  bool ejected = false;
  bool probation = false; ///< Back after an ejection, with a few requests at a time.
};

/// Finds stragglers by comparison with their peers. Engines differ in speed by nature, so each is
/// measured against its own usual pace when it is as full, and the slowdowns are compared within
/// the pool: when all slow down together the load is the cause, and nobody is ejected. At most a
/// bounded share of a pool is ejected at once.
class PeerComparison
{
public:
  explicit PeerComparison(const PeerComparisonSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// A token came this long after the last one, one of aStreams of this host, while the upstream
  /// was this full (1: all slots).
  void ObserveGap(PeerHealth& aHealth, core::Duration aGap, double aFill,
                  std::uint32_t aStreams) const;

  /// A try ended, with or without a fault of the upstream.
  void ObserveEnd(PeerHealth& aHealth, bool aFailed) const;

  /// Judges the peers of one pool; call it a few times a second.
  void Judge(std::vector<PeerHealth*>& aPeers, core::Instant aNow) const;

private:
  static void Settle(PeerHealth& aHealth, core::Instant aNow);
  bool IsStraggler(const PeerHealth& aHealth, double aMedian) const;
  void Eject(PeerHealth& aHealth, core::Instant aNow) const;

  PeerComparisonSettings mSettings;
};

} // namespace cuminfield::request::routing
