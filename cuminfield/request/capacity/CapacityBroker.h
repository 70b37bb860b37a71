#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/capacity/CapacitySettings.h"
#include "cuminfield/request/capacity/DemandReport.h"
#include "cuminfield/request/capacity/GrantTable.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cuminfield::request::capacity {

/// Distributes the upstream capacity of a data centre to its entry hosts by leased grants that
/// follow demand, highest tier first. Runs on the leader of the data centre's group and stores no
/// state that must survive a failover: a new leader waits for one lease before it grants.
/// Invariant: at any time, the unexpired grants of an upstream, plus requests in flight beyond
/// them, fit its slots.
class CapacityBroker
{
public:
  /// aTerm is the leader's term. No grant is made before aNow plus one lease, when all grants of an
  /// earlier leader have expired.
  CapacityBroker(const CapacitySettings& aSettings, core::Term aTerm, core::Instant aNow);

  /// Adds an upstream of the data centre or updates its slots.
  void AddOrUpdateUpstream(const core::UpstreamId& aUpstream, const core::ServiceId& aService,
                           std::uint32_t aSlots);

  /// Removes an upstream that leaves or is lost.
  void RemoveUpstream(const core::UpstreamId& aUpstream);

  /// Processes a host's report and returns the slots that the host may use.
  GrantTable OnReport(const DemandReport& aReport, core::Instant aNow);

  /// Slots of an upstream covered by grants that may still be valid.
  std::uint32_t GrantedSlots(const core::UpstreamId& aUpstream, core::Instant aNow) const;

  /// Sum over all hosts of the larger of granted slots and requests in flight.
  std::uint32_t HeldSlots(const core::UpstreamId& aUpstream, core::Instant aNow) const;

private:
  /// Grant of one upstream to one host.
  struct HostGrant
  {
    std::uint32_t slots = 0;         ///< Of the latest grant.
    std::uint32_t earlierSlots = 0;  ///< Largest previous grant that may still be valid.
    std::uint32_t inFlight = 0;      ///< As last reported.
    std::uint64_t grantSequence = 0; ///< Sequence of the table with the latest grant.
    core::Instant leaseEnd{};

    std::uint32_t GrantedSlots(core::Instant aNow) const;
    std::uint32_t HeldSlots(core::Instant aNow) const;
  };
  struct UpstreamEntry
  {
    core::ServiceId service;
    std::uint32_t slots = 0;    ///< Zero after removal.
    std::uint32_t maxSlots = 0; ///< Maximum ever announced.
    std::uint64_t idHash = 0;
    std::map<core::HostId, HostGrant> hostGrants;
  };
  struct HostEntry
  {
    DemandReport report;
    core::Instant lastReceivedAt{};
  };

  void RemoveExpiredHosts(core::Instant aNow);
  void RecordUse(const DemandReport& aReport);
  std::map<core::HostId, double> ComputeTargets(const core::ServiceId& aService,
                                                double aCapacity) const;
  double HostDemand(const HostEntry& aHost, const core::ServiceId& aService,
                    std::size_t aTier) const;
  void GrantServiceSlots(const core::ServiceId& aService, const core::HostId& aHost,
                         std::uint64_t aSequence, core::Instant aNow);
  void GrantUpstreamSlots(UpstreamEntry& aUpstream, const core::HostId& aHost,
                          std::uint32_t aWanted, std::uint64_t aSequence, core::Instant aNow);
  bool MayShed(std::size_t aTier) const;

  CapacitySettings mSettings;
  core::Term mTerm;
  core::Instant mFirstGrantAt;
  std::map<core::UpstreamId, UpstreamEntry> mUpstreams;
  std::map<core::HostId, HostEntry> mHosts;
};

} // namespace cuminfield::request::capacity
