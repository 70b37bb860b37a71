#pragma once

#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/request/placement/PlacementScheduler.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cuminfield::unit_tests {

/// Many hosts and many engines in virtual time: every host has its own scheduler, engines serve in
/// order of arrival, and what hosts know of each other is as old as in a real cluster.
class SimulatedCluster
{
public:
  struct Options
  {
    std::size_t hosts = 60;
    std::size_t engines = 40;
    std::uint32_t slots = 10;
    core::Duration meanServiceTime = std::chrono::milliseconds(1200);
    /// Between two rounds of figures.
    core::Duration reportInterval = std::chrono::milliseconds(50);
    /// Rounds by which figures are old: report, exchange and feed.
    std::size_t reportDelayRounds = 2;
    request::placement::PlacementSettings placement{};
  };

  /// What came of the requests of one rank.
  struct RankOutcome
  {
    std::size_t submitted = 0;
    std::size_t inTime = 0; ///< Began within the target.
    std::size_t late = 0;
    std::size_t shed = 0;
  };

  /// What the engines were seen to do, every 20 ms.
  struct EngineStatistics
  {
    double utilization = 0; ///< Part of the places in use.
    double overloadedRatio =
      0; ///< Part of the engines with more than three requests in their queues.
  };

  explicit SimulatedCluster(const Options& aOptions);
  ~SimulatedCluster();

  /// Requests a second of a rank, from now on.
  void SetLoad(request::TierRank aRank, double aPerSecond) { mLoad[aRank] = aPerSecond; }

  void RunFor(core::Duration aDuration);

  /// Since the last call of Forget.
  std::map<request::TierRank, RankOutcome> Outcomes() const { return mOutcomes; }
  EngineStatistics MeanEngineStatistics() const;
  void ResetStatistics();

private:
  class Host;
  struct Engine
  {
    std::size_t running = 0;
    std::deque<std::pair<Host*, core::RequestId>> queue;
  };

  struct RunningRequest
  {
    std::string engine;
    Host* host = nullptr;
    core::RequestId request;
  };

  void AdvanceStep();
  void SubmitArrivals();
  void FinishDueRequests();
  void DeliverToEngine(Host& aHost, const std::string& aEngine, const core::RequestId& aRequest);
  void StartRequest(const std::string& aEngine, Host& aHost, const core::RequestId& aRequest);
  void ExchangeReports();
  void SampleEngines();

  Options mOptions;
  test_framework::time::ManualTimerService mTimers;
  core::Random mRandom{ 11 };
  std::map<std::string, Engine> mEngines;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::map<request::TierRank, double> mLoad;
  std::map<request::TierRank, RankOutcome> mOutcomes;
  std::uint64_t mRequests = 0;
  std::size_t mSampleCount = 0;
  EngineStatistics mStatisticsSum;
  std::multimap<core::Instant, RunningRequest> mRunning; ///< By when they end.
  core::TimerHandle mStepTimer;
  core::TimerHandle mReportTimer;
  core::TimerHandle mSampleTimer;
};

} // namespace cuminfield::unit_tests
