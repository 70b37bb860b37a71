#include "cuminfield/request/capacity/CapacityMessages.h"

#include <algorithm>
#include <chrono>

namespace cuminfield::request::capacity {

namespace {

std::array<bool, kTierCount> ToTierFlags(
  const google::protobuf::RepeatedField<std::uint32_t>& aTiers)
{
  std::array<bool, kTierCount> flags{};
  for (const std::uint32_t tier : aTiers) {
    if (tier < kTierCount) {
      flags[tier] = true;
    }
  }
  return flags;
}

void AddTierFlags(const std::array<bool, kTierCount>& aFlags,
                  google::protobuf::RepeatedField<std::uint32_t>& aTiers)
{
  for (std::uint32_t tier = 0; tier < kTierCount; ++tier) {
    if (aFlags[tier]) {
      aTiers.Add(tier);
    }
  }
}

} // namespace

proto::DemandReport ToMessage(const DemandReport& aReport)
{
  proto::DemandReport message;
  message.set_host(aReport.host.Text());
  message.set_sequence(aReport.sequence);
  message.set_applied(aReport.appliedSequence);
  for (const ServiceDemand& it : aReport.demands) {
    auto* demand = message.add_demands();
    demand->set_service(it.service.Text());
    demand->mutable_by_tier()->Add(it.byTier.begin(), it.byTier.end());
  }
  for (const UpstreamUse& it : aReport.uses) {
    auto* use = message.add_uses();
    use->set_upstream(it.upstream.Text());
    use->set_in_flight(it.inFlight);
  }
  AddTierFlags(aReport.shedding, *message.mutable_shedding());
  return message;
}

DemandReport FromMessage(const proto::DemandReport& aMessage)
{
  DemandReport report;
  report.host = core::HostId(aMessage.host());
  report.sequence = aMessage.sequence();
  report.appliedSequence = aMessage.applied();
  for (const auto& it : aMessage.demands()) {
    ServiceDemand demand{ .service = core::ServiceId(it.service()) };
    const std::size_t tiers = std::min<std::size_t>(kTierCount, it.by_tier().size());
    std::copy_n(it.by_tier().begin(), tiers, demand.byTier.begin());
    report.demands.push_back(std::move(demand));
  }
  for (const auto& it : aMessage.uses()) {
    report.uses.push_back(
      { .upstream = core::UpstreamId(it.upstream()), .inFlight = it.in_flight() });
  }
  report.shedding = ToTierFlags(aMessage.shedding());
  return report;
}

proto::GrantTable ToMessage(const GrantTable& aTable)
{
  proto::GrantTable message;
  message.set_sequence(aTable.sequence);
  message.set_term(aTable.term.Value());
  const auto lease = std::chrono::duration_cast<std::chrono::milliseconds>(aTable.lease);
  message.set_lease_ms(static_cast<std::uint32_t>(lease.count()));
  message.set_hosts(aTable.hosts);
  message.set_rank(aTable.rank);
  for (const UpstreamGrant& it : aTable.grants) {
    auto* grant = message.add_grants();
    grant->set_upstream(it.upstream.Text());
    grant->set_slots(it.slots);
  }
  AddTierFlags(aTable.mayShed, *message.mutable_may_shed());
  return message;
}

GrantTable FromMessage(const proto::GrantTable& aMessage)
{
  GrantTable table;
  table.sequence = aMessage.sequence();
  table.term = core::Term(aMessage.term());
  table.lease = std::chrono::milliseconds(aMessage.lease_ms());
  table.hosts = aMessage.hosts();
  table.rank = aMessage.rank();
  for (const auto& it : aMessage.grants()) {
    table.grants.push_back({ .upstream = core::UpstreamId(it.upstream()), .slots = it.slots() });
  }
  table.mayShed = ToTierFlags(aMessage.may_shed());
  return table;
}

} // namespace cuminfield::request::capacity
