#pragma once

#include "TestFramework/engine_model/EngineSettings.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/request/RequestSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminfield::performance_test::decisions {

/// One kind of request of a user.
struct RequestClass
{
  std::string name;
  request::TierRank tier = 0;
  std::string service;
  double mix = 0;                       ///< Share of the requests of its service.
  std::int64_t sharedPrompt = 0;        ///< Tokens of the part that requests of a template share.
  std::int64_t ownPrompt = 0;           ///< Mean tokens of the request's own part.
  std::int64_t answer = 1;              ///< Mean tokens of the answer.
  std::uint32_t templates = 1;          ///< Shared parts of each workspace.
  core::Duration firstTokenTarget{ 0 }; ///< From arrival; also its deadline.
  core::Duration tokenGapTarget{ 0 };
  bool mayRepeat = true;
};

/// A caller's bound on the answer, as a multiple of the mean answer of the class.
inline constexpr std::int64_t kAnswerBound = 4;

/// One request to come.
struct Arrival
{
  core::Duration at{ 0 }; ///< Since the start of the run.
  std::size_t classIndex = 0;
  std::uint32_t region = 0;
  std::uint32_t workspace = 0;
  std::uint64_t templateId = 0;  ///< Unique over workspaces and classes.
  std::int64_t sharedBlocks = 0; ///< Blocks of the prompt that belong to the template.
  std::int64_t prompt = 0;
  std::int64_t answer = 1; ///< True length; the scheduler only knows an upper bound.
  std::vector<request::PrefixHash> prefix;
};

/// Tunables of a workload.
struct WorkloadSettings
{
  bool consortium = true; ///< Else the swarm line.
  double load = 1.0;      ///< Of the fleet's capacity.
  core::Duration length{ 75'000'000 };
  std::vector<double> regions{ 0.4, 0.35, 0.25 }; ///< Share of each region's callers.
  std::vector<double> workspaces{ 0.4, 0.3, 0.15, 0.1, 0.05 };
  double lowTiers = 1.0;            ///< Factor on the rate of tiers 2 and 3.
  double burst = 2.0; ///< The quick tier's rate in a burst, as a factor.
  core::Duration burstPeriod{ 10'000'000 };
  core::Duration burstLength{ 1'500'000 };
};

/// The request classes of one of the two users.
std::vector<RequestClass> Classes(bool aConsortium);

/// Engine time in seconds that a mean request of a class takes at a full batch with its template
/// cached: a lower bound.
double Work(const RequestClass& aClass,
            const test_framework::engine_model::EngineSettings& aEngine);

/// Requests a second of a service that these engines can carry at most.
double Capacity(const std::vector<RequestClass>& aClasses, const std::string& aService,
                const std::vector<test_framework::engine_model::EngineSettings>& aEngines);

/// All arrivals of a run in order of time. aRate: requests a second of each class.
std::vector<Arrival> MakeArrivals(const WorkloadSettings& aSettings,
                                  const std::vector<RequestClass>& aClasses,
                                  const std::vector<double>& aRate, core::Random& aRandom);

} // namespace cuminfield::performance_test::decisions
