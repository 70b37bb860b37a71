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

/// Settings and dependencies of a TieredScheduler. The references must outlive it.
struct TieredSchedulerOptions
{
  SchedulerSettings settings;
  core::TimerService& timers;
  core::Random& random;
  SchedulerListener& listener;
  const VersionChooser& versions;
  const capacity::CapacityView* capacity = nullptr; ///< Null if capacity is not shared among hosts.
  core::HostId host;
  core::DataCentreId dataCentre;
  core::RegionId region;
};

/// Admission and routing of one host. Requests wait in this process and not inside the engines,
/// queued by pool, tier and fair share of their workspace. docs/design/Admission.md states the rule
/// for dispatching and shedding, docs/design/Routing.md the choice of an upstream. In steady state
/// it allocates nothing besides the submitted requests.
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

  /// Sheds all waiting and newly submitted requests. Requests in flight continue.
  void Shutdown();

  /// Number of waiting requests over all pools.
  std::size_t WaitingCount() const;

  /// Number of requests that wait or are in flight.
  std::size_t Size() const { return mRequests.Size(); }

  /// Fills in this host's demand for the upstreams of its data centre and its requests in flight
  /// there.
  void FillDemandReport(capacity::DemandReport& aReport) const;

  /// Number of requests of a tier shed for overload or an unreachable deadline.
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
  std::vector<Expiry> mExpiries; ///< Heap with the earliest on top.
  std::vector<routing::PoolIndex> mDirtyPools;

  std::array<std::uint64_t, kTierCount> mShedCounts{};
  /// Last shed for overload or deadline, by tier.
  std::array<core::Instant, kTierCount> mLastShedAt{};
  RetryBudget mRetryBudget;
  std::uint64_t mCapacityEpoch = 0;
  /// Copy of the id for the listener: the request may end during the call.
  core::RequestId mDispatchingId;
  bool mRunningQueues = false;
  bool mShutDown = false;
  core::TimerHandle mTickTimer;
};

} // namespace cuminfield::request::admission
