#include "cuminfield/process/cluster/ClusterFollower.h"

#include "cuminfield/process/logging/EventLog.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cuminfield::process::cluster {

namespace {

/// A control host that was found silent is tried last for this long.
constexpr core::Duration kAvoid = std::chrono::seconds(5);

/// A control host in this data centre is gone back to after this long with another one.
constexpr core::Duration kReturnHome = std::chrono::seconds(6);

} // namespace

ClusterFollower::ClusterFollower(Options aOptions)
  : mOptions(std::move(aOptions))
{
  for (const core::HostId& it : mOptions.cluster.seeds) {
    mControlHosts[it];
  }
  mOptions.links.OnMessage().connect(sigc::mem_fun(*this, &ClusterFollower::OnMessage));
}

void ClusterFollower::Start()
{
  Follow(Next(), "start");
  mTick = mOptions.timers.Every(mOptions.settings.report, [this] { Tick(); });
}

std::optional<core::Duration> ClusterFollower::FeedAge() const
{
  if (!mFirstFeed) {
    return std::nullopt;
  }
  return mOptions.timers.Now() - mHeard;
}

void ClusterFollower::Tick()
{
  ChangeIfSilent();
  if (mOptions.pressed() || mTicks++ % mOptions.settings.calmReports == 0) {
    Report();
  }
}

void ClusterFollower::Report()
{
  proto::Message message;
  proto::Report* report = message.mutable_report();
  report->set_life(mOptions.life);
  report->set_document_number(mDocumentNumber);
  report->set_registry_revision(mRegistryRevision);
  report->set_data_centre(mOptions.cluster.dataCentre.Text());
  report->set_pressed(mOptions.pressed());
  mOptions.describe(*report);
  const std::string payload = message.SerializeAsString();
  if (mFirstFeed) {
    mOptions.links.Send(mFollowed, { .channel = peer::Channel::Cluster, .payload = payload });
    return;
  }
  // Nothing can be served before the first feed: whoever answers first is followed.
  for (const auto& [host, dataCentre] : mControlHosts) {
    mOptions.links.Send(host, { .channel = peer::Channel::Cluster, .payload = payload });
  }
}

void ClusterFollower::ChangeIfSilent()
{
  const core::Instant now = mOptions.timers.Now();
  const core::Instant heard = std::max(mHeard, mFollowedSince);
  if (now - heard > mOptions.settings.silence) {
    mGivenUp[mFollowed] = now;
    Follow(Next(), "silent");
    return;
  }
  if (now - std::max(mLed, mFollowedSince) > mOptions.settings.leaderless) {
    mGivenUp[mFollowed] = now;
    Follow(Next(), "no-leader");
    return;
  }
  const bool away = mControlHosts[mFollowed] != mOptions.cluster.dataCentre.Text();
  if (away && now - mFollowedSince > kReturnHome) {
    const core::HostId next = Next();
    if (mControlHosts[next] == mOptions.cluster.dataCentre.Text()) {
      Follow(next, "nearer");
    }
  }
}

core::HostId ClusterFollower::Next() const
{
  // Hosts spread over the control hosts; those of the same data centre are preferred.
  const core::Instant now = mOptions.timers.Now();
  std::vector<std::pair<double, core::HostId>> ranked;
  for (const auto& [host, dataCentre] : mControlHosts) {
    const auto silent = mGivenUp.find(host);
    double rank = mOptions.random.Uniform();
    rank += dataCentre == mOptions.cluster.dataCentre.Text() ? 0 : 1;
    if (silent != mGivenUp.end() && now - silent->second < kAvoid) {
      rank += 2 + core::Seconds(kAvoid - (now - silent->second));
    }
    ranked.emplace_back(rank, host);
  }
  return ranked.empty() ? core::HostId() : std::min_element(ranked.begin(), ranked.end())->second;
}

void ClusterFollower::Follow(const core::HostId& aHost, const char* aReason)
{
  if (!mFollowed.Empty()) {
    logging::Event(logging::Level::Info, "control-host-left",
                   { { "control_host", mFollowed.Text() }, { "reason", aReason } });
  }
  mFollowed = aHost;
  mFollowedSince = mOptions.timers.Now();
  mRegistryRevision = 0;
  mFeedLife = 0;
}

void ClusterFollower::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  const bool expected = aFrom == mFollowed || !mFirstFeed;
  if (aMessage.channel != peer::Channel::Cluster || !expected) {
    return;
  }
  proto::Message message;
  if (!message.ParseFromString(aMessage.payload)) {
    logging::Event(logging::Level::Warning, "message-unreadable", { { "from", aFrom.Text() } });
    return;
  }
  if (message.has_feed()) {
    if (!mFirstFeed && (!message.feed().led() || message.feed().document_number() == 0)) {
      return; // It knows nothing yet; another one may.
    }
    if (aFrom != mFollowed) {
      Follow(aFrom, "first-answer");
    }
    TakeFeed(*message.mutable_feed());
  }
}

void ClusterFollower::TakeFeed(proto::Feed& aFeed)
{
  const core::Instant now = mOptions.timers.Now();
  if (!mFirstFeed || now - mHeard > mOptions.settings.silence || mFeedLife == 0) {
    logging::Event(logging::Level::Info, "control-host-followed",
                   { { "control_host", mFollowed.Text() },
                     { "document", aFeed.document_number() },
                     { "registry", aFeed.registry_revision() } });
  }
  mHeard = now;
  if (!mFirstFeed) {
    mFirstFeed = now;
  }
  if (aFeed.led()) {
    mLed = now;
  }
  if (aFeed.life() != mFeedLife) {
    mFeedLife = aFeed.life();
    mRegistryRevision = 0;
  }
  for (const proto::ControlHost& it : aFeed.control_hosts()) {
    mControlHosts[core::HostId(it.host())] = it.data_centre();
  }
  if (aFeed.registry()) {
    mRegistryRevision = aFeed.registry_revision();
  }
  if (aFeed.has_document() && aFeed.document().number() <= mDocumentNumber) {
    aFeed.clear_document();
  }
  if (aFeed.state_applied() < mStateApplied) {
    // A control host that lags behind the one followed before.
    aFeed.clear_moves();
    aFeed.clear_versions();
    aFeed.set_state_applied(0);
  } else {
    mStateApplied = aFeed.state_applied();
  }
  mOnFeed.emit(aFeed);
}

} // namespace cuminfield::process::cluster
