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

constexpr int kBadArguments = 2;
/// Calls that must all be answered once every failure is over.
constexpr int kLastCalls = 30;
constexpr core::Duration kWarmUp = 3s;

/// Arguments of the command line.
struct Arguments
{
  std::string name;
  std::uint64_t rounds = 5;
  std::string concurrency = "12";
  prove::ClusterOptions cluster;
};

/// After the rounds: all hosts answer again, and none has ended by itself.
void CheckRecovery(prove::Stage& aStage, std::uint64_t aSeed)
{
  aStage.cluster.StartCallers("last-callers",
                              { "--count", std::to_string(kLastCalls), "--concurrency", "10",
                                "--retry-not-run", "true", "--attempts", "60", "--seed",
                                std::to_string(aSeed + 1'000'000) });
  const core::Instant limit = aStage.timers.Now() + 60s;
  while (aStage.cluster.Children().Running("last-callers") && aStage.timers.Now() < limit) {
    aStage.timers.RunFor(200ms);
  }
  aStage.oracle.Check(!aStage.cluster.Children().Running("last-callers"),
                      "calls after the last round had no outcome within 60 s");
  for (const std::string& it : aStage.cluster.Children().Crashed()) {
    aStage.oracle.Check(false, it + " ended by itself; see its log");
  }
}

/// Runs the rounds; false when the cluster could not start.
bool RunRounds(const Arguments& aArguments, prove::Scenario& aScenario, prove::Oracle& aOracle)
{
  time::LoopTimerService timers;
  prove::Cluster cluster(timers, aArguments.cluster);
  const std::uint64_t seed = aArguments.cluster.seed;
  core::Random random(seed);
  if (!cluster.Start()) {
    return false;
  }
  prove::RevisionWatch revisions(cluster, aOracle, seed);
  prove::Stage stage{ .timers = timers,
                      .cluster = cluster,
                      .oracle = aOracle,
                      .revisions = revisions,
                      .random = random };
  cluster.StartCallers("callers", { "--seconds", "3600", "--concurrency", aArguments.concurrency,
                                    "--attempts", "8", "--seed", std::to_string(seed) });
  timers.RunFor(kWarmUp);
  for (std::uint64_t i = 0; i < aArguments.rounds; ++i) {
    aScenario.Round(stage);
    spdlog::info("round={} checks={} violations={}", i + 1, aOracle.Checks(), aOracle.Violations());
  }
  aOracle.Check(cluster.EndCallers("callers"), "a call had no outcome within 60 s");
  CheckRecovery(stage, seed);
  aOracle.CheckFolder(cluster.Folder());
  return true;
}

} // namespace

int main(int aCount, char** aValues)
{
  namespace po = boost::program_options;
  Arguments arguments;
  po::options_description description("Prove: real processes under failures");
  auto add = description.add_options();
  add("help", "print this");
  add("name", po::value(&arguments.name), prove::ScenarioNames());
  add("seed", po::value(&arguments.cluster.seed), "seed of the failures and the requests");
  add("rounds", po::value(&arguments.rounds), "how often the failure is brought about");
  add("concurrency", po::value(&arguments.concurrency), "calls at once");
  add("build", po::value(&arguments.cluster.build), "folder of the programs");
  add("folder", po::value(&arguments.cluster.folder), "folder for settings, data and logs");
  add("port-base", po::value(&arguments.cluster.portBase), "first port");
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
    return kBadArguments;
  }
  const auto scenario = prove::MakeScenario(arguments.name);
  if (values.contains("help") || scenario == nullptr) {
    std::cerr << description << "names: " << prove::ScenarioNames() << "\n";
    return kBadArguments;
  }
  if (arguments.cluster.folder.empty()) {
    arguments.cluster.folder =
      fmt::format("{}/run/prove-{}", std::filesystem::current_path().string(), arguments.name);
  }
  prove::Oracle oracle;
  const bool started = RunRounds(arguments, *scenario, oracle);
  oracle.Check(started, "the cluster did not start; see the logs in " + arguments.cluster.folder);
  std::cout << "outcomes: " << oracle.Outcomes() << "\n";
  std::cout << fmt::format("{}: seed {}, {} rounds, {} checks, {} violations", arguments.name,
                           arguments.cluster.seed, arguments.rounds, oracle.Checks(),
                           oracle.Violations())
            << std::endl;
  return oracle.Violations() == 0 ? 0 : 1;
}
