#include "cuminfield/process/cluster/UpstreamRegistry.h"

#include <algorithm>

namespace cuminfield::process::cluster {

namespace {

/// True if the upstreams differ in anything that the hosts use.
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
  if (DiffersForHosts(entry.upstream, updated)) {
    ++mRevision;
  }
  entry.upstream = std::move(updated);
  entry.lastReceivedAt = aNow;
  return true;
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

} // namespace cuminfield::process::cluster
