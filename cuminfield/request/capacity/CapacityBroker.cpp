#include "cuminfield/request/capacity/CapacityBroker.h"

#include "cuminfield/core/Invariant.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace cuminfield::request::capacity {

std::uint32_t CapacityBroker::HostGrant::HeldSlots(core::Instant aNow) const
{
  return std::max(GrantedSlots(aNow), inFlight);
}

std::uint32_t CapacityBroker::HostGrant::GrantedSlots(core::Instant aNow) const
{
  return aNow < leaseEnd ? std::max(slots, earlierSlots) : 0;
}

CapacityBroker::CapacityBroker(const CapacitySettings& aSettings, core::Term aTerm,
                               core::Instant aNow)
  : mSettings(aSettings)
  , mTerm(aTerm)
  , mFirstGrantAt(aNow + aSettings.leaseDuration)
{
}

void CapacityBroker::AddOrUpdateUpstream(const core::UpstreamId& aUpstream,
                                         const core::ServiceId& aService, std::uint32_t aSlots)
{
  UpstreamEntry& entry = mUpstreams[aUpstream];
  entry.service = aService;
  entry.slots = aSlots;
  entry.maxSlots = std::max(entry.maxSlots, aSlots);
  entry.idHash = XXH64(aUpstream.Text().data(), aUpstream.Text().size(), 0);
}

void CapacityBroker::RemoveUpstream(const core::UpstreamId& aUpstream)
{
  // Keep the entry until its grants have expired, since the upstream may return before.
  const auto entry = mUpstreams.find(aUpstream);
  if (entry != mUpstreams.end()) {
    entry->second.slots = 0;
  }
}

GrantTable CapacityBroker::OnReport(const DemandReport& aReport, core::Instant aNow)
{
  mHosts[aReport.host] = HostEntry{ .report = aReport, .lastReceivedAt = aNow };
  RemoveExpiredHosts(aNow);
  RecordUse(aReport);
  GrantTable table;
  table.sequence = aReport.sequence;
  table.term = mTerm;
  table.lease = mSettings.leaseDuration;
  table.hosts = static_cast<std::uint32_t>(mHosts.size());
  const auto rank = std::distance(mHosts.begin(), mHosts.find(aReport.host));
  table.rank = static_cast<std::uint32_t>(rank);
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    table.mayShed[tier] = MayShed(tier);
  }
  if (aNow < mFirstGrantAt) {
    return table;
  }
  std::set<core::ServiceId> services;
  for (const auto& it : mUpstreams) {
    services.insert(it.second.service);
  }
  for (const core::ServiceId& service : services) {
    GrantServiceSlots(service, aReport.host, aReport.sequence, aNow);
  }
  for (const auto& [id, entry] : mUpstreams) {
    CUMINFIELD_INVARIANT("capacity.no-overgrant",
                         GrantedSlots(id, aNow) <= GrantableSlots(mSettings, entry.maxSlots));
    const auto grant = entry.hostGrants.find(aReport.host);
    const bool usable = entry.slots > 0 && grant != entry.hostGrants.end();
    if (usable && grant->second.slots > 0) {
      table.grants.push_back({ .upstream = id, .slots = grant->second.slots });
    }
  }
  return table;
}

void CapacityBroker::RemoveExpiredHosts(core::Instant aNow)
{
  std::erase_if(mHosts, [&](const auto& aEntry) {
    return aNow - aEntry.second.lastReceivedAt > mSettings.leaseDuration;
  });
  for (auto& it : mUpstreams) {
    const bool removed = it.second.slots == 0;
    std::erase_if(it.second.hostGrants, [&](const auto& aGrant) {
      const bool idle = removed && aGrant.second.inFlight == 0;
      return aNow >= aGrant.second.leaseEnd && (idle || mHosts.count(aGrant.first) == 0);
    });
  }
  std::erase_if(mUpstreams, [](const auto& aEntry) {
    return aEntry.second.slots == 0 && aEntry.second.hostGrants.empty();
  });
}

void CapacityBroker::RecordUse(const DemandReport& aReport)
{
  for (auto& [id, entry] : mUpstreams) {
    const auto grant = entry.hostGrants.find(aReport.host);
    if (grant == entry.hostGrants.end()) {
      continue;
    }
    grant->second.inFlight = 0;
    if (aReport.appliedSequence >= grant->second.grantSequence) {
      grant->second.earlierSlots = 0;
    }
  }
  for (const UpstreamUse& it : aReport.uses) {
    const auto entry = mUpstreams.find(it.upstream);
    if (entry == mUpstreams.end()) {
      continue;
    }
    // Requests within the host's part of the reserve do not count against grants.
    const auto rank = std::distance(mHosts.begin(), mHosts.find(aReport.host));
    const std::uint32_t reserved =
      ReservedSlots(mSettings, entry->second.slots, entry->second.idHash,
                    static_cast<std::uint32_t>(mHosts.size()), static_cast<std::uint32_t>(rank));
    HostGrant& grant = entry->second.hostGrants[aReport.host];
    grant.inFlight = it.inFlight - std::min(it.inFlight, reserved);
  }
}

double CapacityBroker::HostDemand(const HostEntry& aHost, const core::ServiceId& aService,
                                  std::size_t aTier) const
{
  for (const ServiceDemand& it : aHost.report.demands) {
    if (it.service == aService) {
      return it.byTier[aTier];
    }
  }
  return 0;
}

std::map<core::HostId, double> CapacityBroker::ComputeTargets(const core::ServiceId& aService,
                                                              double aCapacity) const
{
  std::map<core::HostId, double> targets;
  double remaining = aCapacity;
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    double demand = 0;
    for (const auto& it : mHosts) {
      demand += HostDemand(it.second, aService, tier);
    }
    const double share = demand > remaining ? remaining / demand : 1.0;
    for (const auto& [host, entry] : mHosts) {
      targets[host] += HostDemand(entry, aService, tier) * share;
    }
    remaining = std::max(0.0, remaining - demand);
  }
  // Spare capacity is split evenly, so that a host can absorb a burst without a round trip.
  for (auto& it : targets) {
    it.second += remaining / static_cast<double>(mHosts.size());
  }
  return targets;
}

void CapacityBroker::GrantServiceSlots(const core::ServiceId& aService, const core::HostId& aHost,
                                       std::uint64_t aSequence, core::Instant aNow)
{
  double capacity = 0;
  for (const auto& [id, entry] : mUpstreams) {
    if (entry.service == aService) {
      capacity += GrantableSlots(mSettings, entry.slots);
    }
  }
  double begin = 0;
  double end = 0;
  for (const auto& [host, target] : ComputeTargets(aService, capacity)) {
    end = begin + target;
    if (host == aHost) {
      break;
    }
    begin = end;
  }
  // Each host gets a part of every upstream. The parts are contiguous ranges with rounded bounds,
  // so their sum always equals the grantable slots of the upstream.
  for (auto& [id, entry] : mUpstreams) {
    if (entry.service == aService && entry.slots > 0) {
      const double share = GrantableSlots(mSettings, entry.slots) / std::max(1.0, capacity);
      const double firstSlot = std::floor(begin * share + 0.5);
      const double endSlot = std::floor(end * share + 0.5);
      GrantUpstreamSlots(entry, aHost, static_cast<std::uint32_t>(endSlot - firstSlot), aSequence,
                         aNow);
    }
  }
}

void CapacityBroker::GrantUpstreamSlots(UpstreamEntry& aUpstream, const core::HostId& aHost,
                                        std::uint32_t aWanted, std::uint64_t aSequence,
                                        core::Instant aNow)
{
  std::uint32_t heldByOthers = 0;
  for (const auto& [host, hostGrant] : aUpstream.hostGrants) {
    heldByOthers += host == aHost ? 0 : hostGrant.HeldSlots(aNow);
  }
  const std::uint32_t grantable = GrantableSlots(mSettings, aUpstream.slots);
  HostGrant& grant = aUpstream.hostGrants[aHost];
  const bool valid = aNow < grant.leaseEnd;
  grant.earlierSlots = valid ? std::max(grant.earlierSlots, grant.slots) : 0;
  grant.slots = std::min(aWanted, grantable - std::min(grantable, heldByOthers));
  grant.grantSequence = aSequence;
  grant.leaseEnd = aNow + mSettings.leaseDuration;
}

std::uint32_t CapacityBroker::GrantedSlots(const core::UpstreamId& aUpstream,
                                           core::Instant aNow) const
{
  const auto entry = mUpstreams.find(aUpstream);
  std::uint32_t sum = 0;
  if (entry != mUpstreams.end()) {
    for (const auto& it : entry->second.hostGrants) {
      sum += it.second.GrantedSlots(aNow);
    }
  }
  return sum;
}

std::uint32_t CapacityBroker::HeldSlots(const core::UpstreamId& aUpstream, core::Instant aNow) const
{
  const auto entry = mUpstreams.find(aUpstream);
  std::uint32_t sum = 0;
  if (entry != mUpstreams.end()) {
    for (const auto& it : entry->second.hostGrants) {
      sum += it.second.HeldSlots(aNow);
    }
  }
  return sum;
}

bool CapacityBroker::MayShed(std::size_t aTier) const
{
  for (const auto& [host, entry] : mHosts) {
    for (std::size_t lower = aTier + 1; lower < kTierCount; ++lower) {
      double demand = 0;
      for (const ServiceDemand& it : entry.report.demands) {
        demand += it.byTier[lower];
      }
      if (demand > 0 && !entry.report.shedding[lower]) {
        return false;
      }
    }
  }
  return true;
}

} // namespace cuminfield::request::capacity
