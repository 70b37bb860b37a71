#include "cuminfield/process/cluster/FollowerTable.h"

#include <utility>

namespace cuminfield::process::cluster {

void FollowerTable::OnReport(const core::HostId& aHost, proto::Report aReport, core::Instant aNow)
{
  Follower& follower = mFollowers[aHost];
  if (follower.report.life() != aReport.life()) {
    follower.registrySent = 0;
    follower.documentSent = 0;
  }
  follower.report = std::move(aReport);
  follower.heard = aNow;
}

void FollowerTable::OnExchange(const core::HostId& aControlHost, proto::Exchange aExchange,
                               core::Instant aNow)
{
  Peer& peer = mPeers[aControlHost];
  peer.exchange = std::move(aExchange);
  peer.exchange.clear_upstreams();
  peer.heard = aNow;
}

void FollowerTable::Expire(core::Instant aNow)
{
  std::erase_if(mFollowers,
                [&](const auto& aItem) { return aNow - aItem.second.heard > mSettings.silence; });
  std::erase_if(mPeers,
                [&](const auto& aItem) { return aNow - aItem.second.heard > mSettings.silence; });
}

void FollowerTable::Sums::Add(const proto::InFlight& aInFlight)
{
  proto::InFlight& sum = inFlight[aInFlight.upstream()];
  sum.set_requests(sum.requests() + aInFlight.requests());
  sum.set_prompt_tokens(sum.prompt_tokens() + aInFlight.prompt_tokens());
  sum.set_held_tokens(sum.held_tokens() + aInFlight.held_tokens());
}

void FollowerTable::Sums::Add(const proto::Demand& aDemand)
{
  proto::Demand& sum = demand[aDemand.workspace()];
  sum.set_units_per_s(sum.units_per_s() + aDemand.units_per_s());
  sum.set_used(sum.used() + aDemand.used());
}

FollowerTable::Sums FollowerTable::OwnSums(const core::HostId& aWithout) const
{
  Sums sums;
  for (const auto& [host, follower] : mFollowers) {
    ++sums.hosts;
    if (host == aWithout) {
      continue;
    }
    for (const proto::InFlight& it : follower.report.in_flight()) {
      sums.Add(it);
    }
    for (const proto::Demand& it : follower.report.demand()) {
      sums.Add(it);
    }
    for (const proto::Wanted& it : follower.report.wanted()) {
      sums.wanted[it.service()] += it.requests();
    }
  }
  return sums;
}

template<typename Message>
void FollowerTable::Write(const Sums& aSums, Message& aMessage)
{
  aMessage.set_hosts(aSums.hosts);
  for (const auto& [upstream, sum] : aSums.inFlight) {
    proto::InFlight* it = aMessage.add_in_flight();
    *it = sum;
    it->set_upstream(upstream);
  }
  for (const auto& [service, requests] : aSums.wanted) {
    proto::Wanted* it = aMessage.add_wanted();
    it->set_service(service);
    it->set_requests(requests);
  }
  for (const auto& [workspace, sum] : aSums.demand) {
    proto::Demand* it = aMessage.add_demand();
    *it = sum;
    it->set_workspace(workspace);
  }
}

void FollowerTable::AddOwn(proto::Exchange& aExchange) const
{
  Write(OwnSums({}), aExchange);
  for (const auto& [host, follower] : mFollowers) {
    if (follower.report.evidence_size() == 0) {
      continue;
    }
    proto::HostEvidence* it = aExchange.add_evidence();
    it->set_host(host.Text());
    it->set_life(follower.report.life());
    *it->mutable_evidence() = follower.report.evidence();
  }
}

void FollowerTable::AddOthers(const core::HostId& aHost, proto::Feed& aFeed) const
{
  Sums sums = OwnSums(aHost);
  for (const auto& [host, peer] : mPeers) {
    sums.hosts += peer.exchange.hosts();
    for (const proto::InFlight& it : peer.exchange.in_flight()) {
      sums.Add(it);
    }
    for (const proto::Demand& it : peer.exchange.demand()) {
      sums.Add(it);
    }
    for (const proto::Wanted& it : peer.exchange.wanted()) {
      sums.wanted[it.service()] += it.requests();
    }
  }
  Write(sums, aFeed);
}

FollowerTable::EvidenceMap FollowerTable::Evidence() const
{
  EvidenceMap evidence;
  for (const auto& [host, follower] : mFollowers) {
    evidence[{ host.Text(), follower.report.life() }] = { follower.report.evidence().begin(),
                                                          follower.report.evidence().end() };
  }
  for (const auto& [host, peer] : mPeers) {
    for (const proto::HostEvidence& it : peer.exchange.evidence()) {
      evidence.try_emplace({ it.host(), it.life() }, it.evidence().begin(), it.evidence().end());
    }
  }
  return evidence;
}

std::map<core::HostId, std::string> FollowerTable::ControlHosts() const
{
  std::map<core::HostId, std::string> hosts;
  for (const auto& [host, peer] : mPeers) {
    hosts[host] = peer.exchange.data_centre();
  }
  return hosts;
}

} // namespace cuminfield::process::cluster
