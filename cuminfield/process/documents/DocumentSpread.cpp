#include "cuminfield/process/documents/DocumentSpread.h"

#include "cuminfield/core/Invariant.h"

#include <utility>

namespace cuminfield::process::documents {

DocumentSpread::DocumentSpread(Options aOptions)
  : mOptions(std::move(aOptions))
{
  mOptions.links.OnMessage().connect(sigc::mem_fun(*this, &DocumentSpread::OnMessage));
  mTimer = mOptions.timers.Every(mOptions.settings.period, [this] { Compare(); });
}

bool DocumentSpread::Offer(const state::proto::EnvironmentRecord& aRecord)
{
  state::proto::EnvironmentRecord& known = mRecords[aRecord.environment()];
  if (!Newer(aRecord.revision(), Steps(aRecord), known.revision(), Steps(known))) {
    return false;
  }
  CUMINFIELD_INVARIANT("document.revision-never-falls", aRecord.revision() >= known.revision());
  known = aRecord;
  mOnNewer.emit(known);
  Tell();
  return true;
}

const state::proto::EnvironmentRecord* DocumentSpread::Find(
  const core::EnvironmentId& aEnvironment) const
{
  const auto it = mRecords.find(aEnvironment.Text());
  return it == mRecords.end() ? nullptr : &it->second;
}

std::map<core::HostId, std::uint64_t> DocumentSpread::RevisionsAt(
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

std::uint64_t DocumentSpread::Steps(const state::proto::EnvironmentRecord& aRecord)
{
  std::uint64_t steps = 0;
  for (const auto& it : aRecord.moves()) {
    steps += it.step();
  }
  return steps;
}

bool DocumentSpread::Newer(std::uint64_t aRevision, std::uint64_t aSteps,
                           std::uint64_t aOtherRevision, std::uint64_t aOtherSteps)
{
  return std::pair(aRevision, aSteps) > std::pair(aOtherRevision, aOtherSteps);
}

void DocumentSpread::Compare()
{
  if (mOptions.peers.empty()) {
    return;
  }
  const auto index = mOptions.random.Below(mOptions.peers.size());
  proto::Spread message;
  FillHave(message);
  Send(mOptions.peers[index].id, message);
}

void DocumentSpread::Tell()
{
  proto::Spread message;
  FillHave(message);
  std::vector<core::HostId> localPeers;
  std::map<core::DataCentreId, std::vector<core::HostId>> remotePeers;
  for (const settings::PeerSettings& it : mOptions.peers) {
    if (it.dataCentre == mOptions.dataCentre) {
      localPeers.push_back(it.id);
    } else {
      remotePeers[it.dataCentre].push_back(it.id);
    }
  }
  for (std::uint32_t n = 0; n < mOptions.settings.tellTo && !localPeers.empty(); ++n) {
    const auto chosen = static_cast<std::ptrdiff_t>(mOptions.random.Below(localPeers.size()));
    Send(localPeers[static_cast<std::size_t>(chosen)], message);
    localPeers.erase(localPeers.begin() + chosen);
  }
  for (const auto& [dataCentre, hosts] : remotePeers) {
    Send(hosts[mOptions.random.Below(hosts.size())], message);
  }
}

void DocumentSpread::FillHave(proto::Spread& aSpread) const
{
  for (const auto& [environment, record] : mRecords) {
    proto::Have* have = aSpread.add_have();
    have->set_environment(environment);
    have->set_revision(record.revision());
    have->set_steps(Steps(record));
  }
}

void DocumentSpread::Send(const core::HostId& aTo, const proto::Spread& aSpread)
{
  mOptions.links.Send(
    aTo, { .channel = peer::Channel::Documents, .payload = aSpread.SerializeAsString() });
}

void DocumentSpread::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  proto::Spread message;
  if (aMessage.channel != peer::Channel::Documents || !message.ParseFromString(aMessage.payload)) {
    return;
  }
  for (const proto::Have& it : message.have()) {
    mPeerRevisions[aFrom][it.environment()] = it.revision();
  }
  for (const auto& it : message.records()) {
    Offer(it);
  }
  if (!message.answer()) {
    Answer(aFrom, message);
  }
}

void DocumentSpread::Answer(const core::HostId& aFrom, const proto::Spread& aSpread)
{
  std::map<std::string, proto::Have> peerVersions;
  bool shouldRequest = false;
  for (const proto::Have& it : aSpread.have()) {
    peerVersions[it.environment()] = it;
    shouldRequest = ShouldAsk(it) || shouldRequest;
  }
  proto::Spread reply;
  for (const auto& [environment, record] : mRecords) {
    const proto::Have& have = peerVersions[environment];
    if (Newer(record.revision(), Steps(record), have.revision(), have.steps())) {
      *reply.add_records() = record;
    }
  }
  if (reply.records_size() > 0) {
    reply.set_answer(true);
    FillHave(reply);
    Send(aFrom, reply);
    return;
  }
  if (shouldRequest) {
    // The peer sees from this host's revisions that the record is missing here, and sends it.
    FillHave(reply);
    Send(aFrom, reply);
  }
}

bool DocumentSpread::ShouldAsk(const proto::Have& aPeerVersion)
{
  const auto known = mRecords.find(aPeerVersion.environment());
  const bool isOutdated =
    known == mRecords.end() || Newer(aPeerVersion.revision(), aPeerVersion.steps(),
                                     known->second.revision(), Steps(known->second));
  if (!isOutdated) {
    return false;
  }
  Asked& lastRequest = mAsked[aPeerVersion.environment()];
  const core::Instant now = mOptions.timers.Now();
  const bool newer =
    Newer(aPeerVersion.revision(), aPeerVersion.steps(), lastRequest.revision, lastRequest.steps);
  if (!newer && now - lastRequest.at < mOptions.settings.askAgain) {
    return false;
  }
  lastRequest = { .revision = aPeerVersion.revision(), .steps = aPeerVersion.steps(), .at = now };
  return true;
}

} // namespace cuminfield::process::documents
