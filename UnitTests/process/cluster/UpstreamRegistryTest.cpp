#include "cuminfield/process/cluster/UpstreamRegistry.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::process::cluster;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamRegistry)
{
  UpstreamRegistry registry{ {} };
  core::Instant now{ 100s };

  static proto::Upstream MakeHeartbeat(const std::string& aId, std::uint64_t aIncarnation,
                                       std::uint64_t aSequence,
                                       const std::string& aAddress = "10.0.0.1")
  {
    proto::Upstream upstream;
    upstream.set_id(aId);
    upstream.set_incarnation(aIncarnation);
    upstream.set_sequence(aSequence);
    upstream.set_service("s");
    upstream.set_version("v1");
    upstream.set_address(aAddress);
    upstream.set_port(80);
    upstream.set_slots(4);
    return upstream;
  }
};

TEST(UpstreamRegistry, KeepsUpstreamWhileHeartbeatsArrive)
{
  CHECK(registry.HandleHeartbeat(MakeHeartbeat("a", 1, 1), now));
  const std::uint64_t revision = registry.Revision();
  CHECK(registry.HandleHeartbeat(MakeHeartbeat("a", 1, 2), now + 4s));
  CHECK_EQUAL(revision, registry.Revision()); // No change that matters to the hosts.
  registry.Expire(now + 8s);
  CHECK_EQUAL(1, registry.List().size());
  registry.Expire(now + 10s);
  CHECK_EQUAL(0, registry.List().size());
  CHECK(registry.Revision() > revision);
}

TEST(UpstreamRegistry, RejectsOutdatedHeartbeats)
{
  CHECK(registry.HandleHeartbeat(MakeHeartbeat("a", 2, 5), now));
  CHECK_FALSE(registry.HandleHeartbeat(MakeHeartbeat("a", 2, 4), now));
  CHECK_FALSE(registry.HandleHeartbeat(MakeHeartbeat("a", 1, 9), now));
  CHECK(registry.HandleHeartbeat(MakeHeartbeat("a", 3, 1), now)); // Restarted with the same id.
}

TEST(UpstreamRegistry, LatestIncarnationOwnsAddress)
{
  CHECK(registry.HandleHeartbeat(MakeHeartbeat("a", 1, 1), now));
  CHECK(registry.HandleHeartbeat(MakeHeartbeat("b", 2, 1), now));
  CHECK_EQUAL(1, registry.List().size());
  STRCMP_EQUAL("b", registry.List().front().id().c_str());
  // A heartbeat of the dead upstream, delayed by a network partition.
  CHECK_FALSE(registry.HandleHeartbeat(MakeHeartbeat("a", 1, 2), now));
  CHECK_EQUAL(1, registry.List().size());
}

TEST(UpstreamRegistry, StaysLeavingUntilNextIncarnation)
{
  CHECK(registry.HandleHeartbeat(MakeHeartbeat("a", 10, 1), now));
  registry.MarkLeaving("a", 0);
  CHECK(registry.List().front().leaving());
  CHECK(registry.HandleHeartbeat(MakeHeartbeat("a", 10, 2),
                                 now)); // Late, without `leaving`.
  CHECK(registry.List().front().leaving());
  CHECK(registry.HandleHeartbeat(MakeHeartbeat("a", 11, 1), now));
  CHECK_FALSE(registry.List().front().leaving());
}

TEST(UpstreamRegistry, LeaveBeforeFirstHeartbeatApplies)
{
  registry.MarkLeaving("a", 50);
  CHECK(registry.HandleHeartbeat(MakeHeartbeat("a", 49, 3), now));
  CHECK(registry.List().front().leaving());
}
