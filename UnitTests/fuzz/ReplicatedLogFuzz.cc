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

constexpr std::size_t kVoters = 3;
constexpr std::size_t kLongestSchedule = 200;

void Act(LogCluster& aCluster, std::uint8_t aByte)
{
  const std::size_t host = (aByte / 16U) % kVoters;
  const std::size_t other = (host + 1 + (aByte / 128U)) % kVoters;
  switch (aByte % 16U) {
    case 0:
      aCluster.Cut(host, other, true);
      break;
    case 1:
      aCluster.Isolate(host, true);
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
      if (aCluster.Repaired()) {
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
      aCluster.Query(aCluster.Remote());
      break;
    case 10:
      aCluster.Propose(aCluster.Remote());
      break;
    default:
      aCluster.Run(30ms);
      if (aCluster.Up(host)) {
        aCluster.Propose(host);
        aCluster.Query(host);
      }
      break;
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0 || aSize > kLongestSchedule) {
    return 0;
  }
  LogCluster cluster(
    { .voters = kVoters, .seed = aData[0], .loss = 0.02, .repeat = 0.02, .slow = 0.02 });
  for (std::size_t i = 0; i < kVoters; ++i) {
    cluster.StartHost(i);
  }
  cluster.RunUntil(10s, [&] { return cluster.Repaired(); });
  for (std::size_t i = 1; i < aSize && cluster.Violation().empty(); ++i) {
    Act(cluster, aData[i]);
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
