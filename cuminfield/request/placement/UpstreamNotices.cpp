#include "cuminfield/request/placement/UpstreamNotices.h"

#include <algorithm>

namespace cuminfield::request::placement {

bool UpstreamNotices::Record(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                             const UpstreamNotice& aNotice, core::Instant aNow)
{
  RemoveExpired(aNow);
  Entry& entry = mEntries[aUpstream];
  if (entry.incarnation < aIncarnation) {
    entry = { .incarnation = aIncarnation };
  }
  if (aIncarnation < entry.incarnation) {
    return false; // A late answer of an earlier incarnation.
  }
  const Entry before = entry;
  entry.receivedAt = aNow;
  entry.isLeaving = entry.isLeaving || aNotice.isLeaving;
  if (aNotice.retryAfter) {
    entry.quietUntil = std::max(entry.quietUntil, aNow + *aNotice.retryAfter);
    mLatestQuietEnd = std::max(mLatestQuietEnd, entry.quietUntil);
  }
  return entry.isLeaving != before.isLeaving || entry.quietUntil != before.quietUntil;
}

const UpstreamNotices::Entry* UpstreamNotices::Find(const core::UpstreamId& aUpstream,
                                                    core::Incarnation aIncarnation) const
{
  const auto it = mEntries.find(aUpstream);
  return it == mEntries.end() || it->second.incarnation < aIncarnation ? nullptr : &it->second;
}

void UpstreamNotices::RemoveExpired(core::Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    return aNow - entry.receivedAt > mSettings.retention && aNow >= entry.quietUntil;
  });
}

} // namespace cuminfield::request::placement
