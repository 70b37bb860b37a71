#include "PerformanceTest/decisions/DecisionCost.h"

#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/request/admission/TieredScheduler.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <new>
#include <vector>

namespace {

std::atomic<std::uint64_t> gAllocationCount{ 0 };

} // namespace

// Counts heap allocations, to verify that the steady state makes none.
void* operator new(std::size_t aSize)
{
  gAllocationCount.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace cuminfield::performance_test::decisions {

namespace {

constexpr std::uint32_t kUpstreamCount = 300;
constexpr std::uint32_t kInFlightCount = 6'000; ///< More than all slots, so that requests queue.
constexpr std::uint32_t kDecisionCount = 200'000;
constexpr std::int64_t kPromptTokens = 768;

class AnyVersion : public request::VersionChooser
{
public:
  core::VersionId Choose(const core::ServiceId&, const core::RouteId&, double) const override
  {
    return {};
  }
};

/// Records dispatched requests so that they can be finished later.
class InFlightRecorder : public request::SchedulerListener
{
public:
  explicit InFlightRecorder(std::vector<core::RequestId>& aInFlight)
    : mInFlight(aInFlight)
  {
  }

  void OnDispatch(const core::RequestId& aRequest, const request::UpstreamAnnouncement&) override
  {
    mInFlight.push_back(aRequest);
  }
  void OnShed(const core::RequestId&, request::ShedReason, core::Duration) override { ++shedCount; }

  std::uint64_t shedCount = 0;

private:
  std::vector<core::RequestId>& mInFlight;
};

struct DecisionCostResult
{
  double meanMicros = 0;
  double p99Micros = 0;
  double allocationsPerDecision = 0;
};

/// Generates the load of the cost measurement: submits a request and finishes another, repeatedly.
class DecisionCostBenchmark
{
public:
  explicit DecisionCostBenchmark(std::uint32_t aWorkspaces)
    : mRecorder(mInFlight)
    , mScheduler({ .settings = {},
                   .timers = mTimers,
                   .random = mRandom,
                   .listener = mRecorder,
                   .versions = mVersions,
                   .host = core::HostId("host-0"),
                   .dataCentre = core::DataCentreId("gent-a"),
                   .region = core::RegionId("gent") })
  {
    for (std::uint32_t n = 0; n < aWorkspaces; ++n) {
      mWorkspaces.emplace_back("workspace-" + std::to_string(n));
    }
    for (std::uint32_t n = 0; n < kUpstreamCount; ++n) {
      mScheduler.AddOrUpdateUpstream({ .id = core::UpstreamId("engine-" + std::to_string(n)),
                                       .incarnation = core::Incarnation(1),
                                       .service = core::ServiceId("taxateur"),
                                       .version = core::VersionId("v1"),
                                       .dataCentre = core::DataCentreId("gent-a"),
                                       .region = core::RegionId("gent"),
                                       .address = "127.0.0.1",
                                       .slots = 16 });
    }
    mInFlight.reserve(kInFlightCount * 4);
  }

  DecisionCostResult Measure()
  {
    for (std::uint32_t n = 0; n < kInFlightCount; ++n) {
      mScheduler.Submit(MakeSpec());
    }
    for (std::uint32_t n = 0; n < kDecisionCount / 2; ++n) {
      SubmitAndFinish(MakeSpec());
    }
    std::vector<double> times;
    times.reserve(kDecisionCount);
    DecisionCostResult cost;
    std::uint64_t allocations = 0;
    for (std::uint32_t n = 0; n < kDecisionCount; ++n) {
      request::RequestSpec spec = MakeSpec();
      const std::uint64_t before = gAllocationCount.load();
      const auto start = std::chrono::steady_clock::now();
      SubmitAndFinish(std::move(spec));
      const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
      allocations += gAllocationCount.load() - before;
      times.push_back(elapsed.count());
      cost.meanMicros += elapsed.count() / kDecisionCount;
      if (n % 64 == 0) {
        mTimers.Advance(core::Duration(1'000));
      }
    }
    std::sort(times.begin(), times.end());
    cost.p99Micros = times[times.size() * 99 / 100];
    cost.allocationsPerDecision = static_cast<double>(allocations) / kDecisionCount;
    return cost;
  }

private:
  request::RequestSpec MakeSpec()
  {
    const std::uint64_t workspace = mRandom.UniformBelow(mWorkspaces.size());
    request::RequestSpec spec{ .id =
                                 core::RequestId("request-" + std::to_string(mNextRequestNumber++)),
                               .workspace = mWorkspaces[workspace],
                               .tier = static_cast<request::TierRank>(mRandom.UniformBelow(4)),
                               .service = core::ServiceId("taxateur"),
                               .route = core::RouteId("quick"),
                               .arrival = mTimers.Now(),
                               .deadline = mTimers.Now() + std::chrono::hours(1),
                               .firstTokenTarget = std::chrono::hours(1),
                               .tokenGapTarget = std::chrono::milliseconds(39),
                               .promptTokens = core::Tokens{ kPromptTokens },
                               .maxOutputTokens = core::Tokens{ 100 },
                               .prefixHashes = {} };
    for (std::int64_t n = 0; n < kPromptTokens / request::kPrefixBlockTokens.value; ++n) {
      const bool shared = n < 8;
      spec.prefixHashes.push_back(shared ? workspace * 64 + static_cast<std::uint64_t>(n) + 1
                                         : mRandom.Bits());
    }
    return spec;
  }

  /// Submits a request, then finishes a random one in flight.
  void SubmitAndFinish(request::RequestSpec aSpec)
  {
    mScheduler.Submit(std::move(aSpec));
    if (mInFlight.empty()) {
      return;
    }
    const std::size_t chosen = mRandom.UniformBelow(mInFlight.size());
    mFinishing = mInFlight[chosen];
    std::swap(mInFlight[chosen], mInFlight.back());
    mInFlight.pop_back();
    mScheduler.OnFirstToken(mFinishing);
    mScheduler.OnToken(mFinishing);
    mScheduler.OnAttemptEnded(mFinishing, request::AttemptOutcome::Succeeded);
  }

  test_framework::time::ManualTimerService mTimers;
  core::Random mRandom{ 1 };
  AnyVersion mVersions;
  std::vector<core::RequestId> mInFlight;
  InFlightRecorder mRecorder;
  request::admission::TieredScheduler mScheduler;
  std::vector<core::WorkspaceId> mWorkspaces;
  core::RequestId mFinishing;
  std::uint64_t mNextRequestNumber = 0;
};

} // namespace

int RunDecisionCost(const std::string& aName, int, char**)
{
  std::printf("%10s %12s %12s %12s\n", "workspaces", "mean us", "99% us", "allocations");
  DecisionCostResult few;
  DecisionCostResult many;
  for (const std::uint32_t workspaces : { 15U, 1'500U, 15'000U }) {
    DecisionCostBenchmark run(workspaces);
    many = run.Measure();
    few = workspaces == 15 ? many : few;
    std::printf("%10u %12.2f %12.2f %12.3f\n", workspaces, many.meanMicros, many.p99Micros,
                many.allocationsPerDecision);
  }
  std::printf("measurement=%s upstreams=%u mean_us_15=%.2f mean_us_15000=%.2f p99_us_15000=%.2f "
              "allocations_15000=%.3f\n",
              aName.c_str(), kUpstreamCount, few.meanMicros, many.meanMicros, many.p99Micros,
              many.allocationsPerDecision);
  return 0;
}

} // namespace cuminfield::performance_test::decisions
