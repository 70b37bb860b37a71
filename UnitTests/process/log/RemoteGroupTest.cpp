#include "cuminfield/process/log/RemoteGroup.h"
#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/process/log/log.pb.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::process;

namespace {

/// Links to a group in which only `leader`, and a follower that names it, reply to probes. Only the
/// leader replies to requests.
class FakeLinks : public peer::PeerLinks
{
public:
  void Send(const core::HostId& aTo, peer::PeerMessage aMessage) override
  {
    log::proto::GroupMessage message;
    CHECK(message.ParseFromString(aMessage.payload));
    probeCount += message.has_probe() ? 1 : 0;
    if (aTo != leader && aTo != namedBy) {
      return;
    }
    log::proto::GroupMessage reply;
    reply.set_group(message.group());
    if (message.has_request()) {
      CHECK(aTo == leader);
      reply.mutable_reply()->set_id(message.request().id());
      heldReplies.emplace_back(aTo, reply.SerializeAsString());
      return;
    }
    reply.mutable_notice()->set_leader(leader.Text());
    reply.mutable_notice()->set_term(term);
    mOnMessage.emit(aTo, { .channel = peer::Channel::Group, .payload = reply.SerializeAsString() });
  }

  /// Delivers the replies to requests; as on real links, after the call that sent the request.
  void DeliverReplies()
  {
    for (const auto& [from, payload] : heldReplies) {
      mOnMessage.emit(from, { .channel = peer::Channel::Group, .payload = payload });
    }
    heldReplies.clear();
  }

  std::vector<std::pair<core::HostId, std::string>> heldReplies;
  core::HostId leader{ "v2" };
  core::HostId namedBy; ///< A follower that replies with the leader's name; empty: none.
  std::uint64_t term = 1;
  int probeCount = 0;
};

} // namespace

TEST_GROUP(RemoteGroup)
{
  test_framework::time::ManualTimerService timers;
  FakeLinks links;
  log::RemoteGroup group{ { .group = core::GroupId("g"),
                            .self = core::HostId("h"),
                            .voters = { core::HostId("v1"), core::HostId("v2") },
                            .peers = links,
                            .timers = timers,
                            .settings = {} } };
};

TEST(RemoteGroup, LearnsTheLeaderWithoutRequests)
{
  timers.Advance(std::chrono::seconds(3));
  STRCMP_EQUAL("v2", group.Leader().Text().c_str());
}

TEST(RemoteGroup, LearnsANewLeader)
{
  timers.Advance(std::chrono::seconds(3));
  links.leader = core::HostId("v1");
  links.term = 2;
  timers.Advance(std::chrono::seconds(3));
  STRCMP_EQUAL("v1", group.Leader().Text().c_str());
}

/// Guards against a host that has heard who leads and never asks it, since its settings do not name
/// the leader.
TEST(RemoteGroup, LeaderThatOnlyAFollowerNamesIsAsked)
{
  links.leader = core::HostId("v3");
  links.namedBy = core::HostId("v1");
  bool isDone = false;
  group.Query("q", std::chrono::seconds(2),
              [&](const core::Result<std::string>& aReply) { isDone = aReply.has_value(); });
  timers.Advance(std::chrono::seconds(1));
  links.DeliverReplies();
  CHECK(isDone);
}
