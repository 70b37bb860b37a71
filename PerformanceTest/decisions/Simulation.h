#pragma once

#include "PerformanceTest/decisions/Workload.h"
#include "TestFramework/engine_model/EngineModel.h"
#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/request/admission/SchedulerSettings.h"
#include "cuminfield/request/capacity/CapacityBroker.h"
#include "cuminfield/request/capacity/CapacityClient.h"

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminfield::performance_test::decisions {

/// Fault injected during a run.
enum class Fault
{
  None,
  Straggler, ///< One engine in each region slows down from measureFrom on.
  Drain,     ///< One engine drains while requests are in flight.
};

/// Configuration of one run.
struct SimulationOptions
{
  std::string policy = "tiered"; ///< random, round-robin, least-load or tiered.
  request::admission::SchedulerSettings settings;
  WorkloadSettings workload;
  std::uint64_t seed = 1;
  std::uint32_t hosts = 8;
  std::uint32_t engines = 12;
  std::uint32_t regions = 3;   ///< At most three.
  bool sharesCapacity = false; ///< Hosts share capacity through leased grants.
  request::capacity::CapacitySettings capacity;
  Fault fault = Fault::None;
  core::Duration measureFrom{ 20'000'000 };
  core::Duration measureUntil{ 50'000'000 };
  core::Duration runLength{ 75'000'000 };
};

/// Measurements over the requests that arrived between measureFrom and measureUntil.
struct SimulationResult
{
  std::array<std::uint64_t, 4> offered{};        ///< Engine requests, by tier.
  std::array<std::uint64_t, 4> inTime{};         ///< Requests that met their targets, by tier.
  std::array<std::uint64_t, 4> shed{};           ///< Shed requests, by tier.
  std::array<std::uint64_t, 4> lateFirstToken{}; ///< Missed the first token target, by tier.
  std::array<std::uint64_t, 4> lateTokenGaps{};  ///< Missed only the token gap target, by tier.
  std::array<double, 4> offeredEngineSeconds{};  ///< Of all engine requests, by tier.
  std::array<double, 4> inTimeEngineSeconds{};   ///< Of the requests in time, by tier.
  std::uint64_t plainOffered = 0;                ///< Requests to the plain service.
  std::uint64_t plainInTime = 0;
  double prefillTokens = 0;         ///< Prompt tokens computed.
  double wastedPrefillTokens = 0;   ///< Computed more than once or for a request not in time.
  double interRegionBytes = 0;      ///< Traffic between regions, which is charged for.
  std::uint64_t lateDispatches = 0; ///< To a draining engine, 3 s or more after the drain began.
  std::uint64_t aborted = 0;        ///< Started on a draining engine and never finished.
  std::uint64_t redispatchedAfterStart = 0; ///< Dispatched again after an attempt had started.
  std::array<double, 8> hostInTimeEngineSeconds{}; ///< By host, to assess fairness.

  double TotalOfferedEngineSeconds() const;
  double TotalInTimeEngineSeconds() const;
  double InTimeShare(std::size_t aTier) const;
  /// Engine seconds in time as a share of the upper bound for a clairvoyant scheduler at this load.
  double ShareOfUpperBound(double aLoad) const;
};

/// Simulates hosts with real schedulers and model engines in up to three regions, in virtual time.
class Simulation : public test_framework::engine_model::EngineListener
{
public:
  explicit Simulation(const SimulationOptions& aOptions);
  ~Simulation() override;

  /// Runs until the end time and returns the measurements.
  SimulationResult Run();

private:
  class Host;
  struct RequestRecord
  {
    std::uint32_t hostIndex = 0;
    std::int32_t engineIndex = -1; ///< Engine of the latest attempt; negative if none.
    core::Instant arrivedAt{};
    core::Instant firstTokenAt{};
    core::Instant lastTokenAt{};
    std::int64_t computedPromptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t lateTokenGaps = 0;
    double interRegionBytes = 0;
    bool started = false; ///< An attempt has reached an engine.
    bool finished = false;
    bool shed = false;
    bool callerCancelled = false;
    core::TimerHandle callerTimeout;
  };

  void OnToken(std::uint32_t aKey, bool aFirst) override;
  void OnFinished(std::uint32_t aKey) override;
  void OnReport(const request::LoadReport& aReport) override;
  void OnCacheEvent(const request::CacheEvent& aEvent) override;
  void OnPrefilled(std::uint32_t aKey, core::Tokens aComputed) override;

  void MakeEngines();
  void MakeHosts();
  void ScheduleFault();
  void StartCapacitySharing();
  void ReportDemand(Host& aHost);
  void SubmitNextArrival();
  request::RequestSpec MakeSpec(std::uint32_t aKey) const;
  void Dispatch(std::uint32_t aKey, const core::UpstreamId& aUpstream);
  void StartOnEngine(std::uint32_t aKey, std::size_t aEngine);
  void CancelByCaller(std::uint32_t aKey);
  void DrainEngine(std::size_t aEngine);
  bool IsFirstTokenInTime(const RequestRecord& aRecord, const RequestClass& aClass) const;
  bool IsInTime(const RequestRecord& aRecord, const RequestClass& aClass) const;
  SimulationResult CollectResult();
  double WastedPrefillTokens(std::uint32_t aKey, bool aInTime);

  SimulationOptions mOptions;
  test_framework::time::ManualTimerService mTimers;
  core::Random mRandom;
  core::Instant mStartTime;
  std::vector<RequestClass> mClasses;
  std::vector<Arrival> mArrivals;
  std::vector<RequestRecord> mRecords;
  std::vector<std::unique_ptr<test_framework::engine_model::EngineModel>> mEngines;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<std::unique_ptr<request::capacity::CapacityBroker>> mBrokers; ///< By region.
  std::vector<bool> mIsDraining;
  std::vector<core::Instant> mDrainStartedAt;
  std::set<std::pair<std::uint64_t, std::uint32_t>> mComputedTemplates; ///< Template and region.
  std::vector<core::TimerHandle> mTimerHandles;
  std::size_t mNextArrival = 0;
  SimulationResult mResult;
};

} // namespace cuminfield::performance_test::decisions
