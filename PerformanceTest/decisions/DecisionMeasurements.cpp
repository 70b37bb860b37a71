#include "PerformanceTest/decisions/DecisionMeasurements.h"

#include "PerformanceTest/decisions/Simulation.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <future>
#include <map>
#include <sstream>

namespace cuminfield::performance_test::decisions {

namespace {

constexpr std::size_t kWorkerThreads = 3;

/// Options of a measurement.
struct MeasurementOptions
{
  std::uint64_t seeds = 10;
  std::vector<std::string> policies;
  std::vector<double> loads;
  Fault fault = Fault::None;
  std::vector<std::pair<std::string, double>> settingChanges; ///< Values of `--set`, by name.
};

/// Applies a `--set name=value` argument.
using OptionSetter = std::function<void(SimulationOptions&, double)>;

core::Duration Millis(double aMillis)
{
  return core::Duration(static_cast<std::int64_t>(aMillis * 1'000));
}

const std::map<std::string, OptionSetter>& OptionSetters()
{
  static const std::map<std::string, OptionSetter> setters = {
    { "longShare",
      [](auto& aOptions, double aValue) { aOptions.settings.router.longPrefillShare = aValue; } },
    { "longPrefillMs",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.longPrefillThreshold = Millis(aValue);
      } },
    { "longPenaltyMs",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.longPrefillPenalty = Millis(aValue);
      } },
    { "lowerBacklogMs",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.maxLowerTierBacklog = Millis(aValue);
      } },
    { "prefillBudgetMs",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.prefillBudget = Millis(aValue);
      } },
    { "prefillWeight",
      [](auto& aOptions, double aValue) { aOptions.settings.router.prefillWeight = aValue; } },
    { "batchWeightMs",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.fullBatchCost = Millis(aValue);
      } },
    { "jitter",
      [](auto& aOptions, double aValue) { aOptions.settings.router.costJitter = aValue; } },
    { "spreadWeight",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.predictionErrorWeight = aValue;
      } },
    { "remoteShare",
      [](auto& aOptions, double aValue) { aOptions.settings.router.otherRegionShare = aValue; } },
    { "limitMost",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.inFlightLimit.maxShare = aValue;
      } },
    { "limitSafety",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.inFlightLimit.targetShare = aValue;
      } },
    { "reserveDeviations",
      [](auto& aOptions, double aValue) {
        aOptions.settings.tierReserve.peakDeviations = aValue;
      } },
    { "reserveFall",
      [](auto& aOptions, double aValue) { aOptions.settings.tierReserve.fallWeight = aValue; } },
    { "reserveLeast",
      [](auto& aOptions, double aValue) {
        aOptions.settings.tierReserve.minShareOfHigherTier = aValue;
      } },
    { "spillMarginMs",
      [](auto& aOptions, double aValue) { aOptions.settings.overflowMargin = Millis(aValue); } },
    { "reserved", [](auto& aOptions, double aValue) { aOptions.capacity.reservedShare = aValue; } },
    { "burst", [](auto& aOptions, double aValue) { aOptions.workload.burstRateFactor = aValue; } },
    { "lowTiers",
      [](auto& aOptions, double aValue) { aOptions.workload.lowTierRateFactor = aValue; } },
    { "spillAfter",
      [](auto& aOptions, double aValue) { aOptions.settings.overflowAfterShare = aValue; } },
    { "remotePrefill",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.otherRegionPrefillShare = aValue;
      } },
    { "remoteTopShare",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.otherRegionTopTierShare = aValue;
      } },
    { "choices",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.sampledUpstreams = static_cast<std::uint32_t>(aValue);
      } },
    { "slowFactor",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.outlierDetector.maxSlowdownRatio = aValue;
      } },
    { "firstEjectMs",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.outlierDetector.initialEjection = Millis(aValue);
      } },
    { "overGrant",
      [](auto& aOptions, double aValue) { aOptions.settings.router.maxLoadWithGrant = aValue; } },
    { "churn",
      [](auto& aOptions, double aValue) { aOptions.settings.tierReserve.releaseTicks = aValue; } },
    { "limitUsed",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.inFlightLimit.minUtilization = aValue;
      } },
    { "limitStart",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.inFlightLimit.initialShare = aValue;
      } },
    { "limitIncrease",
      [](auto& aOptions, double aValue) {
        aOptions.settings.router.inFlightLimit.increaseStep = aValue;
      } },
    { "regions",
      [](auto& aOptions, double aValue) {
        aOptions.regions = static_cast<std::uint32_t>(aValue);
        aOptions.workload.regionShares.assign(aOptions.regions, 1.0 / aValue);
      } },
    { "hosts",
      [](auto& aOptions, double aValue) { aOptions.hosts = static_cast<std::uint32_t>(aValue); } },
  };
  return setters;
}

/// Results of one policy at one load, one per seed.
using SeedResults = std::vector<SimulationResult>;

/// Extracts a value from the result of a run.
using Metric = std::function<double(const SimulationResult&)>;

std::vector<std::string> SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

bool IsTieredPolicy(const std::string& aPolicy)
{
  return aPolicy.rfind("tiered", 0) == 0;
}

/// aPolicy: a scheduler name; `tiered` may have the suffix `-circuit` or `-unwatched`, which
/// selects the health policy, or `-alone`, which turns capacity sharing off.
SimulationOptions MakeOptions(const std::string& aPolicy, double aLoad, std::uint64_t aSeed,
                              const MeasurementOptions& aRequest)
{
  SimulationOptions options;
  options.policy = aPolicy;
  options.seed = aSeed;
  options.fault = aRequest.fault;
  for (const auto& [name, value] : aRequest.settingChanges) {
    OptionSetters().at(name)(options, value);
  }
  options.workload.load = aLoad;
  options.workload.isConsortium = aSeed % 2 == 1;
  options.sharesCapacity = IsTieredPolicy(aPolicy) && aPolicy != "tiered-alone";
  if (aPolicy == "tiered-circuit") {
    options.settings.router.healthPolicy = request::routing::HealthPolicy::CircuitBreaker;
  }
  if (aPolicy == "tiered-unwatched") {
    options.settings.router.healthPolicy = request::routing::HealthPolicy::None;
  }
  return options;
}

SeedResults RunSeeds(const std::string& aPolicy, double aLoad, const MeasurementOptions& aRequest)
{
  SeedResults runs(aRequest.seeds);
  std::vector<std::future<void>> workers;
  for (std::size_t worker = 0; worker < kWorkerThreads; ++worker) {
    workers.push_back(std::async(std::launch::async, [&, worker] {
      for (std::size_t n = worker; n < runs.size(); n += kWorkerThreads) {
        Simulation simulation(MakeOptions(aPolicy, aLoad, n + 1, aRequest));
        runs[n] = simulation.Run();
      }
    }));
  }
  for (auto& it : workers) {
    it.get();
  }
  return runs;
}

std::vector<double> SortedValues(const SeedResults& aRuns, const Metric& aFigure)
{
  std::vector<double> values;
  for (const SimulationResult& it : aRuns) {
    values.push_back(aFigure(it));
  }
  std::sort(values.begin(), values.end());
  return values;
}

double Median(const SeedResults& aRuns, const Metric& aFigure)
{
  const std::vector<double> values = SortedValues(aRuns, aFigure);
  return (values[(values.size() - 1) / 2] + values[values.size() / 2]) / 2;
}

double Minimum(const SeedResults& aRuns, const Metric& aFigure)
{
  return SortedValues(aRuns, aFigure).front();
}

double Maximum(const SeedResults& aRuns, const Metric& aFigure)
{
  return SortedValues(aRuns, aFigure).back();
}

Metric InTimePercent(std::size_t aTier)
{
  return [aTier](const SimulationResult& aRun) { return aRun.InTimeShare(aTier) * 100; };
}

void PrintHeader()
{
  std::printf("%-17s %4s | %-13s %-13s %-13s %-13s | %-13s %-6s | %9s %9s | %s\n", "policy", "load",
              "tier 0 %", "tier 1 %", "tier 2 %", "tier 3 %", "of bound %", "plain%", "wasted kt",
              "region kB", "by tier: shed/late/slow");
  std::printf(
    "%-17s %4s | median worst  median worst  median worst  median worst  | median worst\n", "", "");
}

void PrintRow(const std::string& aPolicy, double aLoad, const SeedResults& aRuns)
{
  std::printf("%-17s %4.1f |", aPolicy.c_str(), aLoad);
  for (std::size_t tier = 0; tier < 4; ++tier) {
    std::printf(" %6.2f %6.2f", Median(aRuns, InTimePercent(tier)),
                Minimum(aRuns, InTimePercent(tier)));
  }
  const Metric bound = [aLoad](const SimulationResult& aRun) {
    return aRun.ShareOfUpperBound(aLoad) * 100;
  };
  const Metric plain = [](const SimulationResult& aRun) {
    return 100.0 * static_cast<double>(aRun.plainInTime) /
           static_cast<double>(std::max<std::uint64_t>(1, aRun.plainOffered));
  };
  const Metric wasted = [](const SimulationResult& aRun) {
    return aRun.wastedPrefillTokens / 1'000;
  };
  const Metric bytes = [](const SimulationResult& aRun) { return aRun.interRegionBytes / 1'000; };
  std::printf(" | %6.2f %6.2f %6.2f | %9.0f %9.0f |", Median(aRuns, bound), Minimum(aRuns, bound),
              Median(aRuns, plain), Median(aRuns, wasted), Median(aRuns, bytes));
  for (std::size_t tier = 0; tier < 4; ++tier) {
    const Metric shed = [tier](const SimulationResult& aRun) { return double(aRun.shed[tier]); };
    const Metric first = [tier](const SimulationResult& aRun) {
      return double(aRun.lateFirstToken[tier]);
    };
    const Metric gaps = [tier](const SimulationResult& aRun) {
      return double(aRun.lateTokenGaps[tier]);
    };
    std::printf(" %.0f/%.0f/%.0f", Median(aRuns, shed), Median(aRuns, first), Median(aRuns, gaps));
  }
  std::printf("\n");
  std::fflush(stdout);
}

/// Results by policy and load.
using ResultTable = std::map<std::pair<std::string, double>, SeedResults>;

void PrintSummary(const std::string& aName, const MeasurementOptions& aRequest,
                  const ResultTable& aTable)
{
  std::printf("measurement=%s seeds=%lu", aName.c_str(),
              static_cast<unsigned long>(aRequest.seeds));
  const auto topTierInTime = [](const SimulationResult& aRun) {
    return static_cast<double>(aRun.inTime[0]);
  };
  const auto wasted = [](const SimulationResult& aRun) { return aRun.wastedPrefillTokens; };
  const auto bytes = [](const SimulationResult& aRun) { return aRun.interRegionBytes; };
  for (const double load : aRequest.loads) {
    const auto tiered = aTable.find({ "tiered", load });
    if (tiered == aTable.end()) {
      continue;
    }
    const Metric bound = [load](const SimulationResult& aRun) {
      return aRun.ShareOfUpperBound(load) * 100;
    };
    std::printf(" tier0_%.1f=%.2f tier0_worst_%.1f=%.2f of_bound_%.1f=%.2f", load,
                Median(tiered->second, InTimePercent(0)), load,
                Minimum(tiered->second, InTimePercent(0)), load, Median(tiered->second, bound));
    double maxTopTier = 0;
    double minWasted = 0;
    double minBytes = 0;
    for (const auto& [key, runs] : aTable) {
      if (IsTieredPolicy(key.first) || key.second != load) {
        continue;
      }
      const bool first = maxTopTier == 0;
      maxTopTier = std::max(maxTopTier, Median(runs, topTierInTime));
      minWasted = first ? Median(runs, wasted) : std::min(minWasted, Median(runs, wasted));
      minBytes = first ? Median(runs, bytes) : std::min(minBytes, Median(runs, bytes));
    }
    if (maxTopTier > 0) {
      std::printf(" tier0_ratio_%.1f=%.2f wasted_ratio_%.1f=%.3f bytes_ratio_%.1f=%.3f", load,
                  Median(tiered->second, topTierInTime) / maxTopTier, load,
                  Median(tiered->second, wasted) / std::max(minWasted, 1.0), load,
                  Median(tiered->second, bytes) / std::max(minBytes, 1.0));
    }
  }
  std::printf("\n");
}

void PrintDrainSummary(const ResultTable& aTable)
{
  for (const auto& [key, runs] : aTable) {
    std::printf(
      "%s: dispatched to the draining upstream 3 s or more after the drain began: worst %.0f; "
      "aborted in flight: worst %.0f; dispatched again after an attempt had started: worst %.0f\n",
      key.first.c_str(),
      Maximum(
        runs,
        [](const SimulationResult& aRun) { return static_cast<double>(aRun.lateDispatches); }),
      Maximum(runs, [](const SimulationResult& aRun) { return static_cast<double>(aRun.aborted); }),
      Maximum(runs, [](const SimulationResult& aRun) {
        return static_cast<double>(aRun.redispatchedAfterStart);
      }));
  }
}

/// Compares hosts that share capacity with hosts that do not, for 2 to 8 hosts in one data centre.
int RunCapacitySharing(MeasurementOptions& aRequest)
{
  PrintHeader();
  std::string figures;
  for (const double hosts : { 2.0, 4.0, 6.0, 8.0 }) {
    aRequest.settingChanges.emplace_back("regions", 1);
    aRequest.settingChanges.emplace_back("hosts", hosts);
    for (const std::string& policy : aRequest.policies) {
      for (const double load : aRequest.loads) {
        const SeedResults runs = RunSeeds(policy, load, aRequest);
        const std::string name = policy + "/" + std::to_string(static_cast<int>(hosts));
        PrintRow(name, load, runs);
        char figure[128];
        std::snprintf(figure, sizeof figure, " %s_tier0_%.1f=%.2f", name.c_str(), load,
                      Median(runs, InTimePercent(0)));
        figures += figure;
      }
    }
  }
  std::printf("measurement=share seeds=%lu%s\n", static_cast<unsigned long>(aRequest.seeds),
              figures.c_str());
  return 0;
}

void ParseArguments(MeasurementOptions& aRequest, int aCount, char** aValues)
{
  for (int n = 0; n + 1 < aCount; n += 2) {
    const std::string key = aValues[n];
    const std::string value = aValues[n + 1];
    if (key == "--seeds") {
      aRequest.seeds = std::stoull(value);
    }
    if (key == "--set") {
      const std::size_t separator = value.find('=');
      aRequest.settingChanges.emplace_back(value.substr(0, separator),
                                           std::stod(value.substr(separator + 1)));
    }
    if (key == "--policies") {
      aRequest.policies = SplitAtCommas(value);
    }
    if (key == "--loads") {
      aRequest.loads.clear();
      for (const std::string& it : SplitAtCommas(value)) {
        aRequest.loads.push_back(std::stod(it));
      }
    }
  }
}

bool SetDefaults(const std::string& aName, MeasurementOptions& aRequest)
{
  aRequest.policies = { "random", "round-robin", "least-load", "tiered" };
  aRequest.loads = { 1.5 };
  if (aName == "goodput") {
    aRequest.loads = { 0.7, 1.0, 1.5, 3.0 };
    return true;
  }
  if (aName == "prefill" || aName == "regions") {
    aRequest.loads = { 0.7, 1.0, 1.5 };
    return true;
  }
  if (aName == "share") {
    aRequest.policies = { "tiered-alone", "tiered" };
    aRequest.loads = { 1.0, 1.5 };
    return true;
  }
  if (aName == "straggler") {
    aRequest.policies = { "least-load", "tiered-unwatched", "tiered-circuit", "tiered" };
    aRequest.loads = { 0.7, 1.0 };
    aRequest.fault = Fault::Straggler;
    return true;
  }
  if (aName == "leave") {
    aRequest.policies = { "least-load", "tiered" };
    aRequest.loads = { 0.7 };
    aRequest.fault = Fault::Drain;
    return true;
  }
  return false;
}

} // namespace

int RunDecisionMeasurement(const std::string& aName, int aCount, char** aValues)
{
  MeasurementOptions request;
  if (!SetDefaults(aName, request)) {
    std::fprintf(stderr, "unknown measurement: %s\n", aName.c_str());
    return 2;
  }
  ParseArguments(request, aCount, aValues);
  if (aName == "share") {
    return RunCapacitySharing(request);
  }
  ResultTable table;
  PrintHeader();
  for (const double load : request.loads) {
    for (const std::string& policy : request.policies) {
      table[{ policy, load }] = RunSeeds(policy, load, request);
      PrintRow(policy, load, table[{ policy, load }]);
    }
  }
  if (request.fault == Fault::Drain) {
    PrintDrainSummary(table);
  }
  PrintSummary(aName, request, table);
  return 0;
}

} // namespace cuminfield::performance_test::decisions
