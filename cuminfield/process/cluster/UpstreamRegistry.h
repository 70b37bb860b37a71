#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/process/cluster/cluster.pb.h"

#include <map>
#include <string>
#include <vector>

namespace cuminfield::process::cluster {

/// Settings of UpstreamRegistry.
struct UpstreamRegistrySettings
{
  /// An upstream that has sent no heartbeat to any control host for this long is dropped.
  /// Heartbeats may arrive seconds late, and hosts detect by themselves that an upstream does not
  /// respond.
  core::Duration silenceTimeout = std::chrono::milliseconds(5000);
  /// The state of an upstream that has turned cold or warm is sent for this long. Hosts that
  /// receive nothing meanwhile ask for it, or wait until the cold time has passed.
  core::Duration turnRetention = std::chrono::milliseconds(2000);
};

/// The upstreams known to a control host. Heartbeats, received here or by another control host,
/// register an upstream and keep it registered. Performs no I/O.
class UpstreamRegistry
{
public:
  explicit UpstreamRegistry(UpstreamRegistrySettings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Handles a heartbeat from the upstream itself or relayed by another control host. Returns false
  /// if the heartbeat is outdated: a later heartbeat or incarnation of the upstream, or a later
  /// incarnation at its address, is known.
  bool HandleHeartbeat(const proto::Upstream& aUpstream, core::Instant aNow);

  /// Registers an upstream from the replicated state; its last heartbeat may be long ago.
  void Restore(const proto::Upstream& aUpstream, core::Instant aNow);

  /// Marks an upstream as leaving, so that it gets no new work. Incarnation 0 stands for the known
  /// incarnation.
  void MarkLeaving(const std::string& aId, std::uint64_t aIncarnation);

  /// Removes silent upstreams.
  void Expire(core::Instant aNow);

  /// Incarnation of an upstream; 0 if unknown.
  std::uint64_t IncarnationOf(const std::string& aId) const;

  /// True if this incarnation of the upstream was marked as leaving.
  bool IsLeaving(const std::string& aId, std::uint64_t aIncarnation) const;

  /// Increases with each change that matters to the hosts.
  std::uint64_t Revision() const { return mRevision; }

  /// All upstreams, ordered by id, with the cold times as received.
  std::vector<proto::Upstream> List() const;

  /// Adds all upstreams, ordered by id, with the remaining cold times and the age of their last
  /// heartbeats.
  void AddUpstreams(proto::Feed& aFeed, core::Instant aNow) const;

  /// Adds the states of the upstreams that are cold, or have turned recently.
  void AddColdStates(proto::Feed& aFeed, core::Instant aNow) const;

  using AwaitedHeartbeats = google::protobuf::RepeatedPtrField<proto::AwaitedHeartbeat>;

  /// Adds the states of the upstreams whose latest heartbeat a host awaits.
  void AddAwaitedStates(const AwaitedHeartbeats& aAwaited, proto::Feed& aFeed,
                        core::Instant aNow) const;

private:
  struct Entry
  {
    proto::Upstream upstream;
    core::Instant lastReceivedAt{};
    bool isHeard = false;     ///< It has sent a heartbeat to this or another control host.
    core::Instant turnedAt{}; ///< When it last turned cold or warm.
    std::uint32_t hash = 0;   ///< Of its id.
  };

  static std::uint32_t RemainingColdMs(const Entry& aEntry, core::Instant aNow);
  static void AddState(const Entry& aEntry, proto::Feed& aFeed, core::Instant aNow);

  bool ResolveAddressConflict(const proto::Upstream& aUpstream);

  UpstreamRegistrySettings mSettings;
  std::map<std::string, Entry> mEntries;
  std::map<std::string, std::uint64_t> mLeavingIncarnations; ///< Latest leaving incarnation, by id.
  std::uint64_t mRevision = 1;
};

} // namespace cuminfield::process::cluster
