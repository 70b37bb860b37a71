// Stateful fuzzing of a whole group of three voters against the oracle of LogCluster: each byte of
// the input is one step of a schedule of commands, failures and repairs.
#include "UnitTests/process/log/LogCluster.h"

// The harness is part of the unit tests' program and of no library.
#include "UnitTests/process/log/LogCluster.cpp"
#include "UnitTests/process/log/MemoryDisk.cpp"

#include <cstdint>
#include <cstdio>
#include <cstdlib>

namespace {

using cuminfield::unit_tests::log::LogCluster;
using namespace std::chrono_literals;

constexpr std::size_t kVoterCount = 3;
constexpr std::size_t kMaxScheduleBytes = 200;

void RunStep(LogCluster& aCluster, std::uint8_t aByte)
{
  const std::size_t host = (aByte / 16U) % kVoterCount;
  const std::size_t other = (host + 1 + (aByte / 128U)) % kVoterCount;
  switch (aByte % 16U) {
    case 0:
      aCluster.SetLinkBlocked(host, other, true);
      break;
    case 1:
      aCluster.SetIsolated(host, true);
      break;
    case 2:
      aCluster.Heal();
      break;
    case 3:
      aCluster.Disk(host).FailAfter(aByte / 16U);
      break;
    case 4:
      aCluster.Kill(host);
      break;
    case 5:
      aCluster.Kill(host);
      aCluster.StartHost(host);
      break;
    case 6:
      if (aCluster.AllHostsVote()) {
        aCluster.LoseDisk(host);
        aCluster.StartHost(host);
      }
      break;
    case 7:
      aCluster.Run(1s);
      break;
    case 8:
      aCluster.Run(2ms);
      break;
    case 9:
      aCluster.Query(aCluster.RemoteHost());
      break;
    case 10:
      aCluster.Propose(aCluster.RemoteHost());
      break;
    default:
      aCluster.Run(30ms);
      if (aCluster.IsUp(host)) {
        aCluster.Propose(host);
        aCluster.Query(host);
      }
      break;
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0 || aSize > kMaxScheduleBytes) {
    return 0;
  }
  LogCluster cluster({ .hosts = kVoterCount,
                       .seed = aData[0],
                       .lossProbability = 0.02,
                       .duplicateProbability = 0.02,
                       .delayProbability = 0.02 });
  for (std::size_t i = 0; i < kVoterCount; ++i) {
    cluster.StartHost(i);
  }
  cluster.RunUntil(10s, [&] { return cluster.AllHostsVote(); });
  for (std::size_t i = 1; i < aSize && cluster.Violation().empty(); ++i) {
    RunStep(cluster, aData[i]);
  }
  if (cluster.Violation().empty()) {
    cluster.CheckRecovery();
  }
  if (!cluster.Violation().empty()) {
    std::fprintf(stderr, "%s\n", cluster.Violation().c_str());
    std::abort();
  }
  return 0;
}
