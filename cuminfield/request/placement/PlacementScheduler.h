#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/placement/PlacementSettings.h"
#include "cuminfield/request/placement/RecentCounter.h"
#include "cuminfield/request/placement/RegionPolicy.h"
#include "cuminfield/request/placement/RequestQueue.h"
#include "cuminfield/request/placement/UpstreamTable.h"
#include "cuminfield/request/placement/WaitPolicy.h"
#include "cuminfield/request/quarantine/QuarantineTable.h"

#include <sigc++/sigc++.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace cuminfield::request::placement {

/// Dependencies of a PlacementScheduler. The references must outlive it.
struct PlacementSchedulerOptions
{
  PlacementSettings settings;
  core::TimerService& timers;
  core::Random& random;
  SchedulerListener& listener;
  const VersionChooser& versions;
  core::DataCentreId dataCentre;
  const RegionPolicy* regions = nullptr; ///< Null: no request is restricted to regions.
};

/// Admission control and routing of one host of a cluster whose hosts share all upstreams. Requests
/// queue at the host, since upstreams serve in order of arrival and ignore urgency, and are
/// dispatched when an upstream has a free slot. A request whose predicted wait is too long is shed
/// at once, with the time after which there will probably be capacity.
///
/// In a burst over many hosts each host would fill the slots with any of its requests, and the
/// urgent requests of other hosts would queue in the engines. When demand exceeds the slots, each
/// host therefore keeps to its share of what the more urgent ranks of all hosts leave. All hosts
/// would also dispatch to the one engine that shows a free slot. Under contention a host therefore
/// fills the slots that its own requests free, which no other host knows of yet, and takes only its
/// share of the other free slots.
///
/// A request whose prompt has a part that crashes upstreams is shed, also while it is queued.
///
/// A request is dispatched only in the regions that its RegionPolicy allows at that moment. It is
/// shed at once, also while it is queued, when they have no upstream that accepts work; if the
/// upstreams there are busy, ejected or quiet, it waits. The same holds for upstreams of data
/// centres that are evacuated, to which nothing is dispatched.
class PlacementScheduler : public Scheduler
{
public:
  explicit PlacementScheduler(const PlacementSchedulerOptions& aOptions);

  void Submit(RequestSpec aSpec) override;
  void Withdraw(const core::RequestId& aRequest) override;
  void OnFirstToken(const core::RequestId& aRequest) override;
  void OnToken(const core::RequestId& aRequest) override;
  void OnAttemptEnded(const core::RequestId& aRequest, AttemptOutcome aOutcome) override;
  void AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream) override;
  void RemoveUpstream(const core::UpstreamId& aUpstream) override;
  void OnLoadReport(const LoadReport& aReport) override;
  void OnCacheEvent(const CacheEvent&) override {}

  /// Dispatches what waits for an upstream of the service that was added to or updated in
  /// Upstreams().
  void OnUpstreamUpdated(const core::ServiceId& aService);

  /// Records what an upstream says of itself. Queued requests that can no longer be sent in time
  /// are shed. Returns true if the notice is news.
  bool OnUpstreamNotice(const UpstreamAnnouncement& aUpstream, const UpstreamNotice& aNotice);

  /// Records the cold time that a response to a request sent at aSentAt states.
  void OnColdTime(const UpstreamAnnouncement& aUpstream, core::Duration aLeft,
                  core::Instant aSentAt);

  /// Takes a retry from the service's retry budget; false if there is none left.
  bool TryTakeRetry(const core::ServiceId& aService, std::uint32_t aAttempts);

  /// Records a sample of a stream's token interval at its upstream.
  void RecordTokenInterval(const core::UpstreamId& aUpstream, double aTokenIntervalMs);

  /// Number of requests in flight and queued, by service and rank.
  using RequestsByRank = std::map<std::pair<core::ServiceId, TierRank>, std::uint32_t>;

  /// Demand of this host, to be reported to the other hosts.
  RequestsByRank LocalDemand() const;

  /// Sets the demand of all other hosts together. Called once per reporting round.
  void SetRemoteDemand(RequestsByRank aRemoteDemand);

  /// Must be called after the RegionPolicy has changed. Queued requests that no upstream may serve
  /// any more are shed.
  void OnRegionsChanged();

  /// Sheds the queued requests that no upstream may serve any more, at the next check of the
  /// queues. Must be called when the versions in force have changed.
  void RecheckQueued() { mIsRecheckDue = true; }

  /// Sets the data centres that are evacuated: nothing more is dispatched to their upstreams, and
  /// what runs there goes on. Queued requests that no upstream may serve any more are shed.
  void SetEvacuated(std::set<core::DataCentreId> aDataCentres);

  /// Emitted for each upstream of a data centre that is evacuated no longer, before anything is
  /// dispatched there. The upstream may be cold.
  sigc::signal<void(const UpstreamAnnouncement&)>& OnEvacuationEnded()
  {
    return mOnEvacuationEnded;
  }

  /// True if the allowed regions permit to send the request to this upstream now.
  bool MayServe(const RequestSpec& aSpec, const UpstreamAnnouncement& aUpstream) const;

  /// Sets the services whose callers have hardly more time than the target. WaitPolicy decides how
  /// long their requests wait.
  void SetTightServices(std::set<core::ServiceId> aServices);

  /// Load of tight services, by service and rank.
  using LoadByRank = std::map<std::pair<core::ServiceId, TierRank>, RankLoad>;

  /// Load of this host's tight services, to be reported to the other hosts.
  LoadByRank LocalLoad() const;

  /// Sets the load of all other hosts together. Called once per reporting round.
  void SetRemoteLoad(LoadByRank aRemoteLoad);

  /// Emitted when a request of a tight service is rejected because of its wait, for metrics and the
  /// log.
  using WaitRejectedSignal = sigc::signal<void(const RequestSpec&, const WaitRejection&)>;
  WaitRejectedSignal& OnWaitRejected() { return mOnWaitRejected; }

  /// The wait policies of the tight services.
  std::map<core::ServiceId, const WaitPolicy*> WaitPolicies() const;

  /// Requests of each rank that were placed before more urgent ones.
  std::map<std::pair<core::ServiceId, TierRank>, std::uint64_t> FloorPlacements() const;

  /// Takes over the control hosts' state of the quarantine and sheds the queued requests that it
  /// applies to. Returns false if the state isn't newer than the known one.
  bool UpdateQuarantine(quarantine::QuarantineTable::State aState);

  UpstreamTable& Upstreams() { return mUpstreams; }
  quarantine::QuarantineTable& Quarantine() { return mQuarantine; }
  std::size_t QueueSize() const;

private:
  struct RequestState
  {
    RequestSpec spec;
    double samplePoint = 0; ///< Uniform in [0, 1); selects the version.
    bool isQueued = true;
    bool hasFirstEvent = false; ///< An event, or a complete response of any status.
    bool hasBegun = false;      ///< The upstream has begun to answer; failures don't count.
    std::uint32_t attempts = 0;
    core::UpstreamId upstream;
    core::Incarnation incarnation; ///< Of the upstream, at dispatch.
    core::Instant dispatchedAt{};
    core::Duration predictedFirstEventLatency{ 0 };
  };

  /// State of the requests of one rank of a service at this host.
  struct RankState
  {
    std::uint32_t inFlight = 0;
    core::Duration meanSlotTime{ 0 }; ///< Mean time in flight; 0 if not known yet.
    RequestSpec typicalRequest;       ///< With the mean lengths of prompt and response.
    double suitableSlots = 0;         ///< Slots of engines suitable for it.
    core::Instant slotsCountedAt{};
    /// Where its requests may be served, as far as all of them are restricted.
    core::RegionSet regions;
    bool hasUnrestricted = false;
    RecentCounter ended;    ///< Requests that ended at an upstream.
    double floorCredit = 0; ///< Requests that go before more urgent ones.
  };

  struct ServiceState
  {
    explicit ServiceState(const PlacementSettings& aSettings)
      : retryBudget(aSettings.retryBudget)
      , waitPolicy(aSettings.wait)
    {
    }

    RequestQueue queue;
    admission::RetryBudget retryBudget;
    bool isTight = false; ///< The wait policy applies.
    WaitPolicy waitPolicy;
    core::Instant floorsUpdatedAt{};
    std::map<TierRank, std::uint64_t> floorPlacements; ///< Placed before more urgent requests.
    std::map<TierRank, RankState> ranks;
    double loadFactor = 1; ///< First event latency relative to an idle upstream.
    double freeSlots = 0;  ///< As of the last reporting round.
    double plainLimit = 0; ///< Requests that plain upstreams which report their speed take.
    double remoteInFlight = 0;
    double slotsTaken = 0; ///< Number of these free slots taken by this host since.
    double slotCredit = 1; ///< Unused allowance of earlier rounds, at most one slot.
  };

  void RecordStart(RequestState& aState);
  ServiceState& GetOrCreateService(const core::ServiceId& aId);
  void Enqueue(RequestState& aState);
  const core::RegionSet* RegionsOf(const RequestSpec& aSpec) const;
  core::VersionId VersionOf(const RequestState& aState) const;
  /// Why no upstream may serve the request, however long it waits; empty if one may, or if there is
  /// none for a reason that ends by itself.
  std::optional<ShedReason> WhyUnservable(const RequestState& aState) const;
  /// Time in a slot of nominal speed, relative to the share of the workspace.
  double ServiceCost(const RequestSpec& aSpec) const;
  core::Instant QueueExpiryOf(const RequestSpec& aSpec) const;
  /// True if every upstream that may serve the request has asked for no requests until it expires.
  bool WaitsInVain(const RequestState& aState) const;
  /// Sheds the queued requests to which the predicate applies.
  template<typename Predicate>
  void ShedQueued(ShedReason aReason, const Predicate& aPredicate);
  /// Sheds the queued requests that no upstream may serve any more.
  void ShedUnservable();
  void DispatchQueued(const core::ServiceId& aId);
  /// Whether a request keeps to its rank's share of the slots.
  enum class SlotShare
  {
    OfRank,
    Floor, ///< It uses the floor of its rank.
  };
  bool TryDispatch(RequestState& aState, ServiceState& aService, Urgency aUrgency,
                   SlotShare aShare = SlotShare::OfRank);
  static Urgency UrgencyOf(const placement::QueuedRequest& aQueued, core::Instant aNow);
  void UpdateTypicalRequest(RankState& aRank, const RequestSpec& aSpec) const;
  void UpdateRankRegions(RankState& aRank, const RequestSpec& aSpec) const;
  void UpdateSuitableSlots(ServiceState& aService);
  RankLoad LoadOf(const ServiceState& aService, TierRank aRank, const RankState& aState) const;
  static std::uint32_t DemandOf(const ServiceState& aService, TierRank aRank,
                                const RankState& aState);

  /// Demand of all hosts for a service, as it matters to one of its ranks.
  struct DemandSummary
  {
    double total = 0;           ///< Requests of all ranks.
    double local = 0;           ///< Those of them at this host.
    double suitableSlots = 0;   ///< Slots suitable for any rank.
    double moreUrgent = 0;      ///< Requests of more urgent ranks.
    double moreUrgentSlots = 0; ///< Slots suitable for more urgent ranks.
    double sameRank = 0;        ///< Requests of this rank.
    double localSameRank = 0;   ///< Those of them at this host.
  };
  DemandSummary ComputeDemand(const core::ServiceId& aId, const ServiceState& aService,
                              TierRank aRank) const;
  double FreeSlotAllowance(const ServiceState& aService, const DemandSummary& aDemand) const;
  bool IsContended(const DemandSummary& aDemand) const;
  bool IsWithinShare(const RequestState& aState, const RankState& aRank,
                     const DemandSummary& aDemand) const;
  /// False if the upstreams of a plain service are nearly full and this host has taken its part of
  /// the room that is left, by the figures of this reporting round. Without this, all hosts send at
  /// once as soon as there is room, and the upstreams refuse most of it.
  bool IsWithinPlainShare(const RequestState& aState, const ServiceState& aService) const;
  /// Counts the entry, if there is one, as a free slot taken in this reporting round.
  static UpstreamEntry* TakeFreeSlot(ServiceState& aService, UpstreamEntry* aEntry);
  UpstreamEntry* ChooseUpstream(const RequestState& aState, ServiceState& aService,
                                Urgency aUrgency, SlotShare aShare);
  core::Duration MaxWait(const RequestSpec& aSpec) const;
  const ServiceState* FindTightService(const core::ServiceId& aId) const;
  void UpdateWaitPolicy(const core::ServiceId& aId, ServiceState& aService);
  bool WaitsTooLong(const RequestState& aState, const ServiceState& aService) const;
  void RejectForWait(const core::RequestId& aId, WaitRejectionCause aCause);
  void UpdateFloors(ServiceState& aService);
  void DispatchFloors(ServiceState& aService);
  void RejectLate(ServiceState& aService);
  RequestTimes TimesOf(const RequestSpec& aSpec, const ServiceState& aService) const;
  static core::Duration PredictWait(const ServiceState& aService, TierRank aRank);
  core::Duration ComputeRetryAfter(const RequestSpec& aSpec, const ServiceState& aService);
  /// When the first upstream that may serve the request is expected to take requests again, if all
  /// of them are closed now.
  std::optional<core::Instant> NextOpening(const RequestState& aState) const;
  /// Returns Retry-After.
  core::Duration Shed(const core::RequestId& aId, ShedReason aReason);
  void Tick();

  PlacementSettings mSettings;
  core::TimerService& mTimers;
  core::Random& mRandom;
  SchedulerListener& mListener;
  const VersionChooser& mVersions;
  const RegionPolicy* mRegions;
  UpstreamTable mUpstreams;
  quarantine::QuarantineTable mQuarantine;
  std::unordered_map<core::RequestId, RequestState> mRequests;
  std::map<core::ServiceId, ServiceState> mServices;
  std::set<core::ServiceId> mTightServices;
  RequestsByRank mRemoteDemand;
  bool mIsRecheckDue = false; ///< Queued requests may have become unservable.
  LoadByRank mRemoteLoad;
  core::Instant mRemoteLoadAt{};
  WaitRejectedSignal mOnWaitRejected;
  sigc::signal<void(const UpstreamAnnouncement&)> mOnEvacuationEnded;
  core::TimerHandle mTickTimer;
};

} // namespace cuminfield::request::placement
