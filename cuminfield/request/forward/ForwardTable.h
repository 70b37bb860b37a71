#pragma once

#include "cuminfield/request/forward/Forward.h"
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
  void Attach(placement::PlacementScheduler& aScheduler) { mScheduler = &aScheduler; }

  void OnRequest(connection::caller::CallerRequest aRequest,
                 std::shared_ptr<connection::caller::CallerChannel> aChannel) override;
  void OnDispatch(const core::RequestId& aRequest, const UpstreamAnnouncement& aUpstream) override;
  void OnShed(const core::RequestId& aRequest, ShedReason aReason,
              core::Duration aRetryAfter) override;

  /// The first catalogue is in force: requests that waited for it go on.
  void CatalogueCame();

  /// From now on every answer asks its caller to use another connection.
  void BeginShutdown() { mStopping = true; }

  /// From now on new requests are told that they have not run; those here go on to their end.
  void RefuseNew() { mRefusing = true; }

  /// Ends every request that is left, telling its caller what is true.
  void CutOffAll();

  std::size_t Size() const { return mForwards.size(); }

  /// Refusals by the codec or the quota, for metrics and the log.
  using RefusedSignal =
    sigc::signal<void(const core::RequestId&, const core::WorkspaceId&, const ForwardFailure&)>;
  RefusedSignal& OnRefused() { return mOnRefused; }

private:
  /// A request that came before the first catalogue.
  struct Early
  {
    connection::caller::CallerRequest request;
    std::shared_ptr<connection::caller::CallerChannel> channel;
    core::Instant arrival{};
    core::TimerHandle timer;
  };

  void Hold(connection::caller::CallerRequest aRequest,
            std::shared_ptr<connection::caller::CallerChannel> aChannel);
  void Begin(connection::caller::CallerRequest aRequest,
             std::shared_ptr<connection::caller::CallerChannel> aChannel, core::Instant aArrival);
  void Refuse(connection::caller::CallerChannel& aChannel, const core::RequestId& aId,
              const core::WorkspaceId& aWorkspace, const ForwardFailure& aFailure);
  void Remove(const core::RequestId& aId);

  Options mOptions;
  placement::PlacementScheduler* mScheduler = nullptr;
  bool mStopping = false;
  bool mRefusing = false;
  std::unordered_map<core::RequestId, std::unique_ptr<Forward>> mForwards;
  std::vector<std::unique_ptr<Forward>> mEnded; ///< Destroyed from the loop.
  core::TimerHandle mSweep;
  std::list<Early> mEarly;
  RefusedSignal mOnRefused;
};

} // namespace cuminfield::request::forward
