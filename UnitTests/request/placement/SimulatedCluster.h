#pragma once

#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/request/placement/PlacementScheduler.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cuminfield::unit_tests {

/// Simulates many hosts and engines in virtual time. Every host has its own scheduler, engines
/// serve in order of arrival, and the hosts' reports are delayed as in a real cluster.
class SimulatedCluster
{
public:
  /// Requests of one rank: their callers' times and the lengths of prompt and response.
  struct RankProfile
  {
    core::Duration target{ 0 };
    core::Duration deadline{ 0 };
    double promptTokens = 0;
    double outputTokens = 0;
  };

  struct Options
  {
    std::size_t hosts = 60;
    std::size_t engines = 40;
    std::uint32_t slots = 10;
    core::Duration meanServiceTime = std::chrono::milliseconds(1200);
    /// Time between two reporting rounds.
    core::Duration reportInterval = std::chrono::milliseconds(50);
    /// Age of the figures in rounds, for report, exchange and feed.
    std::size_t reportDelayRounds = 2;
    request::placement::PlacementSettings placement{};
    /// False: upstreams of a plain service, which refuse requests beyond their queue.
    bool areEngines = true;
    std::size_t plainQueueLimit = 24;
    /// With profiles, engines need the time for prompt and response instead of meanServiceTime, and
    /// callers give up at their deadline.
    std::map<request::TierRank, RankProfile> profiles{};
    /// The first engines are slower by this factor.
    std::size_t slowEngines = 0;
    double slowFactor = 4.4;
    /// Callers that are rejected come back once, at another host, after Retry-After.
    bool callersReturn = false;
    /// The wait policy applies to the service.
    bool isTight = false;
    /// Mean time for which an engine's momentary speed lasts; 0: always the usual one.
    core::Duration meanSpeedTime{ 0 };
    /// The other momentary speed, in per cent of the usual time, and the part of the time in it.
    std::uint32_t slowPercent = 300;
    double slowRatio = 0.3;
    /// Engines report their load with each response, and their speed as the fourth figure.
    bool reportsSpeed = false;
    /// Time from the start to the first event at the usual speed.
    core::Duration firstEventTime{ 0 };
  };

  /// Counts of the requests of one rank by outcome.
  struct RankOutcome
  {
    std::size_t submitted = 0;
    std::size_t inTime = 0; ///< Started within the target.
    std::size_t late = 0;
    std::size_t shed = 0;
    std::size_t refusals = 0; ///< Attempts refused by a full upstream.
    std::size_t expired = 0;  ///< Not started, or not ended, at the caller's deadline.
    std::size_t returned = 0; ///< Rejected once and came back.
    /// First rejections with less than half of the caller's time left, less one tick of the queue.
    std::size_t rejectedLate = 0;
    double firstEventMsSum = 0; ///< Times from arrival to the first event, or to a plain response.
  };

  /// Statistics of the engines, sampled every 20 ms.
  struct EngineStatistics
  {
    /// Part of the slots in use.
    double utilization = 0;
    /// Part of the engines with more than three queued requests.
    double overloadedRatio = 0;
  };

  explicit SimulatedCluster(const Options& aOptions);
  ~SimulatedCluster();

  /// Sets the arrival rate of a rank from now on.
  void SetLoad(request::TierRank aRank, double aPerSecond, const std::string& aWorkspace = {})
  {
    mLoad[{ aRank, aWorkspace }] = aPerSecond;
  }

  void RunFor(core::Duration aDuration);

  /// Outcomes since the last call of ResetStatistics().
  std::map<request::TierRank, RankOutcome> Outcomes() const { return mOutcomes; }
  std::map<core::WorkspaceId, RankOutcome> WorkspaceOutcomes() const { return mWorkspaceOutcomes; }
  EngineStatistics MeanEngineStatistics() const;
  void ResetStatistics();

private:
  class Host;
  struct Engine
  {
    double slowness = 1;
    std::size_t running = 0;
    std::deque<std::pair<Host*, core::RequestId>> queue;
    std::uint32_t speedPercent = 100;
  };

  struct RunningRequest
  {
    std::string engine;
    Host* host = nullptr;
    core::RequestId request;
  };

  /// A caller that was rejected and comes back.
  struct ReturningCaller
  {
    request::RequestSpec spec;
    Host* rejectedBy = nullptr;
  };

  void AdvanceStep();
  void SubmitArrivals();
  void Submit(Host& aHost, const request::RequestSpec& aSpec);
  void OnShed(Host& aHost, const request::RequestSpec& aSpec, core::Duration aRetryAfter);
  void SubmitReturningCallers();
  void RemoveExpired();
  void ExchangeObservations();
  template<typename Change>
  void CountOutcome(const request::RequestSpec& aSpec, const Change& aChange);
  const RankProfile* ProfileOf(request::TierRank aRank) const;
  core::Duration StartProfiled(const std::string& aEngine, const request::RequestSpec& aSpec);
  void FinishDueRequests();
  void ChangeSpeeds();
  void DeliverFirstEvents();
  void ReportLoad(const std::string& aEngine, Host& aHost);
  bool IsFull(const Engine& aEngine) const;
  void DeliverToEngine(Host& aHost, const std::string& aEngine, const core::RequestId& aRequest);
  void StartRequest(const std::string& aEngine, Host& aHost, const core::RequestId& aRequest);
  void ExchangeReports();
  void SampleEngines();

  Options mOptions;
  test_framework::time::ManualTimerService mTimers;
  core::Random mRandom{ 11 };
  core::Random mSpeedRandom{ 12 }; ///< Apart, so that placements don't change the speeds.
  std::map<std::string, Engine> mEngines;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::map<std::pair<request::TierRank, std::string>, double> mLoad;
  std::map<request::TierRank, RankOutcome> mOutcomes;
  std::map<core::WorkspaceId, RankOutcome> mWorkspaceOutcomes;
  std::map<core::RequestId, core::Instant> mFirstArrivals; ///< Of callers that came back.
  std::multimap<core::Instant, ReturningCaller> mReturning;
  std::multimap<core::Instant, std::pair<Host*, core::RequestId>> mDeadlines;
  std::multimap<core::Instant, std::pair<Host*, core::RequestId>> mFirstTokens;
  std::size_t mExchanges = 0;
  std::uint64_t mRequests = 0;
  std::size_t mSampleCount = 0;
  EngineStatistics mStatisticsSum;
  std::multimap<core::Instant, RunningRequest> mRunning;     ///< Ordered by end time.
  std::multimap<core::Instant, RunningRequest> mFirstEvents; ///< Ordered by time.
  std::vector<std::pair<Host*, core::RequestId>> mRefusals;  ///< Not reported yet.
  core::TimerHandle mStepTimer;
  core::TimerHandle mReportTimer;
  core::TimerHandle mSampleTimer;
};

} // namespace cuminfield::unit_tests
