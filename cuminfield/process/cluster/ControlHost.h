#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/core/EventLoop.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/process/cluster/ClusterSettings.h"
#include "cuminfield/process/cluster/ClusterState.h"
#include "cuminfield/process/cluster/ControlRequestTracker.h"
#include "cuminfield/process/cluster/FollowerTable.h"
#include "cuminfield/process/cluster/MoveCoordinator.h"
#include "cuminfield/process/cluster/UpstreamRegistry.h"
#include "cuminfield/process/log/DiskOperations.h"
#include "cuminfield/process/log/LogGroup.h"
#include "cuminfield/process/peer/PeerLinks.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cuminfield::process::cluster {

/// Tunables of a control host.
struct ControlHostSettings
{
  /// Between two feeds to the hosts that follow.
  core::Duration feedInterval = std::chrono::milliseconds(50);
  /// A registry or document that a host does not confirm is sent to it again after this long.
  core::Duration resendInterval = std::chrono::milliseconds(900);
  /// After a start, the registry is incomplete for this long: every upstream has been heard then.
  core::Duration warmUpDuration = std::chrono::milliseconds(4000);
  /// How long a command to the group may take.
  core::Duration commandTimeout = std::chrono::milliseconds(2500);
  /// How long a read of the group may take; callers give up after a second.
  core::Duration readTimeout = std::chrono::milliseconds(900);
  UpstreamRegistrySettings registry;
  FollowerTableSettings followers;
  MoveCoordinatorSettings moves;
  ControlRequestTrackerSettings controlRequests;
};

/// A control host: keeps the cluster's state with the other control hosts, takes the heartbeats of
/// upstreams, and tells hosts what they must know. Lives for the process, on the loop's thread.
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
  };

  explicit ControlHost(Options aOptions);

  /// Reads the data folder and takes part. Io or Corrupt where the folder cannot be used.
  core::Result<void> Start();

  using Done = std::function<void(const core::Result<proto::QueryAnswer>&)>;

  /// Commits a document; completes also when a higher number is in force.
  void PutDocument(std::uint64_t aNumber, std::string aText, Done aDone);

  /// The document in force, as sure as a majority can tell.
  void GetDocument(Done aDone);

  /// Orders a move of a service to a version; an order that was taken before completes again.
  void StartMove(const std::string& aService, const std::string& aTarget, core::Duration aDuration,
                 Done aDone);

  /// The latest move of a service; the answer has none when there was none.
  void GetMove(const std::string& aService, Done aDone);

  /// A heartbeat. One that says the upstream leaves completes when that is committed; every other
  /// completes at once.
  void HandleHeartbeat(const proto::Upstream& aUpstream, Done aDone);

  /// The upstream leaves; completes when that is committed.
  void MarkLeaving(const std::string& aUpstream, Done aDone);

  /// Emitted when the storage failed: the process should end.
  sigc::signal<void(const core::Error&)>& OnFailure() { return mGroup->OnFailure(); }

  log::Role CurrentRole() const { return mGroup->CurrentRole(); }
  std::uint64_t DocumentNumber() const { return mState.Document().number(); }
  std::size_t FollowerCount() { return mFollowers.Followers().size(); }
  std::size_t UpstreamCount() const { return mRegistry.List().size(); }

private:
  void Submit(bool aQuery, const google::protobuf::MessageLite& aMessage, core::Duration aTimeout,
              Done aDone);
  /// Submits an order from outside; how long it waited, and for what, is logged.
  void SubmitControlRequest(const char* aKind, const std::string& aName,
                            const proto::Command& aCommand, core::Duration aTimeout, Done aDone);
  void LogPendingRequests();
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void Tick();
  void ApplyLeaves();
  void SendFeeds();
  proto::Feed BuildCommonFeed() const;
  void SendFeed(const core::HostId& aHost, FollowerTable::Follower& aFollower,
                const proto::Feed& aCommon);
  void SendExchange();
  std::vector<core::HostId> ListOtherControlHosts() const;
  void RunLeaderTasks();
  void CoordinateMove(const proto::Move& aMove);
  void ProposeVersions();
  void ProposeRegistry();
  void ProposeQuotaRecord();
  bool IsQuotaRecordValid() const;
  void RestoreKnownUpstreams();
  void ProposeLeave(const std::string& aUpstream, std::uint64_t aIncarnation, Done aDone);
  std::uint64_t WallClockMs() const;
  void LogChanges();

  Options mOptions;
  std::uint64_t mIncarnation;
  core::Instant mStartedAt;
  ClusterState mState;
  std::unique_ptr<log::DiskOperations> mDisk;
  std::unique_ptr<log::LogStorage> mFileStorage;
  std::unique_ptr<log::LogStorage> mStorage;
  std::unique_ptr<log::LogGroup> mGroup;
  UpstreamRegistry mRegistry;
  FollowerTable mFollowers;
  MoveCoordinator mMoveCoordinator;
  ControlRequestTracker mControlRequests;
  std::map<std::string, proto::Upstream>
    mReceivedHeartbeats;                                  ///< Heard here since the last exchange.
  std::map<std::uint64_t, core::Instant> mMoveStartedAt;  ///< When this host learned of a move.
  std::map<std::string, core::Instant> mUnversionedSince; ///< Services without a known version.
  core::Instant mLastProposalAt{};                        ///< Last own proposal.
  std::uint64_t mStoredRegistryRevision =
    0; ///< Revision of the registry that was last kept in the state.
  bool mKnownUpstreamsRestored = false; ///< The state's upstreams were taken over after the start.
  std::uint64_t mLoggedDocumentNumber = 0;
  std::uint64_t mLoggedChangeIndex = 0;
  core::HostId mLoggedLeader;
  core::TimerHandle mTickTimer;
  std::uint64_t mTickCount = 0;
  std::uint64_t mMessageRounds = 0;   ///< Rounds of messages sent.
  core::Instant mLastQuotaRecordAt{}; ///< Last record of quotas.
  bool mIncludeObserved = false;      ///< With this tick's messages.
};

} // namespace cuminfield::process::cluster
