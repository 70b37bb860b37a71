#pragma once

#include "cuminfield/connection/caller/HttpServer.h"
#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"
#include "cuminfield/connection/upstream/ReachabilityChecker.h"
#include "cuminfield/core/EventLoop.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/process/cluster/ClusterFollower.h"
#include "cuminfield/process/cluster/EvacuationLog.h"
#include "cuminfield/process/cluster/ForwardMonitor.h"
#include "cuminfield/process/cluster/VersionShares.h"
#include "cuminfield/process/peer/PeerLinks.h"
#include "cuminfield/request/forward/ForwardTable.h"
#include "cuminfield/request/placement/CatalogueRegionPolicy.h"
#include "cuminfield/request/placement/PlacementScheduler.h"
#include "cuminfield/version/catalogue/CatalogueIndex.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminfield::process::cluster {

/// Settings of EntryHost.
struct EntryHostSettings
{
  request::placement::PlacementSettings placement;
  request::forward::ForwardSettings forward;
  request::forward::WorkspaceQuotaSettings quota;
  VersionSharesSettings versions;
  connection::upstream::HttpUpstreamTransportSettings transport;
  connection::upstream::ReachabilityCheckerSettings reachability;
  connection::caller::HttpServerSettings server;
  /// Requests still in flight this long after the shutdown began are aborted.
  core::Duration shutdownTimeout = std::chrono::milliseconds(7000);
  /// New requests are accepted for this long after the shutdown began: the load balancer needs two
  /// checks, one second apart, to notice it. At most for half of shutdownTimeout.
  core::Duration acceptAfterStop = std::chrono::milliseconds(2500);
  /// Callers that read slowly get this much longer for the last bytes of their responses.
  core::Duration finalWriteTimeout = std::chrono::milliseconds(600);
};

/// A host between callers and upstreams, in a cluster that it finds through seeds. It exists for
/// the lifetime of the process and is used on the loop's thread only.
class EntryHost
{
public:
  /// Parses the text of a document into a catalogue.
  using CatalogueParser =
    std::function<core::Result<version::catalogue::Catalogue>(const std::string&)>;

  struct Options
  {
    EntryHostSettings settings{};
    ClusterSettings cluster;
    settings::Endpoint callerEndpoint;
    core::EventLoop& loop;
    peer::PeerLinks& links;
    core::Random& random;
    const request::forward::ForwardCodec& codec;
    CatalogueParser parseCatalogue;
  };

  explicit EntryHost(Options aOptions);

  /// Starts listening for callers and following a control host.
  core::Result<void> Start();

  /// Takes over the seeds of changed settings.
  void UpdateSeeds(const std::vector<core::HostId>& aSeeds) { mFollower.UpdateSeeds(aSeeds); }

  /// True when callers can be served: a catalogue is in force, upstreams are known, and no shutdown
  /// has begun.
  bool IsReady() const;

  /// Begins a graceful shutdown; the loop stops when all requests have ended.
  void Shutdown();

  /// The metrics in the text exposition format.
  std::string Metrics();

private:
  void OnFeed(const proto::Feed& aFeed);
  void ApplyEvacuations(const proto::Feed& aFeed);
  void ApplyDocument(const proto::Document& aDocument);
  /// Logs the regions of the catalogue that no data centre has.
  void LogUnknownRegions() const;
  request::UpstreamAnnouncement ToAnnouncement(const proto::Upstream& aUpstream) const;
  void ApplyQuarantine(const proto::Quarantine& aQuarantine);
  void CheckUpstream(const request::quarantine::Crash& aCrash);
  void ApplyRegistry(const proto::Feed& aFeed);
  void ApplyMembers(const proto::Feed& aFeed);
  void ApplyUpstreamStates(const proto::Feed& aFeed);
  void ApplyRemoteLoad(const proto::Feed& aFeed);
  void FillReport(proto::Report& aReport);
  void FillAwaitedHeartbeats(proto::Report& aReport);
  void FillCrashReports(proto::Report& aReport);
  void CheckDrained();
  std::string WaitMetrics() const;

  Options mOptions;
  request::forward::WorkspaceQuota mQuota;
  VersionShares mVersionShares;
  ForwardMonitor mMonitor;
  connection::upstream::HttpUpstreamTransport mTransport;
  request::forward::ForwardTable mForwards;
  request::placement::CatalogueRegionPolicy mRegionPolicy;
  request::placement::PlacementScheduler mScheduler;
  connection::upstream::ReachabilityChecker mReachability;
  connection::caller::HttpServer mServer;
  ClusterFollower mFollower;
  EvacuationLog mEvacuationLog;
  std::shared_ptr<const version::catalogue::CatalogueIndex> mCatalogue;
  std::set<core::UpstreamId> mKnownUpstreams; ///< Upstreams in the last registry.
  bool mHasRegistry = false;                  ///< A registry was received since the start.
  bool mStopping = false;
  core::Instant mStopRequestedAt{};
  std::size_t mAbortedRequests = 0; ///< Because the shutdown took too long.
  core::TimerHandle mDrainTimer;
  std::uint64_t mReportCount = 0;
  std::uint64_t mStateApplied = 0;    ///< Of the last feed that was not older than the known state.
  std::uint64_t mMembersRevision = 0; ///< Of the known list of hosts.
};

} // namespace cuminfield::process::cluster
