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
  Leave,     ///< One engine drains while requests are in flight.
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
  std::uint32_t regions = 3; ///< At most three.
  bool shared = false;       ///< Hosts share capacity through leased grants.
  request::capacity::CapacitySettings capacity;
  Fault fault = Fault::None;
  core::Duration measureFrom{ 20'000'000 };
  core::Duration measureUntil{ 50'000'000 };
  core::Duration end{ 75'000'000 };
};

/// Measurements over the requests that arrived between measureFrom and measureUntil.
struct SimulationResult
{
  std::array<std::uint64_t, 4> offered{};   ///< Engine requests, by tier.
  std::array<std::uint64_t, 4> inTime{};    ///< Requests that met their targets, by tier.
  std::array<std::uint64_t, 4> shed{};      ///< Shed requests, by tier.
  std::array<std::uint64_t, 4> lateFirst{}; ///< Missed the first token target, by tier.
  std::array<std::uint64_t, 4> lateGaps{};  ///< Missed only the token gap target, by tier.
  std::array<double, 4> offeredWork{};      ///< Of all engine requests, by tier.
  std::array<double, 4> inTimeWork{};       ///< Of the requests in time, by tier.
  std::uint64_t plainOffered = 0;           ///< Requests to the plain service.
  std::uint64_t plainInTime = 0;
  double prefill = 0;               ///< Prompt tokens computed.
  double wasted = 0;                ///< Computed more than once or for a request not in time.
  double regionBytes = 0;           ///< Traffic between regions, which is charged for.
  std::uint64_t lateDispatches = 0; ///< To a draining engine, 3 s or more after the drain began.
  std::uint64_t cutOff = 0;         ///< Started on a draining engine and never finished.
  std::uint64_t sentTwice = 0;      ///< Dispatched again after an attempt had started.
  std::array<double, 8> hostInTimeWork{}; ///< By host, to assess fairness.

  double Offered() const;
  double InTime() const;
  double TierShare(std::size_t aTier) const;
  /// Engine seconds in time as a share of the upper bound for a clairvoyant scheduler at this load.
  double OfBound(double aLoad) const;
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
  struct Record
  {
    std::uint32_t host = 0;
    std::int32_t engine = -1; ///< Engine of the latest attempt; negative if none.
    core::Instant arrival{};
    core::Instant first{};
    core::Instant last{};
    std::int64_t computed = 0;
    std::int64_t tokens = 0;
    std::int64_t lateGaps = 0;
    double bytes = 0;
    bool started = false; ///< An attempt has reached an engine.
    bool finished = false;
    bool shed = false;
    bool left = false;
    core::TimerHandle patience;
  };

  void OnToken(std::uint32_t aKey, bool aFirst) override;
  void OnFinished(std::uint32_t aKey) override;
  void OnReport(const request::LoadReport& aReport) override;
  void OnCacheEvent(const request::CacheEvent& aEvent) override;
  void OnPrefilled(std::uint32_t aKey, core::Tokens aComputed) override;

  void MakeEngines();
  void MakeHosts();
  void ScheduleFault();
  void StartSharing();
  void ReportDemand(Host& aHost);
  void Arrive();
  request::RequestSpec SpecOf(std::uint32_t aKey) const;
  void Dispatch(std::uint32_t aKey, const core::UpstreamId& aUpstream);
  void StartAt(std::uint32_t aKey, std::size_t aEngine);
  void CallerLeaves(std::uint32_t aKey);
  void Leave(std::size_t aEngine);
  bool FirstInTime(const Record& aRecord, const RequestClass& aClass) const;
  bool InTime(const Record& aRecord, const RequestClass& aClass) const;
  SimulationResult Collect();
  double Wasted(std::uint32_t aKey, bool aInTime);

  SimulationOptions mOptions;
  test_framework::time::ManualTimerService mTimers;
  core::Random mRandom;
  core::Instant mStart;
  std::vector<RequestClass> mClasses;
  std::vector<Arrival> mArrivals;
  std::vector<Record> mRecords;
  std::vector<std::unique_ptr<test_framework::engine_model::EngineModel>> mEngines;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<std::unique_ptr<request::capacity::CapacityBroker>> mBrokers; ///< By region.
  std::vector<bool> mLeaving;
  std::vector<core::Instant> mLeftAt;
  std::set<std::pair<std::uint64_t, std::uint32_t>> mComputedTemplates; ///< Template and region.
  std::vector<core::TimerHandle> mHandles;
  std::size_t mNextArrival = 0;
  SimulationResult mResult;
};

} // namespace cuminfield::performance_test::decisions
