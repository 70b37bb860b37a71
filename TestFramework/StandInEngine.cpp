#include "TestFramework/engine/Engine.h"

#include <iostream>

using namespace cuminfield::test_framework;

int main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  upstream::UpstreamOptions options;
  engine::EngineOptions engineOptions;
  po::options_description description("StandInEngine: a model engine for tests");
  upstream::AddOptions(description, options);
  auto add = description.add_options();
  add("speed", po::value(&engineOptions.speedFactor), "2 is twice as fast");
  add("cache-tokens", po::value(&engineOptions.cacheTokens),
      "capacity of the prefix cache, in tokens");
  add("report-lag", po::value(&engineOptions.reportDelayMs), "delay of load reports, in ms");
  add("cache-event-loss", po::value(&engineOptions.cacheEventLossChance),
      "probability that a cache event is lost");
  add("fences", po::value(&engineOptions.rejectsOldFencing),
      "reject control requests with old fencing numbers");
  add("remembered", po::value(&engineOptions.maxFinishedCompletions),
      "finished completions retained for resumed streams");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "; see --help\n";
    return 2;
  }
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  time::LoopTimerService timers;
  engine::Engine(timers, options, engineOptions).Run();
  return 0;
}
