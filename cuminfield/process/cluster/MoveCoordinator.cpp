#include "cuminfield/process/cluster/MoveCoordinator.h"

#include <cmath>

namespace cuminfield::process::cluster {

double MoveCoordinator::Counts::BadShare() const
{
  const std::uint64_t all = good + bad;
  return all == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(all);
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
  const auto side = [](const Counts& aSide) {
    return std::to_string(aSide.good) + "/" + std::to_string(aSide.bad) + " " +
           std::to_string(aSide.MeanLatencyMs()) + "ms " + std::to_string(aSide.tokenSamples) +
           "x" + std::to_string(aSide.MeanTokenIntervalMs()) + "ms";
  };
  return side(aCounts.target) + " vs " + side(aCounts.former);
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
  const bool timed =
    target.good >= mSettings.minTimedResponses && former.good >= mSettings.minTimedResponses;
  const double marginMs = core::Milliseconds(mSettings.slowFirstEventMargin);
  return timed &&
         target.MeanLatencyMs() > former.MeanLatencyMs() * mSettings.slowFirstEventFactor &&
         target.MeanLatencyMs() > former.MeanLatencyMs() + marginMs;
}

// Finds slow engines that the first event latency does not show: without a queue, a slow engine
// sends its first event as early as a fast one.
bool MoveCoordinator::IsTokenIntervalSlow(const RouteCounts& aCounts, proto::MovePhase aPhase) const
{
  const double factor =
    aPhase == proto::SHIFTED ? mSettings.slowTokenFactorShifted : mSettings.slowTokenFactor;
  const bool paced = aCounts.target.tokenSamples >= mSettings.minTokenSamples &&
                     aCounts.former.tokenSamples >= mSettings.minTokenSamples;
  return paced &&
         aCounts.target.MeanTokenIntervalMs() > aCounts.former.MeanTokenIntervalMs() * factor;
}

std::optional<MoveCoordinator::Decision> MoveCoordinator::Decide(
  const proto::Move& aMove, core::Duration aElapsed,
  const FollowerTable::EvidenceMap& aEvidence) const
{
  std::map<std::string, RouteCounts> routes;
  RouteCounts all;
  for (const auto& [host, evidence] : aEvidence) {
    for (const proto::Evidence& it : evidence) {
      if (it.move() != aMove.number()) {
        continue;
      }
      for (RouteCounts* counts : { &routes[it.route()], &all }) {
        Counts& side = it.target() ? counts->target : counts->former;
        side.good += it.good();
        side.bad += it.bad();
        side.latencySumMs += it.latency_ms();
        side.tokenSamples += it.paces();
        side.tokenIntervalLogSum += it.pace_logs();
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
  if (IsTokenIntervalSlow(all, aMove.phase())) {
    return Decision{ .phase = proto::ROLLED_BACK, .reason = "pace", .summary = Summarize(all) };
  }
  const core::Duration due = std::chrono::milliseconds(aMove.duration_ms());
  if (aMove.phase() == proto::CANARY && aElapsed >= due - mSettings.shiftBeforeDue) {
    const bool proved = all.target.good >= mSettings.minGoodResponses;
    return Decision{ .phase = proved ? proto::SHIFTED : proto::ROLLED_BACK,
                     .reason = proved ? "proved" : "untried",
                     .summary = Summarize(all) };
  }
  if (aMove.phase() == proto::SHIFTED && aElapsed >= due - mSettings.completeBeforeDue) {
    return Decision{ .phase = proto::COMPLETED, .reason = "proved", .summary = Summarize(all) };
  }
  return std::nullopt;
}

} // namespace cuminfield::process::cluster
