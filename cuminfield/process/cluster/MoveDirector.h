#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/cluster/FollowerTable.h"
#include "cuminfield/process/cluster/cluster.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cuminfield::process::cluster {

/// Tunables of the judgement of a new version that has seconds to prove itself.
struct MoveDirectorSettings
{
  /// Bad answers of the new version on one route below which it is not judged.
  std::uint64_t minBad = 3;
  /// Share of bad answers above that of the former version from which the new one is bad.
  double badShareAbove = 0.12;
  /// Good answers of both versions on a route that a comparison of times needs.
  std::uint64_t minTimed = 6;
  /// Mean time to the first event, relative to the former version's, from which it is bad.
  double slowFactor = 2.2;
  /// Difference of those means below which it never is.
  core::Duration slowMargin = std::chrono::milliseconds(60);
  /// Stretches of streams of both versions that a comparison of their pace needs: of ten streams
  /// or more.
  std::uint64_t minPaces = 40;
  /// Time for a token (geometric mean), relative to the former version's, from which the new one is
  /// bad: while it has a small share its engines are nearly empty and should be the faster ones,
  double slowPace = 1.8;
  /// and with all requests, under a load that slows each token down.
  double slowPaceShifted = 2.2;
  /// Good answers without which all traffic is not given to a new version.
  std::uint64_t minGood = 5;
  /// All new requests go to the new version this long before the move is due,
  core::Duration shiftBefore = std::chrono::milliseconds(2000);
  /// and the former version is given up this long before.
  core::Duration completeBefore = std::chrono::milliseconds(700);
};

/// Decides the next step of a running move from the evidence of all hosts: free of I/O and of
/// memory, so that a new leader goes on where the former one was.
///
/// A service's move has seconds, and a bad version may show itself late, under load, or on one
/// route only. So the new version gets a small share until shortly before the move is due: the
/// sum of what it gets stays within the bound on exposure even when it turns bad with the last
/// step.
class MoveDirector
{
public:
  explicit MoveDirector(MoveDirectorSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// A step and what it was decided by.
  struct Decision
  {
    proto::MovePhase phase = proto::CANARY;
    const char* reason = "";
    std::string figures; ///< Of the route that decided, or of all: new version against former.
  };

  /// The step to take now; nothing to leave the move as it is. aElapsed is since its order.
  std::optional<Decision> Decide(const proto::Move& aMove, core::Duration aElapsed,
                                 const FollowerTable::EvidenceMap& aEvidence) const;

private:
  struct Counts
  {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    std::uint64_t latencyMs = 0;
    std::uint64_t paces = 0;
    double paceLogs = 0;

    double BadShare() const;
    double MeanMs() const;
    double TokenMs() const;
  };
  struct RouteCounts
  {
    Counts former;
    Counts target;
  };

  /// What is wrong with the new version on a route; null: nothing.
  const char* FaultOnRoute(const RouteCounts& aCounts) const;
  static std::string Describe(const RouteCounts& aCounts);
  bool Fails(const RouteCounts& aCounts) const;
  bool StartsLate(const RouteCounts& aCounts) const;
  bool IsPaceSlow(const RouteCounts& aCounts, proto::MovePhase aPhase) const;

  MoveDirectorSettings mSettings;
};

} // namespace cuminfield::process::cluster
