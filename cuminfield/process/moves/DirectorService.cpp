#include "cuminfield/process/moves/DirectorService.h"

#include "cuminfield/process/logging/EventLog.h"
#include "cuminfield/process/state/state.pb.h"
#include "cuminfield/version/moves/MoveMessages.h"

#include <utility>

namespace cuminfield::process::moves {

namespace {

using version::moves::MovePhase;
using version::moves::MoveState;

constexpr const char* kRole = "director";
constexpr double kPerMille = 1000.0;
constexpr core::Duration kTellLimit = std::chrono::seconds(3);

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
std::uint64_t StepsOf(const state::proto::EnvironmentRecord& aRecord, const core::MoveId& aMove)
{
  for (const auto& it : aRecord.moves()) {
    if (it.move() == aMove.Text()) {
      return it.step();
    }
  }
  return 0;
}

} // namespace

DirectorService::DirectorService(Options aOptions)
  : mOptions(std::move(aOptions))
  , mAlive(std::make_shared<bool>(true))
{
}

void DirectorService::SetMoves(const std::map<MoveKey, StatedMove>& aMoves)
{
  mMoves = aMoves;
  std::erase_if(mDirected, [this](const auto& aItem) { return !mMoves.contains(aItem.first); });
  for (auto& [key, entry] : mDirected) {
    entry.stated = mMoves.at(key);
    if (entry.controller) {
      entry.controller->SetMove(entry.stated.settings);
    }
  }
}

void DirectorService::OnReport(const core::HostId& aFrom, const proto::MoveMessage& aMessage,
                               const version::moves::ObservationReport& aReport)
{
  const core::EnvironmentId environment(aMessage.environment());
  const core::DataCentreId dataCentre(aMessage.data_centre());
  mHosts[environment][aFrom] = dataCentre;
  for (auto& [key, entry] : mDirected) {
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

void DirectorService::OnVerdict(const core::EnvironmentId& aEnvironment,
                                const version::moves::MoveVerdict& aVerdict)
{
  const auto it = mDirected.find({ .environment = aEnvironment, .move = aVerdict.move });
  if (it != mDirected.end() && it->second.controller) {
    it->second.controller->OnVerdict(aVerdict);
  }
}

void DirectorService::EndRound()
{
  if (!Leads()) {
    mDirected.clear();
    return;
  }
  for (const auto& [key, documentMove] : mMoves) {
    if (!mDirected.contains(key)) {
      Directed& entry = mDirected[key];
      entry.stated = documentMove;
      Begin(entry);
    }
  }
  for (auto& [key, entry] : mDirected) {
    if (!entry.controller) {
      if (!entry.store->Busy()) {
        Begin(entry);
      }
      continue;
    }
    entry.controller->EndRound();
    Commit(entry);
    Tell(entry);
    SendShares(entry);
  }
}

bool DirectorService::Leads() const
{
  return mOptions.group.CurrentRole() == log::Role::Leader && mOptions.group.HoldsLease();
}

void DirectorService::Begin(Directed& aEntry)
{
  const MoveKey key = aEntry.stated.key;
  aEntry.store = std::make_unique<RegisterClient>(RegisterClient::Options{
    .name = key.RegisterName(kRole), .group = mOptions.group, .timers = mOptions.timers });
  aEntry.store->Read([this, key](bool aSucceeded) {
    if (aSucceeded) {
      OnRestored(key);
    }
  });
}

void DirectorService::OnRestored(const MoveKey& aKey)
{
  Directed& entry = mDirected.at(aKey);
  std::optional<MoveState> committed;
  if (!entry.store->Value().empty()) {
    const auto decoded = version::moves::DecodeMoveState(entry.store->Value());
    if (!decoded) {
      logging::Event(logging::Level::Error, "move-unreadable",
                     { { "move", aKey.move.Text() }, { "error", decoded.error().message } });
      return;
    }
    committed = decoded.value();
  }
  entry.controller = std::make_unique<version::moves::MoveController>(
    entry.stated.settings, entry.stated.routes, mOptions.timers,
    version::moves::MoveControllerSettings{}, committed);
}

void DirectorService::Commit(Directed& aEntry)
{
  const auto& proposed = aEntry.controller->Proposed();
  if (!proposed || aEntry.store->Busy()) {
    return;
  }
  if (!aEntry.store->Known()) {
    // Another coordinator may have written: continue from the committed state.
    aEntry.controller.reset();
    Begin(aEntry);
    return;
  }
  const MoveKey key = aEntry.stated.key;
  const core::FencingNumber fencing(mOptions.group.CurrentTerm().Value());
  aEntry.store->Write(version::moves::Encode(*proposed), fencing,
                      [this, key, state = *proposed](bool aSucceeded) {
                        const auto it = mDirected.find(key);
                        if (!aSucceeded || it == mDirected.end() || !it->second.controller) {
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

void DirectorService::Tell(Directed& aEntry)
{
  // The environment record, which operators read and which is distributed with the document,
  // follows the committed state.
  const MoveState& state = aEntry.controller->State();
  if (aEntry.telling || (aEntry.told && *aEntry.told == state)) {
    return;
  }
  aEntry.telling = true;
  const MoveKey key = aEntry.stated.key;
  state::proto::Query query;
  query.mutable_environment()->set_environment(key.environment.Text());
  mOptions.group.Query(
    query.SerializeAsString(), kTellLimit,
    [this, alive = mAlive, key, state](const core::Result<std::string>& aResult) {
      state::proto::QueryAnswer answer;
      if (!*alive || !mDirected.contains(key)) {
        return;
      }
      Directed& entry = mDirected.at(key);
      if (!aResult || !answer.ParseFromString(aResult.value()) || !answer.environment().found()) {
        entry.telling = false;
        return;
      }
      const auto& record = answer.environment().record();
      state::proto::Command command;
      command.set_now(mOptions.timers.WallNow().time_since_epoch().count());
      state::proto::MoveStep* step = command.mutable_move_step();
      step->set_environment(key.environment.Text());
      step->set_move(key.move.Text());
      step->set_revision(record.revision());
      step->set_base_step(StepsOf(record, key.move));
      step->set_state(ToProto(state.phase));
      step->set_share_per_mille(static_cast<std::uint32_t>(state.share * kPerMille));
      step->set_reason(state.reason);
      step->set_at(command.now());
      step->set_fencing(mOptions.group.CurrentTerm().Value());
      mOptions.group.Propose(
        command.SerializeAsString(), kTellLimit,
        [this, alive, key, state](const core::Result<std::string>& aProposeResult) {
          if (!*alive || !mDirected.contains(key)) {
            return;
          }
          Directed& updated = mDirected.at(key);
          updated.telling = false;
          state::proto::Answer proposeAnswer;
          if (aProposeResult && proposeAnswer.ParseFromString(aProposeResult.value())) {
            updated.told = state;
          }
        });
    });
}

void DirectorService::SendShares(const Directed& aEntry)
{
  const core::EnvironmentId& environment = aEntry.stated.key.environment;
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
