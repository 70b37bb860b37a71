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
  MakeDeciders();
  mTimer = mOptions.timers.Every(mOptions.settings.round, [this] { Round(); });
}

void MoveService::MakeDeciders()
{
  const SendMove send = [this](const core::HostId& aTo, const proto::MoveMessage& aMessage) {
    Send(aTo, aMessage);
  };
  for (const auto& [id, entry] : mOptions.groups.All()) {
    if (!entry.voter) {
      continue;
    }
    if (id == host::Groups::kDocuments) {
      mDirector = std::make_unique<DirectorService>(
        DirectorService::Options{ .timers = mOptions.timers, .group = *entry.voter, .send = send });
      continue;
    }
    mJudges[id] = std::make_unique<JudgeService>(
      JudgeService::Options{ .timers = mOptions.timers,
                             .dataCentre = core::DataCentreId(id.Text()),
                             .group = *entry.voter,
                             .send = send,
                             .deciders = [this] { return Deciders(); } });
  }
}

void MoveService::OnRecord(const state::proto::EnvironmentRecord& aRecord)
{
  const core::EnvironmentId environment(aRecord.environment());
  const auto read = mRevisions.find(environment);
  if (read != mRevisions.end() && read->second == aRecord.revision()) {
    return; // A step of a move: the document says what it said.
  }
  const auto document = version::document::ParseDocument(aRecord.text(), aRecord.environment());
  if (!document) {
    return; // Told by whoever reads the document for its own use.
  }
  mRevisions[environment] = aRecord.revision();
  std::erase_if(mMoves, [&](const auto& aItem) { return aItem.first.environment == environment; });
  for (const auto& it : document.value().moves) {
    StatedMove stated{ .key = { .environment = environment, .move = it.id },
                       .settings = it,
                       .routes = {},
                       .revision = aRecord.revision() };
    for (const auto& route : document.value().routes) {
      if (route.service == it.service) {
        stated.routes.push_back(route.id);
      }
    }
    mMoves.emplace(stated.key, std::move(stated));
  }
  if (mDirector) {
    mDirector->SetMoves(mMoves);
  }
  for (const auto& [id, judge] : mJudges) {
    judge->SetMoves(mMoves);
  }
}

void MoveService::OnSample(const version::moves::RequestSample& aSample)
{
  for (const auto& [key, stated] : mMoves) {
    const bool own = key.environment == mOptions.host.environment;
    if (!own || stated.settings.service != aSample.service) {
      continue;
    }
    version::moves::HostCircuitBreaker& trip = mTrips[key.move];
    const bool before = trip.IsTripped();
    if (aSample.version == stated.settings.from) {
      trip.RecordOld(aSample.outcome);
    } else if (aSample.version == stated.settings.to) {
      trip.RecordNew(aSample.outcome);
    }
    if (trip.IsTripped() && !before) {
      logging::Event(logging::Level::Warning, "move-left", { { "move", key.move.Text() } });
      mOptions.shares.Trip(key.move);
      mOptions.observations.RecordTrip(key.move);
    }
  }
}

void MoveService::Round()
{
  if (mMoves.empty()) {
    return;
  }
  std::erase_if(mLocal, [](const core::TimerHandle& aHandle) { return !aHandle.Active(); });
  Report();
  if (mDirector) {
    mDirector->EndRound();
  }
  for (const auto& [id, judge] : mJudges) {
    judge->EndRound();
  }
}

void MoveService::Report()
{
  proto::MoveMessage message;
  message.set_environment(mOptions.host.environment.Text());
  message.set_data_centre(mOptions.host.dataCentre.Text());
  message.set_report(version::moves::Encode(mOptions.observations.NextReport()));
  AddCounts(message);
  for (const core::HostId& it : Deciders()) {
    Send(it, message);
  }
}

void MoveService::AddCounts(proto::MoveMessage& aMessage) const
{
  const auto upstreams = mOptions.directory.List();
  for (const auto& [key, stated] : mMoves) {
    if (key.environment != mOptions.host.environment) {
      continue;
    }
    proto::UpstreamCount* count = aMessage.add_counts();
    count->set_move(key.move.Text());
    for (const auto& it : upstreams) {
      const auto& announced = it.announcement;
      const bool counts = it.up && announced.dataCentre == mOptions.host.dataCentre &&
                          announced.service == stated.settings.service;
      if (counts && announced.version == stated.settings.from) {
        count->set_old_ready(count->old_ready() + 1);
      }
      if (counts && announced.version == stated.settings.to) {
        count->set_new_ready(count->new_ready() + 1);
      }
    }
  }
}

std::vector<core::HostId> MoveService::Deciders() const
{
  std::set<core::HostId> deciders;
  for (const auto& [id, entry] : mOptions.groups.All()) {
    const core::HostId leader = entry.Group().Leader();
    if (!leader.Empty()) {
      deciders.insert(leader);
    }
  }
  return { deciders.begin(), deciders.end() };
}

void MoveService::Send(const core::HostId& aTo, const proto::MoveMessage& aMessage)
{
  if (aTo == mOptions.host.id) {
    mLocal.push_back(mOptions.timers.After(
      core::Duration::zero(), [this, message = aMessage] { Take(mOptions.host.id, message); }));
    return;
  }
  mOptions.links.Send(aTo,
                      { .channel = peer::Channel::Moves, .payload = aMessage.SerializeAsString() });
}

void MoveService::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  proto::MoveMessage message;
  if (aMessage.channel == peer::Channel::Moves && message.ParseFromString(aMessage.payload)) {
    Take(aFrom, message);
  }
}

void MoveService::Take(const core::HostId& aFrom, const proto::MoveMessage& aMessage)
{
  const core::EnvironmentId environment(aMessage.environment());
  const bool own = environment == mOptions.host.environment;
  if (!aMessage.report().empty()) {
    if (const auto report = version::moves::DecodeReport(aMessage.report())) {
      if (mDirector) {
        mDirector->OnReport(aFrom, aMessage, report.value());
      }
      for (const auto& [id, judge] : mJudges) {
        judge->OnReport(aFrom, aMessage, report.value());
      }
    }
  }
  if (!aMessage.share().empty()) {
    if (const auto share = version::moves::DecodeShareUpdate(aMessage.share())) {
      if (own) {
        mOptions.shares.OnShareUpdate(share.value());
      }
      for (const auto& [id, judge] : mJudges) {
        judge->OnShares(environment, share.value());
      }
    }
  }
  if (!aMessage.verdict().empty()) {
    if (const auto verdict = version::moves::DecodeVerdict(aMessage.verdict())) {
      if (own) {
        mOptions.shares.OnVerdict(verdict.value());
      }
      if (mDirector) {
        mDirector->OnVerdict(environment, verdict.value());
      }
      for (const auto& [id, judge] : mJudges) {
        judge->OnVerdict(environment, verdict.value());
      }
    }
  }
}

} // namespace cuminfield::process::moves
