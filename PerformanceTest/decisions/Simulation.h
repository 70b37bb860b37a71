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

/// A fault that a run brings about.
enum class Fault
{
  None,
  Straggler, ///< One engine in each region slows down for a time.
  Leave,     ///< One engine leaves while requests are in flight.
};

/// What one run is made of.
struct SimulationOptions
{
  std::string policy = "tiered"; ///< random, round-robin, least-load or tiered.
  request::admission::SchedulerSettings settings;
  WorkloadSettings workload;
  std::uint64_t seed = 1;
  std::uint32_t hosts = 8;
  std::uint32_t engines = 12;
  bool shared = false; ///< Hosts share capacity by leased grants.
  request::capacity::CapacitySettings capacity;
  Fault fault = Fault::None;
  core::Duration measureFrom{ 20'000'000 };
  core::Duration measureUntil{ 50'000'000 };
  core::Duration end{ 75'000'000 };
};

/// What a run measured, over the requests that arrived in the measured time.
struct SimulationResult
{
  std::array<std::uint64_t, 4> offered{};   ///< Requests by tier, engines only.
  std::array<std::uint64_t, 4> inTime{};    ///< Answered in time, by tier.
  std::array<std::uint64_t, 4> shed{};      ///< Turned away, by tier.
  std::array<std::uint64_t, 4> lateFirst{}; ///< First token too late, by tier.
  std::array<std::uint64_t, 4> lateGaps{};  ///< Only the time between tokens too long, by tier.
  std::array<double, 4> offeredWork{};      ///< Engine seconds by tier.
  std::array<double, 4> inTimeWork{};       ///< The same for those in time.
  std::uint64_t plainOffered = 0;           ///< Calls of the plain service.
  std::uint64_t plainInTime = 0;
  double prefill = 0;                     ///< Prompt tokens computed.
  double wasted = 0;                      ///< Of them, wasted.
  double regionBytes = 0;                 ///< Paid bytes between regions.
  std::uint64_t lateDispatches = 0;       ///< To a leaving engine, 3 s or more after it left.
  std::uint64_t cutOff = 0;               ///< In flight at a leaving engine and never finished.
  std::uint64_t sentTwice = 0;            ///< Dispatched again after something had run.
  std::array<double, 8> hostInTimeWork{}; ///< By host, for the fairness of shares.

  double Offered() const;
  double InTime() const;
  double TierShare(std::size_t aTier) const;
  /// Work in time as a share of what a clairvoyant scheduler could do at most at this load.
  double OfBound(double aLoad) const;
};

/// Hosts with real schedulers in front of model engines in three regions, in virtual time.
class Simulation : public test_framework::engine_model::EngineListener
{
public:
  explicit Simulation(const SimulationOptions& aOptions);
  ~Simulation() override;

  /// Runs to the end and returns what was measured.
  SimulationResult Run();

private:
  class Host;
  struct Record
  {
    std::uint32_t host = 0;
    std::int32_t engine = -1; ///< Where it runs.
    core::Instant arrival{};
    core::Instant first{};
    core::Instant last{};
    std::int64_t computed = 0; ///< Prompt tokens.
    std::int64_t tokens = 0;
    std::int64_t lateGaps = 0;
    double bytes = 0;
    bool started = false; ///< Something of it ran.
    bool finished = false;
    bool shed = false;
    bool left = false; ///< The caller has gone.
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
  std::set<std::pair<std::uint64_t, std::uint32_t>> mComputedTemplates; ///< And their regions.
  std::vector<core::TimerHandle> mHandles;
  std::size_t mNextArrival = 0;
  SimulationResult mResult;
};

} // namespace cuminfield::performance_test::decisions
