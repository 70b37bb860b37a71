#include "UnitTests/platform/LoopbackEntryHost.h"
#include "UnitTests/platform/RawCaller.h"
#include "platform/ConfigurationText.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cuminfield;
using unit_tests::platform::FindFreePort;
using unit_tests::platform::LoopbackEntryHost;
using unit_tests::platform::RawCaller;

TEST_GROUP(EntryHostDocument)
{
  core::EventLoop loop;
  /// Nothing listens at its only upstream, so a request that a route matches is answered with 502
  /// or 503.
  LoopbackEntryHost host{ loop, FindFreePort(),
                          R"("kind":"safe","timeout_ms":1000,"target_latency_ms":200)" };

  void ReceiveDocument(std::uint64_t aNumber, const std::string& aText)
  {
    process::cluster::proto::Feed feed;
    feed.mutable_document()->set_number(aNumber);
    feed.mutable_document()->set_text(aText);
    host.Receive(feed);
  }

  /// Returns the first line of the response.
  std::string Ask(const std::string& aPath)
  {
    const RawCaller caller({ .loop = loop,
                             .port = host.CallerPort(),
                             .request = "GET " + aPath + " HTTP/1.1\r\nHost: h\r\n" +
                                        std::string(platform::wire::kRequestId) +
                                        ": r1\r\nConnection: close\r\n\r\n" });
    loop.Run();
    return caller.received.substr(0, caller.received.find('\r'));
  }
};

/// Guards against hosts that serve by an old document, or none after a restart, because an upgrade
/// made the rules for accepting one stricter.
TEST(EntryHostDocument, DocumentThatOnlyAnOlderVersionAcceptsIsPutInForce)
{
  const std::string route = R"({"name":"r","host":"h","path_prefix":"/b/","timeout_ms":1000,)"
                            R"("kind":"safe","service":"s"})";
  const std::string text =
    R"({"version":2,"routes":[)" + route + "," + route + R"(],"services":[{"name":"s"}]})";
  CHECK(platform::ParseConfiguration(text).has_error());
  STRCMP_CONTAINS(" 404 ", Ask("/b/x").c_str());
  ReceiveDocument(2, text);
  STRCMP_CONTAINS(" 50", Ask("/b/x").c_str());
  STRCMP_CONTAINS(" 404 ", Ask("/a/x").c_str());
}
