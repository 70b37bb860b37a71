#include "cuminfield/process/cluster/FollowerTable.h"

#include "cuminfield/request/placement/RendezvousSet.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::cluster {

namespace {

/// Drops what the running sums hold, too, except for the demand.
template<typename Message>
void ClearAmounts(Message& aMessage)
{
  aMessage.clear_in_flight();
  aMessage.clear_wanted();
  aMessage.clear_observed();
}

FollowVersion VersionOf(const proto::Report& aReport)
{
  return { .life = aReport.life(), .epoch = aReport.follow_epoch() };
}

/// The departed that a control host reports are kept under its id, in place of a host's.
FollowVersion VersionOf(const proto::Exchange& aExchange)
{
  return { .life = aExchange.life() };
}

template<typename Message>
void WriteDeparted(const DepartedUsage::UsedByWorkspace& aUsed, Message& aMessage)
{
  for (const auto& [workspace, used] : aUsed) {
    proto::Demand* it = aMessage.add_departed();
    it->set_workspace(workspace);
    it->set_used(used);
  }
}

/// Erases the senders that were last heard before aSince, after aRemove(id, sender) has taken them
/// out of the sums.
template<typename Map, typename Remover>
void EraseSilent(Map& aSenders, core::Instant aSince, const Remover& aRemove)
{
  for (auto it = aSenders.begin(); it != aSenders.end();) {
    if (it->second.lastReceivedAt >= aSince) {
      ++it;
      continue;
    }
    aRemove(it->first, it->second);
    it = aSenders.erase(it);
  }
}

} // namespace

void FollowerTable::OnTrialReport(const core::HostId& aHost, proto::Report aReport,
                                  core::Instant aNow)
{
  const auto it = mFollowers.find(aHost);
  const bool isCounted = it != mFollowers.end() && !it->second.isTrial;
  if (isCounted || aReport.unfollows()) {
    RemoveFollower(aHost, isCounted);
  }
  if (!aReport.unfollows()) {
    Follower& follower = mFollowers[aHost];
    follower.isTrial = true;
    follower.report = std::move(aReport);
    follower.lastReceivedAt = aNow;
  }
}

void FollowerTable::OnReport(const core::HostId& aHost, proto::Report aReport, core::Instant aNow)
{
  if (aReport.trial()) {
    OnTrialReport(aHost, std::move(aReport), aNow);
    return;
  }
  KnownHost& known = mKnownHosts[aHost];
  const FollowVersion version = VersionOf(aReport);
  // A new incarnation counts even if its number is lower: incarnations are wall clock times, which
  // may jump back, and a host that is ignored gets no feeds.
  if (version.life == known.version.life && version.epoch < known.version.epoch) {
    return; // Overtaken by the host's turn to another control host.
  }
  known.version = version;
  if (aReport.unfollows()) {
    // Until it reports to another control host.
    RemoveFollower(aHost, true);
    return;
  }
  known.lastSeenAt = aNow;
  Follower& follower = mFollowers[aHost];
  if (follower.isTrial) {
    follower = Follower{};
    follower.report.set_life(aReport.life());
  }
  if (follower.report.life() != aReport.life()) {
    KeepUsage(aHost, follower);
    follower.sentRegistryRevision = 0;
    follower.sentDocumentNumber = 0;
    follower.sentQuarantineRevision = 0;
    follower.crashesReceived = 0;
    follower.sentMembersRevision = 0;
    follower.awaited.Clear();
  }
  mDeparted.Remove(aHost, version);
  mSums.Replace(follower.part, aReport);
  mLocalSums.Replace(follower.localPart, aReport);
  ClearAmounts(aReport);
  if (aReport.awaited_size() > 0) {
    follower.awaited.Swap(aReport.mutable_awaited());
  }
  follower.report = std::move(aReport);
  follower.lastReceivedAt = aNow;
}

bool FollowerTable::IsOvertakenBy(const core::HostId& aHost, const FollowVersion& aVersion,
                                  core::Instant aNow) const
{
  const FollowVersion& known = mKnownHosts.at(aHost).version;
  if (aVersion.life == known.life) {
    return aVersion.epoch > known.epoch;
  }
  // The clock times of incarnations don't tell which one lives; reports do.
  const auto own = mFollowers.find(aHost);
  return own == mFollowers.end() ||
         aNow - own->second.lastReceivedAt > mSettings.otherIncarnationDelay;
}

void FollowerTable::KeepUsage(const core::HostId& aHost, const Follower& aFollower)
{
  mDeparted.Add(aHost, VersionOf(aFollower.report), aFollower.report.demand(),
                aFollower.lastReceivedAt);
}

void FollowerTable::RemoveFollower(const core::HostId& aHost, bool aKeepUsage)
{
  const auto it = mFollowers.find(aHost);
  if (it == mFollowers.end()) {
    return;
  }
  if (aKeepUsage) {
    KeepUsage(aHost, it->second);
  }
  mSums.Remove(it->second.part);
  mLocalSums.Remove(it->second.localPart);
  mFollowers.erase(it);
}

void FollowerTable::OnExchange(const core::HostId& aControlHost, proto::Exchange aExchange,
                               core::Instant aNow)
{
  mDepartedOfPeers.Remove(aControlHost, VersionOf(aExchange));
  Peer& peer = mPeers[aControlHost];
  mSums.Replace(peer.part, aExchange);
  ClearAmounts(aExchange);
  aExchange.clear_demand();
  aExchange.clear_upstreams();
  peer.exchange = std::move(aExchange);
  peer.lastReceivedAt = aNow;
  const proto::Exchange& exchange = peer.exchange;
  for (int i = 0; i < exchange.followers_size(); ++i) {
    const core::HostId host(exchange.followers(i));
    mKnownHosts[host].lastSeenAt = aNow;
    if (i < exchange.follower_lives_size() && i < exchange.follower_epochs_size()) {
      HandleListedFollower(
        host, { .life = exchange.follower_lives(i), .epoch = exchange.follower_epochs(i) }, aNow);
    }
  }
}

void FollowerTable::HandleListedFollower(const core::HostId& aHost, const FollowVersion& aVersion,
                                         core::Instant aNow)
{
  mDeparted.Remove(aHost, aVersion);
  if (!IsOvertakenBy(aHost, aVersion, aNow)) {
    return;
  }
  mKnownHosts[aHost].version = aVersion;
  // The other control host counts this incarnation, but no former one.
  const auto own = mFollowers.find(aHost);
  if (own != mFollowers.end() && own->second.isTrial) {
    return;
  }
  RemoveFollower(aHost, own != mFollowers.end() && own->second.report.life() != aVersion.life);
}

void FollowerTable::OnStall(core::Duration aDuration)
{
  for (auto& [host, follower] : mFollowers) {
    follower.lastReceivedAt += aDuration;
  }
  for (auto& [host, peer] : mPeers) {
    peer.lastReceivedAt += aDuration;
  }
  // A list without most hosts would let each of the others take part in slow starts.
  for (auto& [host, known] : mKnownHosts) {
    known.lastSeenAt += aDuration;
  }
}

void FollowerTable::Expire(core::Instant aNow)
{
  EraseSilent(mFollowers, aNow - mSettings.silenceTimeout,
              [this](const core::HostId& aHost, Follower& aFollower) {
                if (aFollower.isTrial) {
                  return;
                }
                KeepUsage(aHost, aFollower);
                mSums.Remove(aFollower.part);
                mLocalSums.Remove(aFollower.localPart);
              });
  EraseSilent(mPeers, aNow - mSettings.controlHostSilenceTimeout,
              [this](const core::HostId& aHost, Peer& aPeer) {
                mDepartedOfPeers.Add(aHost, VersionOf(aPeer.exchange), aPeer.exchange.departed(),
                                     aPeer.lastReceivedAt);
                mSums.Remove(aPeer.part);
              });
  mDeparted.Expire(aNow);
  mDepartedOfPeers.Expire(aNow);
  std::erase_if(mKnownHosts, [&](const auto& aItem) {
    return aNow - aItem.second.lastSeenAt > mSettings.hostRetention;
  });
}

void FollowerTable::AddLocalSums(proto::Exchange& aExchange, bool aObserved)
{
  mLocalSums.Write(nullptr, aObserved, aExchange);
  DepartedUsage::UsedByWorkspace departed;
  mDeparted.AddTo(departed);
  WriteDeparted(departed, aExchange);
  aExchange.set_pressed(HasFollowerBacklog());
  for (const auto& [host, follower] : mFollowers) {
    if (follower.isTrial) {
      continue;
    }
    aExchange.add_followers(host.Text());
    aExchange.add_follower_lives(follower.report.life());
    aExchange.add_follower_epochs(follower.report.follow_epoch());
    if (follower.report.evidence_size() == 0) {
      continue;
    }
    proto::HostEvidence* it = aExchange.add_evidence();
    it->set_host(host.Text());
    it->set_life(follower.report.life());
    *it->mutable_evidence() = follower.report.evidence();
  }
}

void FollowerTable::AddRemoteSums(const core::HostId& aHost, proto::Feed& aFeed, bool aObserved)
{
  const auto follower = mFollowers.find(aHost);
  mSums.Write(follower == mFollowers.end() ? nullptr : &follower->second.part, aObserved, aFeed);
  aFeed.set_hosts_known(
    std::max(mSums.HostCount(), static_cast<std::uint32_t>(mKnownHosts.size())));
}

void FollowerTable::AddDeparted(proto::Feed& aFeed) const
{
  DepartedUsage::UsedByWorkspace departed;
  mDeparted.AddTo(departed);
  mDepartedOfPeers.AddTo(departed);
  for (const auto& [host, peer] : mPeers) {
    for (const proto::Demand& it : peer.exchange.departed()) {
      departed[it.workspace()] += it.used();
    }
  }
  WriteDeparted(departed, aFeed);
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
    if (follower.isTrial) {
      continue;
    }
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

std::vector<std::uint32_t> FollowerTable::Members() const
{
  std::vector<std::uint32_t> members;
  members.reserve(mKnownHosts.size());
  for (const auto& [host, known] : mKnownHosts) {
    members.push_back(request::placement::RendezvousSet::HashOf(host.Text()));
  }
  std::sort(members.begin(), members.end());
  return members;
}

std::map<core::HostId, std::string> FollowerTable::ControlHosts() const
{
  std::map<core::HostId, std::string> hosts;
  for (const auto& [host, peer] : mPeers) {
    hosts[host] = peer.exchange.data_centre();
  }
  return hosts;
}

std::set<core::HostId> FollowerTable::NamedControlHosts() const
{
  std::set<core::HostId> hosts;
  for (const auto& [host, peer] : mPeers) {
    for (const std::string& it : peer.exchange.control_hosts()) {
      hosts.insert(core::HostId(it));
    }
  }
  return hosts;
}

} // namespace cuminfield::process::cluster
