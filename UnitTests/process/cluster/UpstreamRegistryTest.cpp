#include "cuminfield/process/cluster/UpstreamRegistry.h"

#include "cuminfield/request/placement/RendezvousSet.h"

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

/// Each heartbeat of a cold upstream differs in its cold time. The registry goes to every host, so
/// it must not be sent for that.
TEST(UpstreamRegistry, ColdTimesAreSentBesideTheRegistry)
{
  registry.HandleHeartbeat(MakeHeartbeat("a", 1, 1), now - 3s);
  registry.HandleHeartbeat(MakeHeartbeat("b", 1, 1, "10.0.0.2"), now - 3s);
  const std::uint64_t revision = registry.Revision();
  proto::Upstream cold = MakeHeartbeat("a", 1, 2);
  cold.set_warming_ms(4000);
  registry.HandleHeartbeat(cold, now);
  CHECK_EQUAL(revision, registry.Revision());
  proto::Feed feed;
  registry.AddColdStates(feed, now + 1s);
  CHECK_EQUAL(1, feed.upstream_states_size());
  CHECK_EQUAL(3000, feed.upstream_states(0).cold_ms());
  registry.AddUpstreams(feed, now + 2500ms);
  CHECK_EQUAL(1500, feed.upstreams(0).warming_ms());
  registry.HandleHeartbeat(MakeHeartbeat("a", 1, 3), now + 3s);
  feed.Clear();
  registry.AddColdStates(feed, now + 4s);
  CHECK_EQUAL(1, feed.upstream_states_size()); // Hosts learn that it is warm.
  CHECK_EQUAL(0, feed.upstream_states(0).cold_ms());
  feed.Clear();
  registry.AddColdStates(feed, now + 6s);
  CHECK_EQUAL(0, feed.upstream_states_size());
}

/// After all machines lost power, the stored upstreams may be down, or have returned cold.
TEST(UpstreamRegistry, RestoredUpstreamsHaveNoRecentHeartbeat)
{
  registry.Restore(MakeHeartbeat("a", 1, 1), now);
  proto::Feed feed;
  registry.AddUpstreams(feed, now);
  CHECK(feed.upstreams(0).heard_ms() > 600'000);
  registry.HandleHeartbeat(MakeHeartbeat("a", 1, 2), now);
  registry.Restore(MakeHeartbeat("a", 1, 1), now);
  feed.Clear();
  registry.AddUpstreams(feed, now + 700ms);
  CHECK_EQUAL(700, feed.upstreams(0).heard_ms());
}

/// A host that missed the states of two seconds would treat the upstream as cold for good.
TEST(UpstreamRegistry, AnswersHostsThatAwaitHeartbeats)
{
  registry.HandleHeartbeat(MakeHeartbeat("a", 1, 7), now);
  UpstreamRegistry::AwaitedHeartbeats awaited;
  proto::AwaitedHeartbeat* it = awaited.Add();
  it->set_upstream(request::placement::RendezvousSet::HashOf("a"));
  const auto answers = [&](std::uint64_t aFrom) {
    it->set_from_sequence(aFrom);
    proto::Feed feed;
    registry.AddAwaitedStates(awaited, feed, now);
    return feed.upstream_states_size();
  };
  CHECK_EQUAL(1, answers(0));
  CHECK_EQUAL(1, answers(7));
  CHECK_EQUAL(0, answers(8));
}
