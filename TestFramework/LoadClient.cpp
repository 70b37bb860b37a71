#include "TestFramework/caller/HostileCaller.h"
#include "TestFramework/caller/LoadGenerator.h"
#include "TestFramework/time/LoopTimerService.h"
#include "TestFramework/upstream/StandInUpstream.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <random>

using namespace cuminfield::test_framework;

namespace {

/// Exit code if a response was incomplete or not the expected one.
constexpr int kExitMismatch = 1;
constexpr int kExitBadArguments = 2;

constexpr const char* kDefaultMix = R"([
  {"weight":6,"kind":"completion","tier":"quick","workspace":"default"},
  {"weight":2,"kind":"chat","tier":"standard","workspace":"default","stream":false},
  {"weight":1,"kind":"completion","tier":"slow","workspace":"default","keyed":true,
   "prompt":[500,5000],"tokens":[50,200],"shared":500}])";

/// Command line arguments.
struct Arguments
{
  std::string hosts;
  std::string outcomeFile;
  std::string mix = kDefaultMix;
  double seconds = 0;
  std::string fixedKey;
  bool printNewKey = false;
  bool printOutcomes = false;
  std::int64_t readTimeoutMs = 10'000;
  std::int64_t retryDelayMs = 300;
  std::size_t slowCallers = 0;
  std::size_t halfClosedCallers = 0;
  std::size_t garbageCallers = 0;
  caller::CallOptions calls;
  caller::LoadOptions load;
};

boost::program_options::options_description MakeOptionsDescription(Arguments& aArguments)
{
  namespace po = boost::program_options;
  po::options_description description("LoadClient: callers that check every response");
  auto add = description.add_options();
  add("help", "print this");
  add("hosts", po::value(&aArguments.hosts), "IP:PORT,IP:PORT of hosts");
  add("outcomes", po::value(&aArguments.outcomeFile), "file to which each outcome is appended");
  add("mix", po::value(&aArguments.mix), "JSON as in TestFramework/caller/Mix.h");
  add("concurrency", po::value(&aArguments.load.maxConcurrency),
      "maximum number of concurrent calls");
  add("count", po::value(&aArguments.load.callCount), "number of calls; 0: no limit");
  add("seconds", po::value(&aArguments.seconds), "time after which no call starts; 0: no limit");
  add("rate", po::value(&aArguments.load.callsPerSecond),
      "new calls per second; 0: one when another ends");
  add("seed", po::value(&aArguments.load.seed), "seed of the mix and the keys");
  add("attempts", po::value(&aArguments.calls.maxAttempts),
      "maximum attempts of a call with a key");
  add("retry-not-run", po::value(&aArguments.calls.retryNotRun),
      "retry calls with a key after not-run");
  add("silence", po::value(&aArguments.readTimeoutMs), "maximum wait for the next byte, in ms");
  add("pause", po::value(&aArguments.retryDelayMs), "delay before the next attempt, in ms");
  add("key", po::value(&aArguments.fixedKey), "key of all calls with a key, instead of new ones");
  add("new-key", po::value(&aArguments.printNewKey), "print a new key and exit");
  add("print", po::value(&aArguments.printOutcomes), "print each outcome");
  add("slow-callers", po::value(&aArguments.slowCallers),
      "number of callers that send byte by byte");
  add("half-closed", po::value(&aArguments.halfClosedCallers),
      "number of callers that half-close connections");
  add("garbage", po::value(&aArguments.garbageCallers), "number of callers that send garbage");
  return description;
}

/// Creates the hostile callers and distributes them over all hosts.
class HostileCallers
{
public:
  HostileCallers(time::LoopTimerService& aTimers, const Arguments& aArguments)
    : mTimers(aTimers)
    , mArguments(aArguments)
  {
    Add(caller::HostileBehavior::Slow, aArguments.slowCallers);
    Add(caller::HostileBehavior::HalfClosed, aArguments.halfClosedCallers);
    Add(caller::HostileBehavior::Garbage, aArguments.garbageCallers);
  }

private:
  void Add(caller::HostileBehavior aBehavior, std::size_t aCount)
  {
    const auto& hosts = mArguments.calls.hosts;
    for (std::size_t i = 0; i < aCount; ++i) {
      mCallers.push_back(std::make_unique<caller::HostileCaller>(mTimers.EventBase(), mTimers,
                                                                 hosts[i % hosts.size()], aBehavior,
                                                                 mArguments.load.seed + i));
    }
  }

  time::LoopTimerService& mTimers;
  const Arguments& mArguments;
  std::vector<std::unique_ptr<caller::HostileCaller>> mCallers;
};

int Run(const Arguments& aArguments)
{
  time::LoopTimerService timers;
  http::Client client(timers.EventBase());
  caller::OutcomeLog outcomeLog(aArguments.outcomeFile);
  caller::Mix mix(caller::Mix::Parse(aArguments.mix), aArguments.load.seed);
  mix.SetFixedKey(cuminfield::core::IdempotencyKey(aArguments.fixedKey));
  if (aArguments.printOutcomes) {
    outcomeLog.EnablePrinting();
  }
  caller::LoadGenerator loadGenerator(timers, client, aArguments.calls, aArguments.load,
                                      std::move(mix), outcomeLog, [&] { timers.Stop(); });
  const HostileCallers hostileCallers(timers, aArguments);
  timers.OnStopSignal([&] { loadGenerator.Stop(); });
  loadGenerator.Start();
  timers.Run();
  std::cout << outcomeLog.Summary() << std::endl;
  return outcomeLog.Count("wrong") == 0 ? 0 : kExitMismatch;
}

void PrintNewKey()
{
  const time::LoopTimerService timers;
  caller::KeyGenerator keys(std::random_device{}());
  std::cout << keys.Next(timers.WallNow()).Text() << "\n";
}

} // namespace

int main(int aCount, char** aValues)
{
  namespace po = boost::program_options;
  Arguments arguments;
  const po::options_description description = MakeOptionsDescription(arguments);
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aValues, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "; see --help\n";
    return kExitBadArguments;
  }
  if (arguments.printNewKey) {
    PrintNewKey();
    return 0;
  }
  if (arguments.hosts.empty()) {
    std::cerr << "no hosts given; use --hosts IP:PORT\n";
    return kExitBadArguments;
  }
  if (arguments.load.callCount == 0 && arguments.seconds <= 0) {
    std::cerr << "no limit given; use --count or --seconds\n";
    return kExitBadArguments;
  }
  arguments.calls.hosts = upstream::ParseEndpoints(arguments.hosts);
  arguments.calls.readTimeout = std::chrono::milliseconds(arguments.readTimeoutMs);
  arguments.calls.retryDelay = std::chrono::milliseconds(arguments.retryDelayMs);
  arguments.load.duration =
    cuminfield::core::Duration(static_cast<std::int64_t>(arguments.seconds * 1e6));
  return Run(arguments);
}
