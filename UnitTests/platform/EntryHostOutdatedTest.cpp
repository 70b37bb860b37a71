#include "UnitTests/platform/LoopbackEntryHost.h"
#include "UnitTests/platform/RawCaller.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cuminfield;
using namespace std::chrono_literals;
using unit_tests::platform::LoopbackEntryHost;
using unit_tests::platform::RawCaller;

TEST_GROUP(EntryHostOutdated)
{
  core::EventLoop loop;
  LoopbackEntryHost host{ loop, 1, R"("kind":"safe","timeout_ms":3000)" };

  /// Returns the response to a request for a route that the host's configuration doesn't have.
  std::string AskForUnknownRoute()
  {
    const RawCaller caller({ .loop = loop,
                             .port = host.CallerPort(),
                             .request = "GET /b/c HTTP/1.1\r\nHost: h\r\n" +
                                        std::string(platform::wire::kRequestId) +
                                        ": r1\r\nConnection: close\r\n\r\n" });
    loop.Run();
    return caller.received;
  }
};

/// Guards against a final 404 by a host that no longer learns which routes were added.
TEST(EntryHostOutdated, UnknownRouteIsNoFinalAnswerOnceFeedsHaveStopped)
{
  STRCMP_CONTAINS("HTTP/1.1 404", AskForUnknownRoute().c_str());
  const core::TimerHandle end = loop.ScheduleAfter(1500ms, [this] { loop.Stop(); });
  loop.Run();
  const std::string response = AskForUnknownRoute();
  STRCMP_CONTAINS("HTTP/1.1 503", response.c_str());
  STRCMP_CONTAINS("Retry-After: ", response.c_str());
}
