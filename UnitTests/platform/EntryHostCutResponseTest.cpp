#include "UnitTests/connection/ReplyingUpstream.h"
#include "UnitTests/platform/LoopbackEntryHost.h"
#include "UnitTests/platform/RawCaller.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

using namespace cuminfield;
using namespace std::chrono_literals;
using unit_tests::connection::Ending;
using unit_tests::connection::Reply;
using unit_tests::connection::ReplyingUpstream;
using unit_tests::platform::LoopbackEntryHost;
using unit_tests::platform::RawCaller;
namespace wire = platform::wire;

namespace {

int StatusOf(const std::string& aResponse)
{
  return aResponse.starts_with("HTTP/1.") ? std::atoi(aResponse.c_str() + 9) : 0;
}

/// True if the response is complete by its own framing. aReset: its connection was reset.
bool LooksComplete(const std::string& aResponse, bool aReset)
{
  const std::size_t headEnd = aResponse.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return false;
  }
  const std::string head = aResponse.substr(0, headEnd + 2);
  const std::string body = aResponse.substr(headEnd + 4);
  const std::string lengthName = "\r\nContent-Length: ";
  if (head.find("\r\nTransfer-Encoding: chunked\r\n") != std::string::npos) {
    return body == "0\r\n\r\n" || body.ends_with("\r\n0\r\n\r\n");
  }
  if (const std::size_t at = head.find(lengthName); at != std::string::npos) {
    return body.size() == std::stoul(head.substr(at + lengthName.size()));
  }
  return !aReset;
}

std::string MakeHead(const std::string& aHeaders)
{
  return "HTTP/1.1 200 OK\r\n" + std::string(wire::kRequestId) + ": r1\r\n" + aHeaders + "\r\n";
}

constexpr const char* kPlainRoute = R"("kind":"unsafe","timeout_ms":9000)";
constexpr const char* kStreamRoute = R"("kind":"stream","timeout_ms":9000)";

} // namespace

TEST_GROUP(EntryHostCutResponse)
{
  core::EventLoop loop;
  ReplyingUpstream upstream{ loop };

  void setup() override
  {
    std::signal(SIGPIPE, SIG_IGN);
    spdlog::set_level(spdlog::level::off); // Hundreds of hosts start.
  }
  void teardown() override
  {
    spdlog::set_level(spdlog::level::info);
    std::signal(SIGPIPE, SIG_DFL);
  }

  struct Result
  {
    int status = 0;
    bool looksComplete = false;
    std::string text;
  };

  /// Sends a request through an entry host whose upstream sends these replies.
  Result Call(const char* aRoute, std::vector<Reply> aReplies, const std::string& aVersion = "1.1")
  {
    upstream.Prepare(std::move(aReplies));
    LoopbackEntryHost host(loop, upstream.Port(), aRoute);
    const RawCaller caller({ .loop = loop,
                             .port = host.CallerPort(),
                             .request = "GET /a/b HTTP/" + aVersion + "\r\nHost: h\r\n" +
                                        std::string(wire::kRequestId) + ": r1\r\n" +
                                        std::string(wire::kDeadlineMs) +
                                        ": 9000\r\nConnection: close\r\n\r\n" });
    const auto limit = loop.ScheduleAfter(10s, [&] { loop.Stop(); });
    loop.Run();
    CHECK_TEXT(caller.closed, caller.received.c_str());
    return { .status = StatusOf(caller.received),
             .looksComplete = LooksComplete(caller.received, caller.reset),
             .text = caller.received };
  }
};

/// Guards against a response that passes for complete though its upstream closed in its head.
TEST(EntryHostCutResponse, HeadCutAtAnyByteIsABadGateway)
{
  for (const char* framing :
       { "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n" }) {
    const std::string head = MakeHead(framing);
    for (std::size_t n = 0; n < head.size(); ++n) {
      const Ending ending = n % 2 == 0 ? Ending::Close : Ending::Reset;
      const Result result = Call(n % 4 < 2 ? kPlainRoute : kStreamRoute,
                                 { { .parts = { head.substr(0, n) }, .ending = ending } });
      CHECK_EQUAL_TEXT(502, result.status, result.text.c_str());
    }
  }
}

/// Guards against a response that has begun and passes for complete though its upstream broke it
/// off. An HTTP/1.0 caller knows no chunks.
TEST(EntryHostCutResponse, BodyCutAtAnyByteDoesNotLookComplete)
{
  const std::string events = "id: 1\ndata: x\n\nid: 2\ndata: [DONE]\n\n";
  const std::string eventStream = "Content-Type: text/event-stream\r\n";
  const std::vector<std::pair<std::string, std::string>> responses{
    { MakeHead("Content-Length: 5\r\n"), "whole" },
    { MakeHead("Transfer-Encoding: chunked\r\n"), "5\r\nwhole\r\n0\r\n\r\n" },
    { MakeHead(eventStream + "Content-Length: " + std::to_string(events.size()) + "\r\n"), events },
  };
  int begun = 0;
  for (const char* version : { "1.1", "1.0" }) {
    for (const auto& [head, body] : responses) {
      for (std::size_t n = 0; n < body.size(); ++n) {
        // The turns after the bytes let the host forward them before the end.
        const Result result = Call(kStreamRoute,
                                   { { .parts = { head + body.substr(0, n), "", "", "", "" },
                                       .ending = n % 2 == 0 ? Ending::Close : Ending::Reset } },
                                   version);
        CHECK_TEXT(result.status == 502 || !result.looksComplete, result.text.c_str());
        begun += result.status == 200 ? 1 : 0;
      }
      const Result whole = Call(kStreamRoute, { { .parts = { head + body } } }, version);
      CHECK_EQUAL_TEXT(200, whole.status, whole.text.c_str());
      CHECK_TEXT(whole.looksComplete, whole.text.c_str());
    }
  }
  CHECK(begun > 0);
}

/// Guards against a response that passes for complete, or gets two lengths, on the way to a caller.
TEST(EntryHostCutResponse, MalformedHeadIsABadGateway)
{
  using namespace std::string_literals;
  const std::string id = std::string(wire::kRequestId) + ": r1\r\n";
  for (const std::string& response :
       { MakeHead("Content-Length: 5\r\nContent-Length: 9\r\n") + "whole",
         MakeHead("Content-Length : 9\r\n") + "whole",
         MakeHead("Transfer-Encoding: gzip, chunked\r\n") + "5\r\nwhole\r\n0\r\n\r\n",
         "HTTP/1.1 200 OK\r\n" + id + "Content-Len\r\n\r\n",
         "HTTP/1.1 200 OK\r\n" + id + "\0\0\0\n"s,
         "HTTP/1.1 20\r\n" + id + "Content-Length: 5\r\n\r\nwhole",
         "HTTP/1.1 103 Early Hints\r\n" + id + "\r\n" }) {
    const Result result = Call(kPlainRoute, { { .parts = { response }, .ending = Ending::Close } });
    CHECK_EQUAL_TEXT(502, result.status, (response + "\n" + result.text).c_str());
  }
}

/// A request that may run twice gets the response of its next attempt.
TEST(EntryHostCutResponse, CutHeadIsTriedAgain)
{
  const std::string head = MakeHead("Content-Length: 5\r\n");
  const Result result =
    Call(R"("kind":"safe","max_attempts":2,"timeout_ms":9000)",
         { { .parts = { head.substr(0, head.size() - 1) }, .ending = Ending::Close },
           { .parts = { head + "whole" } } });
  CHECK_TEXT(result.text.ends_with("\r\n\r\nwhole"), result.text.c_str());
}
