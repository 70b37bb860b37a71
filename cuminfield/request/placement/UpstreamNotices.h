#pragma once

#include "cuminfield/request/Upstream.h"

#include <unordered_map>

namespace cuminfield::request::placement {

/// Settings of UpstreamNotices.
struct UpstreamNoticesSettings
{
  /// A notice is kept for this long, and at least until its quiet time ends. An upstream that
  /// leaves is gone by then.
  core::Duration retention = std::chrono::minutes(10);
};

/// The notices that this host has received from upstreams themselves. They outlast the entries of
/// UpstreamTable, since the control hosts' list may be older than a notice and name the upstream
/// again. A notice holds for one incarnation of an upstream and for earlier ones. Does no I/O.
class UpstreamNotices
{
public:
  struct Entry
  {
    core::Incarnation incarnation;
    bool isLeaving = false;
    core::Instant quietUntil{}; ///< Until when it wants no requests.
    core::Instant receivedAt{};
  };

  explicit UpstreamNotices(const UpstreamNoticesSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Returns true if the notice says more than those before.
  bool Record(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
              const UpstreamNotice& aNotice, core::Instant aNow);

  /// Returns what holds for an incarnation of an upstream, or null.
  const Entry* Find(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation) const;

  /// The end of the last quiet time of any upstream.
  core::Instant LatestQuietEnd() const { return mLatestQuietEnd; }

private:
  void RemoveExpired(core::Instant aNow);

  UpstreamNoticesSettings mSettings;
  std::unordered_map<core::UpstreamId, Entry> mEntries;
  core::Instant mLatestQuietEnd{};
};

} // namespace cuminfield::request::placement
