#include "cuminfield/process/documents/DocumentDistributor.h"

#include "cuminfield/core/Invariant.h"

#include <utility>

namespace cuminfield::process::documents {

DocumentDistributor::DocumentDistributor(Options aOptions)
  : mOptions(std::move(aOptions))
{
  mOptions.links.OnMessage().connect(sigc::mem_fun(*this, &DocumentDistributor::OnMessage));
  mCompareTimer = mOptions.timers.ScheduleEvery(mOptions.settings.compareInterval,
                                                [this] { CompareWithRandomPeer(); });
}

bool DocumentDistributor::StoreIfNewer(const state::proto::EnvironmentRecord& aRecord)
{
  state::proto::EnvironmentRecord& known = mRecords[aRecord.environment()];
  if (!IsNewer(aRecord.revision(), CountMoveSteps(aRecord), known.revision(),
               CountMoveSteps(known))) {
    return false;
  }
  CUMINFIELD_INVARIANT("document.revision-never-falls", aRecord.revision() >= known.revision());
  known = aRecord;
  mOnNewerRecord.emit(known);
  NotifyPeers();
  return true;
}

const state::proto::EnvironmentRecord* DocumentDistributor::FindRecord(
  const core::EnvironmentId& aEnvironment) const
{
  const auto it = mRecords.find(aEnvironment.Text());
  return it == mRecords.end() ? nullptr : &it->second;
}

std::map<core::HostId, std::uint64_t> DocumentDistributor::GetPeerRevisions(
  const core::EnvironmentId& aEnvironment) const
{
  std::map<core::HostId, std::uint64_t> revisions;
  for (const settings::PeerSettings& it : mOptions.peers) {
    const auto peer = mPeerRevisions.find(it.id);
    if (peer == mPeerRevisions.end()) {
      revisions[it.id] = 0;
      continue;
    }
    const auto revision = peer->second.find(aEnvironment.Text());
    revisions[it.id] = revision == peer->second.end() ? 0 : revision->second;
  }
  return revisions;
}

std::uint64_t DocumentDistributor::CountMoveSteps(const state::proto::EnvironmentRecord& aRecord)
{
  std::uint64_t steps = 0;
  for (const auto& it : aRecord.moves()) {
    steps += it.step();
  }
  return steps;
}

bool DocumentDistributor::IsNewer(std::uint64_t aRevision, std::uint64_t aSteps,
                                  std::uint64_t aOtherRevision, std::uint64_t aOtherSteps)
{
  return std::pair(aRevision, aSteps) > std::pair(aOtherRevision, aOtherSteps);
}

void DocumentDistributor::CompareWithRandomPeer()
{
  if (mOptions.peers.empty()) {
    return;
  }
  const auto index = mOptions.random.UniformBelow(mOptions.peers.size());
  proto::Spread message;
  AddKnownRevisions(message);
  Send(mOptions.peers[index].id, message);
}

void DocumentDistributor::NotifyPeers()
{
  proto::Spread message;
  AddKnownRevisions(message);
  std::vector<core::HostId> localPeers;
  std::map<core::DataCentreId, std::vector<core::HostId>> remotePeers;
  for (const settings::PeerSettings& it : mOptions.peers) {
    if (it.dataCentre == mOptions.dataCentre) {
      localPeers.push_back(it.id);
    } else {
      remotePeers[it.dataCentre].push_back(it.id);
    }
  }
  for (std::uint32_t n = 0; n < mOptions.settings.localFanout && !localPeers.empty(); ++n) {
    const auto chosen =
      static_cast<std::ptrdiff_t>(mOptions.random.UniformBelow(localPeers.size()));
    Send(localPeers[static_cast<std::size_t>(chosen)], message);
    localPeers.erase(localPeers.begin() + chosen);
  }
  for (const auto& [dataCentre, hosts] : remotePeers) {
    Send(hosts[mOptions.random.UniformBelow(hosts.size())], message);
  }
}

void DocumentDistributor::AddKnownRevisions(proto::Spread& aSpread) const
{
  for (const auto& [environment, record] : mRecords) {
    proto::Have* have = aSpread.add_have();
    have->set_environment(environment);
    have->set_revision(record.revision());
    have->set_steps(CountMoveSteps(record));
  }
}

void DocumentDistributor::Send(const core::HostId& aTo, const proto::Spread& aSpread)
{
  mOptions.links.Send(
    aTo, { .channel = peer::Channel::Documents, .payload = aSpread.SerializeAsString() });
}

void DocumentDistributor::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  proto::Spread message;
  if (aMessage.channel != peer::Channel::Documents || !message.ParseFromString(aMessage.payload)) {
    return;
  }
  for (const proto::Have& it : message.have()) {
    mPeerRevisions[aFrom][it.environment()] = it.revision();
  }
  for (const auto& it : message.records()) {
    StoreIfNewer(it);
  }
  if (!message.answer()) {
    Reply(aFrom, message);
  }
}

void DocumentDistributor::Reply(const core::HostId& aFrom, const proto::Spread& aSpread)
{
  std::map<std::string, proto::Have> peerVersions;
  bool shouldRequest = false;
  for (const proto::Have& it : aSpread.have()) {
    peerVersions[it.environment()] = it;
    shouldRequest = ShouldRequest(it) || shouldRequest;
  }
  proto::Spread reply;
  for (const auto& [environment, record] : mRecords) {
    const proto::Have& have = peerVersions[environment];
    if (IsNewer(record.revision(), CountMoveSteps(record), have.revision(), have.steps())) {
      *reply.add_records() = record;
    }
  }
  if (reply.records_size() > 0) {
    reply.set_answer(true);
    AddKnownRevisions(reply);
    Send(aFrom, reply);
    return;
  }
  if (shouldRequest) {
    // The peer sees from this host's revisions that the record is missing here, and sends it.
    AddKnownRevisions(reply);
    Send(aFrom, reply);
  }
}

bool DocumentDistributor::ShouldRequest(const proto::Have& aPeerVersion)
{
  const auto known = mRecords.find(aPeerVersion.environment());
  const bool isOutdated =
    known == mRecords.end() || IsNewer(aPeerVersion.revision(), aPeerVersion.steps(),
                                       known->second.revision(), CountMoveSteps(known->second));
  if (!isOutdated) {
    return false;
  }
  LastRequest& lastRequest = mLastRequests[aPeerVersion.environment()];
  const core::Instant now = mOptions.timers.Now();
  const bool newer =
    IsNewer(aPeerVersion.revision(), aPeerVersion.steps(), lastRequest.revision, lastRequest.steps);
  if (!newer && now - lastRequest.sentAt < mOptions.settings.requestRetryInterval) {
    return false;
  }
  lastRequest = { .revision = aPeerVersion.revision(),
                  .steps = aPeerVersion.steps(),
                  .sentAt = now };
  return true;
}

} // namespace cuminfield::process::documents
