#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/cluster/ClusterSettings.h"
#include "cuminfield/process/cluster/cluster.pb.h"
#include "cuminfield/process/peer/PeerLinks.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace cuminfield::process::cluster {

/// Tunables of a follower.
struct ClusterFollowerSettings
{
  /// Between two reports while requests wait: then hosts compete for places.
  core::Duration reportInterval = std::chrono::milliseconds(50);
  /// At other times every so many of these.
  std::uint64_t idleTicksPerReport = 2;
  /// A control host that sends nothing for this long is left for another one.
  core::Duration silenceTimeout = std::chrono::milliseconds(900);
  /// One that has no leader is left after this long, if another one has.
  core::Duration leaderlessTimeout = std::chrono::milliseconds(1500);
};

/// A host's tie to the control hosts: follows one of them, reports to it, and changes to another
/// one when it falls silent. What is learned never goes back: documents by number, moves by log
/// index. Free of I/O but for its PeerLinks.
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
    /// True while requests wait here.
    std::function<bool()> hasBacklog;
    /// Adds to a report what this host uses and asks for.
    std::function<void(proto::Report&)> fillReport;
  };

  explicit ClusterFollower(Options aOptions);

  /// Starts to report.
  void Start();

  /// The feed of the control host that is followed; parts that are older than what is known are
  /// taken out.
  sigc::signal<void(const proto::Feed&)>& OnFeed() { return mOnFeed; }

  /// Says that the document of this number is in force here.
  void SetDocumentNumber(std::uint64_t aNumber) { mDocumentNumber = aNumber; }

  /// Since the last feed; nothing before the first.
  std::optional<core::Duration> FeedAge() const;

private:
  void Tick();
  void SendReport();
  void ReconsiderControlHost();
  void Follow(const core::HostId& aHost, const char* aReason);
  core::HostId SelectControlHost() const;
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void HandleFeed(proto::Feed& aFeed);

  Options mOptions;
  std::map<core::HostId, std::string> mControlHosts;  ///< With their data centres, as far as known.
  std::map<core::HostId, core::Instant> mAbandonedAt; ///< When it was last found silent.
  core::HostId mFollowed;
  core::Instant mFollowedSince{};
  core::Instant mLastReceivedAt{};
  core::Instant mLeaderLastKnownAt{};
  std::optional<core::Instant> mFirstFeedAt;
  std::uint64_t mFeedIncarnation = 0;
  std::uint64_t mRegistryRevision = 0;
  std::uint64_t mDocumentNumber = 0;
  std::uint64_t mStateApplied = 0;
  std::uint64_t mTickCount = 0;
  core::TimerHandle mTickTimer;
  sigc::signal<void(const proto::Feed&)> mOnFeed;
};

} // namespace cuminfield::process::cluster
