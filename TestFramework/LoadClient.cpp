#include "TestFramework/caller/HostileCaller.h"
#include "TestFramework/caller/Load.h"
#include "TestFramework/time/LoopTimerService.h"
#include "TestFramework/upstream/Upstream.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <random>

using namespace cuminfield::test_framework;

namespace {

/// Exit code if a response was incomplete or not the expected one.
constexpr int kWrongAnswer = 1;
constexpr int kBadArguments = 2;

constexpr const char* kDefaultMix = R"([
  {"weight":6,"kind":"completion","tier":"quick","workspace":"default"},
  {"weight":2,"kind":"chat","tier":"standard","workspace":"default","stream":false},
  {"weight":1,"kind":"completion","tier":"slow","workspace":"default","keyed":true,
   "prompt":[500,5000],"tokens":[50,200],"shared":500}])";

/// Command line arguments.
struct Arguments
{
  std::string hosts;
  std::string outcomes;
  std::string mix = kDefaultMix;
  double seconds = 0;
  std::string key;
  bool newKey = false;
  bool print = false;
  std::int64_t silenceMs = 10'000;
  std::int64_t pauseMs = 300;
  std::size_t slow = 0;
  std::size_t halfClosed = 0;
  std::size_t garbage = 0;
  caller::CallOptions calls;
  caller::LoadOptions load;
};

boost::program_options::options_description Describe(Arguments& aArguments)
{
  namespace po = boost::program_options;
  po::options_description description("LoadClient: callers that check every response");
  auto add = description.add_options();
  add("help", "print this");
  add("hosts", po::value(&aArguments.hosts), "IP:PORT,IP:PORT of hosts");
  add("outcomes", po::value(&aArguments.outcomes), "file to which each outcome is appended");
  add("mix", po::value(&aArguments.mix), "JSON as in TestFramework/caller/Mix.h");
  add("concurrency", po::value(&aArguments.load.concurrency), "maximum number of concurrent calls");
  add("count", po::value(&aArguments.load.count), "number of calls; 0: no limit");
  add("seconds", po::value(&aArguments.seconds), "time after which no call starts; 0: no limit");
  add("rate", po::value(&aArguments.load.rate), "new calls per second; 0: one when another ends");
  add("seed", po::value(&aArguments.load.seed), "seed of the mix and the keys");
  add("attempts", po::value(&aArguments.calls.attempts), "maximum attempts of a call with a key");
  add("retry-not-run", po::value(&aArguments.calls.retryNotRun),
      "retry calls with a key after not-run");
  add("silence", po::value(&aArguments.silenceMs), "maximum wait for the next byte, in ms");
  add("pause", po::value(&aArguments.pauseMs), "delay before the next attempt, in ms");
  add("key", po::value(&aArguments.key), "key of all calls with a key, instead of new ones");
  add("new-key", po::value(&aArguments.newKey), "print a new key and exit");
  add("print", po::value(&aArguments.print), "print each outcome");
  add("slow-callers", po::value(&aArguments.slow), "number of callers that send byte by byte");
  add("half-closed", po::value(&aArguments.halfClosed),
      "number of callers that half-close connections");
  add("garbage", po::value(&aArguments.garbage), "number of callers that send garbage");
  return description;
}

/// Creates the hostile callers and distributes them over all hosts.
class HostileCrowd
{
public:
  HostileCrowd(time::LoopTimerService& aTimers, const Arguments& aArguments)
    : mTimers(aTimers)
    , mArguments(aArguments)
  {
    Add(caller::Hostility::Slow, aArguments.slow);
    Add(caller::Hostility::HalfClosed, aArguments.halfClosed);
    Add(caller::Hostility::Garbage, aArguments.garbage);
  }

private:
  void Add(caller::Hostility aBehavior, std::size_t aCount)
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
  caller::OutcomeLog outcomeLog(aArguments.outcomes);
  caller::Mix mix(caller::Mix::Parse(aArguments.mix), aArguments.load.seed);
  mix.UseKey(cuminfield::core::IdempotencyKey(aArguments.key));
  if (aArguments.print) {
    outcomeLog.Print();
  }
  caller::Load loadGenerator(timers, client, aArguments.calls, aArguments.load, std::move(mix),
                             outcomeLog, [&] { timers.Stop(); });
  const HostileCrowd hostileCallers(timers, aArguments);
  timers.OnStopSignal([&] { loadGenerator.Stop(); });
  loadGenerator.Start();
  timers.Run();
  std::cout << outcomeLog.Summary() << std::endl;
  return outcomeLog.Count("wrong") == 0 ? 0 : kWrongAnswer;
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
  const po::options_description description = Describe(arguments);
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
    return kBadArguments;
  }
  if (arguments.newKey) {
    PrintNewKey();
    return 0;
  }
  if (arguments.hosts.empty()) {
    std::cerr << "no hosts given; use --hosts IP:PORT\n";
    return kBadArguments;
  }
  if (arguments.load.count == 0 && arguments.seconds <= 0) {
    std::cerr << "no limit given; use --count or --seconds\n";
    return kBadArguments;
  }
  arguments.calls.hosts = upstream::ParseEndpoints(arguments.hosts);
  arguments.calls.silence = std::chrono::milliseconds(arguments.silenceMs);
  arguments.calls.pause = std::chrono::milliseconds(arguments.pauseMs);
  arguments.load.time =
    cuminfield::core::Duration(static_cast<std::int64_t>(arguments.seconds * 1e6));
  return Run(arguments);
}
