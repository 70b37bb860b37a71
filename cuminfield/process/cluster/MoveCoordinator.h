#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/cluster/FollowerTable.h"
#include "cuminfield/process/cluster/cluster.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cuminfield::process::cluster {

/// Settings for the evaluation of a new version, which has only seconds to prove itself.
struct MoveCoordinatorSettings
{
  /// Bad responses of the new version on a route that are required to find it failing.
  std::uint64_t minBadResponses = 3;
  /// The new version is failing if its share of bad responses exceeds the former version's by more
  /// than this.
  double badShareMargin = 0.12;
  /// Good responses of each version on a route that are required to compare first event latencies.
  std::uint64_t minTimedResponses = 6;
  /// The new version is too slow if its mean first event latency exceeds the former version's by
  /// more than this factor and by more than slowFirstEventMargin.
  double slowFirstEventFactor = 2.2;
  /// Keeps small differences of short latencies from counting as a fault.
  core::Duration slowFirstEventMargin = std::chrono::milliseconds(60);
  /// Samples of each version that are required to compare token intervals; they come from at least
  /// ten streams.
  std::uint64_t minTokenSamples = 40;
  /// The new version is too slow if its mean token interval (geometric) exceeds the former
  /// version's by more than this factor. While it has a small share its engines are nearly idle and
  /// should be faster.
  double slowTokenFactor = 1.8;
  /// The same factor once all requests go to the new version and the load slows each token down.
  double slowTokenFactorShifted = 2.2;
  /// Good responses that are required before all traffic goes to the new version.
  std::uint64_t minGoodResponses = 5;
  /// All new requests go to the new version this long before the move is due.
  core::Duration shiftBeforeDue = std::chrono::milliseconds(2000);
  /// The move completes, and the former version is given up, this long before it is due.
  core::Duration completeBeforeDue = std::chrono::milliseconds(700);
};

/// Decides the next step of a running move from the evidence of all hosts. Performs no I/O and
/// keeps no state, so that a new leader continues where the former one stopped.
///
/// A move lasts only seconds, and a bad version may fail late, only under load, or only on one
/// route. The new version therefore gets a small share until shortly before the move is due, so
/// that the requests it gets stay within the exposure bound even if it turns bad with the last
/// step.
class MoveCoordinator
{
public:
  explicit MoveCoordinator(MoveCoordinatorSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// A step and the reason for it.
  struct Decision
  {
    proto::MovePhase phase = proto::CANARY;
    const char* reason = "";
    std::string summary; ///< Counts of the deciding route or of all, new version against former.
  };

  /// Returns the step to take now, or nothing to leave the move as it is. aElapsed is the time
  /// since the move was requested.
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

  /// Returns the fault of the new version on a route, or null if there is none.
  const char* FindFault(const RouteCounts& aCounts) const;
  static std::string Summarize(const RouteCounts& aCounts);
  bool IsFailing(const RouteCounts& aCounts) const;
  bool IsFirstEventSlow(const RouteCounts& aCounts) const;
  bool IsTokenIntervalSlow(const RouteCounts& aCounts, proto::MovePhase aPhase) const;

  MoveCoordinatorSettings mSettings;
};

} // namespace cuminfield::process::cluster
