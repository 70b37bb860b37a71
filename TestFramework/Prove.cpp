#include "TestFramework/prove/Scenario.h"

#include <boost/program_options.hpp>
#include <spdlog/spdlog.h>

#include <filesystem>
#include <fmt/format.h>
#include <iostream>

using namespace cuminfield;
using namespace cuminfield::test_framework;
using namespace std::chrono_literals;

namespace {

constexpr int kExitBadArguments = 2;
/// Calls after the last round, all of which must have an outcome.
constexpr int kRecoveryCalls = 30;
constexpr core::Duration kWarmUpDuration = 3s;

/// Command line arguments.
struct Arguments
{
  std::string scenario;
  std::uint64_t rounds = 5;
  std::string concurrency = "12";
  prove::ClusterOptions cluster;
};

/// Checks after the last round that all calls have an outcome within 60 s and that no process has
/// crashed.
void CheckRecovery(prove::ScenarioContext& aContext, std::uint64_t aSeed)
{
  aContext.cluster.StartCallers("last-callers",
                                { "--count", std::to_string(kRecoveryCalls), "--concurrency", "10",
                                  "--retry-not-run", "true", "--attempts", "60", "--seed",
                                  std::to_string(aSeed + 1'000'000) });
  const core::Instant deadline = aContext.timers.Now() + 60s;
  while (aContext.cluster.ChildProcesses().IsRunning("last-callers") &&
         aContext.timers.Now() < deadline) {
    aContext.timers.RunFor(200ms);
  }
  aContext.oracle.Check(!aContext.cluster.ChildProcesses().IsRunning("last-callers"),
                        "calls after the last round had no outcome within 60 s");
  for (const std::string& it : aContext.cluster.ChildProcesses().CrashedProcesses()) {
    aContext.oracle.Check(false, it + " exited unexpectedly; see its log");
  }
}

/// Runs all rounds. Returns false if the cluster did not start.
bool RunRounds(const Arguments& aArguments, prove::Scenario& aScenario, prove::Oracle& aOracle)
{
  time::LoopTimerService timers;
  prove::Cluster cluster(timers, aArguments.cluster);
  const std::uint64_t seed = aArguments.cluster.seed;
  core::Random random(seed);
  if (!cluster.Start()) {
    return false;
  }
  prove::RevisionChecker revisionChecker(cluster, aOracle, seed);
  prove::ScenarioContext context{ .timers = timers,
                                  .cluster = cluster,
                                  .oracle = aOracle,
                                  .revisionChecker = revisionChecker,
                                  .random = random };
  cluster.StartCallers("callers", { "--seconds", "3600", "--concurrency", aArguments.concurrency,
                                    "--attempts", "8", "--seed", std::to_string(seed) });
  timers.RunFor(kWarmUpDuration);
  for (std::uint64_t i = 0; i < aArguments.rounds; ++i) {
    aScenario.RunRound(context);
    spdlog::info("round={} checks={} violations={}", i + 1, aOracle.CheckCount(),
                 aOracle.ViolationCount());
  }
  aOracle.Check(cluster.StopCallers("callers"), "a call had no outcome within 60 s");
  CheckRecovery(context, seed);
  aOracle.CheckFolder(cluster.Folder());
  return true;
}

} // namespace

int main(int aCount, char** aValues)
{
  namespace po = boost::program_options;
  Arguments arguments;
  po::options_description description("Prove: tests real processes under injected failures");
  auto add = description.add_options();
  add("help", "print this");
  add("name", po::value(&arguments.scenario), prove::ScenarioNames());
  add("seed", po::value(&arguments.cluster.seed), "seed of the failures and the requests");
  add("rounds", po::value(&arguments.rounds), "number of times the failure is injected");
  add("concurrency", po::value(&arguments.concurrency), "number of concurrent calls");
  add("build", po::value(&arguments.cluster.buildFolder), "folder of the programs");
  add("folder", po::value(&arguments.cluster.folder), "folder for settings, data and logs");
  add("port-base", po::value(&arguments.cluster.firstPort), "first port");
  po::positional_options_description positional;
  positional.add("name", 1);
  po::variables_map values;
  try {
    po::store(
      po::command_line_parser(aCount, aValues).options(description).positional(positional).run(),
      values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "; see --help\n";
    return kExitBadArguments;
  }
  const auto scenario = prove::MakeScenario(arguments.scenario);
  if (values.contains("help") || scenario == nullptr) {
    std::cerr << description << "names: " << prove::ScenarioNames() << "\n";
    return kExitBadArguments;
  }
  if (arguments.cluster.folder.empty()) {
    arguments.cluster.folder =
      fmt::format("{}/run/prove-{}", std::filesystem::current_path().string(), arguments.scenario);
  }
  prove::Oracle oracle;
  const bool started = RunRounds(arguments, *scenario, oracle);
  oracle.Check(started, "the cluster did not start; see the logs in " + arguments.cluster.folder);
  std::cout << "outcomes: " << oracle.OutcomeSummary() << "\n";
  std::cout << fmt::format("{}: seed {}, {} rounds, {} checks, {} violations", arguments.scenario,
                           arguments.cluster.seed, arguments.rounds, oracle.CheckCount(),
                           oracle.ViolationCount())
            << std::endl;
  return oracle.ViolationCount() == 0 ? 0 : 1;
}
