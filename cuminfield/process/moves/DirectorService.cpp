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

/// The number of steps that the documents' record of the move has.
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
  for (auto& [key, directed] : mDirected) {
    directed.stated = mMoves.at(key);
    if (directed.controller) {
      directed.controller->SetMove(directed.stated.settings);
    }
  }
}

void DirectorService::OnReport(const core::HostId& aFrom, const proto::MoveMessage& aMessage,
                               const version::moves::ObservationReport& aReport)
{
  const core::EnvironmentId environment(aMessage.environment());
  const core::DataCentreId dataCentre(aMessage.data_centre());
  mHosts[environment][aFrom] = dataCentre;
  for (auto& [key, directed] : mDirected) {
    if (key.environment != environment || !directed.controller) {
      continue;
    }
    directed.controller->OnReport(aReport);
    for (const proto::UpstreamCount& it : aMessage.counts()) {
      if (it.move() == key.move.Text()) {
        directed.controller->OnUpstreamCounts(
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
  for (const auto& [key, stated] : mMoves) {
    if (!mDirected.contains(key)) {
      Directed& directed = mDirected[key];
      directed.stated = stated;
      Begin(directed);
    }
  }
  for (auto& [key, directed] : mDirected) {
    if (!directed.controller) {
      if (!directed.store->Busy()) {
        Begin(directed);
      }
      continue;
    }
    directed.controller->EndRound();
    Commit(directed);
    Tell(directed);
    SendShares(directed);
  }
}

bool DirectorService::Leads() const
{
  return mOptions.group.CurrentRole() == log::Role::Leader && mOptions.group.HoldsLease();
}

void DirectorService::Begin(Directed& aDirected)
{
  const MoveKey key = aDirected.stated.key;
  aDirected.store = std::make_unique<RegisterClient>(RegisterClient::Options{
    .name = key.RegisterName(kRole), .group = mOptions.group, .timers = mOptions.timers });
  aDirected.store->Read([this, key](bool aDone) {
    if (aDone) {
      OnRestored(key);
    }
  });
}

void DirectorService::OnRestored(const MoveKey& aKey)
{
  Directed& directed = mDirected.at(aKey);
  std::optional<MoveState> committed;
  if (!directed.store->Value().empty()) {
    const auto decoded = version::moves::DecodeMoveState(directed.store->Value());
    if (!decoded) {
      logging::Event(logging::Level::Error, "move-unreadable",
                     { { "move", aKey.move.Text() }, { "error", decoded.error().message } });
      return;
    }
    committed = decoded.value();
  }
  directed.controller = std::make_unique<version::moves::MoveController>(
    directed.stated.settings, directed.stated.routes, mOptions.timers,
    version::moves::MoveControllerSettings{}, committed);
}

void DirectorService::Commit(Directed& aDirected)
{
  const auto& proposed = aDirected.controller->Proposed();
  if (!proposed || aDirected.store->Busy()) {
    return;
  }
  if (!aDirected.store->Known()) {
    // Another director may have written: go on from what is committed.
    aDirected.controller.reset();
    Begin(aDirected);
    return;
  }
  const MoveKey key = aDirected.stated.key;
  const core::FencingNumber fencing(mOptions.group.CurrentTerm().Value());
  aDirected.store->Write(version::moves::Encode(*proposed), fencing,
                         [this, key, state = *proposed](bool aDone) {
                           const auto it = mDirected.find(key);
                           if (!aDone || it == mDirected.end() || !it->second.controller) {
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

void DirectorService::Tell(Directed& aDirected)
{
  // The record that operators read, and that goes out with the document, follows what is committed.
  const MoveState& state = aDirected.controller->State();
  if (aDirected.telling || (aDirected.told && *aDirected.told == state)) {
    return;
  }
  aDirected.telling = true;
  const MoveKey key = aDirected.stated.key;
  state::proto::Query query;
  query.mutable_environment()->set_environment(key.environment.Text());
  mOptions.group.Query(
    query.SerializeAsString(), kTellLimit,
    [this, alive = mAlive, key, state](const core::Result<std::string>& aResult) {
      state::proto::QueryAnswer answer;
      if (!*alive || !mDirected.contains(key)) {
        return;
      }
      Directed& directed = mDirected.at(key);
      if (!aResult || !answer.ParseFromString(aResult.value()) || !answer.environment().found()) {
        directed.telling = false;
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
      mOptions.group.Propose(command.SerializeAsString(), kTellLimit,
                             [this, alive, key, state](const core::Result<std::string>& aTold) {
                               if (!*alive || !mDirected.contains(key)) {
                                 return;
                               }
                               Directed& after = mDirected.at(key);
                               after.telling = false;
                               state::proto::Answer told;
                               if (aTold && told.ParseFromString(aTold.value())) {
                                 after.told = state;
                               }
                             });
    });
}

void DirectorService::SendShares(const Directed& aDirected)
{
  const core::EnvironmentId& environment = aDirected.stated.key.environment;
  const auto hosts = mHosts.find(environment);
  const auto verdict = aDirected.controller->Verdict();
  std::map<core::DataCentreId, std::string> shares;
  for (const version::moves::ShareUpdate& it : aDirected.controller->Shares()) {
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
