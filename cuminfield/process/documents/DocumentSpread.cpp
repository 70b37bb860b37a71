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
                           std::uint64_t aThanRevision, std::uint64_t aThanSteps)
{
  return std::pair(aRevision, aSteps) > std::pair(aThanRevision, aThanSteps);
}

void DocumentSpread::Compare()
{
  if (mOptions.peers.empty()) {
    return;
  }
  const auto n = mOptions.random.Below(mOptions.peers.size());
  proto::Spread spread;
  FillHave(spread);
  Send(mOptions.peers[n].id, spread);
}

void DocumentSpread::Tell()
{
  proto::Spread spread;
  FillHave(spread);
  std::vector<core::HostId> near;
  std::map<core::DataCentreId, std::vector<core::HostId>> far;
  for (const settings::PeerSettings& it : mOptions.peers) {
    if (it.dataCentre == mOptions.dataCentre) {
      near.push_back(it.id);
    } else {
      far[it.dataCentre].push_back(it.id);
    }
  }
  for (std::uint32_t n = 0; n < mOptions.settings.tellTo && !near.empty(); ++n) {
    const auto chosen = static_cast<std::ptrdiff_t>(mOptions.random.Below(near.size()));
    Send(near[static_cast<std::size_t>(chosen)], spread);
    near.erase(near.begin() + chosen);
  }
  for (const auto& [dataCentre, hosts] : far) {
    Send(hosts[mOptions.random.Below(hosts.size())], spread);
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
  proto::Spread spread;
  if (aMessage.channel != peer::Channel::Documents || !spread.ParseFromString(aMessage.payload)) {
    return;
  }
  for (const proto::Have& it : spread.have()) {
    mPeerRevisions[aFrom][it.environment()] = it.revision();
  }
  for (const auto& it : spread.records()) {
    Offer(it);
  }
  if (!spread.answer()) {
    Answer(aFrom, spread);
  }
}

void DocumentSpread::Answer(const core::HostId& aFrom, const proto::Spread& aSpread)
{
  std::map<std::string, proto::Have> theirs;
  bool ask = false;
  for (const proto::Have& it : aSpread.have()) {
    theirs[it.environment()] = it;
    ask = ShouldAsk(it) || ask;
  }
  proto::Spread answer;
  for (const auto& [environment, record] : mRecords) {
    const proto::Have& have = theirs[environment];
    if (Newer(record.revision(), Steps(record), have.revision(), have.steps())) {
      *answer.add_records() = record;
    }
  }
  if (answer.records_size() > 0) {
    answer.set_answer(true);
    FillHave(answer);
    Send(aFrom, answer);
    return;
  }
  if (ask) {
    // The other host learns from what this one has that it lacks the record, and sends it.
    FillHave(answer);
    Send(aFrom, answer);
  }
}

bool DocumentSpread::ShouldAsk(const proto::Have& aTheirs)
{
  const auto known = mRecords.find(aTheirs.environment());
  const bool lacks =
    known == mRecords.end() ||
    Newer(aTheirs.revision(), aTheirs.steps(), known->second.revision(), Steps(known->second));
  if (!lacks) {
    return false;
  }
  Asked& asked = mAsked[aTheirs.environment()];
  const core::Instant now = mOptions.timers.Now();
  const bool newer = Newer(aTheirs.revision(), aTheirs.steps(), asked.revision, asked.steps);
  if (!newer && now - asked.at < mOptions.settings.askAgain) {
    return false;
  }
  asked = { .revision = aTheirs.revision(), .steps = aTheirs.steps(), .at = now };
  return true;
}

} // namespace cuminfield::process::documents
