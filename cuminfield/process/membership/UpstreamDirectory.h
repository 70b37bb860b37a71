#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/Ids.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/peer/PeerLinks.h"
#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/request/Upstream.h"

#include <sigc++/sigc++.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminfield::process::membership::proto {
class Gossip;
class Upstream;
} // namespace cuminfield::process::membership::proto

namespace cuminfield::process::membership {

/// Timing of leases and gossip.
struct UpstreamDirectorySettings
{
  /// An upstream that no host has received a message from for this long gets no new work.
  core::Duration leaseDuration = std::chrono::seconds(2);
  /// Interval at which upstreams are asked to renew.
  core::Duration renewPeriod = std::chrono::milliseconds(500);
  /// Interval at which hosts exchange the renewals that they received.
  core::Duration gossipPeriod = std::chrono::milliseconds(300);
  /// How long an entry is stored after the last message from its upstream. The leave of an upstream
  /// is repeated to peers during this time.
  core::Duration entryRetention = std::chrono::seconds(30);
  /// All announcements are sent again every this many gossip rounds, for hosts that missed one.
  std::uint32_t roundsPerFullAnnouncement = 100;
};

/// Tracks the upstreams known to this host, announced to it directly or reported by peers.
/// There is no configured list of upstreams: each entry exists as long as it is renewed. Each host
/// gossips the upstreams that renew at it to the hosts of its own data centre and to one host in
/// every other data centre, which relays the message there. Does no I/O except through PeerLinks.
class UpstreamDirectory : public sigc::trackable
{
public:
  struct Options
  {
    UpstreamDirectorySettings settings{};
    core::HostId self;
    core::DataCentreId dataCentre;
    std::vector<settings::PeerSettings> peers;
    core::TimerService& timers;
    peer::PeerLinks& links;
  };

  /// State of one upstream, for operators.
  struct UpstreamStatus
  {
    request::UpstreamAnnouncement announcement;
    bool available = false;
    bool announcedLocally = false; ///< Announced to this host.
    std::optional<request::LoadReport> load;
  };

  explicit UpstreamDirectory(Options aOptions);

  /// Handles an announcement made to this host. Conflict when this incarnation has already left or
  /// a later one is known.
  core::Result<void> Announce(const request::UpstreamAnnouncement& aAnnouncement);

  /// Handles a renewal made at this host. NotFound: the upstream must announce itself again.
  core::Result<void> Renew(const core::UpstreamId& aId, core::Incarnation aIncarnation,
                           const std::optional<request::LoadReport>& aLoad,
                           const std::vector<request::CacheEvent>& aCache);

  /// Handles an upstream that leaves: it gets no new work from now on.
  void Leave(const core::UpstreamId& aId, core::Incarnation aIncarnation);

  /// Lease and renewal times that are reported to upstreams.
  const UpstreamDirectorySettings& Settings() const { return mOptions.settings; }

  std::vector<UpstreamStatus> List() const;

  sigc::signal<void(const request::UpstreamAnnouncement&)>& OnUpstreamAvailable()
  {
    return mOnUpstreamAvailable;
  }
  sigc::signal<void(const core::UpstreamId&)>& OnUpstreamUnavailable()
  {
    return mOnUpstreamUnavailable;
  }
  sigc::signal<void(const request::LoadReport&)>& OnLoadReport() { return mOnLoadReport; }
  sigc::signal<void(const request::CacheEvent&)>& OnCacheEvent() { return mOnCacheEvent; }

private:
  struct Entry
  {
    request::UpstreamAnnouncement announcement;
    core::Instant lastReceivedAt{}; ///< When any host last received a message from the upstream.
    bool available = false;
    bool hasLeft = false;            ///< This incarnation has left.
    bool announcedLocally = false;   ///< Renews at this host.
    bool announcementDue = false;    ///< The next gossip includes its announcement.
    bool renewedSinceGossip = false; ///< Renewed or announced since the last gossip.
    std::optional<request::LoadReport> load;
    core::Instant loadReceivedAt{};
    std::vector<request::CacheEvent> pendingCacheEvents; ///< Not yet sent to peers.
  };

  void ApplyAnnouncement(Entry& aEntry, const request::UpstreamAnnouncement& aAnnouncement,
                         core::Instant aReceivedAt);
  void MarkAvailableIfLeased(Entry& aEntry);
  void MarkUnavailable(Entry& aEntry);
  void ApplyLoadReport(Entry& aEntry, const request::LoadReport& aLoad);
  void ExpireLeases();

  void SendGossip();
  void AppendUpstream(Entry& aEntry, proto::Gossip& aGossip, bool aWithAnnouncement) const;
  void BroadcastGossip(const proto::Gossip& aGossip);
  std::vector<core::HostId> ChooseRelays() const;
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void ApplyGossip(const proto::Upstream& aUpstream, std::vector<std::string>& aUnknown);
  void SendAnnouncement(const core::HostId& aPeer, const core::UpstreamId& aId);

  Options mOptions;
  std::map<core::UpstreamId, Entry> mEntries;
  std::vector<core::HostId> mLocalHosts; ///< Other hosts of this data centre.
  std::map<core::DataCentreId, std::vector<core::HostId>> mRemoteHosts;
  std::uint64_t mGossipRound = 0;
  core::TimerHandle mGossipTimer;
  core::TimerHandle mLeaseTimer;
  sigc::signal<void(const request::UpstreamAnnouncement&)> mOnUpstreamAvailable;
  sigc::signal<void(const core::UpstreamId&)> mOnUpstreamUnavailable;
  sigc::signal<void(const request::LoadReport&)> mOnLoadReport;
  sigc::signal<void(const request::CacheEvent&)> mOnCacheEvent;
};

} // namespace cuminfield::process::membership
