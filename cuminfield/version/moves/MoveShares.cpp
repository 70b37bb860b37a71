#include "cuminfield/version/moves/MoveShares.h"

#include "cuminfield/core/Invariant.h"

#include <algorithm>

namespace cuminfield::version::moves {

MoveShares::MoveShares(core::DataCentreId aDataCentre, core::TimerService& aTimers,
                       const MoveSharesSettings& aSettings)
  : mDataCentre(std::move(aDataCentre))
  , mTimers(aTimers)
  , mSettings(aSettings)
{
}

void MoveShares::SetDocument(const document::Document& aDocument)
{
  mVersions.clear();
  for (const document::ServiceSettings& it : aDocument.services) {
    mVersions[it.id] = it.version;
  }
  std::map<core::ServiceId, std::vector<Move>> previousMoves = std::move(mMoves);
  std::set<core::MoveId> movesInDocument;
  mMoves.clear();
  for (const document::MoveSettings& settings : aDocument.moves) {
    movesInDocument.insert(settings.id);
    Move move;
    for (const Move& previous : previousMoves[settings.service]) {
      // Shares do not carry over to other versions under the same move name; a rollback does.
      if (previous.settings.id == settings.id && previous.settings.to == settings.to) {
        move = previous;
      }
    }
    move.settings = settings;
    mMoves[settings.service].push_back(std::move(move));
  }
  std::erase_if(mRolledBack,
                [&](const core::MoveId& aMove) { return !movesInDocument.contains(aMove); });
  std::erase_if(mTripped,
                [&](const core::MoveId& aMove) { return !movesInDocument.contains(aMove); });
}

void MoveShares::OnShareUpdate(const ShareUpdate& aUpdate)
{
  if (aUpdate.dataCentre != mDataCentre) {
    return;
  }
  for (Move& move : mMoves[aUpdate.service]) {
    if (move.settings.id != aUpdate.move || move.settings.to != aUpdate.to) {
      continue;
    }
    if (move.hasUpdate && aUpdate.revision < move.update.revision) {
      return;
    }
    move.update = aUpdate;
    move.hasUpdate = true;
    move.lastReceivedAt = mTimers.Now();
    if (IsRollBack(aUpdate.phase)) {
      mRolledBack.insert(aUpdate.move);
    }
    if (aUpdate.phase == MovePhase::Done) {
      mTripped.erase(
        aUpdate.move); // The old version is being unloaded, so this host cannot stay with it.
    }
  }
}

void MoveShares::OnVerdict(const MoveVerdict& aVerdict)
{
  if (aVerdict.bad) {
    mRolledBack.insert(aVerdict.move);
  }
}

void MoveShares::Trip(const core::MoveId& aMove)
{
  for (const auto& [service, moves] : mMoves) {
    for (const Move& it : moves) {
      if (it.settings.id == aMove && it.update.phase == MovePhase::Done) {
        return; // There is no old version to return to.
      }
    }
  }
  mTripped.insert(aMove);
}

core::VersionId MoveShares::Choose(const core::ServiceId& aService, const core::RouteId& /*aRoute*/,
                                   double aPoint) const
{
  const auto version = mVersions.find(aService);
  core::VersionId inForce = version == mVersions.end() ? core::VersionId() : version->second;
  const auto moves = mMoves.find(aService);
  if (moves == mMoves.end()) {
    return inForce;
  }
  for (const Move& move : moves->second) {
    if (aPoint >= ShareOf(move) || !SpendAllowance(move)) {
      continue;
    }
    CUMINFIELD_INVARIANT("moves.no-traffic-after-verdict",
                         !mRolledBack.contains(move.settings.id) && !IsRollBack(move.update.phase));
    return move.settings.to;
  }
  return inForce;
}

double MoveShares::ShareOf(const core::MoveId& aMove) const
{
  for (const auto& [service, moves] : mMoves) {
    for (const Move& it : moves) {
      if (it.settings.id == aMove) {
        return ShareOf(it);
      }
    }
  }
  return 0.0;
}

bool MoveShares::IsStopped(const core::MoveId& aMove) const
{
  return mRolledBack.contains(aMove) || mTripped.contains(aMove);
}

double MoveShares::ShareOf(const Move& aMove) const
{
  if (!aMove.hasUpdate || IsStopped(aMove.settings.id)) {
    return 0.0;
  }
  const ShareUpdate& update = aMove.update;
  if (update.phase == MovePhase::Done) {
    return 1.0;
  }
  if (aMove.settings.rollBack || mTimers.Now() - aMove.lastReceivedAt > mSettings.maxUpdateAge) {
    return 0.0;
  }
  if (update.phase == MovePhase::Canary) {
    return std::min(update.share, mSettings.maxCanaryShare);
  }
  return update.phase == MovePhase::Advancing ? update.share : 0.0;
}

bool MoveShares::SpendAllowance(const Move& aMove) const
{
  const double rate = aMove.update.maxRequestsPerSecond;
  if (rate <= 0.0) {
    return true;
  }
  const core::Instant now = mTimers.Now();
  const double seconds = core::Seconds(now - aMove.refilledAt);
  aMove.allowance = std::min(mSettings.canaryBurst, aMove.allowance + rate * seconds);
  aMove.refilledAt = now;
  if (aMove.allowance < 1.0) {
    return false;
  }
  aMove.allowance -= 1.0;
  return true;
}

} // namespace cuminfield::version::moves
