#include "UnitTests/connection/ScriptedUpstream.h"
#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <memory>
#include <string>
#include <utility>

using namespace cuminfield;
using namespace cuminfield::connection;
using unit_tests::connection::ScriptedUpstream;
using namespace std::chrono_literals;

namespace {

class Listener : public upstream::UpstreamCallListener
{
public:
  void OnHead(int, const HttpHeaders&) override {}
  void OnBody(std::string_view aBytes) override { body += aBytes; }
  void OnEnd() override { ended = true; }
  void OnFailed(const upstream::UpstreamFailure&) override { failed = true; }

  std::string body;
  bool ended = false;
  bool failed = false;
};

/// Gives its call up when the head arrives, as for a refusal.
class RefusedListener : public Listener
{
public:
  void OnHead(int aStatus, const HttpHeaders&) override
  {
    status = aStatus;
    call.reset();
  }

  std::unique_ptr<upstream::UpstreamCall> call;
  int status = 0;
};

std::string MakeResponse(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nId: " + aId + "\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

} // namespace

TEST_GROUP(UpstreamConnection)
{
  core::EventLoop loop;
  upstream::HttpUpstreamTransportSettings settings{ .requestIdHeader = "Id" };

  // As in the programs, writing to a closed connection is an error instead of a signal.
  void setup() override
  {
    std::signal(SIGPIPE, SIG_IGN);
  }
  void teardown() override
  {
    std::signal(SIGPIPE, SIG_DFL);
  }

  void RunFor(core::Duration aDuration)
  {
    const auto end = loop.ScheduleAfter(aDuration, [&] { loop.Stop(); });
    loop.Run();
  }

  /// Sends a request and runs until it has ended or failed.
  Listener Call(upstream::HttpUpstreamTransport & aTransport, const ScriptedUpstream& aUpstream,
                const std::string& aId)
  {
    Listener listener;
    const auto call = aTransport.Start("127.0.0.1", aUpstream.Port(),
                                       { .id = core::RequestId(aId),
                                         .method = "GET",
                                         .target = "/",
                                         .headers = {},
                                         .body = "",
                                         .freshConnection = false },
                                       listener);
    const auto poll = loop.ScheduleEvery(2ms, [&] {
      if (listener.ended || listener.failed) {
        loop.Stop();
      }
    });
    RunFor(3s);
    return listener;
  }

  /// Calls an upstream that breaks its response off, and returns what the listener got.
  Listener CallWithBrokenResponse(const std::string& aResponse, ScriptedUpstream::After aAfter)
  {
    ScriptedUpstream upstream(
      loop, [&](int, const std::string&) { return aResponse; }, aAfter);
    upstream::HttpUpstreamTransport transport({ .settings = settings, .loop = loop });
    return Call(transport, upstream, "a");
  }
};

/// A second copy of an answer, sent late on a connection that is in use again, must not become the
/// answer to the next request.
TEST(UpstreamConnection, SecondCopyOfAnAnswerIsNotTheNextAnswer)
{
  ScriptedUpstream upstream(
    loop,
    [](int aRequest, const std::string&) {
      return aRequest == 1 ? MakeResponse("a", "first")
                           : MakeResponse("a", "first") + MakeResponse("b", "second");
    },
    ScriptedUpstream::After::KeepOpen);
  upstream::HttpUpstreamTransport transport({ .settings = settings, .loop = loop });
  STRCMP_EQUAL("first", Call(transport, upstream, "a").body.c_str());
  const Listener second = Call(transport, upstream, "b");
  CHECK_EQUAL(1, upstream.ConnectionCount()); // The connection was in use again.
  CHECK(second.failed);
  CHECK_FALSE(second.ended);
  STRCMP_EQUAL("", second.body.c_str());
}

/// Guards against a second copy of a refusal that is taken for the answer to the next call with the
/// same id: a call that is given up never leaves its connection to another.
TEST(UpstreamConnection, CallGivenUpAtItsHeadClosesItsConnection)
{
  const std::string refusal = "HTTP/1.1 503 Full\r\nId: b\r\nContent-Length: 0\r\n\r\n";
  int refusedOn = 0;
  const ScriptedUpstream* self = nullptr;
  ScriptedUpstream upstream(
    loop,
    [&](int aRequest, const std::string&) {
      if (aRequest == 1) {
        return MakeResponse("a", "first");
      }
      const bool isFirstOfB = refusedOn == 0;
      refusedOn = isFirstOfB ? self->ConnectionCount() : refusedOn;
      const bool isSameConnection = refusedOn == self->ConnectionCount();
      return (isSameConnection ? refusal : "") + (isFirstOfB ? "" : MakeResponse("b", "second"));
    },
    ScriptedUpstream::After::KeepOpen);
  self = &upstream;
  upstream::HttpUpstreamTransport transport({ .settings = settings, .loop = loop });
  STRCMP_EQUAL("first", Call(transport, upstream, "a").body.c_str());
  RefusedListener refused;
  refused.call = transport.Start("127.0.0.1", upstream.Port(),
                                 { .id = core::RequestId("b"),
                                   .method = "GET",
                                   .target = "/",
                                   .headers = {},
                                   .body = "",
                                   .freshConnection = false },
                                 refused);
  const auto poll = loop.ScheduleEvery(2ms, [&] {
    if (refused.status != 0) {
      loop.Stop();
    }
  });
  RunFor(3s);
  CHECK_EQUAL(503, refused.status);
  CHECK_EQUAL(1, upstream.ConnectionCount()); // It was a kept connection.
  STRCMP_EQUAL("second", Call(transport, upstream, "b").body.c_str());
  CHECK_EQUAL(2, upstream.ConnectionCount());
}

/// An answer that breaks off must not look complete, however its end is marked.
TEST(UpstreamConnection, BrokenAnswerIsNotComplete)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\n";
  using After = ScriptedUpstream::After;
  CHECK(CallWithBrokenResponse(head + "Content-Length: 9\r\n\r\nhalf", After::Close).failed);
  CHECK(CallWithBrokenResponse(head + "Content-Length: 9\r\n\r\nhalf", After::Reset).failed);
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
  CHECK(CallWithBrokenResponse(chunked, After::Close).failed);
  CHECK(CallWithBrokenResponse(chunked, After::Reset).failed);
  CHECK(CallWithBrokenResponse(head + "\r\nhalf", After::Reset).failed);
  // Without a length, the end of the connection is the end of the answer.
  CHECK(CallWithBrokenResponse(head + "\r\nwhole", After::Close).ended);
}

/// Guards against an answer that is lost because its end is marked by the connection's alone.
TEST(UpstreamConnection, AnswerThatEndsWithItsConnectionIsComplete)
{
  for (const char* header :
       { "", "Connection: close\r\n", "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n",
         "Content-Type: text/event-stream\r\nConnection: keep-alive\r\n" }) {
    ScriptedUpstream upstream(
      loop,
      [&](int aRequest, const std::string&) {
        return "HTTP/1.1 200 OK\r\nId: " + std::string(aRequest == 1 ? "a" : "b") + "\r\n" +
               header + "\r\nwhole";
      },
      ScriptedUpstream::After::Close);
    upstream::HttpUpstreamTransport transport({ .settings = settings, .loop = loop });
    for (const char* id : { "a", "b" }) {
      const Listener answer = Call(transport, upstream, id);
      CHECK_TEXT(answer.ended, header);
      STRCMP_EQUAL("whole", answer.body.c_str());
    }
    CHECK_EQUAL(2, upstream.ConnectionCount());
  }
}

/// Load pattern: hundreds of hosts that each keep a few connections to the same upstream. Before,
/// they kept them until the upstream closed them, and it reset new ones over its cap.
TEST(UpstreamConnection, IdleConnectionIsClosedInTime)
{
  settings.maxIdleTime = 100ms;
  ScriptedUpstream upstream(
    loop, [](int, const std::string&) { return MakeResponse("a", "x"); },
    ScriptedUpstream::After::KeepOpen);
  upstream::HttpUpstreamTransport transport({ .settings = settings, .loop = loop });
  CHECK(Call(transport, upstream, "a").ended);
  CHECK(upstream.IsConnected());
  RunFor(400ms);
  CHECK_FALSE(upstream.IsConnected());
}
