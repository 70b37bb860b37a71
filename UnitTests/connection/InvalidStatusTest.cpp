#include "UnitTests/connection/ReplyingUpstream.h"
#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
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

struct Listener : upstream::UpstreamCallListener
{
  void OnHead(int, const HttpHeaders&) override { ++heads; }
  void OnBody(std::string_view aBytes) override { body += aBytes; }
  void OnEnd() override
  {
    ++ends;
    loop->Stop();
  }
  void OnFailed(const upstream::UpstreamFailure& aFailure) override
  {
    ++failures;
    mayHaveRun = aFailure.mayHaveRun;
    loop->Stop();
  }

  core::EventLoop* loop = nullptr;
  int heads = 0;
  int ends = 0;
  int failures = 0;
  bool mayHaveRun = false;
  std::string body;
};

std::string MakeResponse(const std::string& aStatusLine, const std::string& aBody)
{
  return aStatusLine + "\r\nId: a\r\nX-Cuminfield-Not-Executed: 1\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string ThreeDigits(int aNumber)
{
  const std::string text = std::to_string(aNumber);
  return std::string(3 - text.size(), '0') + text;
}

} // namespace

TEST_GROUP(InvalidStatus)
{
  core::EventLoop loop;
  ReplyingUpstream upstream{ loop };
  upstream::HttpUpstreamTransportSettings settings{ .stallTimeout = 300ms,
                                                    .requestIdHeader = "Id" };
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

  Listener Call()
  {
    Listener listener;
    listener.loop = &loop;
    const auto call = transport->Start("127.0.0.1", upstream.Port(),
                                       { .id = core::RequestId("a"),
                                         .method = "GET",
                                         .target = "/",
                                         .headers = {},
                                         .body = "",
                                         .freshConnection = false },
                                       listener);
    const auto limit = loop.ScheduleAfter(5s, [&] { loop.Stop(); });
    loop.Run();
    return listener;
  }

  /// Checks that a reply is no response, that it does not say that the request has not run, and
  /// that its connection is not used again.
  void CheckIsNoResponse(const std::vector<std::string>& aParts, Ending aEnding = Ending::KeepOpen)
  {
    transport = std::make_unique<upstream::HttpUpstreamTransport>(
      upstream::HttpUpstreamTransport::Options{ .settings = settings, .loop = loop });
    upstream.Prepare({ { .parts = aParts, .ending = aEnding },
                       { .parts = { MakeResponse("HTTP/1.1 200 OK", "next") } } });
    const Listener listener = Call();
    const char* text = aParts.front().c_str();
    CHECK_EQUAL_TEXT(0, listener.heads, text);
    CHECK_EQUAL_TEXT(0, listener.ends, text);
    CHECK_EQUAL_TEXT(1, listener.failures, text);
    CHECK_TEXT(listener.mayHaveRun, text);
    STRCMP_EQUAL_TEXT("next", Call().body.c_str(), text);
    CHECK_EQUAL_TEXT(2U, upstream.ConnectionCount(), text);
  }
};

/// Guards against a number that is no status and passes for a response, or for a refusal.
TEST(InvalidStatus, NumbersOutsideOfTheStatusRangeAreNoResponse)
{
  for (int n = 0; n < 1'000; ++n) {
    if (n >= 100 && n < 600) {
      continue;
    }
    const std::string line = "HTTP/1.1 " + ThreeDigits(n);
    CheckIsNoResponse({ MakeResponse(line + " Text", "whole") });
    CheckIsNoResponse({ MakeResponse(line, "whole") }, Ending::Close);
  }
}

/// Guards against what libevent's number conversion accepts as a status.
TEST(InvalidStatus, OtherThanThreeDigitsAreNoResponse)
{
  for (const char* it : { "0200", "00200", "+200", "-200",       "2OO",
                          "99",   "1000",  "2000", "20",         "2",
                          "2e2",  "0xc8",  "200.", "200,0",      "200\t",
                          " 200", "\t200", "2 00", "4294967496", "18446744073709551816" }) {
    CheckIsNoResponse({ MakeResponse("HTTP/1.1 " + std::string(it) + " OK", "whole") });
    CheckIsNoResponse({ MakeResponse("HTTP/1.1 " + std::string(it), "whole") }, Ending::Close);
  }
  for (const char* it : { "HTTP/1.1200 OK", "HTTP/1.1200", "HTTP/1.1", "HTTP/1.1 ",
                          "HTTP/11 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK",
                          "200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "ICY 200 OK" }) {
    CheckIsNoResponse({ MakeResponse(it, "whole") });
  }
}

/// Guards against informational responses, one or several, that pass for the response.
TEST(InvalidStatus, InformationalResponsesAreNoResponse)
{
  const std::string whole = MakeResponse("HTTP/1.1 200 OK", "whole");
  for (const char* it :
       { "100 Continue", "101 Switching Protocols", "103 Early Hints", "199 Some" }) {
    const std::string interim = "HTTP/1.1 " + std::string(it) + "\r\n";
    for (const std::string headers :
         { "", "Id: a\r\n", "Id: a\r\nX-Cuminfield-Not-Executed: 1\r\n",
           "Id: a\r\nContent-Length: 5\r\n", "Id: a\r\nLink: </a>\r\n" }) {
      const std::string head = interim + headers + "\r\n";
      std::string several = head;
      several.append(head).append(head);
      for (const Ending ending : { Ending::KeepOpen, Ending::Close, Ending::Reset }) {
        CheckIsNoResponse({ head, whole }, ending);
        CheckIsNoResponse({ several }, ending);
        CheckIsNoResponse({ head, "", head, "", head, whole }, ending);
        CheckIsNoResponse({ head }, ending);
      }
    }
  }
}

/// Guards against a call without end whose informational responses, or the head of one, never end.
TEST(InvalidStatus, EndlessInformationalResponsesAreNoResponse)
{
  CheckIsNoResponse({ "HTTP/1.1 103 Early Hints\r\nId: a\r\nLink:" });
  CheckIsNoResponse({ "HTTP/1.1 100 " });
  std::vector<std::string> many(500, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
  CheckIsNoResponse(many);
  many.assign(500, "Link: " + std::string(1'000, 'x') + "\r\n");
  many.insert(many.begin(), "HTTP/1.1 103 Early Hints\r\nId: a\r\n");
  CheckIsNoResponse(many);
}
