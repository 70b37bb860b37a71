#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/placement/PlacementSettings.h"
#include "cuminfield/request/placement/UpstreamBoard.h"
#include "cuminfield/request/placement/WaitingLine.h"

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
  void FirstToken(const core::RequestId& aRequest) override;
  void Token(const core::RequestId& aRequest) override;
  void Finished(const core::RequestId& aRequest, TryOutcome aOutcome) override;
  void UpstreamUp(const UpstreamAnnouncement& aUpstream) override;
  void UpstreamGone(const core::UpstreamId& aUpstream) override;
  void Load(const LoadReport& aReport) override;
  void Cache(const CacheEvent&) override {}

  /// Takes one more try of a service's request out of its budget.
  bool TakeRetry(const core::ServiceId& aService, std::uint32_t aTries);

  /// A stream's mean time between tokens at its upstream.
  void Paced(const core::UpstreamId& aUpstream, double aTokenMs);

  /// Requests in flight and waiting, by service and rank.
  using RequestsByRank = std::map<std::pair<core::ServiceId, TierRank>, std::uint32_t>;

  /// By this host; for the other hosts.
  RequestsByRank Wanted() const;

  /// By all other hosts together.
  void SetOthersWanted(RequestsByRank aWanted);

  UpstreamBoard& Board() { return mBoard; }
  std::size_t Waiting() const;

private:
  struct State
  {
    RequestSpec spec;
    double point = 0; ///< Chooses the version; uniform in [0, 1).
    bool waiting = true;
    bool began = false;
    std::uint32_t tries = 0;
    core::UpstreamId upstream;
    core::Instant sentAt{};
    core::Duration predicted{ 0 };
  };
  /// What this host did with the requests of one rank of a service.
  struct Rank
  {
    std::uint32_t inFlight = 0;
    core::Duration hold{ 0 }; ///< Mean time in flight; 0: not known yet.
    RequestSpec typical;      ///< With the mean lengths of prompt and answer.
    double places = 0;        ///< Of the engines that suit it.
    core::Instant placesAt{};
  };
  struct Service
  {
    explicit Service(const admission::RetryBudgetSettings& aRetry)
      : retries(aRetry)
    {
    }

    WaitingLine line;
    admission::RetryBudget retries;
    std::map<TierRank, Rank> ranks;
    double loadFactor = 1; ///< Time to the first event, relative to an idle upstream.
    double free = 0;       ///< Places, when the others' figures came last.
    double othersInFlight = 0;
    double taken = 0;    ///< Of them, by this host since.
    double partLeft = 1; ///< Part of a place that this host was allowed before and did not take.
  };

  Service& ServiceOf(const core::ServiceId& aId);
  void Enqueue(State& aState);
  void Run(const core::ServiceId& aId);
  bool Place(State& aState, Service& aService, Pressure aPressure);
  static Pressure PressureOf(const placement::Waiting& aWaiting, core::Instant aNow);
  void LearnRank(Rank& aRank, const RequestSpec& aSpec) const;
  void CountPlaces(Service& aService);
  static std::uint32_t WantedBy(const Service& aService, TierRank aRank, const Rank& aState);
  /// What all hosts together want of a service, as one of its ranks sees it.
  struct Crowd
  {
    double all = 0;          ///< Requests of all ranks,
    double own = 0;          ///< and those of this host among them.
    double places = 0;       ///< That suit any rank.
    double before = 0;       ///< Requests of more urgent ranks.
    double placesBefore = 0; ///< That suit those.
    double ofRank = 0;       ///< Requests of the rank itself,
    double ownOfRank = 0;    ///< and those of this host among them.
  };
  Crowd CrowdOf(const core::ServiceId& aId, const Service& aService, TierRank aRank) const;
  double PartOfFree(const Service& aService, const Crowd& aCrowd) const;
  bool IsCrowded(const Crowd& aCrowd) const;
  bool HasShare(const State& aState, const Rank& aRank, const Crowd& aCrowd) const;
  BoardEntry* Choose(const State& aState, Service& aService, Pressure aPressure);
  core::Duration LongestWait(const RequestSpec& aSpec) const;
  static core::Duration PredictedWait(const Service& aService, TierRank aRank);
  core::Duration RetryAfter(const RequestSpec& aSpec);
  void Shed(const core::RequestId& aId, ShedReason aReason);
  void Tick();

  PlacementSettings mSettings;
  core::TimerService& mTimers;
  core::Random& mRandom;
  SchedulerListener& mListener;
  const VersionChooser& mVersions;
  UpstreamBoard mBoard;
  std::unordered_map<core::RequestId, State> mRequests;
  std::map<core::ServiceId, Service> mServices;
  RequestsByRank mOthersWanted;
  core::TimerHandle mTick;
};

} // namespace cuminfield::request::placement
