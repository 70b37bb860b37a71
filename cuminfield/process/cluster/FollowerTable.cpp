#include "cuminfield/process/cluster/FollowerTable.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::cluster {

void FollowerTable::OnReport(const core::HostId& aHost, proto::Report aReport, core::Instant aNow)
{
  Follower& follower = mFollowers[aHost];
  if (follower.report.life() != aReport.life()) {
    follower.sentRegistryRevision = 0;
    follower.sentDocumentNumber = 0;
  }
  if (!aReport.has_observed()) {
    aReport.mutable_observed()->Swap(follower.report.mutable_observed());
  }
  follower.report = std::move(aReport);
  follower.lastReceivedAt = aNow;
  mHostLastSeenAt[aHost] = aNow;
}

void FollowerTable::OnExchange(const core::HostId& aControlHost, proto::Exchange aExchange,
                               core::Instant aNow)
{
  Peer& peer = mPeers[aControlHost];
  if (!aExchange.has_observed()) {
    aExchange.mutable_observed()->Swap(peer.exchange.mutable_observed());
  }
  peer.exchange = std::move(aExchange);
  peer.exchange.clear_upstreams();
  peer.lastReceivedAt = aNow;
  for (const std::string& it : peer.exchange.followers()) {
    mHostLastSeenAt[core::HostId(it)] = aNow;
  }
}

void FollowerTable::Expire(core::Instant aNow)
{
  std::erase_if(mFollowers, [&](const auto& aItem) {
    return aNow - aItem.second.lastReceivedAt > mSettings.silenceTimeout;
  });
  std::erase_if(mPeers, [&](const auto& aItem) {
    return aNow - aItem.second.lastReceivedAt > mSettings.silenceTimeout;
  });
  std::erase_if(mHostLastSeenAt,
                [&](const auto& aItem) { return aNow - aItem.second > mSettings.hostRetention; });
}

void FollowerTable::Sums::Add(const proto::InFlight& aInFlight)
{
  proto::InFlight& sum = inFlight[aInFlight.upstream()];
  sum.set_requests(sum.requests() + aInFlight.requests());
  sum.set_prompt_tokens(sum.prompt_tokens() + aInFlight.prompt_tokens());
  sum.set_held_tokens(sum.held_tokens() + aInFlight.held_tokens());
  sum.set_doubting(sum.doubting() + aInFlight.doubting());
  sum.set_trusting(sum.trusting() + aInFlight.trusting());
}

void FollowerTable::Sums::Add(const proto::Observed& aObserved)
{
  proto::Observed& sum = observed[aObserved.upstream()];
  sum.set_answers(sum.answers() + aObserved.answers());
  sum.set_failures(sum.failures() + aObserved.failures());
  sum.set_paces(sum.paces() + aObserved.paces());
  sum.set_token_ms(sum.token_ms() + aObserved.token_ms());
  sum.set_firsts(sum.firsts() + aObserved.firsts());
  sum.set_first_factor(sum.first_factor() + aObserved.first_factor());
}

template<typename Message>
void FollowerTable::Sums::AddAll(const Message& aMessage)
{
  for (const proto::InFlight& it : aMessage.in_flight()) {
    Add(it);
  }
  for (const proto::Demand& it : aMessage.demand()) {
    Add(it);
  }
  for (const proto::Wanted& it : aMessage.wanted()) {
    wanted[{ it.service(), it.rank() }] += it.requests();
  }
  for (const proto::Observed& it : aMessage.observed()) {
    Add(it);
  }
}

void FollowerTable::Sums::Add(const proto::Demand& aDemand)
{
  proto::Demand& sum = demand[aDemand.workspace()];
  sum.set_units_per_s(sum.units_per_s() + aDemand.units_per_s());
  sum.set_used(sum.used() + aDemand.used());
}

FollowerTable::Sums FollowerTable::SumFollowers(const core::HostId& aExcludedHost) const
{
  Sums sums;
  for (const auto& [host, follower] : mFollowers) {
    ++sums.hostCount;
    sums.quotaHistorySum += follower.report.quota_memory();
    sums.partialHistoryHosts += follower.report.forgetful();
    if (host == aExcludedHost) {
      continue;
    }
    sums.AddAll(follower.report);
  }
  return sums;
}

template<typename Message>
void FollowerTable::WriteSums(const Sums& aSums, bool aObserved, Message& aMessage)
{
  aMessage.set_hosts(aSums.hostCount);
  aMessage.set_quota_memory(aSums.quotaHistorySum);
  aMessage.set_forgetful(aSums.partialHistoryHosts);
  for (const auto& [upstream, sum] : aSums.inFlight) {
    proto::InFlight* it = aMessage.add_in_flight();
    *it = sum;
    it->set_upstream(upstream);
  }
  for (const auto& [key, requests] : aSums.wanted) {
    proto::Wanted* it = aMessage.add_wanted();
    it->set_service(key.first);
    it->set_rank(key.second);
    it->set_requests(requests);
  }
  for (const auto& [workspace, sum] : aSums.demand) {
    proto::Demand* it = aMessage.add_demand();
    *it = sum;
    it->set_workspace(workspace);
  }
  aMessage.set_has_observed(aObserved);
  if (!aObserved) {
    return;
  }
  for (const auto& [upstream, sum] : aSums.observed) {
    proto::Observed* it = aMessage.add_observed();
    *it = sum;
    it->set_upstream(upstream);
  }
}

void FollowerTable::AddLocalSums(proto::Exchange& aExchange, bool aObserved) const
{
  WriteSums(SumFollowers({}), aObserved, aExchange);
  aExchange.set_pressed(HasFollowerBacklog());
  for (const auto& [host, follower] : mFollowers) {
    aExchange.add_followers(host.Text());
    if (follower.report.evidence_size() == 0) {
      continue;
    }
    proto::HostEvidence* it = aExchange.add_evidence();
    it->set_host(host.Text());
    it->set_life(follower.report.life());
    *it->mutable_evidence() = follower.report.evidence();
  }
}

void FollowerTable::AddRemoteSums(const core::HostId& aHost, proto::Feed& aFeed,
                                  bool aObserved) const
{
  Sums sums = SumFollowers(aHost);
  for (const auto& [host, peer] : mPeers) {
    sums.hostCount += peer.exchange.hosts();
    sums.quotaHistorySum += peer.exchange.quota_memory();
    sums.partialHistoryHosts += peer.exchange.forgetful();
    sums.AddAll(peer.exchange);
  }
  WriteSums(sums, aObserved, aFeed);
  aFeed.set_hosts_known(
    std::max(sums.hostCount, static_cast<std::uint32_t>(mHostLastSeenAt.size())));
}

bool FollowerTable::HasFollowerBacklog() const
{
  return std::any_of(mFollowers.begin(), mFollowers.end(),
                     [](const auto& aItem) { return aItem.second.report.pressed(); });
}

bool FollowerTable::HasBacklog() const
{
  return HasFollowerBacklog() || std::any_of(mPeers.begin(), mPeers.end(), [](const auto& aItem) {
           return aItem.second.exchange.pressed();
         });
}

FollowerTable::EvidenceMap FollowerTable::CollectEvidence() const
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
