#include "cuminfield/process/cluster/VersionShares.h"

#include "cuminfield/process/cluster/MovePhase.h"

#include <cmath>

namespace cuminfield::process::cluster {

void VersionShares::ApplyFeed(const proto::Feed& aFeed)
{
  if (aFeed.state_applied() == 0) {
    return;
  }
  mMoves.clear();
  mVersions.clear();
  for (const proto::Move& it : aFeed.moves()) {
    mMoves[core::ServiceId(it.service())] = it;
  }
  for (const proto::ServiceVersion& it : aFeed.versions()) {
    mVersions[core::ServiceId(it.service())] = core::VersionId(it.version());
  }
  std::erase_if(mEvidence, [&](const auto& aItem) {
    for (const auto& [service, move] : mMoves) {
      if (move.number() == aItem.first.move && IsRunning(move)) {
        return false;
      }
    }
    return true;
  });
}

core::VersionId VersionShares::Choose(const core::ServiceId& aService, const core::RouteId&,
                                      double aPoint) const
{
  const auto version = mVersions.find(aService);
  core::VersionId inForce = version == mVersions.end() ? core::VersionId() : version->second;
  const auto move = mMoves.find(aService);
  if (move == mMoves.end()) {
    return inForce;
  }
  switch (move->second.phase()) {
    case proto::CANARY:
      return aPoint < mSettings.canaryShare ? core::VersionId(move->second.target()) : inForce;
    case proto::SHIFTED:
      return core::VersionId(move->second.target());
    default:
      return inForce;
  }
}

proto::Evidence* VersionShares::FindOrCreateEvidence(const core::ServiceId& aService,
                                                     const core::RouteId& aRoute,
                                                     const core::VersionId& aVersion)
{
  const auto move = mMoves.find(aService);
  if (move == mMoves.end() || !IsRunning(move->second)) {
    return nullptr;
  }
  const bool isTarget = aVersion.Text() == move->second.target();
  const EvidenceKey key{ .move = move->second.number(),
                         .route = aRoute.Text(),
                         .target = isTarget };
  proto::Evidence& evidence = mEvidence[key];
  evidence.set_move(key.move);
  evidence.set_route(key.route);
  evidence.set_target(isTarget);
  return &evidence;
}

void VersionShares::CountAttempt(const core::ServiceId& aService, const core::RouteId& aRoute,
                                 const core::VersionId& aVersion, bool aIsGood,
                                 core::Duration aFirstEventLatency)
{
  proto::Evidence* evidence = FindOrCreateEvidence(aService, aRoute, aVersion);
  if (!evidence) {
    return;
  }
  if (!aIsGood) {
    evidence->set_bad(evidence->bad() + 1);
    return;
  }
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(aFirstEventLatency).count();
  evidence->set_good(evidence->good() + 1);
  evidence->set_latency_ms(evidence->latency_ms() + static_cast<std::uint64_t>(ms));
}

void VersionShares::CountTokenInterval(const core::ServiceId& aService, const core::RouteId& aRoute,
                                       const core::VersionId& aVersion,
                                       const request::forward::TokenIntervalSample& aSample)
{
  proto::Evidence* evidence = FindOrCreateEvidence(aService, aRoute, aVersion);
  if (!evidence) {
    return;
  }
  // A long stream must not count as many: all its samples come from one engine.
  if (aSample.index >= mSettings.maxSamplesPerStream || aSample.tokenIntervalMs <= 0) {
    return;
  }
  evidence->set_paces(evidence->paces() + 1);
  evidence->set_pace_logs(evidence->pace_logs() + std::log(aSample.tokenIntervalMs));
}

void VersionShares::FillReport(proto::Report& aReport) const
{
  for (const auto& [key, evidence] : mEvidence) {
    *aReport.add_evidence() = evidence;
  }
}

} // namespace cuminfield::process::cluster
