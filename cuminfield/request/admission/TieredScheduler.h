#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/admission/PoolQueues.h"
#include "cuminfield/request/admission/RequestTable.h"
#include "cuminfield/request/admission/SchedulerSettings.h"
#include "cuminfield/request/capacity/CapacityView.h"
#include "cuminfield/request/capacity/DemandReport.h"
#include "cuminfield/request/routing/Fleet.h"
#include "cuminfield/request/routing/Router.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace cuminfield::request::admission {

/// What a TieredScheduler is built from. The references must outlive it.
struct TieredSchedulerOptions
{
  SchedulerSettings settings;
  core::TimerService& timers;
  core::Random& random;
  SchedulerListener& listener;
  const VersionChooser& versions;
  const capacity::CapacityView* capacity = nullptr; ///< None: capacity is not shared out.
  core::HostId host;
  core::DataCentreId dataCentre;
  core::RegionId region;
};

/// Admission and routing of one host. Requests wait here and not inside the engines: by pool, by
/// tier, and by fair share of their workspaces. docs/design/Admission.md states the rule that
/// decides who is dispatched and who is shed; docs/design/Routing.md says how an upstream is
/// chosen. Allocates nothing in steady state besides what the requests bring along.
class TieredScheduler : public Scheduler
{
public:
  explicit TieredScheduler(const TieredSchedulerOptions& aOptions);

  void Submit(RequestSpec aSpec) override;
  void Withdraw(const core::RequestId& aRequest) override;
  void OnFirstToken(const core::RequestId& aRequest) override;
  void OnToken(const core::RequestId& aRequest) override;
  void OnAttemptEnded(const core::RequestId& aRequest, AttemptOutcome aOutcome) override;
  void AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream) override;
  void RemoveUpstream(const core::UpstreamId& aUpstream) override;
  void OnLoadReport(const LoadReport& aReport) override;
  void OnCacheEvent(const CacheEvent& aEvent) override;

  /// Sheds everything that waits and all that is submitted from now on; requests in flight go on.
  void Shutdown();

  /// Requests that wait, over all pools.
  std::size_t WaitingCount() const;

  /// Requests that wait or are in flight.
  std::size_t Size() const { return mRequests.Size(); }

  /// Fills in what this host needs of its data centre's upstreams and what it uses of them.
  void FillDemandReport(capacity::DemandReport& aReport) const;

  /// Requests of a tier that were shed so far for overload or a deadline out of reach.
  std::uint64_t ShedCount(TierRank aTier) const { return mShedCounts[TierIndex(aTier)]; }

private:
  struct Expiry
  {
    core::Instant at{};
    RequestIndex request = 0;
    std::uint32_t generation = 0;
  };

  static bool ExpiresLater(const Expiry& aLeft, const Expiry& aRight);

  void Enqueue(RequestIndex aRequest);
  void ScheduleExpiry(RequestIndex aRequest);
  core::Instant LatestStart(const RequestSpec& aSpec, const routing::Pool& aPool) const;
  routing::PoolIndex ChoosePool(const RequestState& aState);
  std::uint32_t InternWorkspace(const core::WorkspaceId& aWorkspace);

  void MarkDirty(routing::PoolIndex aPool);
  void MarkAllDirty();
  void RunQueues();
  void RunPoolQueues(routing::PoolIndex aPool);
  bool DispatchFront(routing::PoolIndex aPool, std::size_t aTier);
  bool RequeueIfVersionChanged(RequestIndex aRequest);
  bool MayOverflow(const RequestState& aState, const routing::Pool& aPool) const;
  std::optional<RequestIndex> FindPlaceableHigherTierRequest(routing::PoolIndex aPool,
                                                             std::size_t aTier,
                                                             routing::UpstreamIndex aUpstream);
  void Dispatch(RequestIndex aRequest, const routing::Placement& aPlacement);

  void RemoveFromQueue(RequestIndex aRequest, bool aServed);
  void ReleaseUpstreamLoad(RequestState& aState);
  void UpdateUpstreamHealth(routing::UpstreamState& aUpstream, AttemptOutcome aOutcome);
  void RetryOrShed(RequestIndex aRequest);
  void ShedRequest(RequestIndex aRequest, ShedReason aReason);
  void ShedExcess(routing::PoolIndex aPool);
  void ShedAllWaiting(routing::PoolIndex aPool);
  void RemoveRequest(RequestIndex aRequest);
  void Tick();
  void ShedExpired();

  SchedulerSettings mSettings;
  core::TimerService& mTimers;
  SchedulerListener& mListener;
  const VersionChooser& mVersions;
  const capacity::CapacityView* mCapacity;
  routing::Fleet mFleet;
  routing::Router mRouter;
  RequestTable mRequests;
  std::deque<PoolQueues> mPoolQueues; ///< By pool.
  std::unordered_map<core::WorkspaceId, std::uint32_t> mWorkspaceIndices;
  std::vector<Expiry> mExpiries; ///< Heap, the earliest first.
  std::vector<routing::PoolIndex> mDirtyPools;

  std::array<std::uint64_t, kTierCount> mShedCounts{};
  std::array<core::Instant, kTierCount> mLastShedAt{}; ///< Last shed for overload.
  RetryBudget mRetryBudget;
  std::uint64_t mCapacityEpoch = 0;
  core::RequestId mDispatchingId; ///< Kept to be passed on: the request may end inside the call.
  bool mRunningQueues = false;
  bool mShutDown = false;
  core::TimerHandle mTickTimer;
};

} // namespace cuminfield::request::admission
