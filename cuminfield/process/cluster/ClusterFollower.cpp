#include "cuminfield/process/cluster/ClusterFollower.h"

#include "cuminfield/process/logging/EventLog.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cuminfield::process::cluster {

namespace {

/// A control host that was abandoned is selected last for this long.
constexpr core::Duration kAvoidDuration = std::chrono::seconds(5);

/// After following a control host of another data centre for a random time between these, the
/// follower returns to one of its own data centre. All hosts of a data centre lose their control
/// host at the same moment and must not return to it at the same moment.
constexpr core::Duration kMinReturnToLocalDelay = std::chrono::seconds(4);
constexpr core::Duration kMaxReturnToLocalDelay = std::chrono::seconds(10);

/// Age of the received state from which on it is logged as outdated.
constexpr core::Duration kOutdatedAge = std::chrono::milliseconds(1000);

/// Time for a nearer control host to send a feed: two of its slowest rounds and a new connection.
constexpr core::Duration kTrialTimeout = std::chrono::milliseconds(600);

/// A control host that no feed has listed for this long has been removed. Data centres may lose
/// each other for minutes.
constexpr core::Duration kControlHostRetention = std::chrono::hours(1);

/// Delay of a hastened report: what is found out in quick succession goes into one.
constexpr core::Duration kHastenedReportDelay = std::chrono::milliseconds(5);

/// Ticks that may be missed before this process counts as stalled.
constexpr int kTicksUntilStall = 3;

} // namespace

ClusterFollower::ClusterFollower(Options aOptions)
  : mOptions(std::move(aOptions))
  , mStalls(mOptions.settings.reportInterval * kTicksUntilStall)
{
  for (const core::HostId& it : mOptions.cluster.seeds) {
    mControlHosts[it].isSeed = true;
  }
  mOptions.links.OnMessage().connect(sigc::mem_fun(*this, &ClusterFollower::OnMessage));
}

void ClusterFollower::Start()
{
  Follow(SelectControlHost(), "start");
  mStalls.Update(mOptions.timers.Now());
  mTickTimer = mOptions.timers.ScheduleEvery(mOptions.settings.reportInterval, [this] { Tick(); });
}

std::optional<core::Duration> ClusterFollower::FeedAge() const
{
  if (!mFirstFeedAt) {
    return std::nullopt;
  }
  return mOptions.timers.Now() - mLastReceivedAt;
}

std::optional<core::Duration> ClusterFollower::StateAge() const
{
  if (!mFirstFeedAt) {
    return std::nullopt;
  }
  return mOptions.timers.Now() - mStateCurrentAt;
}

void ClusterFollower::Tick()
{
  ExcuseStall();
  LogStateAge();
  ReconsiderControlHost();
  if (IsReportDue()) {
    SendReport();
  }
}

void ClusterFollower::ExcuseStall()
{
  const core::Duration stall = mStalls.Update(mOptions.timers.Now());
  if (stall == core::Duration::zero()) {
    return;
  }
  logging::Event(
    logging::Level::Warning, "host-stalled",
    { { "ms", std::chrono::duration_cast<std::chrono::milliseconds>(stall).count() } });
  mLastReceivedAt += stall;
  mLeaderLastKnownAt += stall;
  mStateCurrentAt += stall;
}

void ClusterFollower::LogStateAge()
{
  const core::Duration age = StateAge().value_or(core::Duration::zero());
  const bool isOutdated = age > kOutdatedAge;
  if (isOutdated == std::exchange(mLoggedOutdated, isOutdated)) {
    return;
  }
  logging::Event(isOutdated ? logging::Level::Warning : logging::Level::Info,
                 isOutdated ? "state-outdated" : "state-current",
                 { { "control_host", mFollowed.Text() },
                   { "document", mDocumentNumber },
                   { "age_ms", static_cast<std::int64_t>(core::Milliseconds(age)) } });
}

bool ClusterFollower::IsReportDue() const
{
  // A control host that is busy announces longer intervals; reports then come less often, too.
  const core::Duration wanted =
    mOptions.hasBacklog() ? mOptions.settings.reportInterval : mOptions.settings.idleReportInterval;
  const core::Duration tolerance = mOptions.settings.reportInterval / 2;
  return mOptions.timers.Now() - mLastReportAt + tolerance >= std::max(wanted, mFeedInterval);
}

void ClusterFollower::HastenReport()
{
  if (!mHastenedTimer.IsActive()) {
    mHastenedTimer = mOptions.timers.ScheduleAfter(kHastenedReportDelay, [this] { SendReport(); });
  }
}

void ClusterFollower::SendReport()
{
  proto::Report report;
  report.set_document_number(mDocumentNumber);
  report.set_registry_revision(mRegistryRevision);
  report.set_data_centre(mOptions.cluster.dataCentre.Text());
  report.set_pressed(mOptions.hasBacklog());
  mOptions.fillReport(report);
  mLastReportAt = mOptions.timers.Now();
  if (mFirstFeedAt) {
    SendTo(mFollowed, mFollowEpoch, report);
    if (!mTried.IsEmpty()) {
      SendTo(mTried, mTriedEpoch, std::move(report));
    }
    return;
  }
  // Nothing can be served before the first feed, so the first control host that responds is
  // followed.
  for (const auto& [host, known] : mControlHosts) {
    SendTo(host, mFollowEpoch, report);
  }
}

void ClusterFollower::SendTo(const core::HostId& aHost, std::uint64_t aEpoch, proto::Report aReport)
{
  proto::Message message;
  *message.mutable_report() = std::move(aReport);
  message.mutable_report()->set_life(mOptions.incarnation);
  message.mutable_report()->set_follow_epoch(aEpoch);
  mOptions.links.Send(
    aHost, { .channel = peer::Channel::Cluster, .payload = message.SerializeAsString() });
}

void ClusterFollower::SendUnfollow()
{
  proto::Report report;
  report.set_unfollows(true);
  SendTo(mFollowed, mFollowEpoch, std::move(report));
}

void ClusterFollower::ReconsiderControlHost()
{
  const core::Instant now = mOptions.timers.Now();
  const core::Instant lastReceived = std::max(mLastReceivedAt, mFollowedSince);
  if (now - lastReceived > mSilenceTimeout) {
    Abandon(mFollowed);
    Follow(SelectControlHost(), "silent");
    return;
  }
  if (now - std::max(mLeaderLastKnownAt, mFollowedSince) > mOptions.settings.leaderlessTimeout) {
    Abandon(mFollowed);
    Follow(SelectControlHost(), "no-leader");
    return;
  }
  ReturnToLocal();
}

void ClusterFollower::ReturnToLocal()
{
  const core::Instant now = mOptions.timers.Now();
  if (!mTried.IsEmpty()) {
    if (now - mTriedSince > kTrialTimeout) {
      logging::Event(logging::Level::Info, "control-host-not-followed",
                     { { "control_host", mTried.Text() }, { "reason", "no-newer-feed" } });
      Abandon(mTried);
      EndTrial();
    }
    return;
  }
  if (!mFirstFeedAt || IsLocal(mFollowed) || now < mReturnDueAt) {
    return;
  }
  const core::HostId candidate = SelectControlHost();
  const KnownControlHost& known = mControlHosts[candidate];
  const bool isAvoided = known.abandonedAt && now - *known.abandonedAt < kAvoidDuration;
  if (IsLocal(candidate) && known.isListed && !isAvoided) {
    mTried = candidate;
    mTriedSince = now;
    mTriedEpoch = ++mLastEpoch;
  }
}

void ClusterFollower::EndTrial()
{
  mTried = core::HostId();
  // The tried control host may have counted this host, with a newer epoch than the followed one.
  mFollowEpoch = ++mLastEpoch;
}

void ClusterFollower::Abandon(const core::HostId& aHost)
{
  mControlHosts[aHost].abandonedAt = mOptions.timers.Now();
}

bool ClusterFollower::IsLocal(const core::HostId& aHost) const
{
  const auto it = mControlHosts.find(aHost);
  return it != mControlHosts.end() && it->second.dataCentre == mOptions.cluster.dataCentre.Text();
}

core::HostId ClusterFollower::SelectControlHost() const
{
  // Random ranks distribute the hosts over the control hosts. Listed ones go first, then those of
  // this data centre.
  const core::Instant now = mOptions.timers.Now();
  std::vector<std::pair<double, core::HostId>> candidates;
  for (const auto& [host, known] : mControlHosts) {
    double rank = mOptions.random.Uniform();
    rank += IsLocal(host) ? 0 : 1;
    rank += known.isListed ? 0 : 2;
    if (known.abandonedAt && now - *known.abandonedAt < kAvoidDuration) {
      rank += 4 + core::Seconds(kAvoidDuration - (now - *known.abandonedAt));
    }
    candidates.emplace_back(rank, host);
  }
  return candidates.empty() ? core::HostId()
                            : std::min_element(candidates.begin(), candidates.end())->second;
}

void ClusterFollower::Follow(const core::HostId& aHost, const char* aReason)
{
  if (!mFollowed.IsEmpty()) {
    logging::Event(logging::Level::Info, "control-host-left",
                   { { "control_host", mFollowed.Text() }, { "reason", aReason } });
  }
  if (mFirstFeedAt) {
    SendUnfollow();
  }
  mFollowEpoch = aHost == mTried ? mTriedEpoch : ++mLastEpoch;
  mTried = core::HostId();
  mFollowed = aHost;
  mFollowedSince = mOptions.timers.Now();
  mSilenceTimeout =
    core::Scaled(mOptions.settings.silenceTimeout,
                 1 + mOptions.settings.silenceTimeoutSpread * mOptions.random.Uniform());
  mReturnDueAt =
    mFollowedSince + kMinReturnToLocalDelay +
    core::Scaled(kMaxReturnToLocalDelay - kMinReturnToLocalDelay, mOptions.random.Uniform());
  mFeedInterval = core::Duration::zero();
  mRegistryRevision = 0;
  mFeedIncarnation = 0;
}

void ClusterFollower::OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage)
{
  const bool isExpected = aFrom == mFollowed || aFrom == mTried || !mFirstFeedAt;
  if (aMessage.channel != peer::Channel::Cluster || !isExpected) {
    return;
  }
  proto::Message message;
  if (!message.ParseFromString(aMessage.payload)) {
    logging::Event(logging::Level::Warning, "message-unreadable", { { "from", aFrom.Text() } });
    return;
  }
  HandleMessage(aFrom, message);
}

void ClusterFollower::HandleMessage(const core::HostId& aFrom, proto::Message& aMessage)
{
  if (aMessage.has_quarantine()) {
    mOnQuarantine.emit(aMessage.quarantine());
    return;
  }
  if (!aMessage.has_feed() || !MayFollow(aFrom, aMessage.feed())) {
    return;
  }
  if (aFrom != mFollowed) {
    Follow(aFrom, mFirstFeedAt ? "nearer" : "first-answer");
  }
  HandleFeed(*aMessage.mutable_feed());
}

bool ClusterFollower::MayFollow(const core::HostId& aFrom, const proto::Feed& aFeed) const
{
  if (!mFirstFeedAt) {
    // Without a leader or document, it cannot tell what is in force; another control host may.
    return aFeed.led() && aFeed.document_number() > 0;
  }
  const bool isCurrent = aFeed.led() && aFeed.document_number() >= mDocumentNumber &&
                         aFeed.state_applied() >= mStateApplied;
  return aFrom == mFollowed || isCurrent;
}

void ClusterFollower::UpdateControlHosts(const proto::Feed& aFeed)
{
  const core::Instant now = mOptions.timers.Now();
  for (auto& [host, known] : mControlHosts) {
    known.isListed = false;
  }
  for (const proto::ControlHost& it : aFeed.control_hosts()) {
    KnownControlHost& known = mControlHosts[core::HostId(it.host())];
    known.dataCentre = it.data_centre();
    known.isListed = true;
    known.lastListedAt = now;
  }
  std::erase_if(mControlHosts, [&](const auto& aItem) {
    const KnownControlHost& known = aItem.second;
    return !known.isSeed && aItem.first != mFollowed && aItem.first != mTried &&
           now - known.lastListedAt > kControlHostRetention;
  });
}

void ClusterFollower::HandleFeed(proto::Feed& aFeed)
{
  const core::Instant now = mOptions.timers.Now();
  if (!mFirstFeedAt || now - mLastReceivedAt > mOptions.settings.silenceTimeout ||
      mFeedIncarnation == 0) {
    logging::Event(logging::Level::Info, "control-host-followed",
                   { { "control_host", mFollowed.Text() },
                     { "document", aFeed.document_number() },
                     { "registry", aFeed.registry_revision() } });
  }
  mLastReceivedAt = now;
  mFeedInterval = std::chrono::milliseconds(aFeed.interval_ms());
  if (!mFirstFeedAt) {
    mFirstFeedAt = now;
    mStateCurrentAt = now;
  }
  if (aFeed.led()) {
    mLeaderLastKnownAt = now;
    mStateCurrentAt =
      std::max(mStateCurrentAt, now - std::chrono::milliseconds(aFeed.state_age_ms()));
  }
  if (aFeed.life() != mFeedIncarnation) {
    mFeedIncarnation = aFeed.life();
    mRegistryRevision = 0;
  }
  UpdateControlHosts(aFeed);
  if (aFeed.registry()) {
    mRegistryRevision = aFeed.registry_revision();
  }
  if (aFeed.has_document() && aFeed.document().number() <= mDocumentNumber) {
    aFeed.clear_document();
  }
  if (aFeed.state_applied() < mStateApplied) {
    // This control host lags behind the one that was followed before.
    aFeed.clear_moves();
    aFeed.clear_versions();
    aFeed.set_state_applied(0);
  } else {
    mStateApplied = aFeed.state_applied();
  }
  mOnFeed.emit(aFeed);
}

} // namespace cuminfield::process::cluster
