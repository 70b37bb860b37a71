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

/// Tunables of the table.
struct FollowerTableSettings
{
  /// A host or control host that reported nothing for this long counts no more.
  core::Duration silenceTimeout = std::chrono::milliseconds(1500);
  /// What a silent host used of a quota counts on for this long: the quota's window of 8 s, and 2 s
  /// for reports that were on their way.
  core::Duration hostRetention = std::chrono::seconds(10);
};

/// What all hosts use and ask for, summed up at a control host: from the reports of the hosts that
/// follow it, and from the sums of the other control hosts. Free of I/O.
class FollowerTable
{
public:
  explicit FollowerTable(FollowerTableSettings aSettings)
    : mSettings(aSettings)
  {
  }

  void OnReport(const core::HostId& aHost, proto::Report aReport, core::Instant aNow);
  void OnExchange(const core::HostId& aControlHost, proto::Exchange aExchange, core::Instant aNow);

  /// Drops what is silent.
  void Expire(core::Instant aNow);

  /// Sums over the hosts that follow this control host; aObserved: with what they found out about
  /// upstreams.
  void AddLocalSums(proto::Exchange& aExchange, bool aObserved) const;

  /// Sums over all hosts but aHost, whose own figures are newer than any sum.
  void AddRemoteSums(const core::HostId& aHost, proto::Feed& aFeed, bool aObserved) const;

  /// True while requests wait at some host.
  bool HasBacklog() const;

  /// The latest evidence of every host known here, by host and its life.
  using EvidenceMap = std::map<std::pair<std::string, std::uint64_t>, std::vector<proto::Evidence>>;
  EvidenceMap CollectEvidence() const;

  struct Follower
  {
    proto::Report report;
    core::Instant lastReceivedAt{};
    std::uint64_t sentRegistryRevision = 0; ///< Revision of the registry sent to it last.
    core::Instant registrySentAt{};
    std::uint64_t sentDocumentNumber = 0;
    core::Instant documentSentAt{};
  };
  std::map<core::HostId, Follower>& Followers() { return mFollowers; }

  /// Control hosts heard of, with their data centres.
  std::map<core::HostId, std::string> ControlHosts() const;

private:
  struct Sums
  {
    std::map<std::string, proto::InFlight> inFlight;
    std::map<std::string, proto::Demand> demand;
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> wanted; ///< By service and rank.
    std::map<std::string, proto::Observed> observed;
    std::uint32_t hostCount = 0;
    double quotaMemory = 0; ///< Of them, together.
    std::uint32_t recentlyStartedHosts = 0;

    void Add(const proto::InFlight& aInFlight);
    void Add(const proto::Demand& aDemand);
    void Add(const proto::Observed& aObserved);

    /// Adds what a report or an exchange tells.
    template<typename Message>
    void AddAll(const Message& aMessage);
  };
  struct Peer
  {
    proto::Exchange exchange;
    core::Instant lastReceivedAt{};
  };

  bool HasFollowerBacklog() const;
  /// Leaves one follower out; its name may be empty.
  Sums SumFollowers(const core::HostId& aWithout) const;
  template<typename Message>
  static void WriteSums(const Sums& aSums, bool aObserved, Message& aMessage);

  FollowerTableSettings mSettings;
  std::map<core::HostId, Follower> mFollowers;
  std::map<core::HostId, Peer> mPeers;
  std::map<core::HostId, core::Instant> mHostLastSeenAt; ///< Following any control host.
};

} // namespace cuminfield::process::cluster
