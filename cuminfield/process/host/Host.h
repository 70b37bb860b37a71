#pragma once

#include "cuminfield/connection/caller/HttpServer.h"
#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"
#include "cuminfield/core/EventLoop.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/process/capacity/CapacityService.h"
#include "cuminfield/process/claims/GroupClaimStorage.h"
#include "cuminfield/process/control/ControlHandler.h"
#include "cuminfield/process/documents/DocumentDistributor.h"
#include "cuminfield/process/documents/OperatorService.h"
#include "cuminfield/process/host/Groups.h"
#include "cuminfield/process/host/RequestObserver.h"
#include "cuminfield/process/membership/UpstreamDirectory.h"
#include "cuminfield/process/metrics/Metrics.h"
#include "cuminfield/process/moves/MoveService.h"
#include "cuminfield/process/peer/GrpcPeerLinks.h"
#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/request/admission/TieredScheduler.h"
#include "cuminfield/request/exchange/ExchangeTable.h"
#include "cuminfield/version/document/DocumentIndex.h"
#include "cuminfield/version/moves/MoveShares.h"
#include "cuminfield/version/moves/ObservationRecorder.h"

#include <memory>
#include <optional>
#include <string>

namespace cuminfield::process::host {

/// One host of the system. Creates and connects all components, and shuts them down in order.
/// Lives for the process; everything runs on the loop's thread.
class Host
{
public:
  struct Options
  {
    settings::HostSettings settings;
    core::EventLoop& loop;
  };

  explicit Host(Options aOptions);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /// Reads the data folder, listens and serves. The error says how to correct the cause.
  core::Result<void> Start();

  /// Graceful shutdown: accepts no new requests, lets every request in flight complete, then stops
  /// the loop. A second call, or the time limit of the settings, aborts and logs the rest.
  void Shutdown();

  /// Exit code of the process: 0 after a graceful shutdown, 1 when requests were aborted or the
  /// storage failed.
  int ExitCode() const { return mExitCode; }

private:
  void ConnectSignals();
  void PublishCommittedDocuments();
  void OnEnvironmentRecord(const state::proto::EnvironmentRecord& aRecord);
  void CheckDrained();
  void AbortRequests();
  void OnStorageFailure(const core::Error& aError);
  std::string MakeShowReport();
  std::string ExposeMetrics();

  Options mOptions;
  core::Random mRandom;
  std::uint64_t mIncarnation; ///< Different for each start of this host.
  std::unique_ptr<peer::GrpcPeerLinks> mLinks;
  std::unique_ptr<Groups> mGroups;
  std::unique_ptr<documents::DocumentDistributor> mDocumentDistributor;
  std::unique_ptr<documents::OperatorService> mOperatorService;
  std::unique_ptr<membership::UpstreamDirectory> mUpstreamDirectory;
  request::capacity::CapacityClient mCapacityClient;
  std::unique_ptr<capacity::CapacityService> mCapacityService;
  std::unique_ptr<claims::GroupClaimStorage> mClaimStore;
  metrics::Metrics mMetrics;
  version::moves::ObservationRecorder mObservationRecorder;
  version::moves::MoveShares mMoveShares;
  RequestObserver mRequestObserver;
  std::unique_ptr<moves::MoveService> mMoveService;
  connection::upstream::HttpUpstreamTransport mTransport;
  std::unique_ptr<request::exchange::ExchangeTable> mExchanges;
  std::unique_ptr<request::admission::TieredScheduler> mScheduler;
  std::unique_ptr<control::ControlHandler> mControlHandler;
  std::unique_ptr<connection::caller::HttpServer> mCallerServer;
  std::unique_ptr<connection::caller::HttpServer> mControlServer;
  std::shared_ptr<const version::document::DocumentIndex> mDocumentIndex;
  std::optional<core::LogIndex> mPublishedIndex; ///< Applied index at the last publication.
  core::TimerHandle mPublishTimer;
  core::TimerHandle mDrainTimer;
  core::TimerHandle mShutdownLimitTimer;
  bool mStopping = false;
  int mExitCode = 0;
};

} // namespace cuminfield::process::host
