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
  for (auto& [key, judged] : mJudged) {
    if (key.environment == environment && judged.judge) {
      judged.judge->OnReport(aReport);
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
  for (const auto& [key, stated] : mMoves) {
    if (!mJudged.contains(key)) {
      Judged& judged = mJudged[key];
      judged.stated = stated;
      Begin(judged);
    }
  }
  for (auto& [key, judged] : mJudged) {
    if (!judged.judge) {
      if (!judged.store->Busy()) {
        Begin(judged);
      }
      continue;
    }
    judged.judge->EndRound();
    Commit(judged);
    Send(judged);
  }
}

bool JudgeService::Leads() const
{
  return mOptions.group.CurrentRole() == log::Role::Leader && mOptions.group.HoldsLease();
}

void JudgeService::Begin(Judged& aJudged)
{
  const MoveKey key = aJudged.stated.key;
  aJudged.store = std::make_unique<RegisterClient>(RegisterClient::Options{
    .name = key.RegisterName(kRole), .group = mOptions.group, .timers = mOptions.timers });
  aJudged.store->Read([this, key](bool aDone) {
    if (aDone) {
      OnRestored(key);
    }
  });
}

void JudgeService::OnRestored(const MoveKey& aKey)
{
  Judged& judged = mJudged.at(aKey);
  std::optional<version::moves::EvaluatorState> committed;
  if (!judged.store->Value().empty()) {
    const auto decoded = version::moves::DecodeEvaluatorState(judged.store->Value());
    if (!decoded) {
      logging::Event(logging::Level::Error, "move-unreadable",
                     { { "move", aKey.move.Text() }, { "error", decoded.error().message } });
      return;
    }
    committed = decoded.value();
  }
  judged.judge = std::make_unique<version::moves::MoveEvaluator>(
    judged.stated.Subject(), mOptions.dataCentre, mOptions.timers,
    version::moves::MoveEvaluatorSettings{}, committed);
}

void JudgeService::Commit(Judged& aJudged)
{
  const auto proposed = aJudged.judge->Proposed();
  if (!proposed || aJudged.store->Busy()) {
    return;
  }
  if (!aJudged.store->Known()) {
    aJudged.judge.reset();
    Begin(aJudged);
    return;
  }
  const MoveKey key = aJudged.stated.key;
  const core::FencingNumber fencing(mOptions.group.CurrentTerm().Value());
  aJudged.store->Write(version::moves::Encode(*proposed), fencing,
                       [this, key, state = *proposed](bool aDone) {
                         const auto it = mJudged.find(key);
                         if (aDone && it != mJudged.end() && it->second.judge) {
                           it->second.judge->OnCommitted(state);
                         }
                       });
}

void JudgeService::Send(const Judged& aJudged)
{
  const core::EnvironmentId& environment = aJudged.stated.key.environment;
  proto::MoveMessage message;
  message.set_environment(environment.Text());
  if (const auto verdict = aJudged.judge->Verdict()) {
    message.set_verdict(version::moves::Encode(*verdict));
    for (const core::HostId& it : mOptions.deciders()) {
      mOptions.send(it, message);
    }
  }
  if (const auto share = aJudged.judge->ShareToRelay()) {
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
