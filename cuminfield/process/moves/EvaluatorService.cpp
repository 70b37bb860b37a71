#include "cuminfield/process/moves/EvaluatorService.h"

#include "cuminfield/process/logging/EventLog.h"
#include "cuminfield/version/moves/MoveMessages.h"

#include <utility>

namespace cuminfield::process::moves {

namespace {
constexpr const char* kRegisterRole = "judge";
} // namespace

EvaluatorService::EvaluatorService(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void EvaluatorService::SetMoves(const std::map<MoveKey, DocumentMove>& aMoves)
{
  mDocumentMoves = aMoves;
  std::erase_if(mEvaluatedMoves,
                [this](const auto& aItem) { return !mDocumentMoves.contains(aItem.first); });
}

void EvaluatorService::OnReport(const core::HostId& aFrom, const proto::MoveMessage& aMessage,
                                const version::moves::ObservationReport& aReport)
{
  const core::EnvironmentId environment(aMessage.environment());
  if (aMessage.data_centre() == mOptions.dataCentre.Text()) {
    mHosts[environment].insert(aFrom);
  }
  for (auto& [key, entry] : mEvaluatedMoves) {
    if (key.environment == environment && entry.evaluator) {
      entry.evaluator->OnReport(aReport);
    }
  }
}

void EvaluatorService::OnShareUpdate(const core::EnvironmentId& aEnvironment,
                                     const version::moves::ShareUpdate& aUpdate)
{
  const auto it = mEvaluatedMoves.find({ .environment = aEnvironment, .move = aUpdate.move });
  if (it != mEvaluatedMoves.end() && it->second.evaluator) {
    it->second.evaluator->OnShareUpdate(aUpdate);
  }
}

void EvaluatorService::OnVerdict(const core::EnvironmentId& aEnvironment,
                                 const version::moves::MoveVerdict& aVerdict)
{
  const auto it = mEvaluatedMoves.find({ .environment = aEnvironment, .move = aVerdict.move });
  if (it != mEvaluatedMoves.end() && it->second.evaluator) {
    it->second.evaluator->OnVerdict(aVerdict);
  }
}

void EvaluatorService::EndRound()
{
  if (!IsLeader()) {
    mEvaluatedMoves.clear();
    return;
  }
  for (const auto& [key, documentMove] : mDocumentMoves) {
    if (!mEvaluatedMoves.contains(key)) {
      EvaluatedMove& entry = mEvaluatedMoves[key];
      entry.documentMove = documentMove;
      ReadRegister(entry);
    }
  }
  for (auto& [key, entry] : mEvaluatedMoves) {
    if (!entry.evaluator) {
      if (!entry.registerClient->IsBusy()) {
        ReadRegister(entry);
      }
      continue;
    }
    entry.evaluator->EndRound();
    CommitProposed(entry);
    SendVerdictAndShare(entry);
  }
}

bool EvaluatorService::IsLeader() const
{
  return mOptions.group.CurrentRole() == log::Role::Leader && mOptions.group.HoldsLease();
}

void EvaluatorService::ReadRegister(EvaluatedMove& aEntry)
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

void EvaluatorService::OnRegisterRead(const MoveKey& aKey)
{
  EvaluatedMove& entry = mEvaluatedMoves.at(aKey);
  std::optional<version::moves::EvaluatorState> committed;
  if (!entry.registerClient->Value().empty()) {
    const auto decoded = version::moves::DecodeEvaluatorState(entry.registerClient->Value());
    if (!decoded) {
      logging::Event(logging::Level::Error, "move-unreadable",
                     { { "move", aKey.move.Text() }, { "error", decoded.error().message } });
      return;
    }
    committed = decoded.value();
  }
  entry.evaluator = std::make_unique<version::moves::MoveEvaluator>(
    entry.documentMove.Subject(), mOptions.dataCentre, mOptions.timers,
    version::moves::MoveEvaluatorSettings{}, committed);
}

void EvaluatorService::CommitProposed(EvaluatedMove& aEntry)
{
  const auto proposed = aEntry.evaluator->Proposed();
  if (!proposed || aEntry.registerClient->IsBusy()) {
    return;
  }
  if (!aEntry.registerClient->IsCurrent()) {
    aEntry.evaluator.reset();
    ReadRegister(aEntry);
    return;
  }
  const MoveKey key = aEntry.documentMove.key;
  const core::FencingNumber fencing(mOptions.group.CurrentTerm().Value());
  aEntry.registerClient->Write(
    version::moves::Encode(*proposed), fencing, [this, key, state = *proposed](bool aSucceeded) {
      const auto it = mEvaluatedMoves.find(key);
      if (aSucceeded && it != mEvaluatedMoves.end() && it->second.evaluator) {
        it->second.evaluator->OnCommitted(state);
      }
    });
}

void EvaluatorService::SendVerdictAndShare(const EvaluatedMove& aEntry)
{
  const core::EnvironmentId& environment = aEntry.documentMove.key.environment;
  proto::MoveMessage message;
  message.set_environment(environment.Text());
  if (const auto verdict = aEntry.evaluator->Verdict()) {
    message.set_verdict(version::moves::Encode(*verdict));
    for (const core::HostId& it : mOptions.groupLeaders()) {
      mOptions.send(it, message);
    }
  }
  if (const auto share = aEntry.evaluator->ShareToRelay()) {
    message.set_share(version::moves::Encode(*share));
  }
  if (message.share().empty() && message.verdict().empty()) {
    return;
  }
  for (const core::HostId& it : mHosts[environment]) {
    mOptions.send(it, message);
  }
}

} // namespace cuminfield::process::moves
