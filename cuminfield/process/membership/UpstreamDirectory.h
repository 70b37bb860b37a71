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

/// Tunables of the directory.
struct UpstreamDirectorySettings
{
  /// An upstream not heard of for this long, by any host, gets no new work.
  core::Duration lease = std::chrono::seconds(2);
  /// How often an upstream is asked to renew.
  core::Duration renew = std::chrono::milliseconds(500);
  /// How often hosts tell each other whom they heard.
  core::Duration gossip = std::chrono::milliseconds(300);
  /// How long a leave is remembered and told again.
  core::Duration rememberLeft = std::chrono::seconds(30);
  /// Every this many gossips all announcements go out again, for hosts that missed one.
  std::uint32_t announceEvery = 100;
};

/// The upstreams known to this host: announced to it or heard of from peers, leased, leaving.
/// There is no list of upstreams anywhere; each entry lives as long as it is renewed. Each host
/// tells the hosts of its data centre what it heard itself, and one host of every other data
/// centre, which passes it on. Free of I/O but for its PeerLinks.
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

  /// A line of the directory, for operators.
  struct View
  {
    request::UpstreamAnnouncement announcement;
    bool up = false;
    bool direct = false; ///< Announced to this host.
    std::optional<request::LoadReport> load;
  };

  explicit UpstreamDirectory(Options aOptions);

  /// An upstream announced itself to this host. Conflict when this life of it has said that it
  /// leaves, or a later life is known.
  core::Result<void> Announce(const request::UpstreamAnnouncement& aAnnouncement);

  /// An upstream renewed at this host. NotFound: it must announce itself again.
  core::Result<void> Renew(const core::UpstreamId& aId, core::Incarnation aIncarnation,
                           const std::optional<request::LoadReport>& aLoad,
                           const std::vector<request::CacheEvent>& aCache);

  /// An upstream says that it leaves: no new work for it from now on.
  void Leave(const core::UpstreamId& aId, core::Incarnation aIncarnation);

  /// What an upstream is told of its lease.
  const UpstreamDirectorySettings& Settings() const { return mOptions.settings; }

  std::vector<View> List() const;

  sigc::signal<void(const request::UpstreamAnnouncement&)>& OnUp() { return mOnUp; }
  sigc::signal<void(const core::UpstreamId&)>& OnGone() { return mOnGone; }
  sigc::signal<void(const request::LoadReport&)>& OnLoad() { return mOnLoad; }
  sigc::signal<void(const request::CacheEvent&)>& OnCache() { return mOnCache; }

private:
  struct Entry
  {
    request::UpstreamAnnouncement announcement;
    core::Instant heard{}; ///< When the upstream itself was last heard, by any host.
    bool up = false;
    bool left = false;          ///< This life of it said that it leaves.
    bool direct = false;        ///< It renews at this host.
    bool announceAgain = false; ///< A peer lacks its announcement.
    bool fresh = false;         ///< Heard since the last gossip.
    std::optional<request::LoadReport> load;
    core::Instant loadAt{};
    std::vector<request::CacheEvent> cache; ///< Not yet told to peers.
  };

  void Accept(Entry& aEntry, const request::UpstreamAnnouncement& aAnnouncement,
              core::Instant aHeard);
  void Raise(Entry& aEntry);
  void Lower(Entry& aEntry);
  void TakeLoad(Entry& aEntry, const request::LoadReport& aLoad);
  void CheckLeases();

  void SendGossip();
  void AddUpstream(Entry& aEntry, proto::Gossip& aGossip, bool aWithAnnouncement) const;
  void Broadcast(const proto::Gossip& aGossip);
  std::vector<core::HostId> RelayTargets() const;
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void TakeGossip(const proto::Upstream& aUpstream, std::vector<std::string>& aUnknown);
  void AnnounceTo(const core::HostId& aPeer, const core::UpstreamId& aId);

  Options mOptions;
  std::map<core::UpstreamId, Entry> mEntries;
  std::vector<core::HostId> mNeighbours; ///< The other hosts of this data centre.
  std::map<core::DataCentreId, std::vector<core::HostId>> mRemote;
  std::uint64_t mRound = 0;
  core::TimerHandle mGossipTimer;
  core::TimerHandle mLeaseTimer;
  sigc::signal<void(const request::UpstreamAnnouncement&)> mOnUp;
  sigc::signal<void(const core::UpstreamId&)> mOnGone;
  sigc::signal<void(const request::LoadReport&)> mOnLoad;
  sigc::signal<void(const request::CacheEvent&)> mOnCache;
};

} // namespace cuminfield::process::membership
