#include "UnitTests/platform/LoopbackEntryHost.h"
#include "UnitTests/platform/RawCaller.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cuminfield;
using unit_tests::platform::FindFreePort;
using unit_tests::platform::LoopbackEntryHost;
using unit_tests::platform::RawCaller;

TEST_GROUP(EntryHostEvacuation)
{
  core::EventLoop loop;
  /// Nothing listens at its only upstream, so a request that is sent there fails in another way.
  LoopbackEntryHost host{ loop, FindFreePort(),
                          R"("kind":"safe","timeout_ms":1000,"target_latency_ms":200)" };

  void ReceiveState(std::uint64_t aApplied, const std::string& aEvacuated)
  {
    process::cluster::proto::Feed feed;
    feed.set_state_applied(aApplied);
    if (!aEvacuated.empty()) {
      feed.add_evacuations()->set_data_centre(aEvacuated);
    }
    host.Receive(feed);
  }

  std::string Ask()
  {
    const RawCaller caller({ .loop = loop,
                             .port = host.CallerPort(),
                             .request = "GET /a/b HTTP/1.1\r\nHost: h\r\n" +
                                        std::string(platform::wire::kRequestId) +
                                        ": r1\r\nConnection: close\r\n\r\n" });
    loop.Run();
    return caller.received;
  }

  bool IsEvacuated()
  {
    const bool isRefused = Ask().find("evacuated") != std::string::npos;
    const std::string gauge =
      "cuminfield_evacuated_data_centres " + std::string(isRefused ? "1" : "0") + "\n";
    STRCMP_CONTAINS(gauge.c_str(), host.Host().Metrics().c_str());
    return isRefused;
  }
};

/// Guards against an evacuation that ends at a host because a control host lags behind.
TEST(EntryHostEvacuation, OnlyANewerStateEndsAnEvacuation)
{
  CHECK_FALSE(IsEvacuated());
  ReceiveState(5, "here");
  CHECK(IsEvacuated());
  STRCMP_CONTAINS("HTTP/1.1 503", Ask().c_str());
  STRCMP_CONTAINS("Retry-After: 1.", Ask().c_str());
  ReceiveState(4, "");
  CHECK(IsEvacuated());
  ReceiveState(0, "");
  CHECK(IsEvacuated());
  ReceiveState(6, "");
  CHECK_FALSE(IsEvacuated());
  ReceiveState(7, "elsewhere");
  CHECK(Ask().find("evacuated") == std::string::npos);
}
