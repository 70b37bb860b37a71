#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/placement/PlacementSettings.h"
#include "cuminfield/request/placement/RequestQueue.h"
#include "cuminfield/request/placement/UpstreamTable.h"

#include <map>
#include <unordered_map>
#include <utility>

namespace cuminfield::request::placement {

/// How a PlacementScheduler is built. The references must outlive it.
struct PlacementSchedulerOptions
{
  PlacementSettings settings;
  core::TimerService& timers;
  core::Random& random;
  SchedulerListener& listener;
  const VersionChooser& versions;
  core::DataCentreId dataCentre;
};

/// Admission and placing of a cluster's host, where all hosts share all upstreams. Requests wait
/// here, since upstreams serve in order of arrival and know no urgency; one goes out when an
/// upstream has a free place for it. One that would wait longer than it may is turned away at once,
/// with the time after which there will probably be room.
///
/// Answers a burst at many hosts: each would fill the places with whatever it has at hand, and the
/// urgent requests of the others would queue in the engines. When all want more places than there
/// are, each host keeps to its part of what the more urgent ranks of all hosts leave. And whoever
/// waits at any host would be sent to the one engine that shows a free place; so a host then fills
/// the places that its own requests leave, which nobody else knows of yet, and takes of the free
/// ones its part only.
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

  /// Takes one more try of a service's request out of its budget.
  bool TakeRetry(const core::ServiceId& aService, std::uint32_t aTries);

  /// A stream's mean time between tokens at its upstream.
  void RecordTokenInterval(const core::UpstreamId& aUpstream, double aTokenMs);

  /// Requests in flight and waiting, by service and rank.
  using RequestsByRank = std::map<std::pair<core::ServiceId, TierRank>, std::uint32_t>;

  /// By this host; for the other hosts.
  RequestsByRank LocalDemand() const;

  /// By all other hosts together.
  void SetRemoteDemand(RequestsByRank aWanted);

  UpstreamTable& Upstreams() { return mUpstreams; }
  std::size_t QueueSize() const;

private:
  struct RequestState
  {
    RequestSpec spec;
    double samplePoint = 0; ///< Chooses the version; uniform in [0, 1).
    bool isQueued = true;
    bool hasFirstEvent = false;
    std::uint32_t attempts = 0;
    core::UpstreamId upstream;
    core::Instant dispatchedAt{};
    core::Duration predictedFirstEventLatency{ 0 };
  };
  /// What this host did with the requests of one rank of a service.
  struct RankState
  {
    std::uint32_t inFlight = 0;
    core::Duration meanSlotTime{ 0 }; ///< Mean time in flight; 0: not known yet.
    RequestSpec typicalRequest;       ///< With the mean lengths of prompt and answer.
    double suitableSlots = 0;         ///< Of the engines that suit it.
    core::Instant slotsCountedAt{};
  };
  struct ServiceState
  {
    explicit ServiceState(const admission::RetryBudgetSettings& aRetry)
      : retryBudget(aRetry)
    {
    }

    RequestQueue queue;
    admission::RetryBudget retryBudget;
    std::map<TierRank, RankState> ranks;
    double loadFactor = 1; ///< Time to the first event, relative to an idle upstream.
    double freeSlots = 0;  ///< Places, when the others' figures came last.
    double remoteInFlight = 0;
    double slotsTaken = 0; ///< Of them, by this host since.
    double slotCredit = 1; ///< Part of a place that this host was allowed before and did not take.
  };

  ServiceState& GetOrCreateService(const core::ServiceId& aId);
  void Enqueue(RequestState& aState);
  void DispatchQueued(const core::ServiceId& aId);
  bool TryDispatch(RequestState& aState, ServiceState& aService, Urgency aPressure);
  static Urgency UrgencyOf(const placement::QueuedRequest& aWaiting, core::Instant aNow);
  void UpdateTypicalRequest(RankState& aRank, const RequestSpec& aSpec) const;
  void UpdateSuitableSlots(ServiceState& aService);
  static std::uint32_t DemandOf(const ServiceState& aService, TierRank aRank,
                                const RankState& aState);
  /// What all hosts together want of a service, as one of its ranks sees it.
  struct DemandSummary
  {
    double total = 0;           ///< Requests of all ranks,
    double local = 0;           ///< and those of this host among them.
    double suitableSlots = 0;   ///< That suit any rank.
    double moreUrgent = 0;      ///< Requests of more urgent ranks.
    double moreUrgentSlots = 0; ///< That suit those.
    double sameRank = 0;        ///< Requests of the rank itself,
    double localSameRank = 0;   ///< and those of this host among them.
  };
  DemandSummary ComputeDemand(const core::ServiceId& aId, const ServiceState& aService,
                              TierRank aRank) const;
  double FreeSlotAllowance(const ServiceState& aService, const DemandSummary& aCrowd) const;
  bool IsContended(const DemandSummary& aCrowd) const;
  bool IsWithinShare(const RequestState& aState, const RankState& aRank,
                     const DemandSummary& aCrowd) const;
  UpstreamEntry* ChooseUpstream(const RequestState& aState, ServiceState& aService,
                                Urgency aPressure);
  core::Duration MaxWait(const RequestSpec& aSpec) const;
  static core::Duration PredictWait(const ServiceState& aService, TierRank aRank);
  core::Duration ComputeRetryAfter(const RequestSpec& aSpec);
  void Shed(const core::RequestId& aId, ShedReason aReason);
  void Tick();

  PlacementSettings mSettings;
  core::TimerService& mTimers;
  core::Random& mRandom;
  SchedulerListener& mListener;
  const VersionChooser& mVersions;
  UpstreamTable mUpstreams;
  std::unordered_map<core::RequestId, RequestState> mRequests;
  std::map<core::ServiceId, ServiceState> mServices;
  RequestsByRank mRemoteDemand;
  core::TimerHandle mTickTimer;
};

} // namespace cuminfield::request::placement
