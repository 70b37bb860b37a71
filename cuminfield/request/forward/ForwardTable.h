#pragma once

#include "cuminfield/request/forward/RequestForwarder.h"
#include "cuminfield/request/forward/WorkspaceQuota.h"

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cuminfield::request::forward {

/// All forwarded requests of this host that have not ended.
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
    /// The catalogue in force, or null before the first.
    std::function<std::shared_ptr<const version::catalogue::CatalogueIndex>()> catalogue;
  };

  explicit ForwardTable(Options aOptions);

  /// Names the scheduler; before the first request.
  void SetScheduler(placement::PlacementScheduler& aScheduler) { mScheduler = &aScheduler; }

  void OnRequest(connection::caller::CallerRequest aRequest,
                 std::shared_ptr<connection::caller::CallerChannel> aChannel) override;
  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override;
  void OnShed(const core::RequestId& aRequest, ShedReason aReason,
              core::Duration aRetryAfter) override;

  /// The first catalogue is in force: requests that waited for it go on.
  void OnCatalogueAvailable();

  /// From now on every answer asks its caller to use another connection.
  void BeginShutdown() { mIsStopping = true; }

  /// From now on new requests are told that they have not run; those here go on to their end.
  void RejectNewRequests() { mIsRejectingNew = true; }

  /// Ends every request that is left, telling its caller what is true.
  void AbortAll();

  std::size_t Size() const { return mForwarders.size(); }

  /// Refusals by the codec or the quota, for metrics and the log.
  using RejectedSignal =
    sigc::signal<void(const core::RequestId&, const core::WorkspaceId&, const ForwardFailure&)>;
  RejectedSignal& OnRejected() { return mOnRejected; }

private:
  /// A request that came before the first catalogue.
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

  Options mOptions;
  placement::PlacementScheduler* mScheduler = nullptr;
  bool mIsStopping = false;
  bool mIsRejectingNew = false;
  std::unordered_map<core::RequestId, std::unique_ptr<RequestForwarder>> mForwarders;
  std::vector<std::unique_ptr<RequestForwarder>> mEndedForwarders; ///< Destroyed from the loop.
  core::TimerHandle mSweepTimer;
  std::list<EarlyRequest> mEarlyRequests;
  RejectedSignal mOnRejected;
};

} // namespace cuminfield::request::forward
