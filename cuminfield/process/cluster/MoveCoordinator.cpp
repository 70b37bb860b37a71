#include "cuminfield/process/cluster/MoveCoordinator.h"

#include <cmath>

namespace cuminfield::process::cluster {

double MoveCoordinator::Counts::BadShare() const
{
  const std::uint64_t total = good + bad;
  return total == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(total);
}

double MoveCoordinator::Counts::MeanLatencyMs() const
{
  return good == 0 ? 0 : static_cast<double>(latencySumMs) / static_cast<double>(good);
}

double MoveCoordinator::Counts::MeanTokenIntervalMs() const
{
  return tokenSamples == 0 ? 0 : std::exp(tokenIntervalLogSum / static_cast<double>(tokenSamples));
}

const char* MoveCoordinator::FindFault(const RouteCounts& aCounts) const
{
  if (IsFailing(aCounts)) {
    return "failures";
  }
  return IsFirstEventSlow(aCounts) ? "first-events" : nullptr;
}

std::string MoveCoordinator::Summarize(const RouteCounts& aCounts)
{
  const auto describe = [](const Counts& aVersionCounts) {
    return std::to_string(aVersionCounts.good) + "/" + std::to_string(aVersionCounts.bad) + " " +
           std::to_string(aVersionCounts.MeanLatencyMs()) + "ms " +
           std::to_string(aVersionCounts.tokenSamples) + "x" +
           std::to_string(aVersionCounts.MeanTokenIntervalMs()) + "ms";
  };
  return describe(aCounts.target) + " vs " + describe(aCounts.former);
}

bool MoveCoordinator::IsFailing(const RouteCounts& aCounts) const
{
  return aCounts.target.bad >= mSettings.minBadResponses &&
         aCounts.target.BadShare() > aCounts.former.BadShare() + mSettings.badShareMargin;
}

bool MoveCoordinator::IsFirstEventSlow(const RouteCounts& aCounts) const
{
  const Counts& target = aCounts.target;
  const Counts& former = aCounts.former;
  const bool hasSamples =
    target.good >= mSettings.minTimedResponses && former.good >= mSettings.minTimedResponses;
  const double marginMs = core::Milliseconds(mSettings.slowFirstEventMargin);
  return hasSamples &&
         target.MeanLatencyMs() > former.MeanLatencyMs() * mSettings.slowFirstEventFactor &&
         target.MeanLatencyMs() > former.MeanLatencyMs() + marginMs;
}

// Finds slow engines that the first event latency does not show: without a queue, a slow engine
// sends its first event as early as a fast one.
bool MoveCoordinator::IsTokenIntervalSlow(const RouteCounts& aCounts, proto::MovePhase aPhase) const
{
  const double factor =
    aPhase == proto::SHIFTED ? mSettings.slowTokenFactorShifted : mSettings.slowTokenFactor;
  const bool hasSamples = aCounts.target.tokenSamples >= mSettings.minTokenSamples &&
                          aCounts.former.tokenSamples >= mSettings.minTokenSamples;
  return hasSamples &&
         aCounts.target.MeanTokenIntervalMs() > aCounts.former.MeanTokenIntervalMs() * factor;
}

std::optional<MoveCoordinator::Decision> MoveCoordinator::Decide(
  const proto::Move& aMove, core::Duration aElapsed,
  const FollowerTable::EvidenceMap& aEvidence) const
{
  std::map<std::string, RouteCounts> routes;
  RouteCounts total;
  for (const auto& [host, evidence] : aEvidence) {
    for (const proto::Evidence& it : evidence) {
      if (it.move() != aMove.number()) {
        continue;
      }
      for (RouteCounts* counts : { &routes[it.route()], &total }) {
        Counts& versionCounts = it.target() ? counts->target : counts->former;
        versionCounts.good += it.good();
        versionCounts.bad += it.bad();
        versionCounts.latencySumMs += it.latency_ms();
        versionCounts.tokenSamples += it.paces();
        versionCounts.tokenIntervalLogSum += it.pace_logs();
      }
    }
  }
  for (const auto& [route, counts] : routes) {
    if (const char* fault = FindFault(counts)) {
      return Decision{ .phase = proto::ROLLED_BACK,
                       .reason = fault,
                       .summary = route + " " + Summarize(counts) };
    }
  }
  // Streams of all routes share the steps of the engines, so their token intervals are evaluated
  // together.
  if (IsTokenIntervalSlow(total, aMove.phase())) {
    return Decision{ .phase = proto::ROLLED_BACK, .reason = "pace", .summary = Summarize(total) };
  }
  const core::Duration due = std::chrono::milliseconds(aMove.duration_ms());
  if (aMove.phase() == proto::CANARY && aElapsed >= due - mSettings.shiftBeforeDue) {
    const bool isProved = total.target.good >= mSettings.minGoodResponses;
    return Decision{ .phase = isProved ? proto::SHIFTED : proto::ROLLED_BACK,
                     .reason = isProved ? "proved" : "untried",
                     .summary = Summarize(total) };
  }
  if (aMove.phase() == proto::SHIFTED && aElapsed >= due - mSettings.completeBeforeDue) {
    return Decision{ .phase = proto::COMPLETED, .reason = "proved", .summary = Summarize(total) };
  }
  return std::nullopt;
}

} // namespace cuminfield::process::cluster
