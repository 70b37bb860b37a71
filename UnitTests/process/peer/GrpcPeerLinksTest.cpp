#include "cuminfield/process/peer/GrpcPeerLinks.h"
#include "TestFramework/http/Server.h"
#include "TestFramework/relay/Relay.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield;
using namespace cuminfield::process::peer;
namespace relay = cuminfield::test_framework::relay;

namespace {

constexpr auto kSilenceTimeout = 300ms;

/// Interval at which each host sends to the other.
constexpr auto kSendInterval = 50ms;

/// Far longer than it takes on a busy machine to connect.
constexpr auto kConnectLimit = 60s;

/// Time in which an overloaded host answers a new connection; more than a second.
constexpr auto kSlowOpening = 1500ms;

/// What users allow in calm.
constexpr auto kRecoveryLimit = 4s;

struct Ports
{
  std::uint16_t left;
  std::uint16_t right;
  std::uint16_t relay;
};

/// Returns different ports that were free just now.
Ports FindFreePorts(event_base* aBase)
{
  const auto ignore = [](const auto&) {};
  const test_framework::http::Server left(aBase, "127.0.0.1", 0, ignore);
  const test_framework::http::Server right(aBase, "127.0.0.1", 0, ignore);
  const test_framework::http::Server relay(aBase, "127.0.0.1", 0, ignore);
  return { .left = left.Port(), .right = right.Port(), .relay = relay.Port() };
}

} // namespace

/// Two hosts that send to each other; what `left` sends goes through a relay.
TEST_GROUP(GrpcPeerLinks)
{
  core::EventLoop loop;
  Ports ports = FindFreePorts(loop.EventBase());
  relay::Relay relay{ loop.EventBase(), { .port = ports.relay }, { .port = ports.right } };
  core::HostId leftId{ "left" };
  core::HostId rightId{ "right" };
  GrpcPeerLinks left{
    { .settings = { .silenceTimeout = kSilenceTimeout },
      .self = leftId,
      .listen = { .port = ports.left },
      .peers = { { .id = rightId, .endpoint = { .port = ports.relay }, .dataCentre = {} } },
      .loop = loop }
  };
  GrpcPeerLinks right{
    { .settings = { .silenceTimeout = kSilenceTimeout },
      .self = rightId,
      .listen = { .port = ports.right },
      .peers = { { .id = leftId, .endpoint = { .port = ports.left }, .dataCentre = {} } },
      .loop = loop }
  };
  bool rightSends = true;
  int rightPeriod = 1; ///< Of its messages, in send intervals.
  int sent = 0;
  int receivedByLeft = -1;
  int receivedByRight = -1;
  core::TimerHandle sendTimer;

  void setup() override
  {
    CHECK(left.Start().has_value());
    CHECK(right.Start().has_value());
    left.OnMessage().connect([this](const core::HostId&, const PeerMessage& aMessage) {
      receivedByLeft = std::stoi(aMessage.payload);
    });
    right.OnMessage().connect([this](const core::HostId&, const PeerMessage& aMessage) {
      receivedByRight = std::stoi(aMessage.payload);
    });
    sendTimer = loop.ScheduleEvery(kSendInterval, [this] {
      ++sent;
      left.Send(rightId, { .payload = std::to_string(sent) });
      if (rightSends && sent % rightPeriod == 0) {
        right.Send(leftId, { .payload = std::to_string(sent) });
      }
    });
  }

  void teardown() override
  {
    left.Stop();
    right.Stop();
  }

  /// Runs until both hosts have received a message that was sent after the call. Returns false
  /// after aLimit.
  bool BothReceive(core::Duration aLimit)
  {
    const int before = sent;
    bool done = false;
    const auto limitTimer = loop.ScheduleAfter(aLimit, [this] { loop.Stop(); });
    const auto pollTimer = loop.ScheduleEvery(kSendInterval, [&] {
      done = receivedByLeft > before && receivedByRight > before;
      if (done) {
        loop.Stop();
      }
    });
    loop.Run();
    return done;
  }
};

// Connections that went silent in one direction were found after 7 s only, by gRPC's keepalive.
TEST(GrpcPeerLinks, ReplacesAStreamThatDeliversNothingThoughThePeerIsHeard)
{
  CHECK(BothReceive(kConnectLimit));
  relay.SilenceOpenLinks();
  CHECK(BothReceive(kRecoveryLimit));
}

// The stream to a peer that had nothing to send was replaced after every timeout.
TEST(GrpcPeerLinks, AHostThatHasNothingToSendAcknowledges)
{
  rightSends = false;
  const auto limitTimer = loop.ScheduleAfter(kConnectLimit, [this] { loop.Stop(); });
  const auto pollTimer = loop.ScheduleEvery(kSendInterval, [this] {
    if (left.BytesReceived().value > 0) {
      loop.Stop();
    }
  });
  loop.Run();
  CHECK(left.BytesReceived().value > 0);
  CHECK(receivedByRight > 0);
  LONGS_EQUAL(-1, receivedByLeft);
}

// Connections to hosts that were too busy to answer within a second were given up and begun anew,
// and never opened: after 200 hosts had started at once, control hosts did not find each other.
TEST(GrpcPeerLinks, ConnectionThatIsSlowToOpenIsNotGivenUp)
{
  relay.SetOpeningDelay(kSlowOpening);
  CHECK(BothReceive(kConnectLimit));
}

// The same while nothing comes from the peer, which may be as slow to open its own connection.
TEST(GrpcPeerLinks, ConnectionToAPeerThatWasNeverHeardIsLeftTheTimeToOpen)
{
  rightSends = false;
  relay.SetOpeningDelay(kSilenceTimeout * 3 / 2);
  const auto limitTimer = loop.ScheduleAfter(kConnectLimit, [this] { loop.Stop(); });
  const auto pollTimer = loop.ScheduleEvery(kSendInterval, [this] {
    if (receivedByRight > 0) {
      loop.Stop();
    }
  });
  loop.Run();
  CHECK(receivedByRight > 0);
}

// The connection to a peer that sends less than twice a second was begun anew with each message.
TEST(GrpcPeerLinks, ConnectionToAPeerThatIsHeardRarelyIsLeftTheTimeToOpen)
{
  rightSends = false;
  relay.SetOpeningDelay(kSlowOpening);
  CHECK_FALSE(BothReceive(1s));
  rightSends = true;
  rightPeriod = 11;
  CHECK(BothReceive(kConnectLimit));
}

// After a partition had healed, an attempt to connect that began before waited for seconds.
TEST(GrpcPeerLinks, PeerThatIsHeardAgainIsConnectedToAnew)
{
  rightSends = false;
  relay.SetOpeningDelay(kConnectLimit);
  CHECK_FALSE(BothReceive(4 * kSilenceTimeout));
  relay.SetOpeningDelay(0ms);
  rightSends = true;
  CHECK(BothReceive(GrpcPeerLinksSettings{}.connectTimeout / 2));
}

/// Guards against a thread of gRPC that posts to a loop that is gone, after a stop while streams
/// are opening.
TEST(GrpcPeerLinks, NoStreamIsUnfinishedAfterAStop)
{
  constexpr std::size_t kPeers = 20;
  GrpcPeerLinks links{ { .settings = { .dynamicPeerPort = ports.right },
                         .self = core::HostId("self"),
                         .listen = {},
                         .peers = {},
                         .loop = loop } };
  for (std::size_t n = 1; n <= kPeers; ++n) {
    links.Send(core::HostId("127.0.0." + std::to_string(n)), { .payload = "1" });
  }
  CHECK_EQUAL(kPeers, links.UnfinishedStreamCount());
  links.Stop();
  CHECK_EQUAL(0, links.UnfinishedStreamCount());
}
