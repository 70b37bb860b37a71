#include "cuminfield/process/membership/UpstreamDirectory.h"

#include "cuminfield/process/membership/membership.pb.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::membership {

namespace {

constexpr core::Duration kLeaseCheckPeriod = std::chrono::milliseconds(100);

std::uint32_t ToMilliseconds(core::Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

void WriteAnnouncement(const request::UpstreamAnnouncement& aFrom, proto::Announcement& aTo)
{
  aTo.set_id(aFrom.id.Text());
  aTo.set_incarnation(aFrom.incarnation.Value());
  aTo.set_service(aFrom.service.Text());
  aTo.set_version(aFrom.version.Text());
  aTo.set_data_centre(aFrom.dataCentre.Text());
  aTo.set_region(aFrom.region.Text());
  aTo.set_address(aFrom.address);
  aTo.set_port(aFrom.port);
  aTo.set_slots(aFrom.slots);
  aTo.set_cache_tokens(aFrom.cacheCapacity.value);
  aTo.set_resumes(aFrom.supportsResume);
}

request::UpstreamAnnouncement ReadAnnouncement(const proto::Announcement& aFrom)
{
  return { .id = core::UpstreamId(aFrom.id()),
           .incarnation = core::Incarnation(aFrom.incarnation()),
           .service = core::ServiceId(aFrom.service()),
           .version = core::VersionId(aFrom.version()),
           .dataCentre = core::DataCentreId(aFrom.data_centre()),
           .region = core::RegionId(aFrom.region()),
           .address = aFrom.address(),
           .port = static_cast<std::uint16_t>(aFrom.port()),
           .slots = aFrom.slots(),
           .cacheCapacity = { aFrom.cache_tokens() },
           .supportsResume = aFrom.resumes() };
}

bool HasSameProperties(const request::UpstreamAnnouncement& aLeft,
                       const request::UpstreamAnnouncement& aRight)
{
  return aLeft.incarnation == aRight.incarnation && aLeft.service == aRight.service &&
         aLeft.version == aRight.version && aLeft.address == aRight.address &&
         aLeft.port == aRight.port && aLeft.slots == aRight.slots;
}

} // namespace

UpstreamDirectory::UpstreamDirectory(Options aOptions)
  : mOptions(std::move(aOptions))
{
  for (const settings::PeerSettings& it : mOptions.peers) {
    if (it.dataCentre == mOptions.dataCentre) {
      mLocalHosts.push_back(it.id);
    } else {
      mRemoteHosts[it.dataCentre].push_back(it.id);
    }
  }
  mOptions.links.OnMessage().connect(sigc::mem_fun(*this, &UpstreamDirectory::OnMessage));
  mGossipTimer =
    mOptions.timers.ScheduleEvery(mOptions.settings.gossipPeriod, [this] { SendGossip(); });
  mLeaseTimer = mOptions.timers.ScheduleEvery(kLeaseCheckPeriod, [this] { ExpireLeases(); });
}

core::Result<void> UpstreamDirectory::Announce(const request::UpstreamAnnouncement& aAnnouncement)
{
  Entry& entry = mEntries[aAnnouncement.id];
  const core::Incarnation knownIncarnation = entry.announcement.incarnation;
  if (aAnnouncement.incarnation < knownIncarnation) {
    return core::Fail(core::ErrorKind::Conflict,
                      "a later life of this upstream is known; announce a larger incarnation");
  }
  if (aAnnouncement.incarnation == knownIncarnation && entry.hasLeft) {
    return core::Fail(core::ErrorKind::Conflict,
                      "this life of the upstream has left; announce a larger incarnation");
  }
  entry.announcedLocally = true;
  entry.announcementDue = true;
  ApplyAnnouncement(entry, aAnnouncement, mOptions.timers.Now());
  return core::Success();
}

core::Result<void> UpstreamDirectory::Renew(const core::UpstreamId& aId,
                                            core::Incarnation aIncarnation,
                                            const std::optional<request::LoadReport>& aLoad,
                                            const std::vector<request::CacheEvent>& aCache)
{
  const auto it = mEntries.find(aId);
  if (it == mEntries.end() || it->second.announcement.incarnation != aIncarnation ||
      it->second.hasLeft || !it->second.announcedLocally) {
    return core::Fail(core::ErrorKind::NotFound, "not announced here; announce it again");
  }
  Entry& entry = it->second;
  entry.lastReceivedAt = mOptions.timers.Now();
  entry.renewedSinceGossip = true;
  MarkAvailableIfLeased(entry);
  if (aLoad) {
    ApplyLoadReport(entry, *aLoad);
  }
  for (const request::CacheEvent& event : aCache) {
    entry.pendingCacheEvents.push_back(event);
    mOnCacheEvent.emit(event);
  }
  return core::Success();
}

void UpstreamDirectory::Leave(const core::UpstreamId& aId, core::Incarnation aIncarnation)
{
  Entry& entry = mEntries[aId];
  if (aIncarnation < entry.announcement.incarnation) {
    return;
  }
  entry.announcement.id = aId;
  entry.announcement.incarnation = aIncarnation;
  entry.hasLeft = true;
  entry.announcedLocally = true;
  entry.lastReceivedAt = mOptions.timers.Now();
  MarkUnavailable(entry);
  // Sent at once instead of in the next round: the upstream is promised that new work stops within
  // seconds.
  proto::Gossip gossip;
  AppendUpstream(entry, gossip, false);
  BroadcastGossip(gossip);
}

std::vector<UpstreamDirectory::UpstreamStatus> UpstreamDirectory::List() const
{
  std::vector<UpstreamStatus> statuses;
  for (const auto& [id, entry] : mEntries) {
    statuses.push_back({ .announcement = entry.announcement,
                         .available = entry.available,
                         .announcedLocally = entry.announcedLocally,
                         .load = entry.load });
  }
  return statuses;
}

void UpstreamDirectory::ApplyAnnouncement(Entry& aEntry,
                                          const request::UpstreamAnnouncement& aAnnouncement,
                                          core::Instant aReceivedAt)
{
  const bool changed = !HasSameProperties(aEntry.announcement, aAnnouncement);
  if (changed) {
    MarkUnavailable(aEntry);
    aEntry.hasLeft = false;
    aEntry.load.reset();
  }
  aEntry.announcement = aAnnouncement;
  aEntry.lastReceivedAt = std::max(aEntry.lastReceivedAt, aReceivedAt);
  aEntry.renewedSinceGossip = true;
  MarkAvailableIfLeased(aEntry);
}

void UpstreamDirectory::MarkAvailableIfLeased(Entry& aEntry)
{
  if (aEntry.available || aEntry.hasLeft || aEntry.announcement.port == 0) {
    return;
  }
  if (mOptions.timers.Now() - aEntry.lastReceivedAt >= mOptions.settings.leaseDuration) {
    return;
  }
  aEntry.available = true;
  mOnUpstreamAvailable.emit(aEntry.announcement);
}

void UpstreamDirectory::MarkUnavailable(Entry& aEntry)
{
  if (std::exchange(aEntry.available, false)) {
    mOnUpstreamUnavailable.emit(aEntry.announcement.id);
  }
}

void UpstreamDirectory::ApplyLoadReport(Entry& aEntry, const request::LoadReport& aLoad)
{
  // Reports relayed by peers may arrive out of order; an older one is ignored.
  if (aEntry.load && aLoad.sequence <= aEntry.load->sequence) {
    return;
  }
  aEntry.load = aLoad;
  aEntry.loadReceivedAt = mOptions.timers.Now();
  mOnLoadReport.emit(aLoad);
}

void UpstreamDirectory::ExpireLeases()
{
  const core::Instant now = mOptions.timers.Now();
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    Entry& entry = it->second;
    const core::Duration silence = now - entry.lastReceivedAt;
    if (silence >= mOptions.settings.leaseDuration) {
      MarkUnavailable(entry);
      entry.announcedLocally = entry.announcedLocally && entry.hasLeft;
    }
    const bool forget = silence >= mOptions.settings.entryRetention;
    it = forget ? mEntries.erase(it) : std::next(it);
  }
}

void UpstreamDirectory::SendGossip()
{
  const bool announceAll = mGossipRound++ % mOptions.settings.roundsPerFullAnnouncement == 0;
  proto::Gossip gossip;
  for (auto& [id, entry] : mEntries) {
    if (!entry.announcedLocally || (!entry.renewedSinceGossip && !entry.hasLeft)) {
      continue;
    }
    AppendUpstream(entry, gossip, announceAll || entry.announcementDue);
    entry.announcementDue = false;
    entry.renewedSinceGossip = false;
    entry.pendingCacheEvents.clear();
  }
  if (gossip.upstreams_size() > 0) {
    BroadcastGossip(gossip);
  }
}

void UpstreamDirectory::AppendUpstream(Entry& aEntry, proto::Gossip& aGossip,
                                       bool aWithAnnouncement) const
{
  const core::Instant now = mOptions.timers.Now();
  proto::Upstream* upstream = aGossip.add_upstreams();
  upstream->set_id(aEntry.announcement.id.Text());
  upstream->set_incarnation(aEntry.announcement.incarnation.Value());
  upstream->set_heard_ms_ago(ToMilliseconds(now - aEntry.lastReceivedAt));
  upstream->set_left(aEntry.hasLeft);
  if (aWithAnnouncement && !aEntry.hasLeft) {
    WriteAnnouncement(aEntry.announcement, *upstream->mutable_announcement());
  }
  if (aEntry.load) {
    proto::Load* load = upstream->mutable_load();
    load->set_sequence(aEntry.load->sequence);
    load->set_age_ms(ToMilliseconds(aEntry.load->age + (now - aEntry.loadReceivedAt)));
    load->set_running(aEntry.load->running);
    load->set_waiting(aEntry.load->waiting);
    load->set_queued_prefill(aEntry.load->queuedPrefillTokens.value);
  }
  for (const request::CacheEvent& it : aEntry.pendingCacheEvents) {
    proto::CacheChange* change = upstream->add_cache();
    change->set_sequence(it.sequence);
    change->mutable_stored()->Add(it.stored.begin(), it.stored.end());
    change->mutable_removed()->Add(it.removed.begin(), it.removed.end());
  }
}

void UpstreamDirectory::BroadcastGossip(const proto::Gossip& aGossip)
{
  const std::string payload = aGossip.SerializeAsString();
  for (const core::HostId& it : mLocalHosts) {
    mOptions.links.Send(it, { .channel = peer::Channel::Membership, .payload = payload });
  }
  proto::Gossip relayed = aGossip;
  relayed.set_relay(true);
  const std::string relayedPayload = relayed.SerializeAsString();
  for (const core::HostId& it : ChooseRelays()) {
    mOptions.links.Send(it, { .channel = peer::Channel::Membership, .payload = relayedPayload });
  }
}

std::vector<core::HostId> UpstreamDirectory::ChooseRelays() const
{
  // The relay rotates each round, so a failed relay delays its data centre by one round only.
  std::vector<core::HostId> targets;
  for (const auto& [dataCentre, hosts] : mRemoteHosts) {
    targets.push_back(hosts[mGossipRound % hosts.size()]);
  }
  return targets;
}

void UpstreamDirectory::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  proto::Gossip gossip;
  if (aMessage.channel != peer::Channel::Membership || !gossip.ParseFromString(aMessage.payload)) {
    return;
  }
  std::vector<std::string> unknown;
  for (const proto::Upstream& it : gossip.upstreams()) {
    ApplyGossip(it, unknown);
  }
  for (const std::string& it : gossip.unknown()) {
    SendAnnouncement(aFrom, core::UpstreamId(it));
  }
  if (gossip.relay()) {
    gossip.set_relay(false);
    gossip.clear_unknown();
    const std::string payload = gossip.SerializeAsString();
    for (const core::HostId& it : mLocalHosts) {
      mOptions.links.Send(it, { .channel = peer::Channel::Membership, .payload = payload });
    }
  }
  if (!unknown.empty()) {
    proto::Gossip query;
    query.mutable_unknown()->Assign(unknown.begin(), unknown.end());
    mOptions.links.Send(
      aFrom, { .channel = peer::Channel::Membership, .payload = query.SerializeAsString() });
  }
}

void UpstreamDirectory::ApplyGossip(const proto::Upstream& aUpstream,
                                    std::vector<std::string>& aUnknown)
{
  const core::UpstreamId id(aUpstream.id());
  const core::Incarnation incarnation(aUpstream.incarnation());
  Entry& entry = mEntries[id];
  entry.announcement.id = id;
  if (incarnation < entry.announcement.incarnation) {
    return;
  }
  const core::Instant now = mOptions.timers.Now();
  const core::Instant receivedAt = now - std::chrono::milliseconds(aUpstream.heard_ms_ago());
  if (aUpstream.left()) {
    entry.announcement.incarnation = incarnation;
    entry.hasLeft = true;
    entry.lastReceivedAt = std::max(entry.lastReceivedAt, receivedAt);
    MarkUnavailable(entry);
    return;
  }
  if (incarnation == entry.announcement.incarnation && entry.hasLeft) {
    return; // Sent before the leave but received after it.
  }
  if (aUpstream.has_announcement()) {
    ApplyAnnouncement(entry, ReadAnnouncement(aUpstream.announcement()), receivedAt);
  } else if (incarnation != entry.announcement.incarnation || entry.announcement.port == 0) {
    entry.lastReceivedAt = std::max(entry.lastReceivedAt, receivedAt);
    aUnknown.push_back(aUpstream.id());
    return;
  }
  entry.lastReceivedAt = std::max(entry.lastReceivedAt, receivedAt);
  MarkAvailableIfLeased(entry);
  if (aUpstream.has_load()) {
    ApplyLoadReport(entry, { .id = id,
                             .incarnation = incarnation,
                             .sequence = aUpstream.load().sequence(),
                             .age = std::chrono::milliseconds(aUpstream.load().age_ms()),
                             .running = aUpstream.load().running(),
                             .waiting = aUpstream.load().waiting(),
                             .queuedPrefillTokens = { aUpstream.load().queued_prefill() } });
  }
  for (const proto::CacheChange& it : aUpstream.cache()) {
    mOnCacheEvent.emit({ .id = id,
                         .incarnation = incarnation,
                         .sequence = it.sequence(),
                         .stored = { it.stored().begin(), it.stored().end() },
                         .removed = { it.removed().begin(), it.removed().end() } });
  }
}

void UpstreamDirectory::SendAnnouncement(const core::HostId& aPeer, const core::UpstreamId& aId)
{
  const auto it = mEntries.find(aId);
  if (it == mEntries.end() || it->second.announcement.port == 0) {
    return;
  }
  proto::Gossip reply;
  AppendUpstream(it->second, reply, true);
  mOptions.links.Send(
    aPeer, { .channel = peer::Channel::Membership, .payload = reply.SerializeAsString() });
}

} // namespace cuminfield::process::membership
