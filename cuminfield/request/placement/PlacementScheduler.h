#pragma once

#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/placement/PlacementSettings.h"
#include "cuminfield/request/placement/UpstreamBoard.h"
#include "cuminfield/request/placement/WaitingLine.h"

#include <limits>
#include <map>
#include <unordered_map>

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

  /// What this host has in flight and waiting, by service; for the other hosts.
  std::map<core::ServiceId, std::uint32_t> Wanted() const;

  /// The same of all other hosts together.
  void SetOthersWanted(std::map<core::ServiceId, std::uint32_t> aWanted)
  {
    mOthersWanted = std::move(aWanted);
  }

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
  struct Service
  {
    explicit Service(const admission::RetryBudgetSettings& aRetry)
      : retries(aRetry)
    {
    }

    WaitingLine line;
    admission::RetryBudget retries;
    TierRank topRank = std::numeric_limits<TierRank>::max(); ///< The most urgent seen.
    std::uint32_t inFlight = 0;                              ///< Of this host.
    double loadFactor = 1; ///< Time to the first event, relative to an idle upstream.
    double rate = 0;       ///< Dispatches a second, averaged.
    core::Instant rateAt{};
  };

  Service& ServiceOf(const core::ServiceId& aId);
  void Enqueue(State& aState);
  void Run(const core::ServiceId& aId);
  bool Place(State& aState, Service& aService, Pressure aPressure);
  static Pressure PressureOf(const placement::Waiting& aWaiting, core::Instant aNow);
  bool HasShare(const core::ServiceId& aId, const Service& aService) const;
  core::Duration LongestWait(const RequestSpec& aSpec) const;
  core::Duration PredictedWait(const Service& aService, std::uint32_t aRank) const;
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
  std::map<core::ServiceId, std::uint32_t> mOthersWanted;
  core::TimerHandle mTick;
};

} // namespace cuminfield::request::placement
