#include "PerformanceTest/decisions/DecisionCost.h"
#include "PerformanceTest/decisions/DecisionMeasurements.h"
#include "PerformanceTest/log/LogMeasurement.h"
#include "PerformanceTest/moves/MoveMeasurement.h"

#include <cstdio>
#include <map>
#include <string>

using namespace cuminfield::performance_test;

namespace {

int RunVersions(const std::string&, int aCount, char** aValues)
{
  // The callee expects argv: the measurement name takes the place of the program name.
  return moves::RunMoveMeasurement(aCount + 1, aValues - 1);
}

int RunLogCommits(const std::string&, int aCount, char** aValues)
{
  return log::RunLogMeasurement(aCount + 1, aValues - 1);
}

} // namespace

int main(int argc, char** argv)
{
  using Measurement = int (*)(const std::string& aName, int aCount, char** aValues);
  const std::map<std::string, Measurement> measurements = {
    { "decision-cost", decisions::RunDecisionCost },
    { "goodput", decisions::RunDecisionMeasurement },
    { "log-commits", RunLogCommits },
    { "leave", decisions::RunDecisionMeasurement },
    { "prefill", decisions::RunDecisionMeasurement },
    { "regions", decisions::RunDecisionMeasurement },
    { "share", decisions::RunDecisionMeasurement },
    { "straggler", decisions::RunDecisionMeasurement },
    { "versions", RunVersions },
  };
  const auto found = measurements.find(argc > 1 ? argv[1] : "");
  if (found == measurements.end()) {
    std::fprintf(stderr, "usage: PerformanceTest NAME [--key value]...; names:");
    for (const auto& it : measurements) {
      std::fprintf(stderr, " %s", it.first.c_str());
    }
    std::fprintf(stderr, "\n");
    return 2;
  }
  return found->second(argv[1], argc - 2, argv + 2);
}
