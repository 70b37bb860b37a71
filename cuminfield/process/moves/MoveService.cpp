#include "cuminfield/process/moves/MoveService.h"

#include "cuminfield/process/logging/EventLog.h"
#include "cuminfield/version/document/Document.h"
#include "cuminfield/version/moves/MoveMessages.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cuminfield::process::moves {

MoveService::MoveService(Options aOptions)
  : mOptions(aOptions)
{
  mOptions.links.OnMessage().connect(sigc::mem_fun(*this, &MoveService::OnMessage));
  CreateLeaderServices();
  mRoundTimer =
    mOptions.timers.ScheduleEvery(mOptions.settings.roundPeriod, [this] { RunRound(); });
}

void MoveService::CreateLeaderServices()
{
  const MoveMessageSender send =
    [this](const core::HostId& aTo, const proto::MoveMessage& aMessage) { Send(aTo, aMessage); };
  for (const auto& [id, entry] : mOptions.groups.AllGroups()) {
    if (!entry.voter) {
      continue;
    }
    if (id == host::Groups::kDocumentsGroup) {
      mCoordinator = std::make_unique<CoordinatorService>(CoordinatorService::Options{
        .timers = mOptions.timers, .group = *entry.voter, .send = send });
      continue;
    }
    mEvaluators[id] = std::make_unique<EvaluatorService>(
      EvaluatorService::Options{ .timers = mOptions.timers,
                                 .dataCentre = core::DataCentreId(id.Text()),
                                 .group = *entry.voter,
                                 .send = send,
                                 .groupLeaders = [this] { return GroupLeaders(); } });
  }
}

void MoveService::OnEnvironmentRecord(const state::proto::EnvironmentRecord& aRecord)
{
  const core::EnvironmentId environment(aRecord.environment());
  const auto knownRevision = mRevisions.find(environment);
  if (knownRevision != mRevisions.end() && knownRevision->second == aRecord.revision()) {
    return; // A step of a move; the document is unchanged.
  }
  const auto document = version::document::ParseDocument(aRecord.text(), aRecord.environment());
  if (!document) {
    return; // Hosts that use the document log this error.
  }
  mRevisions[environment] = aRecord.revision();
  std::erase_if(mDocumentMoves,
                [&](const auto& aItem) { return aItem.first.environment == environment; });
  for (const auto& it : document.value().moves) {
    DocumentMove documentMove{ .key = { .environment = environment, .move = it.id },
                               .settings = it,
                               .routes = {},
                               .revision = aRecord.revision() };
    for (const auto& route : document.value().routes) {
      if (route.service == it.service) {
        documentMove.routes.push_back(route.id);
      }
    }
    mDocumentMoves.emplace(documentMove.key, std::move(documentMove));
  }
  if (mCoordinator) {
    mCoordinator->SetMoves(mDocumentMoves);
  }
  for (const auto& [id, evaluator] : mEvaluators) {
    evaluator->SetMoves(mDocumentMoves);
  }
}

void MoveService::OnSample(const version::moves::RequestSample& aSample)
{
  for (const auto& [key, documentMove] : mDocumentMoves) {
    const bool isOwnEnvironment = key.environment == mOptions.host.environment;
    if (!isOwnEnvironment || documentMove.settings.service != aSample.service) {
      continue;
    }
    version::moves::HostCircuitBreaker& breaker = mCircuitBreakers[key.move];
    const bool wasTripped = breaker.IsTripped();
    if (aSample.version == documentMove.settings.from) {
      breaker.RecordOld(aSample.outcome);
    } else if (aSample.version == documentMove.settings.to) {
      breaker.RecordNew(aSample.outcome);
    }
    if (breaker.IsTripped() && !wasTripped) {
      logging::Event(logging::Level::Warning, "move-left", { { "move", key.move.Text() } });
      mOptions.shares.Trip(key.move);
      mOptions.observations.RecordTrip(key.move);
    }
  }
}

void MoveService::RunRound()
{
  if (mDocumentMoves.empty()) {
    return;
  }
  std::erase_if(mLocalDeliveries,
                [](const core::TimerHandle& aHandle) { return !aHandle.IsActive(); });
  SendReport();
  if (mCoordinator) {
    mCoordinator->EndRound();
  }
  for (const auto& [id, evaluator] : mEvaluators) {
    evaluator->EndRound();
  }
}

void MoveService::SendReport()
{
  proto::MoveMessage message;
  message.set_environment(mOptions.host.environment.Text());
  message.set_data_centre(mOptions.host.dataCentre.Text());
  message.set_report(version::moves::Encode(mOptions.observations.NextReport()));
  AddUpstreamCounts(message);
  for (const core::HostId& it : GroupLeaders()) {
    Send(it, message);
  }
}

void MoveService::AddUpstreamCounts(proto::MoveMessage& aMessage) const
{
  const auto upstreams = mOptions.directory.List();
  for (const auto& [key, documentMove] : mDocumentMoves) {
    if (key.environment != mOptions.host.environment) {
      continue;
    }
    proto::UpstreamCount* count = aMessage.add_counts();
    count->set_move(key.move.Text());
    for (const auto& it : upstreams) {
      const auto& announced = it.announcement;
      const bool isCounted = it.available && announced.dataCentre == mOptions.host.dataCentre &&
                             announced.service == documentMove.settings.service;
      if (isCounted && announced.version == documentMove.settings.from) {
        count->set_old_ready(count->old_ready() + 1);
      }
      if (isCounted && announced.version == documentMove.settings.to) {
        count->set_new_ready(count->new_ready() + 1);
      }
    }
  }
}

std::vector<core::HostId> MoveService::GroupLeaders() const
{
  std::set<core::HostId> leaders;
  for (const auto& [id, entry] : mOptions.groups.AllGroups()) {
    const core::HostId leader = entry.Group().Leader();
    if (!leader.IsEmpty()) {
      leaders.insert(leader);
    }
  }
  return { leaders.begin(), leaders.end() };
}

void MoveService::Send(const core::HostId& aTo, const proto::MoveMessage& aMessage)
{
  if (aTo == mOptions.host.id) {
    mLocalDeliveries.push_back(
      mOptions.timers.ScheduleAfter(core::Duration::zero(), [this, message = aMessage] {
        HandleMessage(mOptions.host.id, message);
      }));
    return;
  }
  mOptions.links.Send(aTo,
                      { .channel = peer::Channel::Moves, .payload = aMessage.SerializeAsString() });
}

void MoveService::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  proto::MoveMessage message;
  if (aMessage.channel == peer::Channel::Moves && message.ParseFromString(aMessage.payload)) {
    HandleMessage(aFrom, message);
  }
}

void MoveService::HandleMessage(const core::HostId& aFrom, const proto::MoveMessage& aMessage)
{
  const core::EnvironmentId environment(aMessage.environment());
  const bool isOwnEnvironment = environment == mOptions.host.environment;
  if (!aMessage.report().empty()) {
    if (const auto report = version::moves::DecodeReport(aMessage.report())) {
      if (mCoordinator) {
        mCoordinator->OnReport(aFrom, aMessage, report.value());
      }
      for (const auto& [id, evaluator] : mEvaluators) {
        evaluator->OnReport(aFrom, aMessage, report.value());
      }
    }
  }
  if (!aMessage.share().empty()) {
    if (const auto share = version::moves::DecodeShareUpdate(aMessage.share())) {
      if (isOwnEnvironment) {
        mOptions.shares.OnShareUpdate(share.value());
      }
      for (const auto& [id, evaluator] : mEvaluators) {
        evaluator->OnShareUpdate(environment, share.value());
      }
    }
  }
  if (!aMessage.verdict().empty()) {
    if (const auto verdict = version::moves::DecodeVerdict(aMessage.verdict())) {
      if (isOwnEnvironment) {
        mOptions.shares.OnVerdict(verdict.value());
      }
      if (mCoordinator) {
        mCoordinator->OnVerdict(environment, verdict.value());
      }
      for (const auto& [id, evaluator] : mEvaluators) {
        evaluator->OnVerdict(environment, verdict.value());
      }
    }
  }
}

} // namespace cuminfield::process::moves
