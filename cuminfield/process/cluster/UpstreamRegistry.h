#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/cluster/cluster.pb.h"

#include <map>
#include <string>
#include <vector>

namespace cuminfield::process::cluster {

/// Tunables of the registry.
struct UpstreamRegistrySettings
{
  /// An upstream that no control host has heard for this long is dropped. Heartbeats may come
  /// seconds late, and hosts find out by themselves that an upstream does not answer.
  core::Duration silenceTimeout = std::chrono::milliseconds(5000);
};

/// The upstreams known to a control host: registered by heartbeats here or at another control
/// host, kept as long as they are heard of. Free of I/O.
class UpstreamRegistry
{
public:
  explicit UpstreamRegistry(UpstreamRegistrySettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// A heartbeat, from the upstream itself or by way of another control host. False when a later
  /// life of the upstream, or a later one at its address, is known: the heartbeat is old.
  bool HandleHeartbeat(const proto::Upstream& aUpstream, core::Instant aNow);

  /// The upstream leaves; life 0 means whichever life is known. No new work goes to it.
  void MarkLeaving(const std::string& aId, std::uint64_t aIncarnation);

  /// Forgets those that are silent.
  void Expire(core::Instant aNow);

  /// Life of a known upstream; 0 when unknown.
  std::uint64_t IncarnationOf(const std::string& aId) const;

  /// True when this life of the upstream has said that it leaves.
  bool IsLeaving(const std::string& aId, std::uint64_t aIncarnation) const;

  /// Grows with each change that hosts must learn of.
  std::uint64_t Revision() const { return mRevision; }

  /// All upstreams, ordered by id.
  std::vector<proto::Upstream> List() const;

private:
  struct Entry
  {
    proto::Upstream upstream;
    core::Instant lastReceivedAt{};
  };

  bool ResolveAddressConflict(const proto::Upstream& aUpstream);

  UpstreamRegistrySettings mSettings;
  std::map<std::string, Entry> mEntries;
  std::map<std::string, std::uint64_t> mLeavingIncarnations; ///< Latest life that has left, by id.
  std::uint64_t mRevision = 1;
};

} // namespace cuminfield::process::cluster
