#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/cluster/cluster.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cuminfield::process::cluster {

/// Settings of FollowerTable.
struct FollowerTableSettings
{
  /// A host or control host that has sent nothing for this long is dropped.
  core::Duration silenceTimeout = std::chrono::milliseconds(1500);
  /// A silent host stays known for this long, because its quota usage still counts: the quota
  /// window of 8 s plus 2 s for reports in transit.
  core::Duration hostRetention = std::chrono::seconds(10);
};

/// Sums up the usage and demand of all hosts at a control host, from the reports of its own
/// followers and the sums of the other control hosts. Performs no I/O.
class FollowerTable
{
public:
  explicit FollowerTable(FollowerTableSettings aSettings)
    : mSettings(aSettings)
  {
  }

  void OnReport(const core::HostId& aHost, proto::Report aReport, core::Instant aNow);
  void OnExchange(const core::HostId& aControlHost, proto::Exchange aExchange, core::Instant aNow);

  /// Drops hosts and control hosts that are silent.
  void Expire(core::Instant aNow);

  /// Adds the sums over the followers of this control host; aObserved includes their observations
  /// of upstreams.
  void AddLocalSums(proto::Exchange& aExchange, bool aObserved) const;

  /// Adds the sums over all hosts except aHost, whose own values are newer than any sum.
  void AddRemoteSums(const core::HostId& aHost, proto::Feed& aFeed, bool aObserved) const;

  /// True while requests wait on any host.
  bool HasBacklog() const;

  /// Latest evidence by host and incarnation.
  using EvidenceMap = std::map<std::pair<std::string, std::uint64_t>, std::vector<proto::Evidence>>;
  EvidenceMap CollectEvidence() const;

  struct Follower
  {
    proto::Report report;
    core::Instant lastReceivedAt{};
    std::uint64_t sentRegistryRevision = 0;
    core::Instant registrySentAt{};
    std::uint64_t sentDocumentNumber = 0;
    core::Instant documentSentAt{};
  };
  std::map<core::HostId, Follower>& Followers() { return mFollowers; }

  /// Data centres of the other control hosts.
  std::map<core::HostId, std::string> ControlHosts() const;

private:
  struct Sums
  {
    std::map<std::string, proto::InFlight> inFlight;
    std::map<std::string, proto::Demand> demand;
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> wanted; ///< By service and rank.
    std::map<std::string, proto::Observed> observed;
    std::uint32_t hostCount = 0;
    double quotaHistorySum = 0; ///< Fractions of the quota window that the hosts cover, summed.
    std::uint32_t partialHistoryHosts = 0;

    void Add(const proto::InFlight& aInFlight);
    void Add(const proto::Demand& aDemand);
    void Add(const proto::Observed& aObserved);

    /// Adds the contents of a report or an exchange.
    template<typename Message>
    void AddAll(const Message& aMessage);
  };
  struct Peer
  {
    proto::Exchange exchange;
    core::Instant lastReceivedAt{};
  };

  bool HasFollowerBacklog() const;
  /// Sums over the followers, without the usage and demand of aExcludedHost, which may be empty.
  Sums SumFollowers(const core::HostId& aExcludedHost) const;
  template<typename Message>
  static void WriteSums(const Sums& aSums, bool aObserved, Message& aMessage);

  FollowerTableSettings mSettings;
  std::map<core::HostId, Follower> mFollowers;
  std::map<core::HostId, Peer> mPeers;
  std::map<core::HostId, core::Instant> mHostLastSeenAt; ///< Hosts that follow any control host.
};

} // namespace cuminfield::process::cluster
