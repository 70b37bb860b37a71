#include "cuminfield/process/cluster/UpstreamRegistry.h"

#include "cuminfield/request/placement/RendezvousSet.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace cuminfield::process::cluster {

namespace {

/// Longer cold times stand for one that could not be read, and don't run down.
constexpr std::uint32_t kMaxColdMs = 600'000;

/// True if the upstreams differ in anything that the hosts use. Cold times are sent beside the
/// registry: they differ with each heartbeat, and the registry goes to every host.
bool DiffersForHosts(const proto::Upstream& aLeft, const proto::Upstream& aRight)
{
  return aLeft.incarnation() != aRight.incarnation() || aLeft.service() != aRight.service() ||
         aLeft.version() != aRight.version() || aLeft.address() != aRight.address() ||
         aLeft.port() != aRight.port() || aLeft.slots() != aRight.slots() ||
         aLeft.leaving() != aRight.leaving();
}

} // namespace

bool UpstreamRegistry::HandleHeartbeat(const proto::Upstream& aUpstream, core::Instant aNow)
{
  const auto known = mEntries.find(aUpstream.id());
  if (known != mEntries.end()) {
    const proto::Upstream& upstream = known->second.upstream;
    const bool isSameIncarnation = aUpstream.incarnation() == upstream.incarnation();
    if (aUpstream.incarnation() < upstream.incarnation() ||
        (isSameIncarnation && aUpstream.sequence() < upstream.sequence())) {
      return false;
    }
  }
  if (!ResolveAddressConflict(aUpstream)) {
    return false;
  }
  Entry& entry = mEntries[aUpstream.id()];
  proto::Upstream updated = aUpstream;
  updated.set_leaving(aUpstream.leaving() || IsLeaving(aUpstream.id(), aUpstream.incarnation()));
  if (updated.leaving()) {
    MarkLeaving(aUpstream.id(), aUpstream.incarnation());
  }
  const bool hasTurned = (RemainingColdMs(entry, aNow) > 0) != (updated.warming_ms() > 0);
  if (DiffersForHosts(entry.upstream, updated)) {
    ++mRevision;
  }
  if (hasTurned) {
    entry.turnedAt = aNow;
  }
  entry.hash = request::placement::RendezvousSet::HashOf(aUpstream.id());
  entry.upstream = std::move(updated);
  entry.lastReceivedAt = aNow;
  entry.isHeard = true;
  return true;
}

void UpstreamRegistry::Restore(const proto::Upstream& aUpstream, core::Instant aNow)
{
  if (IncarnationOf(aUpstream.id()) == 0 && HandleHeartbeat(aUpstream, aNow)) {
    mEntries[aUpstream.id()].isHeard = false;
  }
}

bool UpstreamRegistry::ResolveAddressConflict(const proto::Upstream& aUpstream)
{
  // Addresses are reused; only the latest incarnation at an address can still run there.
  for (auto it = mEntries.begin(); it != mEntries.end(); ++it) {
    const proto::Upstream& other = it->second.upstream;
    if (other.id() == aUpstream.id() || other.address() != aUpstream.address() ||
        other.port() != aUpstream.port()) {
      continue;
    }
    if (other.incarnation() > aUpstream.incarnation()) {
      return false;
    }
    mEntries.erase(it);
    ++mRevision;
    return true;
  }
  return true;
}

void UpstreamRegistry::MarkLeaving(const std::string& aId, std::uint64_t aIncarnation)
{
  const std::uint64_t incarnation = aIncarnation != 0 ? aIncarnation : IncarnationOf(aId);
  std::uint64_t& latest = mLeavingIncarnations[aId];
  latest = std::max(latest, incarnation);
  const auto it = mEntries.find(aId);
  if (it != mEntries.end() && it->second.upstream.incarnation() <= latest &&
      !it->second.upstream.leaving()) {
    it->second.upstream.set_leaving(true);
    ++mRevision;
  }
}

void UpstreamRegistry::Expire(core::Instant aNow)
{
  const std::size_t before = mEntries.size();
  std::erase_if(mEntries, [&](const auto& aItem) {
    return aNow - aItem.second.lastReceivedAt > mSettings.silenceTimeout;
  });
  if (mEntries.size() != before) {
    ++mRevision;
  }
}

std::uint64_t UpstreamRegistry::IncarnationOf(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it == mEntries.end() ? 0 : it->second.upstream.incarnation();
}

bool UpstreamRegistry::IsLeaving(const std::string& aId, std::uint64_t aIncarnation) const
{
  const auto it = mLeavingIncarnations.find(aId);
  return it != mLeavingIncarnations.end() && aIncarnation <= it->second;
}

std::vector<proto::Upstream> UpstreamRegistry::List() const
{
  std::vector<proto::Upstream> list;
  list.reserve(mEntries.size());
  for (const auto& [id, entry] : mEntries) {
    list.push_back(entry.upstream);
  }
  return list;
}

std::uint32_t UpstreamRegistry::RemainingColdMs(const Entry& aEntry, core::Instant aNow)
{
  const std::uint32_t coldMs = aEntry.upstream.warming_ms();
  const auto elapsedMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aEntry.lastReceivedAt).count();
  if (coldMs == 0 || coldMs > kMaxColdMs) {
    return coldMs;
  }
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, coldMs - elapsedMs));
}

void UpstreamRegistry::AddState(const Entry& aEntry, proto::Feed& aFeed, core::Instant aNow)
{
  proto::UpstreamState* state = aFeed.add_upstream_states();
  state->set_upstream(aEntry.hash);
  state->set_incarnation(aEntry.upstream.incarnation());
  state->set_sequence(aEntry.upstream.sequence());
  state->set_cold_ms(RemainingColdMs(aEntry, aNow));
}

void UpstreamRegistry::AddUpstreams(proto::Feed& aFeed, core::Instant aNow) const
{
  for (const auto& [id, entry] : mEntries) {
    proto::Upstream* upstream = aFeed.add_upstreams();
    *upstream = entry.upstream;
    upstream->set_warming_ms(RemainingColdMs(entry, aNow));
    const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - entry.lastReceivedAt);
    upstream->set_heard_ms(entry.isHeard ? static_cast<std::uint32_t>(elapsed.count())
                                         : std::numeric_limits<std::uint32_t>::max());
  }
}

void UpstreamRegistry::AddColdStates(proto::Feed& aFeed, core::Instant aNow) const
{
  for (const auto& [id, entry] : mEntries) {
    if (RemainingColdMs(entry, aNow) > 0 || aNow - entry.turnedAt < mSettings.turnRetention) {
      AddState(entry, aFeed, aNow);
    }
  }
}

void UpstreamRegistry::AddAwaitedStates(const AwaitedHeartbeats& aAwaited, proto::Feed& aFeed,
                                        core::Instant aNow) const
{
  if (aAwaited.empty()) {
    return;
  }
  std::unordered_map<std::uint32_t, std::uint64_t> awaited;
  for (const proto::AwaitedHeartbeat& it : aAwaited) {
    awaited[it.upstream()] = it.from_sequence();
  }
  for (const auto& [id, entry] : mEntries) {
    const auto it = awaited.find(entry.hash);
    if (it != awaited.end() && entry.upstream.sequence() >= it->second) {
      AddState(entry, aFeed, aNow);
    }
  }
}

} // namespace cuminfield::process::cluster
