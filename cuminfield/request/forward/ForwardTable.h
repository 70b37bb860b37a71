#pragma once

#include "cuminfield/request/forward/RequestForwarder.h"
#include "cuminfield/request/forward/WorkspaceQuota.h"

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cuminfield::request::forward {

/// Owns the RequestForwarders of all active requests of this host.
class ForwardTable
  : public connection::caller::CallerHandler
  , public SchedulerListener
{
public:
  struct Options
  {
    ForwardSettings settings{};
    core::TimerService& timers;
    connection::upstream::UpstreamTransport& transport;
    const ForwardCodec& codec;
    ForwardObserver& observer;
    WorkspaceQuota& quota;
    /// Returns the current catalogue, or null before the first.
    std::function<std::shared_ptr<const version::catalogue::CatalogueIndex>()> catalogue;
    /// False while a newer catalogue may be in force than the one that this host has.
    std::function<bool()> isCatalogueCurrent;
  };

  explicit ForwardTable(Options aOptions);

  /// Must be called before the first request.
  void SetScheduler(placement::PlacementScheduler& aScheduler) { mScheduler = &aScheduler; }

  void OnRequest(connection::caller::CallerRequest aRequest,
                 std::shared_ptr<connection::caller::CallerChannel> aChannel) override;
  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override;
  void OnShed(const core::RequestId& aRequest, ShedReason aReason,
              core::Duration aRetryAfter) override;

  /// Starts the requests that were held until the first catalogue.
  void OnCatalogueAvailable();

  /// From now on every response asks its caller to use another connection.
  void BeginShutdown() { mIsStopping = true; }

  /// From now on new requests are rejected as `not-run`; active requests continue to their end.
  void RejectNewRequests() { mIsRejectingNew = true; }

  /// Ends the active requests that are quarantined, unless they have begun to be answered.
  void AbortQuarantined(const quarantine::QuarantineTable& aQuarantine);

  /// Ends all active requests. Callers are told whether their request may have run.
  void AbortAll();

  std::size_t Size() const { return mForwarders.size(); }

  /// Emitted for each request rejected before it reaches the scheduler, for metrics and the log.
  using RejectedSignal =
    sigc::signal<void(const core::RequestId&, const core::WorkspaceId&, const ForwardFailure&)>;
  RejectedSignal& OnRejected() { return mOnRejected; }

private:
  /// A request that arrived before the first catalogue.
  struct EarlyRequest
  {
    connection::caller::CallerRequest request;
    std::shared_ptr<connection::caller::CallerChannel> channel;
    core::Instant arrival{};
    core::TimerHandle timeoutTimer;
  };

  void HoldUntilCatalogue(connection::caller::CallerRequest aRequest,
                          std::shared_ptr<connection::caller::CallerChannel> aChannel);
  void StartForwarding(connection::caller::CallerRequest aRequest,
                       std::shared_ptr<connection::caller::CallerChannel> aChannel,
                       core::Instant aArrival);
  void Reject(connection::caller::CallerChannel& aChannel, const core::RequestId& aId,
              const core::WorkspaceId& aWorkspace, const ForwardFailure& aFailure);
  void Remove(const core::RequestId& aId);
  std::vector<RequestForwarder*> Active() const;

  Options mOptions;
  placement::PlacementScheduler* mScheduler = nullptr;
  bool mIsStopping = false;
  bool mIsRejectingNew = false;
  std::unordered_map<core::RequestId, std::unique_ptr<RequestForwarder>> mForwarders;
  std::vector<std::unique_ptr<RequestForwarder>> mEndedForwarders; ///< Destroyed by mSweepTimer.
  core::TimerHandle mSweepTimer;
  std::list<EarlyRequest> mEarlyRequests;
  RejectedSignal mOnRejected;
};

} // namespace cuminfield::request::forward
