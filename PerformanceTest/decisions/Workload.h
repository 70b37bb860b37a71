#pragma once

#include "TestFramework/engine_model/EngineSettings.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/request/RequestSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminfield::performance_test::decisions {

/// Class of requests with the same tier, targets and length distribution.
struct RequestClass
{
  std::string name;
  request::TierRank tier = 0;
  std::string service;
  double mixShare = 0;                     ///< Share of the requests to its service.
  std::int64_t sharedPromptTokens = 0;     ///< Prefix shared by the requests of a template.
  std::int64_t meanUniquePromptTokens = 0; ///< Mean length after the shared prefix.
  std::int64_t meanResponseTokens = 1;
  std::uint32_t templatesPerWorkspace = 1; ///< Number of shared prefixes.
  core::Duration firstTokenTarget{ 0 };    ///< Since arrival; also the deadline.
  core::Duration tokenGapTarget{ 0 };
  bool isRetryable = true;
};

/// A caller's limit on response tokens, as a multiple of the class's mean.
inline constexpr std::int64_t kMaxResponseFactor = 4;

/// One generated request.
struct Arrival
{
  core::Duration arrivalTime{ 0 }; ///< Since the start of the run.
  std::size_t classIndex = 0;
  std::uint32_t region = 0;
  std::uint32_t workspace = 0;
  std::uint64_t templateId = 0;  ///< Unique across workspaces and classes.
  std::int64_t sharedBlocks = 0; ///< Prompt blocks that belong to the template.
  std::int64_t promptTokens = 0;
  std::int64_t responseTokens = 1; ///< Actual length; the scheduler only knows an upper bound.
  std::vector<request::PrefixHash> prefixHashes;
};

/// Settings of a generated workload.
struct WorkloadSettings
{
  bool isConsortium = true; ///< False: the swarm line workload.
  double load = 1.0;        ///< Relative to the capacity of all engines.
  core::Duration length{ 75'000'000 };
  std::vector<double> regionShares{ 0.4, 0.35, 0.25 }; ///< Share of callers in each region.
  std::vector<double> workspaceShares{ 0.4, 0.3, 0.15, 0.1, 0.05 };
  double lowTierRateFactor = 1.0; ///< Applies to tiers 2 and 3.
  double burstRateFactor = 2.0;   ///< Rate factor of tier 0 during a burst.
  core::Duration burstPeriod{ 10'000'000 };
  core::Duration burstLength{ 1'500'000 };
};

/// Returns the request classes of the consortium or the swarm line workload.
std::vector<RequestClass> MakeRequestClasses(bool aConsortium);

/// Lower bound on the engine seconds of a mean request of a class: full batch, template cached.
double MinEngineSeconds(const RequestClass& aClass,
                        const test_framework::engine_model::EngineSettings& aEngine);

/// Maximum rate in requests per second of a service that these engines sustain.
double MaxRequestRate(const std::vector<RequestClass>& aClasses, const std::string& aService,
                      const std::vector<test_framework::engine_model::EngineSettings>& aEngines);

/// Generates all arrivals of a run in order of time. aRate: requests per second of each class.
std::vector<Arrival> MakeArrivals(const WorkloadSettings& aSettings,
                                  const std::vector<RequestClass>& aClasses,
                                  const std::vector<double>& aRate, core::Random& aRandom);

} // namespace cuminfield::performance_test::decisions
