#include "cuminfield/process/cluster/FollowerTable.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <limits>
#include <string>

using namespace cuminfield;
using namespace cuminfield::process::cluster;
using namespace std::chrono_literals;

namespace {

proto::Report MakeReport(std::uint64_t aPercent)
{
  proto::Report report;
  report.set_life(1);
  proto::InFlight* it = report.add_in_flight();
  it->set_upstream("u");
  it->set_held_tokens(1000);
  it->set_speed_percent(aPercent);
  it->set_speed_samples(1);
  return report;
}

} // namespace

TEST_GROUP(SpeedSums){};

/// Load: hundreds of hosts read different figures of one engine; each needs the mean of the
/// others'.
TEST(SpeedSums, EachHostGetsTheSumOfAllOthers)
{
  const core::Instant now{ 100s };
  FollowerTable other{ {} };
  other.OnReport(core::HostId("c"), MakeReport(400), now);
  proto::Exchange exchange;
  other.AddLocalSums(exchange, true);
  FollowerTable table{ {} };
  table.OnReport(core::HostId("a"), MakeReport(100), now);
  table.OnReport(core::HostId("b"), MakeReport(200), now);
  table.OnExchange(core::HostId("control-2"), exchange, now);
  proto::Feed feed;
  table.AddRemoteSums(core::HostId("a"), feed, false);
  CHECK_EQUAL(600, feed.in_flight(0).speed_percent());
  CHECK_EQUAL(2, feed.in_flight(0).speed_samples());
  CHECK_EQUAL(2000, feed.in_flight(0).held_tokens());
}

/// One faulty host must not make the sums of all others overflow for good.
TEST(SpeedSums, HugeFigureOfOneHostLeavesWithItsReport)
{
  const core::Instant now{ 100s };
  FollowerTable table{ {} };
  table.OnReport(core::HostId("a"), MakeReport(std::numeric_limits<std::uint64_t>::max()), now);
  table.OnReport(core::HostId("b"), MakeReport(200), now);
  table.OnReport(core::HostId("a"), MakeReport(100), now);
  proto::Feed feed;
  table.AddRemoteSums(core::HostId("c"), feed, false);
  CHECK_EQUAL(300, feed.in_flight(0).speed_percent());
}
