#include "TestFramework/relay/Relay.h"
#include "TestFramework/http/Client.h"
#include "TestFramework/http/Server.h"
#include "TestFramework/time/LoopTimerService.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield::test_framework;

namespace {

/// Far longer than an answer takes on a busy machine.
constexpr auto kTimeout = 60s;
/// After this a silent connection is given up.
constexpr auto kCutTimeout = 200ms;

/// A port that was free a moment ago.
std::uint16_t FreePort(event_base* aBase)
{
  return http::Server(aBase, "127.0.0.1", 0, [](const auto&) {}).Port();
}

} // namespace

TEST_GROUP(Relay)
{
  time::LoopTimerService timers;
  http::Server server{ timers.Base(), "127.0.0.1", 0,
                       [](const std::shared_ptr<http::Exchange>& aExchange) {
                         aExchange->Reply(200, aExchange->Body(), "text/plain");
                       } };
  std::uint16_t port = FreePort(timers.Base());
  relay::Relay relay{ timers.Base(), { .port = port }, { .port = server.Port() } };
  http::Client client{ timers.Base() };
  http::ClientResponse response;

  void Ask(cuminfield::core::Duration aTimeout)
  {
    const http::ClientRequest request{
      .to = { .port = port }, .method = "POST", .headers = {}, .body = "hello", .timeout = aTimeout
    };
    client.Send(request, [this](const http::ClientResponse& aResponse) {
      response = aResponse;
      timers.Stop();
    });
    timers.Run();
  }
};

TEST(Relay, PassesBytesBothWays)
{
  Ask(kTimeout);
  CHECK(response.whole);
  STRCMP_EQUAL("hello", response.body.c_str());
}

TEST(Relay, CutInEitherDirectionIsSilent)
{
  relay.Cut(true, false);
  Ask(kCutTimeout);
  CHECK_FALSE(response.whole);
  relay.Cut(false, true);
  Ask(kCutTimeout);
  CHECK_FALSE(response.whole);
}

TEST(Relay, HealedPassesAgain)
{
  relay.Cut(true, true);
  Ask(kCutTimeout);
  relay.Cut(false, false);
  Ask(kTimeout);
  STRCMP_EQUAL("hello", response.body.c_str());
}
