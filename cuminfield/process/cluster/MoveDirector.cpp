#include "cuminfield/process/cluster/MoveDirector.h"

#include <algorithm>

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

bool MoveDirector::IsBad(const RouteCounts& aCounts) const
{
  const Counts& target = aCounts.target;
  const Counts& former = aCounts.former;
  const bool fails = target.bad >= mSettings.minBad &&
                     target.BadShare() > former.BadShare() + mSettings.badShareAbove;
  const bool timed = target.good >= mSettings.minTimed && former.good >= mSettings.minTimed;
  const double marginMs = core::Milliseconds(mSettings.slowMargin);
  const bool slow = timed && target.MeanMs() > former.MeanMs() * mSettings.slowFactor &&
                    target.MeanMs() > former.MeanMs() + marginMs;
  return fails || slow;
}

std::optional<proto::MovePhase> MoveDirector::Decide(
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
      }
    }
  }
  const bool bad = std::any_of(routes.begin(), routes.end(),
                               [this](const auto& aRoute) { return IsBad(aRoute.second); });
  if (bad) {
    return proto::ROLLED_BACK;
  }
  const core::Duration due = std::chrono::milliseconds(aMove.duration_ms());
  if (aMove.phase() == proto::CANARY && aElapsed >= due - mSettings.shiftBefore) {
    return all.target.good >= mSettings.minGood ? proto::SHIFTED : proto::ROLLED_BACK;
  }
  if (aMove.phase() == proto::SHIFTED && aElapsed >= due - mSettings.completeBefore) {
    return proto::COMPLETED;
  }
  return std::nullopt;
}

} // namespace cuminfield::process::cluster
