#include "cuminfield/process/cluster/MoveDirector.h"

#include <cmath>

namespace cuminfield::process::cluster {

double MoveDirector::Counts::BadShare() const
{
  const std::uint64_t all = good + bad;
  return all == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(all);
}

double MoveDirector::Counts::MeanMs() const
{
  return good == 0 ? 0 : static_cast<double>(latencyMs) / static_cast<double>(good);
}

double MoveDirector::Counts::TokenMs() const
{
  return paces == 0 ? 0 : std::exp(paceLogs / static_cast<double>(paces));
}

const char* MoveDirector::FaultOnRoute(const RouteCounts& aCounts) const
{
  if (Fails(aCounts)) {
    return "failures";
  }
  return StartsLate(aCounts) ? "first-events" : nullptr;
}

std::string MoveDirector::Describe(const RouteCounts& aCounts)
{
  const auto side = [](const Counts& aSide) {
    return std::to_string(aSide.good) + "/" + std::to_string(aSide.bad) + " " +
           std::to_string(aSide.MeanMs()) + "ms " + std::to_string(aSide.paces) + "x" +
           std::to_string(aSide.TokenMs()) + "ms";
  };
  return side(aCounts.target) + " vs " + side(aCounts.former);
}

bool MoveDirector::Fails(const RouteCounts& aCounts) const
{
  return aCounts.target.bad >= mSettings.minBad &&
         aCounts.target.BadShare() > aCounts.former.BadShare() + mSettings.badShareAbove;
}

bool MoveDirector::StartsLate(const RouteCounts& aCounts) const
{
  const Counts& target = aCounts.target;
  const Counts& former = aCounts.former;
  const bool timed = target.good >= mSettings.minTimed && former.good >= mSettings.minTimed;
  const double marginMs = core::Milliseconds(mSettings.slowMargin);
  return timed && target.MeanMs() > former.MeanMs() * mSettings.slowFactor &&
         target.MeanMs() > former.MeanMs() + marginMs;
}

// A slow engine that few requests wait for answers its first event as soon as a fast one.
bool MoveDirector::IsPaceSlow(const RouteCounts& aCounts, proto::MovePhase aPhase) const
{
  const double factor = aPhase == proto::SHIFTED ? mSettings.slowPaceShifted : mSettings.slowPace;
  const bool paced =
    aCounts.target.paces >= mSettings.minPaces && aCounts.former.paces >= mSettings.minPaces;
  return paced && aCounts.target.TokenMs() > aCounts.former.TokenMs() * factor;
}

std::optional<MoveDirector::Decision> MoveDirector::Decide(
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
        side.latencyMs += it.latency_ms();
        side.paces += it.paces();
        side.paceLogs += it.pace_logs();
      }
    }
  }
  for (const auto& [route, counts] : routes) {
    if (const char* fault = FaultOnRoute(counts)) {
      return Decision{ .phase = proto::ROLLED_BACK,
                       .reason = fault,
                       .figures = route + " " + Describe(counts) };
    }
  }
  // Streams of all routes share their engines' steps, so their paces are judged together.
  if (IsPaceSlow(all, aMove.phase())) {
    return Decision{ .phase = proto::ROLLED_BACK, .reason = "pace", .figures = Describe(all) };
  }
  const core::Duration due = std::chrono::milliseconds(aMove.duration_ms());
  if (aMove.phase() == proto::CANARY && aElapsed >= due - mSettings.shiftBefore) {
    const bool proved = all.target.good >= mSettings.minGood;
    return Decision{ .phase = proved ? proto::SHIFTED : proto::ROLLED_BACK,
                     .reason = proved ? "proved" : "untried",
                     .figures = Describe(all) };
  }
  if (aMove.phase() == proto::SHIFTED && aElapsed >= due - mSettings.completeBefore) {
    return Decision{ .phase = proto::COMPLETED, .reason = "proved", .figures = Describe(all) };
  }
  return std::nullopt;
}

} // namespace cuminfield::process::cluster
