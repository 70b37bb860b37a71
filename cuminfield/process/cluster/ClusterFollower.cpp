#include "cuminfield/process/cluster/ClusterFollower.h"

#include "cuminfield/process/cluster/FeedSelector.h"
#include "cuminfield/process/logging/EventLog.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cuminfield::process::cluster {

namespace {

/// A control host that was abandoned is selected last, and not tried, for this long.
constexpr core::Duration kAvoidDuration = std::chrono::seconds(5);

/// After following a control host of another data centre for a random time between these, the
/// follower returns to one of its own data centre. All hosts of a data centre lose their control
/// host at the same moment and must not return to it at the same moment.
constexpr core::Duration kMinReturnToLocalDelay = std::chrono::seconds(4);
constexpr core::Duration kMaxReturnToLocalDelay = std::chrono::seconds(10);

/// Time for a tried control host to send a feed: two of its slowest rounds and a new connection.
constexpr core::Duration kTrialTimeout = std::chrono::milliseconds(600);

/// A control host that is cut off drops the others from its list after the silence of a second.
/// Lists of senders whose state is older than this don't count.
constexpr core::Duration kMaxListAge = std::chrono::milliseconds(500);

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
  , mFirstFeedBackoff(mOptions.settings.firstFeed)
  , mStalls(mOptions.settings.reportInterval * kTicksUntilStall)
{
  for (const core::HostId& it : mOptions.cluster.seeds) {
    mControlHosts[it].isSeed = true;
  }
  mOptions.links.OnMessage().connect(sigc::mem_fun(*this, &ClusterFollower::OnMessage));
}

void ClusterFollower::Start()
{
  Follow(SelectControlHost(Candidates::All), "start");
  mStalls.Update(mOptions.timers.Now());
  mTickTimer = mOptions.timers.ScheduleEvery(mOptions.settings.reportInterval, [this] { Tick(); });
}

void ClusterFollower::UpdateSeeds(const std::vector<core::HostId>& aSeeds)
{
  const core::Instant now = mOptions.timers.Now();
  for (auto& [host, known] : mControlHosts) {
    if (std::exchange(known.isSeed, false)) {
      known.lastListedAt = now;
    }
  }
  for (const core::HostId& it : aSeeds) {
    mControlHosts[it].isSeed = true;
  }
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
  logging::Event(logging::Level::Warning, "host-stalled",
                 { { "ms", static_cast<std::int64_t>(core::Milliseconds(stall)) } });
  mLastReceivedAt += stall;
  mFollowedSince += stall;
  // The state did age, but the followed control host may be about to send a newer one.
  mNextTrialAt = mOptions.timers.Now() + mOptions.settings.silenceTimeout;
}

void ClusterFollower::LogStateAge()
{
  const bool isOutdated = IsOutdated();
  if (isOutdated == std::exchange(mLoggedOutdated, isOutdated)) {
    return;
  }
  logging::Event(isOutdated ? logging::Level::Warning : logging::Level::Info,
                 isOutdated ? "state-outdated" : "state-current",
                 { { "control_host", mFollowed.Text() },
                   { "document", mDocumentNumber },
                   { "age_ms", static_cast<std::int64_t>(core::Milliseconds(*StateAge())) } });
}

bool ClusterFollower::IsOutdated() const
{
  return StateAge() > mOptions.settings.outdatedAge;
}

bool ClusterFollower::IsReportDue() const
{
  // A control host that is busy announces longer intervals; reports then come less often, too.
  const ClusterFollowerSettings& settings = mOptions.settings;
  const core::Duration elapsed =
    mOptions.timers.Now() - mLastReportAt + settings.reportInterval / 2;
  if (!mFirstFeedAt) {
    return elapsed >= settings.searchReportInterval;
  }
  const core::Duration wanted =
    mOptions.hasBacklog() ? settings.reportInterval : settings.idleReportInterval;
  return elapsed >= std::max(wanted, mFeedInterval);
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
  report.set_searching(!mFirstFeedAt);
  mOptions.fillReport(report);
  mLastReportAt = mOptions.timers.Now();
  SendTo(mFollowed, mFollowEpoch, std::move(report));
  if (!mTried.IsEmpty()) {
    SendTrial(false);
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

void ClusterFollower::SendTrial(bool aIsOver)
{
  proto::Report report;
  report.set_trial(true);
  report.set_unfollows(aIsOver);
  report.set_document_number(mDocumentNumber);
  report.set_data_centre(mOptions.cluster.dataCentre.Text());
  SendTo(mTried, 0, std::move(report));
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
  const bool isSilent = HasFeedFromFollowed()
                          ? now - std::max(mLastReceivedAt, mFollowedSince) > mSilenceTimeout
                          : now - mFollowedSince > mFirstFeedTimeout;
  if (!isSilent) {
    UpdateTrial();
    return;
  }
  const bool hasNoState = !mFirstFeedAt && mLastReceivedAt >= mFollowedSince;
  Abandon(mFollowed);
  Follow(SelectControlHost(Candidates::All), hasNoState ? "no-current-state" : "silent");
  HastenReport();
}

void ClusterFollower::UpdateTrial()
{
  const core::Instant now = mOptions.timers.Now();
  if (!mTried.IsEmpty()) {
    if (now - mTriedSince > kTrialTimeout) {
      RejectTried("no-newer-feed");
    }
    return;
  }
  mTried = SelectTrial();
  if (!mTried.IsEmpty()) {
    mTriedSince = now;
    SendTrial(false);
  }
}

core::HostId ClusterFollower::SelectTrial() const
{
  const bool isOutdated = IsOutdated();
  const bool isReturnDue =
    mFirstFeedAt && !IsLocal(mFollowed) && mOptions.timers.Now() >= mReturnDueAt;
  if (isOutdated ? mOptions.timers.Now() < mNextTrialAt : !isReturnDue) {
    return {};
  }
  const core::HostId candidate = SelectControlHost(Candidates::Others);
  const auto it = mControlHosts.find(candidate);
  const bool isEligible =
    it != mControlHosts.end() && (isOutdated || (IsLocal(candidate) && it->second.isListed));
  return isEligible && !WasAbandonedWithin(it->second, kAvoidDuration) ? candidate : core::HostId();
}

void ClusterFollower::RejectTried(const char* aReason)
{
  logging::Event(logging::Level::Info, "control-host-not-followed",
                 { { "control_host", mTried.Text() }, { "reason", aReason } });
  SendTrial(true);
  Abandon(mTried);
  mTried = core::HostId();
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

bool ClusterFollower::WasAbandonedWithin(const KnownControlHost& aKnown,
                                         core::Duration aMaxAge) const
{
  return aKnown.abandonedAt && mOptions.timers.Now() - *aKnown.abandonedAt < aMaxAge;
}

core::HostId ClusterFollower::SelectControlHost(Candidates aCandidates) const
{
  // Random ranks distribute the hosts over the control hosts. Listed ones go first, then those of
  // this data centre.
  const core::Instant now = mOptions.timers.Now();
  std::vector<std::pair<double, core::HostId>> candidates;
  for (const auto& [host, known] : mControlHosts) {
    if (aCandidates == Candidates::Others && host == mFollowed) {
      continue;
    }
    double rank = mOptions.random.Uniform();
    rank += IsLocal(host) ? 0 : 1;
    rank += known.isListed ? 0 : 2;
    if (WasAbandonedWithin(known, kAvoidDuration)) {
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
  ++mFollowEpoch;
  mTried = core::HostId();
  mFollowed = aHost;
  mFollowedSince = mOptions.timers.Now();
  mNextTrialAt = mFollowedSince + kTrialTimeout;
  mFirstFeedTimeout = mFirstFeedBackoff.Next(mOptions.random);
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
  if (!aMessage.has_feed()) {
    return;
  }
  AddControlHosts(aMessage.feed());
  if (!MayFollow(aFrom, aMessage.feed())) {
    if (!mFirstFeedAt && aFrom == mFollowed) {
      mLastReceivedAt = mOptions.timers.Now();
    } else if (aFrom == mTried && !IsCurrent(aMessage.feed())) {
      RejectTried("outdated");
    }
    return;
  }
  if (aFrom == mTried) {
    // Its sums still hold this host's own amounts; the next feed is made for a follower.
    FollowSender(aFrom);
    HastenReport();
    return;
  }
  if (aFrom != mFollowed) {
    FollowSender(aFrom);
  }
  HandleFeed(*aMessage.mutable_feed());
}

void ClusterFollower::FollowSender(const core::HostId& aFrom)
{
  if (!mFirstFeedAt) {
    Follow(aFrom, "first-answer");
  } else if (IsOutdated()) {
    Abandon(mFollowed);
    Follow(aFrom, "outdated");
  } else {
    Follow(aFrom, "nearer");
  }
}

bool ClusterFollower::IsCurrent(const proto::Feed& aFeed) const
{
  return aFeed.led() &&
         std::chrono::milliseconds(aFeed.state_age_ms()) <= mOptions.settings.outdatedAge;
}

bool ClusterFollower::MayFollow(const core::HostId& aFrom, const proto::Feed& aFeed) const
{
  if (!mFirstFeedAt) {
    // Without a current state or document, it cannot tell what is in force; another one may.
    return FeedSelector::MayBeFollowedFirst(aFeed, mOptions.settings.outdatedAge);
  }
  const bool isNoOlder =
    aFeed.document_number() >= mDocumentNumber && aFeed.state_applied() >= mStateApplied;
  const bool isNewer = isNoOlder && (aFeed.document_number() > mDocumentNumber ||
                                     aFeed.state_applied() > mStateApplied);
  // Without a leader no state is current, but each holds only what was committed.
  return aFrom == mFollowed || (isNoOlder && IsCurrent(aFeed)) || (isNewer && IsOutdated());
}

void ClusterFollower::AddControlHosts(const proto::Feed& aFeed)
{
  for (const proto::ControlHost& it : aFeed.control_hosts()) {
    KnownControlHost& known = mControlHosts[core::HostId(it.host())];
    known.dataCentre = it.data_centre();
    known.lastListedAt = mOptions.timers.Now();
  }
}

void ClusterFollower::UpdateControlHosts(const proto::Feed& aFeed)
{
  const core::Instant now = mOptions.timers.Now();
  for (auto& [host, known] : mControlHosts) {
    known.isListed = false;
  }
  for (const proto::ControlHost& it : aFeed.control_hosts()) {
    mControlHosts[core::HostId(it.host())].isListed = true;
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
  mFirstFeedBackoff.Reset();
  mLastReceivedAt = now;
  mFeedInterval = std::chrono::milliseconds(aFeed.interval_ms());
  if (!mFirstFeedAt) {
    mFirstFeedAt = now;
  }
  if (aFeed.led()) {
    mStateCurrentAt =
      std::max(mStateCurrentAt, now - std::chrono::milliseconds(aFeed.state_age_ms()));
  }
  if (aFeed.life() != mFeedIncarnation) {
    mFeedIncarnation = aFeed.life();
    mRegistryRevision = 0;
  }
  if (aFeed.led() && std::chrono::milliseconds(aFeed.state_age_ms()) <= kMaxListAge) {
    UpdateControlHosts(aFeed);
  }
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
    aFeed.clear_evacuations();
    aFeed.set_state_applied(0);
  } else {
    mStateApplied = aFeed.state_applied();
  }
  mOnFeed.emit(aFeed);
}

} // namespace cuminfield::process::cluster
