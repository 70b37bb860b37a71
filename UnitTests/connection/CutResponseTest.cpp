#include "UnitTests/connection/ReplyingUpstream.h"
#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::connection;
using unit_tests::connection::Ending;
using unit_tests::connection::Reply;
using unit_tests::connection::ReplyingUpstream;
using namespace std::chrono_literals;

namespace {

struct RecordingListener : upstream::UpstreamCallListener
{
  void OnHead(int aStatus, const HttpHeaders& aHeaders) override
  {
    ++heads;
    status = aStatus;
    headers = aHeaders;
  }
  void OnBody(std::string_view aBytes) override { body += aBytes; }
  void OnEnd() override
  {
    ++ends;
    onDone();
  }
  void OnFailed(const upstream::UpstreamFailure& aFailure) override
  {
    ++failures;
    mayHaveRun = aFailure.mayHaveRun;
    reason = aFailure.error.message;
    onDone();
  }

  std::function<void()> onDone;
  int heads = 0;
  int ends = 0;
  int failures = 0;
  int status = 0;
  bool mayHaveRun = false;
  std::string reason;
  HttpHeaders headers;
  std::string body;
};

/// A whole response.
struct WholeResponse
{
  const char* name;
  std::string head;
  std::string body;    ///< As sent.
  std::string content; ///< As received.
  int status = 200;
  bool endsWithConnection = false;
};

std::string Join(const std::string& aStatus, const std::string& aHeaders)
{
  return "HTTP/1.1 " + aStatus + "\r\nId: a\r\n" + aHeaders + "\r\n";
}

std::string WithLineFeedsOnly(std::string aText)
{
  std::erase(aText, '\r');
  return aText;
}

const std::string kChunks = "4\r\nhalf\r\n6\r\n whole\r\n0\r\n";
const std::string kEvents = "id: 1\ndata: x\n\nid: 2\ndata: [DONE]\n\n";

std::vector<WholeResponse> MakeWholeResponses()
{
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string content = "half whole";
  std::vector<WholeResponse> all{
    { "length", Join("200 OK", "Content-Length: 10\r\n"), content, content },
    { "folded", Join("200 OK", "Name: some\r\n\tvalue\r\nContent-Length:\r\n 10\r\n"), content,
      content },
    { "chunks", Join("200 OK", chunked), kChunks + "\r\n", content },
    { "trailers", Join("200 OK", chunked), kChunks + "Sum: 1\r\nSeal: 2\r\n\r\n", content },
    { "line feeds", WithLineFeedsOnly(Join("200 OK", "Content-Length: 10\r\n")), content, content },
    { "chunks, line feeds", WithLineFeedsOnly(Join("200 OK", chunked)),
      WithLineFeedsOnly(kChunks + "\r\n"), content },
    { "events by length",
      Join("200 OK", "Content-Type: text/event-stream\r\nContent-Length: " +
                       std::to_string(kEvents.size()) + "\r\n"),
      kEvents, kEvents },
    { "null characters", Join("200 OK", "Content-Length: 10\r\n"), std::string(10, '\0'),
      std::string(10, '\0') },
    { "empty", Join("200 OK", "Content-Length: 0\r\n"), "", "" },
    { "204", Join("204 No Content", ""), "", "", 204 },
    { "not executed",
      Join("503 Service Unavailable", "X-Cuminfield-Not-Executed: 1\r\nContent-Length: 0\r\n"), "",
      "", 503 },
    { "until close", Join("200 OK", ""), content, content, 200, true },
    { "until close, announced", Join("200 OK", "Connection: close\r\n"), content, content, 200,
      true },
    { "until close, kept", Join("200 OK", "Connection: keep-alive\r\n"), content, content, 200,
      true },
    { "events until close", Join("200 OK", "Content-Type: text/event-stream\r\n"), kEvents, kEvents,
      200, true },
    { "until close, line feeds", WithLineFeedsOnly(Join("200 OK", "")), content, content, 200,
      true },
    { "HTTP/1.0", "HTTP/1.0 200 OK\r\nId: a\r\n\r\n", content, content, 200, true },
  };
  return all;
}

} // namespace

TEST_GROUP(CutResponse)
{
  core::EventLoop loop;
  upstream::HttpUpstreamTransportSettings settings{ .requestIdHeader = "Id" };
  ReplyingUpstream upstream{ loop };
  std::unique_ptr<upstream::HttpUpstreamTransport> transport;

  // As in the programs, writing to a closed connection is an error instead of a signal.
  void setup() override
  {
    std::signal(SIGPIPE, SIG_IGN);
  }
  void teardown() override
  {
    std::signal(SIGPIPE, SIG_DFL);
  }

  /// Starts anew, without connections; the listening socket remains, since a socket for each of
  /// thousands of cases would use up the ports.
  void Prepare(std::vector<Reply> aReplies)
  {
    transport = std::make_unique<upstream::HttpUpstreamTransport>(
      upstream::HttpUpstreamTransport::Options{ .settings = settings, .loop = loop });
    upstream.Prepare(std::move(aReplies));
  }

  std::unique_ptr<upstream::UpstreamCall> Start(RecordingListener & aListener)
  {
    return transport->Start("127.0.0.1", upstream.Port(),
                            { .id = core::RequestId("a"),
                              .method = "GET",
                              .target = "/",
                              .headers = {},
                              .body = "",
                              .freshConnection = false },
                            aListener);
  }

  /// Sends a request and runs until a turn after its end, so that a second end would be seen.
  RecordingListener Call()
  {
    RecordingListener listener;
    core::TimerHandle turn;
    listener.onDone = [&] { turn = loop.ScheduleAfter(0ms, [&] { loop.Stop(); }); };
    const auto call = Start(listener);
    const auto limit = loop.ScheduleAfter(10s, [&] { loop.Stop(); });
    loop.Run();
    listener.onDone = nullptr;
    return listener;
  }

  /// Checks what a caller gets of the first aSize bytes of a response.
  void CheckCut(const WholeResponse& aResponse, std::size_t aSize, bool aSplit, Ending aEnding,
                bool aKept)
  {
    const std::string cut = (aResponse.head + aResponse.body).substr(0, aSize);
    std::vector<std::string> parts{ cut };
    if (aSplit) {
      parts = { cut.substr(0, aSize / 2), cut.substr(aSize / 2) };
    }
    std::vector<Reply> replies;
    if (aKept) {
      replies.push_back({ .parts = { Join("200 OK", "Content-Length: 1\r\n") + "x" } });
    }
    replies.push_back({ .parts = std::move(parts), .ending = aEnding });
    Prepare(std::move(replies));
    const std::string text = std::string(aResponse.name) + ", " + std::to_string(aSize) +
                             " bytes, " + (aSplit ? "split, " : "") + (aKept ? "kept, " : "") +
                             (aEnding == Ending::Reset ? "reset" : "closed");
    if (aKept) {
      CHECK_EQUAL_TEXT(1, Call().ends, text.c_str());
    }
    const RecordingListener listener = Call();
    const bool headIsWhole = aSize >= aResponse.head.size();
    const bool isWhole = aResponse.endsWithConnection
                           ? headIsWhole && aEnding == Ending::Close
                           : aSize == aResponse.head.size() + aResponse.body.size();
    CHECK_EQUAL_TEXT(1U, upstream.ConnectionCount(), text.c_str());
    CHECK_EQUAL_TEXT(isWhole ? 1 : 0, listener.ends, text.c_str());
    CHECK_EQUAL_TEXT(isWhole ? 0 : 1, listener.failures, text.c_str());
    CHECK_TEXT(isWhole || listener.mayHaveRun, text.c_str());
    // A reset may overtake bytes that were sent before it.
    const bool headIsKnown = headIsWhole && (aEnding == Ending::Close || listener.heads > 0);
    CHECK_EQUAL_TEXT(headIsKnown ? 1 : 0, listener.heads, text.c_str());
    if (headIsKnown) {
      CHECK_EQUAL_TEXT(aResponse.status, listener.status, text.c_str());
    }
    if (isWhole) {
      const std::string expected =
        aResponse.endsWithConnection ? cut.substr(aResponse.head.size()) : aResponse.content;
      CHECK_TEXT(expected == listener.body, text.c_str());
    }
  }

  void CheckCuts(Ending aEnding, bool aKept)
  {
    for (const WholeResponse& response : MakeWholeResponses()) {
      for (const bool split : { false, true }) {
        if (aKept && !split) {
          continue;
        }
        const std::size_t size = response.head.size() + response.body.size();
        for (std::size_t n = 0; n < size; ++n) {
          CheckCut(response, n, split, aEnding, aKept);
        }
        if (aEnding == Ending::Close) {
          CheckCut(response, size, split, aEnding, aKept);
        }
      }
    }
  }
};

/// Guards against a response that was cut, above all in its head, and passes for complete.
TEST(CutResponse, ClosedAfterAnyByteIsNotComplete)
{
  CheckCuts(Ending::Close, false);
}

TEST(CutResponse, ResetAfterAnyByteIsNotComplete)
{
  CheckCuts(Ending::Reset, false);
}

TEST(CutResponse, ClosedAfterAnyByteOnAKeptConnectionIsNotComplete)
{
  CheckCuts(Ending::Close, true);
}

TEST(CutResponse, ResetAfterAnyByteOnAKeptConnectionIsNotComplete)
{
  CheckCuts(Ending::Reset, true);
}

/// Guards against a request that is lost because its connection has ended with a response before.
TEST(CutResponse, ConnectionThatEndedIsNotUsedAgain)
{
  for (const WholeResponse& response : MakeWholeResponses()) {
    if (!response.endsWithConnection) {
      continue;
    }
    Prepare({ { .parts = { response.head + response.body }, .ending = Ending::Close },
              { .parts = { Join("200 OK", "Content-Length: 4\r\n") + "next" } } });
    RecordingListener first;
    RecordingListener second;
    std::unique_ptr<upstream::UpstreamCall> secondCall;
    first.onDone = [&] { secondCall = Start(second); };
    second.onDone = [&] { loop.Stop(); };
    const auto firstCall = Start(first);
    const auto limit = loop.ScheduleAfter(10s, [&] { loop.Stop(); });
    loop.Run();
    CHECK_EQUAL_TEXT(1, first.ends, response.name);
    CHECK_EQUAL_TEXT(1, second.ends, response.name);
    STRCMP_EQUAL_TEXT("next", second.body.c_str(), response.name);
    CHECK_EQUAL_TEXT(2U, upstream.ConnectionCount(), response.name);
  }
}

/// Guards against a response whose length is not certain, which would be cut or joined to the next.
TEST(CutResponse, AmbiguousLengthIsRejected)
{
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = kChunks + "\r\n";
  const std::vector<std::pair<std::string, std::string>> responses{
    { "Content-Length: x\r\n", "whole" },
    { "Content-Length:\r\n", "whole" },
    { "Content-Length: 5x\r\n", "whole" },
    { "Content-Length: 0x5\r\n", "whole" },
    { "Content-Length: +5\r\n", "whole" },
    { "Content-Length: -5\r\n", "whole" },
    { "Content-Length: -1\r\n", "whole" },
    { "Content-Length: 5 5\r\n", "whole" },
    { "Content-Length: 5, 9\r\n", "whole" },
    { "Content-Length: 18446744073709551621\r\n", "whole" },
    { "Content-Length: 5\r\nContent-Length: 9\r\n", "whole" },
    { "Content-Length: 5\r\nContent-length: 9\r\n", "whole" },
    { "Content-Length : 9\r\nConnection: close\r\n", "whole" },
    { "Content-Length\t: 9\r\n", "whole" },
    { "Content-Length: 5\r\n" + chunked, chunks },
    { chunked + "Content-Length: 5\r\n", chunks },
    { chunked + chunked, chunks },
    { "Transfer-Encoding : chunked\r\n", chunks },
    { "Transfer-Encoding: gzip, chunked\r\n", chunks },
    { "Transfer-Encoding: chunked, identity\r\n", chunks },
    { "Transfer-Encoding: identity\r\n", "whole" },
    { "Transfer-Encoding: xchunked\r\n", chunks },
    { "Transfer-Encoding:\r\n", "whole" },
    { ": x\r\n", "whole" },
    { "Some name: x\r\n", "whole" },
  };
  for (const Ending ending : { Ending::KeepOpen, Ending::Close }) {
    for (const auto& [headers, body] : responses) {
      Prepare({ { .parts = { Join("200 OK", headers) + body }, .ending = ending },
                { .parts = { Join("200 OK", "Content-Length: 4\r\n") + "next" } } });
      const RecordingListener listener = Call();
      CHECK_EQUAL_TEXT(0, listener.heads, headers.c_str());
      CHECK_EQUAL_TEXT(0, listener.ends, headers.c_str());
      CHECK_EQUAL_TEXT(1, listener.failures, headers.c_str());
      CHECK_TEXT(listener.mayHaveRun, headers.c_str());
      STRCMP_EQUAL_TEXT("next", Call().body.c_str(), headers.c_str());
      CHECK_EQUAL_TEXT(2U, upstream.ConnectionCount(), headers.c_str());
    }
  }
}

/// Guards against a status line that was cut or joined to another and passes for a response.
TEST(CutResponse, OddStatusLineIsRejected)
{
  for (const std::string line :
       { "", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  200 OK", "HTTP/1.1 OK", "HTTP/1.1 2 OK",
         "HTTP/1.1 20", "HTTP/1.1 20 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 1000 OK",
         "HTTP/1.1 4294967496 OK", "HTTP/1.1 200x OK", "HTTP/1.1 200HTTP/1.1 500 Error",
         "HTTP/1.1 +200 OK", "HTTP/1.1200 OK", "HTTP/ 200 OK", "HTTP/2.0 200 OK", "HTP/1.1 200 OK",
         "HTTP/1.1 099 OK" }) {
    Prepare({ { .parts = { std::string(line) + "\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole" } },
              { .parts = { Join("200 OK", "Content-Length: 4\r\n") + "next" } } });
    const RecordingListener listener = Call();
    CHECK_EQUAL_TEXT(0, listener.heads, line.c_str());
    CHECK_EQUAL_TEXT(0, listener.ends, line.c_str());
    CHECK_EQUAL_TEXT(1, listener.failures, line.c_str());
    const RecordingListener next = Call();
    STRCMP_EQUAL_TEXT("next", next.body.c_str(), (line + next.reason).c_str());
    CHECK_EQUAL_TEXT(2U, upstream.ConnectionCount(), line.c_str());
  }
}

/// Guards against a head that ends at a null character, as in a block of zeros behind a cut, and
/// passes for a complete response without a body.
TEST(CutResponse, NullCharacterDoesNotEndTheHead)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole";
  for (std::size_t n = 0; n < head.find("whole"); ++n) {
    for (const std::string& rest : { std::string("\n"), std::string("\r\n\r\n"), head.substr(n) }) {
      for (const std::size_t nulls : { 1U, 5'000U }) {
        const std::string cut = head.substr(0, n);
        Prepare({ { .parts = { cut, std::string(nulls, '\0') + rest }, .ending = Ending::Close } });
        const RecordingListener listener = Call();
        std::string text = cut;
        text.append("(null)").append(rest);
        CHECK_EQUAL_TEXT(0, listener.heads, text.c_str());
        CHECK_EQUAL_TEXT(0, listener.ends, text.c_str());
        CHECK_EQUAL_TEXT(1, listener.failures, text.c_str());
      }
    }
  }
}

/// Guards against an informational response that passes for the response itself.
TEST(CutResponse, InformationalResponseIsNotTheResponse)
{
  for (const char* status : { "100 Continue", "102 Processing", "103 Early Hints" }) {
    for (const char* header : { "", "Id: a\r\n", "Id: a\r\nX-Cuminfield-Not-Executed: 1\r\n" }) {
      const std::string interim = "HTTP/1.1 " + std::string(status) + "\r\n" + header + "\r\n";
      const std::string whole = Join("200 OK", "Content-Length: 5\r\n") + "whole";
      for (std::size_t n = 0; n <= whole.size(); ++n) {
        Prepare({ { .parts = { interim + whole.substr(0, n) }, .ending = Ending::Close } });
        const RecordingListener listener = Call();
        const std::string text = interim + std::to_string(n);
        CHECK_EQUAL_TEXT(0, listener.heads, text.c_str());
        CHECK_EQUAL_TEXT(0, listener.ends, text.c_str());
        CHECK_EQUAL_TEXT(1, listener.failures, text.c_str());
        CHECK_TEXT(listener.mayHaveRun, text.c_str());
      }
    }
  }
}
