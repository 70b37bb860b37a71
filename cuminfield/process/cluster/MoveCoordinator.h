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
struct MoveCoordinatorSettings
{
  /// Bad answers of the new version on one route below which it is not judged.
  std::uint64_t minBadResponses = 3;
  /// Share of bad answers above that of the former version from which the new one is bad.
  double badShareMargin = 0.12;
  /// Good answers of both versions on a route that a comparison of times needs.
  std::uint64_t minTimedResponses = 6;
  /// Mean time to the first event, relative to the former version's, from which it is bad.
  double slowFirstEventFactor = 2.2;
  /// Difference of those means below which it never is.
  core::Duration slowFirstEventMargin = std::chrono::milliseconds(60);
  /// Stretches of streams of both versions that a comparison of their pace needs: of ten streams
  /// or more.
  std::uint64_t minTokenSamples = 40;
  /// Time for a token (geometric mean), relative to the former version's, from which the new one is
  /// bad: while it has a small share its engines are nearly empty and should be the faster ones,
  double slowTokenFactor = 1.8;
  /// and with all requests, under a load that slows each token down.
  double slowTokenFactorShifted = 2.2;
  /// Good answers without which all traffic is not given to a new version.
  std::uint64_t minGoodResponses = 5;
  /// All new requests go to the new version this long before the move is due,
  core::Duration shiftBeforeDue = std::chrono::milliseconds(2000);
  /// and the former version is given up this long before.
  core::Duration completeBeforeDue = std::chrono::milliseconds(700);
};

/// Decides the next step of a running move from the evidence of all hosts: free of I/O and of
/// memory, so that a new leader goes on where the former one was.
///
/// A service's move has seconds, and a bad version may show itself late, under load, or on one
/// route only. So the new version gets a small share until shortly before the move is due: the
/// sum of what it gets stays within the bound on exposure even when it turns bad with the last
/// step.
class MoveCoordinator
{
public:
  explicit MoveCoordinator(MoveCoordinatorSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// A step and what it was decided by.
  struct Decision
  {
    proto::MovePhase phase = proto::CANARY;
    const char* reason = "";
    std::string summary; ///< Of the route that decided, or of all: new version against former.
  };

  /// The step to take now; nothing to leave the move as it is. aElapsed is since its order.
  std::optional<Decision> Decide(const proto::Move& aMove, core::Duration aElapsed,
                                 const FollowerTable::EvidenceMap& aEvidence) const;

private:
  struct Counts
  {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    std::uint64_t latencySumMs = 0;
    std::uint64_t tokenSamples = 0;
    double tokenIntervalLogSum = 0;

    double BadShare() const;
    double MeanLatencyMs() const;
    double MeanTokenIntervalMs() const;
  };
  struct RouteCounts
  {
    Counts former;
    Counts target;
  };

  /// What is wrong with the new version on a route; null: nothing.
  const char* FindFault(const RouteCounts& aCounts) const;
  static std::string Summarize(const RouteCounts& aCounts);
  bool IsFailing(const RouteCounts& aCounts) const;
  bool IsFirstEventSlow(const RouteCounts& aCounts) const;
  bool IsTokenIntervalSlow(const RouteCounts& aCounts, proto::MovePhase aPhase) const;

  MoveCoordinatorSettings mSettings;
};

} // namespace cuminfield::process::cluster
