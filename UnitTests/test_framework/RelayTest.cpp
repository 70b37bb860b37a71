#include "TestFramework/relay/Relay.h"
#include "TestFramework/http/Client.h"
#include "TestFramework/http/Server.h"
#include "TestFramework/time/LoopTimerService.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield::test_framework;

namespace {

/// Far longer than a response takes on a busy machine.
constexpr auto kTimeout = 60s;
/// Timeout of a request through a blocked relay.
constexpr auto kBlockedTimeout = 200ms;

/// Returns a port that was free just now.
std::uint16_t FindFreePort(event_base* aBase)
{
  return http::Server(aBase, "127.0.0.1", 0, [](const auto&) {}).Port();
}

} // namespace

TEST_GROUP(Relay)
{
  time::LoopTimerService timers;
  http::Server server{ timers.EventBase(), "127.0.0.1", 0,
                       [](const std::shared_ptr<http::Exchange>& aExchange) {
                         aExchange->Reply(200, aExchange->Body(), "text/plain");
                       } };
  std::uint16_t port = FindFreePort(timers.EventBase());
  relay::Relay relay{ timers.EventBase(), { .port = port }, { .port = server.Port() } };
  http::Client client{ timers.EventBase() };
  http::ClientResponse response;

  void SendRequest(cuminfield::core::Duration aTimeout)
  {
    const http::ClientRequest request{ .endpoint = { .port = port },
                                       .method = "POST",
                                       .headers = {},
                                       .body = "hello",
                                       .timeout = aTimeout };
    client.Send(request, [this](const http::ClientResponse& aResponse) {
      response = aResponse;
      timers.Stop();
    });
    timers.Run();
  }
};

TEST(Relay, ForwardsBytesInBothDirections)
{
  SendRequest(kTimeout);
  CHECK(response.complete);
  STRCMP_EQUAL("hello", response.body.c_str());
}

TEST(Relay, BlocksEitherDirectionSilently)
{
  relay.SetBlocked(true, false);
  SendRequest(kBlockedTimeout);
  CHECK_FALSE(response.complete);
  relay.SetBlocked(false, true);
  SendRequest(kBlockedTimeout);
  CHECK_FALSE(response.complete);
}

TEST(Relay, ForwardsAgainAfterUnblocking)
{
  relay.SetBlocked(true, true);
  SendRequest(kBlockedTimeout);
  relay.SetBlocked(false, false);
  SendRequest(kTimeout);
  STRCMP_EQUAL("hello", response.body.c_str());
}

TEST(Relay, SilencedConnectionsStaySilentAndNewOnesWork)
{
  relay.SetBlocked(true, true);
  SendRequest(kBlockedTimeout);
  relay.SilenceOpenLinks();
  relay.SetBlocked(false, false);
  SendRequest(kTimeout);
  STRCMP_EQUAL("hello", response.body.c_str());
}
