#include "TestFramework/plain/PlainService.h"

#include <iostream>

using namespace cuminfield::test_framework;

int main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  upstream::UpstreamOptions options;
  std::int64_t latencyMs = 20;
  po::options_description description("StandInService: a plain service for tests");
  upstream::AddOptions(description, options);
  description.add_options()("latency", po::value(&latencyMs), "duration of a call, in ms");
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
  plain::PlainService(timers, options, std::chrono::milliseconds(latencyMs)).Run();
  return 0;
}
