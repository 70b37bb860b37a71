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

/// Shares the upstreams of a data centre out among its entry hosts by leased grants that follow
/// demand, the highest tier first. Runs at the leader of the data centre's group and keeps nothing
/// that must survive it: a new leader waits one lease before it grants. Invariant: at any time the
/// unexpired grants of an upstream, and what is still in flight above them, fit its slots.
class CapacityBroker
{
public:
  /// aTerm is the leader's; no grant is made before aNow plus one lease, when those of an earlier
  /// leader have ended.
  CapacityBroker(const CapacitySettings& aSettings, core::Term aTerm, core::Instant aNow);

  /// An upstream of the data centre is known, or known anew with other slots.
  void AddOrUpdateUpstream(const core::UpstreamId& aUpstream, const core::ServiceId& aService,
                           std::uint32_t aSlots);

  /// An upstream leaves or is lost.
  void RemoveUpstream(const core::UpstreamId& aUpstream);

  /// A host's report has arrived; the answer is what the host may use.
  GrantTable OnReport(const DemandReport& aReport, core::Instant aNow);

  /// Slots of an upstream that are granted now, by all grants that may still be in force.
  std::uint32_t GrantedSlots(const core::UpstreamId& aUpstream, core::Instant aNow) const;

  /// The same or what is in flight, whichever is more at each host.
  std::uint32_t HeldSlots(const core::UpstreamId& aUpstream, core::Instant aNow) const;

private:
  /// What one host holds of one upstream.
  struct HostGrant
  {
    std::uint32_t slots = 0;         ///< Granted last.
    std::uint32_t earlierSlots = 0;  ///< Largest grant before that which may still be in force.
    std::uint32_t inFlight = 0;      ///< As last reported.
    std::uint64_t grantSequence = 0; ///< Of the table that granted slots.
    core::Instant leaseEnd{};        ///< End of the lease.

    std::uint32_t GrantedSlots(core::Instant aNow) const;
    std::uint32_t HeldSlots(core::Instant aNow) const;
  };
  struct UpstreamEntry
  {
    core::ServiceId service;
    std::uint32_t slots = 0;    ///< Zero once it is gone.
    std::uint32_t maxSlots = 0; ///< Ever announced.
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
