#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/cluster/DepartedUsage.h"
#include "cuminfield/process/cluster/UsageSums.h"
#include "cuminfield/process/cluster/cluster.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cuminfield::process::cluster {

/// Settings of FollowerTable.
struct FollowerTableSettings
{
  /// A host that has sent nothing for this long is dropped.
  core::Duration silenceTimeout = std::chrono::milliseconds(1500);
  /// The same for a control host: about when its followers turn to other ones, since until then
  /// they are counted by it, and afterwards by the others.
  core::Duration controlHostSilenceTimeout = std::chrono::milliseconds(1000);
  /// A follower that has sent nothing for this long is dropped when another control host reports
  /// another incarnation of it.
  core::Duration otherIncarnationDelay = std::chrono::milliseconds(400);
  /// A silent host stays known for this long, because its quota usage still counts: the quota
  /// window of 8 s plus 2 s for reports in transit.
  core::Duration hostRetention = std::chrono::seconds(10);
  /// Length of the window to which quotas apply.
  core::Duration quotaWindow = std::chrono::seconds(8);
};

/// Sums up the usage and demand of all hosts at a control host, from the reports of its own
/// followers and the sums of the other control hosts. Performs no I/O.
///
/// A host that turns to another control host is counted by one of them only, or its load, demand
/// and quota usage would count twice until the former one drops it: the follow epoch tells which of
/// two reports is newer.
///
/// A host that tries this control host gets feeds, but stays with the one that counts it.
///
/// The quota usage of a host that is lost or starts again stays until it has left the quota window,
/// or the next host would grant it once more.
///
/// The sums are updated with each message, not recomputed for each feed: with hundreds of hosts,
/// each with its own feed, the cost of a round would grow with the square of their number.
class FollowerTable
{
public:
  explicit FollowerTable(FollowerTableSettings aSettings)
    : mSettings(aSettings)
    , mDeparted(aSettings.quotaWindow)
    , mDepartedOfPeers(aSettings.quotaWindow)
  {
  }
  FollowerTable(const FollowerTable&) = delete;
  FollowerTable& operator=(const FollowerTable&) = delete;

  void OnReport(const core::HostId& aHost, proto::Report aReport, core::Instant aNow);
  void OnExchange(const core::HostId& aControlHost, proto::Exchange aExchange, core::Instant aNow);

  /// This process did not run for aDuration and could not receive: that time doesn't count as the
  /// silence of others.
  void OnStall(core::Duration aDuration);

  /// Drops hosts and control hosts that are silent.
  void Expire(core::Instant aNow);

  /// Adds the sums over the followers of this control host; aObserved includes their observations
  /// of upstreams.
  void AddLocalSums(proto::Exchange& aExchange, bool aObserved);

  /// Adds the sums over all hosts except aHost, whose own values are newer than any sum.
  void AddRemoteSums(const core::HostId& aHost, proto::Feed& aFeed, bool aObserved);

  /// Adds the quota usage of hosts that report no more, to any control host.
  void AddDeparted(proto::Feed& aFeed) const;

  /// True while requests wait on any host.
  bool HasBacklog() const;

  /// Latest evidence by host and incarnation.
  using EvidenceMap = std::map<std::pair<std::string, std::uint64_t>, std::vector<proto::Evidence>>;
  EvidenceMap CollectEvidence() const;

  struct Follower
  {
    /// The latest one; of the usage and demand that `part` holds, it has the quota usage only.
    proto::Report report;
    UsageSums::Part part;
    UsageSums::Part localPart; ///< The same in the sums over the followers.
    core::Instant lastReceivedAt{};
    core::Instant feedSentAt{};
    std::uint64_t sentRegistryRevision = 0;
    core::Instant registrySentAt{};
    std::uint64_t sentDocumentNumber = 0;
    core::Instant documentSentAt{};
    std::uint64_t sentQuarantineRevision = 0;
    core::Instant quarantineSentAt{};
    std::uint64_t crashesReceived = 0; ///< Sequence of the latest crash report.
    std::uint64_t sentMembersRevision = 0;
    core::Instant membersSentAt{};
    /// The last ones reported, until they are answered; most reports have none.
    google::protobuf::RepeatedPtrField<proto::AwaitedHeartbeat> awaited;
    bool isTrial = false; ///< Gets feeds, but is counted by another control host.
  };
  std::map<core::HostId, Follower>& Followers() { return mFollowers; }

  /// Sorted hashes of the ids of all known hosts.
  std::vector<std::uint32_t> Members() const;

  /// Data centres of the other control hosts that this one hears from.
  std::map<core::HostId, std::string> ControlHosts() const;

  /// Control hosts that those hear from.
  std::set<core::HostId> NamedControlHosts() const;

private:
  struct KnownHost
  {
    core::Instant lastSeenAt{};
    FollowVersion version;
  };
  struct Peer
  {
    proto::Exchange exchange; ///< The latest one, without the usage and demand that `part` holds.
    UsageSums::Part part;
    core::Instant lastReceivedAt{};
  };

  void OnTrialReport(const core::HostId& aHost, proto::Report aReport, core::Instant aNow);
  bool HasFollowerBacklog() const;
  /// Takes the follower out of the sums; its quota usage goes to the departed if aKeepUsage is set.
  void RemoveFollower(const core::HostId& aHost, bool aKeepUsage);
  void KeepUsage(const core::HostId& aHost, const Follower& aFollower);
  void HandleListedFollower(const core::HostId& aHost, const FollowVersion& aVersion,
                            core::Instant aNow);
  /// True if another control host has newer reports of the host than this one.
  bool IsOvertakenBy(const core::HostId& aHost, const FollowVersion& aVersion,
                     core::Instant aNow) const;

  FollowerTableSettings mSettings;
  UsageSums mSums;      ///< Over all hosts.
  UsageSums mLocalSums; ///< Over the followers of this control host.
  std::map<core::HostId, Follower> mFollowers;
  std::map<core::HostId, Peer> mPeers;
  std::map<core::HostId, KnownHost> mKnownHosts; ///< Hosts that follow any control host.
  DepartedUsage mDeparted;                       ///< Of former followers of this control host.
  DepartedUsage mDepartedOfPeers; ///< Last reported as departed by control hosts that are silent.
};

} // namespace cuminfield::process::cluster
