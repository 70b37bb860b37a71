#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/EventLoop.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/StallDetector.h"
#include "cuminfield/process/cluster/ClusterSettings.h"
#include "cuminfield/process/cluster/ClusterState.h"
#include "cuminfield/process/cluster/ControlRequestTracker.h"
#include "cuminfield/process/cluster/CrashEvidenceCollector.h"
#include "cuminfield/process/cluster/EvacuationLog.h"
#include "cuminfield/process/cluster/FeedSelector.h"
#include "cuminfield/process/cluster/FollowerTable.h"
#include "cuminfield/process/cluster/GroupHealthLog.h"
#include "cuminfield/process/cluster/MoveCoordinator.h"
#include "cuminfield/process/cluster/RoundPacer.h"
#include "cuminfield/process/cluster/UpstreamRegistry.h"
#include "cuminfield/process/log/DiskOperations.h"
#include "cuminfield/process/log/LogGroup.h"
#include "cuminfield/process/peer/PeerLinks.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminfield::process::cluster {

/// Settings of ControlHost.
struct ControlHostSettings
{
  /// Time between two checks of what is due; the least time between two feeds.
  core::Duration tickInterval = std::chrono::milliseconds(50);
  RoundPacerSettings rounds;
  /// A registry or document that a host has not confirmed is resent after this long.
  core::Duration resendInterval = std::chrono::milliseconds(900);
  /// The registry counts as incomplete for this long after a start, or after this host was cut off;
  /// by then every upstream has sent a heartbeat.
  core::Duration warmUpDuration = std::chrono::milliseconds(4000);
  /// Timeout of a command to the group.
  core::Duration commandTimeout = std::chrono::milliseconds(2500);
  /// Timeout of a read from the group; callers give up after a second.
  core::Duration readTimeout = std::chrono::milliseconds(900);
  /// The list of hosts is not sent before this long after the start: a host that takes a part of
  /// it for the whole would send too much to cold upstreams.
  core::Duration membersDelay = std::chrono::milliseconds(1000);
  /// Timeout of the read of an evacuation order. The order is answered within readTimeout
  /// altogether, so that its caller can send it to another control host in time.
  core::Duration evacuationReadTimeout = std::chrono::milliseconds(450);
  /// Time for requests in progress before the process stops.
  core::Duration shutdownDelay = std::chrono::milliseconds(300);
  /// The process stops after this long although another host could still take over its vote.
  core::Duration shutdownTimeout = std::chrono::milliseconds(6900);
  UpstreamRegistrySettings registry;
  FollowerTableSettings followers;
  FeedSelectorSettings feeds;
  MoveCoordinatorSettings moves;
  ControlRequestTrackerSettings controlRequests;
  GroupHealthLogSettings groupHealth;
};

/// A control host replicates the cluster's state with the other control hosts, receives the
/// heartbeats of upstreams, and sends feeds to the hosts that follow it. It exists for the lifetime
/// of the process and is used on the loop's thread only.
class ControlHost : public sigc::trackable
{
public:
  struct Options
  {
    ControlHostSettings settings{};
    ClusterSettings cluster;
    core::EventLoop& loop;
    peer::PeerLinks& links;
    core::Random& random;
    /// True if a document has a service whose upstreams are paced while they are cold. If it is not
    /// set, the list of hosts is never sent.
    std::function<bool(const std::string&)> hasPacedService{};
  };

  explicit ControlHost(Options aOptions);

  /// Reads the data folder and joins the group. Fails with Io or Corrupt if the folder cannot be
  /// used.
  core::Result<void> Start();

  /// Takes over the seeds of changed settings. Other control hosts that are known stay so.
  void UpdateSeeds(std::vector<core::HostId> aSeeds);

  /// Prepares the end of the process: another control host that is ready votes in place of this
  /// one, so that the next one may stop or fail at once. Calls aDone once, when the process may
  /// end. Later calls change nothing.
  void Shutdown(std::function<void()> aDone);

  using Callback = std::function<void(const core::Result<proto::QueryAnswer>&)>;

  /// Commits a document. Succeeds without a change if a document with a higher number is in force.
  void PutDocument(std::uint64_t aNumber, std::string aText, Callback aDone);

  /// Reads the document in force, as confirmed by a majority.
  void GetDocument(Callback aDone);

  /// Requests a move of a service to a version. A duplicate of an accepted request succeeds, too.
  void StartMove(const std::string& aService, const std::string& aTarget, core::Duration aDuration,
                 Callback aDone);

  /// Reads the latest move of a service; the reply has no move if there was none.
  void GetMove(const std::string& aService, Callback aDone);

  /// Handles a heartbeat. One that announces that the upstream leaves completes when that is
  /// committed; any other completes immediately.
  void HandleHeartbeat(const proto::Upstream& aUpstream, Callback aDone);

  /// Marks an upstream as leaving; completes when that is committed.
  void MarkLeaving(const std::string& aUpstream, Callback aDone);

  /// True if the settings, a registered upstream or an earlier order names this data centre.
  bool KnowsDataCentre(const core::DataCentreId& aDataCentre) const;

  /// Orders that nothing new is sent to the upstreams of a data centre, or revokes it; completes
  /// when that is committed, or in force already. Fails with Conflict if another order for the data
  /// centre was committed since this one read its state, so that a delayed order does not undo a
  /// later one. aIsWanted tells whether the caller still waits; nothing is proposed if not.
  void OrderEvacuation(const core::DataCentreId& aDataCentre, bool aActive,
                       std::function<bool()> aIsWanted, Callback aDone);

  /// Wall clock time in Unix milliseconds.
  std::uint64_t WallClockMs() const;

  /// Emitted when the storage has failed; the process should exit.
  sigc::signal<void(const core::Error&)>& OnFailure() { return mGroup->OnFailure(); }

  log::Role CurrentRole() const { return mGroup->CurrentRole(); }
  bool KnowsLeader() const { return !mGroup->Leader().IsEmpty(); }
  std::uint64_t DocumentNumber() const { return mState.Document().number(); }
  std::size_t FollowerCount() { return mFollowers.Followers().size(); }
  std::size_t UpstreamCount() const { return mRegistry.List().size(); }

  /// Metrics in the Prometheus text exposition format.
  std::string Metrics();

private:
  void Submit(bool aIsQuery, const google::protobuf::MessageLite& aMessage, core::Duration aTimeout,
              Callback aDone);
  /// Submits a control request and logs its waiting time and outcome.
  void SubmitControlRequest(const char* aKind, const std::string& aName,
                            const proto::Command& aCommand, core::Duration aTimeout,
                            Callback aDone);
  void ProposeEvacuation(const proto::Evacuation& aCurrent, bool aActive, core::Duration aTimeout,
                         Callback aDone);
  std::set<core::DataCentreId> EvacuatedDataCentres() const;
  void LogPendingRequests();
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void Tick();
  void SendRound();
  void LogPacing();
  /// Logs what followers cost while there is no leader, and so nothing to tell them.
  void LogLeaderlessLoad();
  void ApplyLeaves();
  void SendFeeds();
  proto::Feed BuildCommonFeed() const;
  std::string BuildOwnPart(const core::HostId& aHost, FollowerTable::Follower& aFollower);
  void UpdateMembers();
  void AddMembers(FollowerTable::Follower& aFollower, proto::Feed& aFeed) const;
  void SendQuarantine();
  void SendExchange();
  std::vector<core::HostId> ListOtherControlHosts() const;
  void AddContacts();
  void RunLeaderTasks();
  void CoordinateMove(const proto::Move& aMove);
  void ProposeVersions();
  void ProposeRegistry();
  void ProposeQuotaRecord();
  void ProposeCrashEvidence();
  bool IsQuotaRecordValid() const;
  void RestoreKnownUpstreams();
  void ProposeLeave(const std::string& aUpstream, std::uint64_t aIncarnation, Callback aDone);
  void CheckShutdown();
  void LogChanges();
  void LogQuarantine();

  Options mOptions;
  std::uint64_t mIncarnation;
  core::Instant mStartedAt;
  core::Instant mCurrentSince; ///< Since when the state has been current without a break.
  ClusterState mState;
  std::unique_ptr<log::DiskOperations> mDisk;
  std::unique_ptr<log::LogStorage> mFileStorage;
  std::unique_ptr<log::LogStorage> mStorage;
  std::unique_ptr<log::LogGroup> mGroup;
  UpstreamRegistry mRegistry;
  FollowerTable mFollowers;
  FeedSelector mFeedSelector;
  MoveCoordinator mMoveCoordinator;
  ControlRequestTracker mControlRequests;
  CrashEvidenceCollector mCrashEvidence;
  EvacuationLog mEvacuationLog;
  GroupHealthLog mGroupHealthLog;
  std::map<std::string, proto::Upstream> mReceivedHeartbeats; ///< Since the last exchange.
  std::map<std::uint64_t, core::Instant> mMoveStartedAt;      ///< Local time, by move number.
  std::map<std::string, core::Instant> mUnversionedSince;     ///< By service without a version.
  core::Instant mLastProposalAt{}; ///< Last proposal of a version, registry or move step.
  std::uint64_t mProposedRegistryRevision = 0; ///< Revision that was last proposed.
  bool mKnownUpstreamsRestored = false;        ///< Done once after the start.
  std::uint64_t mLoggedDocumentNumber = 0;
  std::uint64_t mLoggedChangeIndex = 0;
  core::HostId mLoggedLeader;
  std::uint64_t mLoggedQuarantineRevision = 0;
  std::string mLoggedQuarantine;
  RoundPacer mPacer;
  bool mLoggedSlowed = false;
  std::uint64_t mReportsSinceLoadLog = 0;
  std::uint64_t mRoundsSinceLoadLog = 0;
  core::Instant mLoadLogDue{};
  core::StallDetector mStalls;
  core::TimerHandle mTickTimer;
  std::uint64_t mMessageRounds = 0;   ///< Rounds of exchanges and feeds sent.
  core::Instant mLastQuotaRecordAt{}; ///< Last quota record proposed.
  bool mIncludeObserved = false; ///< This round includes observations and cold times of upstreams.
  std::uint64_t mPacedDocument = 0; ///< Document for which mHasPacedService was determined.
  bool mHasPacedService = false;
  core::Instant mShutdownAt{};         ///< When the shutdown was requested.
  std::function<void()> mShutdownDone; ///< Set while the shutdown goes on.
  std::vector<std::uint32_t> mMembers; ///< The list of hosts in this round; empty: not sent.
  std::uint64_t mMembersRevision = 0;
};

} // namespace cuminfield::process::cluster
