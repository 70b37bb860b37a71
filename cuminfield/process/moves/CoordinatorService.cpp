#include "cuminfield/process/moves/CoordinatorService.h"

#include "cuminfield/process/logging/EventLog.h"
#include "cuminfield/process/state/state.pb.h"
#include "cuminfield/version/moves/MoveMessages.h"

#include <utility>

namespace cuminfield::process::moves {

namespace {

using version::moves::MovePhase;
using version::moves::MoveState;

constexpr const char* kRegisterRole = "director";
constexpr double kPerMille = 1000.0;
constexpr core::Duration kRecordTimeout = std::chrono::seconds(3);

state::proto::MoveState ToProto(MovePhase aPhase)
{
  switch (aPhase) {
    case MovePhase::Waiting:
      return state::proto::MOVE_STATE_WAITING;
    case MovePhase::Loading:
      return state::proto::MOVE_STATE_LOADING;
    case MovePhase::Canary:
      return state::proto::MOVE_STATE_CANARY;
    case MovePhase::Advancing:
      return state::proto::MOVE_STATE_ADVANCING;
    case MovePhase::Done:
      return state::proto::MOVE_STATE_DONE;
    case MovePhase::RollingBack:
      return state::proto::MOVE_STATE_UNDOING;
    case MovePhase::RolledBack:
      return state::proto::MOVE_STATE_UNDONE;
  }
  return state::proto::MOVE_STATE_UNSPECIFIED;
}

/// Number of steps in the environment record of the move.
std::uint64_t RecordedSteps(const state::proto::EnvironmentRecord& aRecord,
                            const core::MoveId& aMove)
{
  for (const auto& it : aRecord.moves()) {
    if (it.move() == aMove.Text()) {
      return it.step();
    }
  }
  return 0;
}

} // namespace

CoordinatorService::CoordinatorService(Options aOptions)
  : mOptions(std::move(aOptions))
  , mAlive(std::make_shared<bool>(true))
{
}

void CoordinatorService::SetMoves(const std::map<MoveKey, DocumentMove>& aMoves)
{
  mDocumentMoves = aMoves;
  std::erase_if(mCoordinatedMoves,
                [this](const auto& aItem) { return !mDocumentMoves.contains(aItem.first); });
  for (auto& [key, entry] : mCoordinatedMoves) {
    entry.documentMove = mDocumentMoves.at(key);
    if (entry.controller) {
      entry.controller->SetMove(entry.documentMove.settings);
    }
  }
}

void CoordinatorService::OnReport(const core::HostId& aFrom, const proto::MoveMessage& aMessage,
                                  const version::moves::ObservationReport& aReport)
{
  const core::EnvironmentId environment(aMessage.environment());
  const core::DataCentreId dataCentre(aMessage.data_centre());
  mHosts[environment][aFrom] = dataCentre;
  for (auto& [key, entry] : mCoordinatedMoves) {
    if (key.environment != environment || !entry.controller) {
      continue;
    }
    entry.controller->OnReport(aReport);
    for (const proto::UpstreamCount& it : aMessage.counts()) {
      if (it.move() == key.move.Text()) {
        entry.controller->OnUpstreamCounts(
          { .dataCentre = dataCentre, .oldReady = it.old_ready(), .newReady = it.new_ready() });
      }
    }
  }
}

void CoordinatorService::OnVerdict(const core::EnvironmentId& aEnvironment,
                                   const version::moves::MoveVerdict& aVerdict)
{
  const auto it = mCoordinatedMoves.find({ .environment = aEnvironment, .move = aVerdict.move });
  if (it != mCoordinatedMoves.end() && it->second.controller) {
    it->second.controller->OnVerdict(aVerdict);
  }
}

void CoordinatorService::EndRound()
{
  if (!IsLeader()) {
    mCoordinatedMoves.clear();
    return;
  }
  for (const auto& [key, documentMove] : mDocumentMoves) {
    if (!mCoordinatedMoves.contains(key)) {
      CoordinatedMove& entry = mCoordinatedMoves[key];
      entry.documentMove = documentMove;
      ReadRegister(entry);
    }
  }
  for (auto& [key, entry] : mCoordinatedMoves) {
    if (!entry.controller) {
      if (!entry.registerClient->IsBusy()) {
        ReadRegister(entry);
      }
      continue;
    }
    entry.controller->EndRound();
    CommitProposed(entry);
    UpdateRecord(entry);
    SendShares(entry);
  }
}

bool CoordinatorService::IsLeader() const
{
  return mOptions.group.CurrentRole() == log::Role::Leader && mOptions.group.HoldsLease();
}

void CoordinatorService::ReadRegister(CoordinatedMove& aEntry)
{
  const MoveKey key = aEntry.documentMove.key;
  aEntry.registerClient = std::make_unique<RegisterClient>(RegisterClient::Options{
    .name = key.RegisterName(kRegisterRole), .group = mOptions.group, .timers = mOptions.timers });
  aEntry.registerClient->Read([this, key](bool aSucceeded) {
    if (aSucceeded) {
      OnRegisterRead(key);
    }
  });
}

void CoordinatorService::OnRegisterRead(const MoveKey& aKey)
{
  CoordinatedMove& entry = mCoordinatedMoves.at(aKey);
  std::optional<MoveState> committed;
  if (!entry.registerClient->Value().empty()) {
    const auto decoded = version::moves::DecodeMoveState(entry.registerClient->Value());
    if (!decoded) {
      logging::Event(logging::Level::Error, "move-unreadable",
                     { { "move", aKey.move.Text() }, { "error", decoded.error().message } });
      return;
    }
    committed = decoded.value();
  }
  entry.controller = std::make_unique<version::moves::MoveController>(
    entry.documentMove.settings, entry.documentMove.routes, mOptions.timers,
    version::moves::MoveControllerSettings{}, committed);
}

void CoordinatorService::CommitProposed(CoordinatedMove& aEntry)
{
  const auto& proposed = aEntry.controller->Proposed();
  if (!proposed || aEntry.registerClient->IsBusy()) {
    return;
  }
  if (!aEntry.registerClient->IsCurrent()) {
    // Another coordinator may have written: continue from the committed state.
    aEntry.controller.reset();
    ReadRegister(aEntry);
    return;
  }
  const MoveKey key = aEntry.documentMove.key;
  const core::FencingNumber fencing(mOptions.group.CurrentTerm().Value());
  aEntry.registerClient->Write(
    version::moves::Encode(*proposed), fencing, [this, key, state = *proposed](bool aSucceeded) {
      const auto it = mCoordinatedMoves.find(key);
      if (!aSucceeded || it == mCoordinatedMoves.end() || !it->second.controller) {
        return;
      }
      it->second.controller->OnCommitted(state);
      logging::Event(logging::Level::Info, "move-step",
                     { { "move", key.move.Text() },
                       { "phase", version::moves::ToString(state.phase) },
                       { "share", std::to_string(state.share) },
                       { "reason", state.reason } });
    });
}

void CoordinatorService::UpdateRecord(CoordinatedMove& aEntry)
{
  // The environment record, which operators read and which is distributed with the document,
  // follows the committed state.
  const MoveState& state = aEntry.controller->State();
  if (aEntry.recordPending || (aEntry.recordedState && *aEntry.recordedState == state)) {
    return;
  }
  aEntry.recordPending = true;
  const MoveKey key = aEntry.documentMove.key;
  state::proto::Query query;
  query.mutable_environment()->set_environment(key.environment.Text());
  mOptions.group.Query(
    query.SerializeAsString(), kRecordTimeout,
    [this, alive = mAlive, key, state](const core::Result<std::string>& aResult) {
      state::proto::QueryAnswer answer;
      if (!*alive || !mCoordinatedMoves.contains(key)) {
        return;
      }
      CoordinatedMove& entry = mCoordinatedMoves.at(key);
      if (!aResult || !answer.ParseFromString(aResult.value()) || !answer.environment().found()) {
        entry.recordPending = false;
        return;
      }
      const auto& record = answer.environment().record();
      state::proto::Command command;
      command.set_now(mOptions.timers.WallNow().time_since_epoch().count());
      state::proto::MoveStep* step = command.mutable_move_step();
      step->set_environment(key.environment.Text());
      step->set_move(key.move.Text());
      step->set_revision(record.revision());
      step->set_base_step(RecordedSteps(record, key.move));
      step->set_state(ToProto(state.phase));
      step->set_share_per_mille(static_cast<std::uint32_t>(state.share * kPerMille));
      step->set_reason(state.reason);
      step->set_at(command.now());
      step->set_fencing(mOptions.group.CurrentTerm().Value());
      mOptions.group.Propose(
        command.SerializeAsString(), kRecordTimeout,
        [this, alive, key, state](const core::Result<std::string>& aProposeResult) {
          if (!*alive || !mCoordinatedMoves.contains(key)) {
            return;
          }
          CoordinatedMove& updated = mCoordinatedMoves.at(key);
          updated.recordPending = false;
          state::proto::Answer proposeAnswer;
          if (aProposeResult && proposeAnswer.ParseFromString(aProposeResult.value())) {
            updated.recordedState = state;
          }
        });
    });
}

void CoordinatorService::SendShares(const CoordinatedMove& aEntry)
{
  const core::EnvironmentId& environment = aEntry.documentMove.key.environment;
  const auto hosts = mHosts.find(environment);
  const auto verdict = aEntry.controller->Verdict();
  std::map<core::DataCentreId, std::string> shares;
  for (const version::moves::ShareUpdate& it : aEntry.controller->Shares()) {
    shares[it.dataCentre] = version::moves::Encode(it);
  }
  proto::MoveMessage message;
  message.set_environment(environment.Text());
  if (verdict) {
    message.set_verdict(version::moves::Encode(*verdict));
  }
  if (hosts == mHosts.end()) {
    return;
  }
  for (const auto& [host, dataCentre] : hosts->second) {
    const auto share = shares.find(dataCentre);
    message.set_share(share == shares.end() ? std::string() : share->second);
    mOptions.send(host, message);
  }
}

} // namespace cuminfield::process::moves
