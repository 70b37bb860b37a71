#pragma once

#include "cuminfield/core/Backoff.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/StallDetector.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/cluster/ClusterSettings.h"
#include "cuminfield/process/cluster/cluster.pb.h"
#include "cuminfield/process/peer/PeerLinks.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::process::cluster {

/// Settings of ClusterFollower.
struct ClusterFollowerSettings
{
  /// Time between two reports while requests wait, when hosts compete for free slots.
  core::Duration reportInterval = std::chrono::milliseconds(50);
  /// Time between two reports while no request waits.
  core::Duration idleReportInterval = std::chrono::milliseconds(100);
  /// A control host that has sent feeds and then nothing for this long is replaced by another one.
  /// Time in which this process itself did not run doesn't count.
  core::Duration silenceTimeout = std::chrono::milliseconds(900);
  /// The silence timeout is extended by a random part of itself up to this one, so that the
  /// followers of a control host that fails don't all reach the next one at the same time.
  double silenceTimeoutSpread = 0.2;
  /// Other control hosts are tried when the received state has not been current for this long. The
  /// election of a leader takes less.
  core::Duration outdatedAge = std::chrono::milliseconds(1200);
  /// Time between two reports before the first feed that may be followed. Nothing is served yet, so
  /// a report only keeps the control host sending.
  core::Duration searchReportInterval = std::chrono::milliseconds(250);
  /// How long a control host that has sent no feed yet is asked before the next one is. All hosts
  /// may ask at once, so the first feed of a busy one may take longer than a round.
  core::BackoffSettings firstFeed{ .initial = std::chrono::milliseconds(800),
                                   .maximum = std::chrono::seconds(4) };
};

/// Connects a host to the control hosts: follows one of them, sends it reports, and switches to
/// another one when it falls silent. Received state never goes back to an older one: documents are
/// ordered by number, moves by log index. Performs I/O only through PeerLinks.
///
/// Control hosts are replaced at other addresses. Each feed lists those that its sender hears from,
/// and one that is not listed is followed only if no other is left. A sender that is cut off from
/// the leader hears from none, so only lists of senders with a current state tell who is gone; the
/// others just name further control hosts, since the seeds may be new themselves, or cut off.
///
/// Before the first feed of a sender with a current state, one control host after the other is
/// asked, in random order and with growing delays, and so it is after a control host fell silent.
/// All hosts may start or turn to others at once: control hosts that have to answer each of them do
/// not find each other, and hosts that leave one before it can answer go round for good.
///
/// Each feed tells how old the sender's state is. While feeds come, the followed control host is
/// left only for one that has sent a current feed, so that the change leaves no time without feeds:
/// another one is tried when the state is outdated, and a nearer one when a control host of another
/// data centre has been followed for some time. An outdated state is also left for a newer one that
/// is not current, since there may be no leader for long.
class ClusterFollower : public sigc::trackable
{
public:
  struct Options
  {
    ClusterFollowerSettings settings{};
    ClusterSettings cluster;
    std::uint64_t incarnation = 0;
    core::TimerService& timers;
    peer::PeerLinks& links;
    core::Random& random;
    /// True while requests wait on this host.
    std::function<bool()> hasBacklog;
    /// Adds this host's usage and demand to a report.
    std::function<void(proto::Report&)> fillReport;
  };

  explicit ClusterFollower(Options aOptions);

  /// Starts sending reports.
  void Start();

  /// Takes over the seeds of changed settings. Other control hosts that are known stay so.
  void UpdateSeeds(const std::vector<core::HostId>& aSeeds);

  /// Emitted with each feed of the followed control host, without the parts that are older than the
  /// known state.
  sigc::signal<void(const proto::Feed&)>& OnFeed() { return mOnFeed; }

  /// Emitted with each quarantine that the followed control host sends.
  sigc::signal<void(const proto::Quarantine&)>& OnQuarantine() { return mOnQuarantine; }

  /// Sends a report soon, without waiting until it is due.
  void HastenReport();

  /// Sets the number of the document in force on this host.
  void SetDocumentNumber(std::uint64_t aNumber) { mDocumentNumber = aNumber; }

  /// Time since the last feed; empty before the first one.
  std::optional<core::Duration> FeedAge() const;

  /// Time since the state of any followed control host was known to be current; empty before the
  /// first feed. Feeds may go on while it grows.
  std::optional<core::Duration> StateAge() const;

  /// True while a newer state may be in force than the received one.
  bool IsOutdated() const;

private:
  struct KnownControlHost
  {
    std::string dataCentre; ///< Empty if unknown.
    bool isSeed = false;
    bool isListed = false;        ///< In the latest feed.
    core::Instant lastListedAt{}; ///< Or when the host became known.
    std::optional<core::Instant> abandonedAt;
  };

  enum class Candidates
  {
    All,
    Others, ///< All except the followed one.
  };

  void Tick();
  void ExcuseStall();
  bool IsReportDue() const;
  void SendReport();
  void SendTo(const core::HostId& aHost, std::uint64_t aEpoch, proto::Report aReport);
  void ReconsiderControlHost();
  /// True once the followed control host has sent a feed since this host turned to it.
  bool HasFeedFromFollowed() const { return mFeedIncarnation != 0; }
  void LogStateAge();
  void UpdateTrial();
  core::HostId SelectTrial() const;
  void Abandon(const core::HostId& aHost);
  void Follow(const core::HostId& aHost, const char* aReason);
  void RejectTried(const char* aReason);
  /// Asks the tried control host for feeds, or tells it that the trial is over.
  void SendTrial(bool aIsOver);
  void SendUnfollow();
  core::HostId SelectControlHost(Candidates aCandidates) const;
  bool WasAbandonedWithin(const KnownControlHost& aKnown, core::Duration aMaxAge) const;
  bool IsLocal(const core::HostId& aHost) const;
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void HandleMessage(const core::HostId& aFrom, proto::Message& aMessage);
  void FollowSender(const core::HostId& aFrom);
  bool IsCurrent(const proto::Feed& aFeed) const;
  bool MayFollow(const core::HostId& aFrom, const proto::Feed& aFeed) const;
  void HandleFeed(proto::Feed& aFeed);
  void AddControlHosts(const proto::Feed& aFeed);
  void UpdateControlHosts(const proto::Feed& aFeed);

  Options mOptions;
  std::map<core::HostId, KnownControlHost> mControlHosts;
  core::HostId mFollowed; ///< Before the first feed: the control host that is asked.
  core::HostId mTried;    ///< Control host that is asked for a current feed, if any.
  core::Instant mFollowedSince{};
  core::Instant mLastReceivedAt{};
  std::optional<core::Instant> mFirstFeedAt;
  core::Instant mStateCurrentAt{}; ///< When the received state was last known to be current.
  bool mLoggedOutdated = false;
  std::uint64_t mFeedIncarnation = 0;
  std::uint64_t mRegistryRevision = 0;
  std::uint64_t mDocumentNumber = 0;
  std::uint64_t mStateApplied = 0;
  std::uint64_t mFollowEpoch = 0; ///< Increases with each control host that is followed.
  core::Instant mTriedSince{};
  core::Instant mNextTrialAt{};          ///< No trial for an outdated state before.
  core::Instant mReturnDueAt{};          ///< When a nearer control host is tried.
  core::Backoff mFirstFeedBackoff;       ///< Starts anew with each first feed.
  core::Duration mFirstFeedTimeout{ 0 }; ///< Drawn for the followed control host, like the next.
  core::Duration mSilenceTimeout{ 0 };
  core::Duration mFeedInterval{ 0 }; ///< As announced by the control host.
  core::Instant mLastReportAt{};
  core::StallDetector mStalls;
  core::TimerHandle mTickTimer;
  core::TimerHandle mHastenedTimer;
  sigc::signal<void(const proto::Feed&)> mOnFeed;
  sigc::signal<void(const proto::Quarantine&)> mOnQuarantine;
};

} // namespace cuminfield::process::cluster
