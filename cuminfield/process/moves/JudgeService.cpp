#include "cuminfield/process/moves/JudgeService.h"

#include "cuminfield/process/logging/EventLog.h"
#include "cuminfield/version/moves/MoveMessages.h"

#include <utility>

namespace cuminfield::process::moves {

namespace {
constexpr const char* kRole = "judge";
} // namespace

JudgeService::JudgeService(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void JudgeService::SetMoves(const std::map<MoveKey, StatedMove>& aMoves)
{
  mMoves = aMoves;
  std::erase_if(mJudged, [this](const auto& aItem) { return !mMoves.contains(aItem.first); });
}

void JudgeService::OnReport(const core::HostId& aFrom, const proto::MoveMessage& aMessage,
                            const version::moves::ObservationReport& aReport)
{
  const core::EnvironmentId environment(aMessage.environment());
  if (aMessage.data_centre() == mOptions.dataCentre.Text()) {
    mHosts[environment].insert(aFrom);
  }
  for (auto& [key, entry] : mJudged) {
    if (key.environment == environment && entry.judge) {
      entry.judge->OnReport(aReport);
    }
  }
}

void JudgeService::OnShares(const core::EnvironmentId& aEnvironment,
                            const version::moves::ShareUpdate& aUpdate)
{
  const auto it = mJudged.find({ .environment = aEnvironment, .move = aUpdate.move });
  if (it != mJudged.end() && it->second.judge) {
    it->second.judge->OnShareUpdate(aUpdate);
  }
}

void JudgeService::OnVerdict(const core::EnvironmentId& aEnvironment,
                             const version::moves::MoveVerdict& aVerdict)
{
  const auto it = mJudged.find({ .environment = aEnvironment, .move = aVerdict.move });
  if (it != mJudged.end() && it->second.judge) {
    it->second.judge->OnVerdict(aVerdict);
  }
}

void JudgeService::EndRound()
{
  if (!Leads()) {
    mJudged.clear();
    return;
  }
  for (const auto& [key, documentMove] : mMoves) {
    if (!mJudged.contains(key)) {
      Judged& entry = mJudged[key];
      entry.stated = documentMove;
      Begin(entry);
    }
  }
  for (auto& [key, entry] : mJudged) {
    if (!entry.judge) {
      if (!entry.store->Busy()) {
        Begin(entry);
      }
      continue;
    }
    entry.judge->EndRound();
    Commit(entry);
    Send(entry);
  }
}

bool JudgeService::Leads() const
{
  return mOptions.group.CurrentRole() == log::Role::Leader && mOptions.group.HoldsLease();
}

void JudgeService::Begin(Judged& aEntry)
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

void JudgeService::OnRestored(const MoveKey& aKey)
{
  Judged& entry = mJudged.at(aKey);
  std::optional<version::moves::EvaluatorState> committed;
  if (!entry.store->Value().empty()) {
    const auto decoded = version::moves::DecodeEvaluatorState(entry.store->Value());
    if (!decoded) {
      logging::Event(logging::Level::Error, "move-unreadable",
                     { { "move", aKey.move.Text() }, { "error", decoded.error().message } });
      return;
    }
    committed = decoded.value();
  }
  entry.judge = std::make_unique<version::moves::MoveEvaluator>(
    entry.stated.Subject(), mOptions.dataCentre, mOptions.timers,
    version::moves::MoveEvaluatorSettings{}, committed);
}

void JudgeService::Commit(Judged& aEntry)
{
  const auto proposed = aEntry.judge->Proposed();
  if (!proposed || aEntry.store->Busy()) {
    return;
  }
  if (!aEntry.store->Known()) {
    aEntry.judge.reset();
    Begin(aEntry);
    return;
  }
  const MoveKey key = aEntry.stated.key;
  const core::FencingNumber fencing(mOptions.group.CurrentTerm().Value());
  aEntry.store->Write(version::moves::Encode(*proposed), fencing,
                      [this, key, state = *proposed](bool aSucceeded) {
                        const auto it = mJudged.find(key);
                        if (aSucceeded && it != mJudged.end() && it->second.judge) {
                          it->second.judge->OnCommitted(state);
                        }
                      });
}

void JudgeService::Send(const Judged& aEntry)
{
  const core::EnvironmentId& environment = aEntry.stated.key.environment;
  proto::MoveMessage message;
  message.set_environment(environment.Text());
  if (const auto verdict = aEntry.judge->Verdict()) {
    message.set_verdict(version::moves::Encode(*verdict));
    for (const core::HostId& it : mOptions.deciders()) {
      mOptions.send(it, message);
    }
  }
  if (const auto share = aEntry.judge->ShareToRelay()) {
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
