#include "UnitTests/connection/ScriptedUpstream.h"
#include "UnitTests/platform/LoopbackEntryHost.h"
#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <utility>
#include <vector>

using namespace cuminfield;
using namespace std::chrono_literals;
using unit_tests::connection::ScriptedUpstream;
using unit_tests::platform::LoopbackEntryHost;
namespace wire = platform::wire;

namespace {

/// The answer that a caller gets.
class CallerAnswer : public connection::upstream::UpstreamCallListener
{
public:
  void OnHead(int aStatus, const connection::HttpHeaders& aHeaders) override
  {
    status = aStatus;
    headers = aHeaders;
  }
  void OnBody(std::string_view aBytes) override { body += aBytes; }
  void OnEnd() override { ended = true; }
  void OnFailed(const connection::upstream::UpstreamFailure&) override { failed = true; }

  int status = 0;
  connection::HttpHeaders headers;
  std::string body;
  bool ended = false;
  bool failed = false;
};

/// A request that an upstream has received.
struct Arrival
{
  std::string id;
  int connection = 0; ///< Number of the upstream's connection, from 1.
};

/// Returns the id of the request with this head.
std::string IdOf(const std::string& aHead)
{
  const std::string name = std::string(wire::kRequestId) + ": ";
  const std::size_t begin = aHead.find(name) + name.size();
  return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
}

std::string MakeHead(const std::string& aStatus, const std::string& aId)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + std::string(wire::kRequestId) + ": " + aId + "\r\n";
}

std::string MakeAnswer(const std::string& aStatus, const std::string& aId)
{
  return MakeHead(aStatus, aId) +
         "X-Cuminfield-Server-Seal: seal\r\nContent-Length: 5\r\n\r\nwhole";
}

/// Says that a request has not run.
std::string MakeRefusal(const std::string& aStatus, const std::string& aId)
{
  return MakeHead(aStatus, aId) + std::string(wire::kNotExecuted) +
         ": full\r\nContent-Length: 4\r\n\r\nfull";
}

std::string Repeat(const std::string& aText, int aCount)
{
  std::string text;
  for (int n = 0; n < aCount; ++n) {
    text += aText;
  }
  return text;
}

// The targets are so long that a busy machine doesn't look like a silent upstream.
const std::string kTimes = R"("target_latency_ms":5000,"timeout_ms":10000)";
const std::string kSafe = R"("kind":"safe","max_attempts":3,)" + kTimes;
const std::string kUnsafe = R"("kind":"unsafe",)" + kTimes;
const std::string kResumable = R"("kind":"stream","resumable":true,"max_attempts":3,)" + kTimes;

} // namespace

/// What a caller is told when a faulty upstream writes refusals that don't belong to the request
/// that it is running. An entry host and its upstream over real sockets.
TEST_GROUP(EntryHostRefusal)
{
  core::EventLoop loop;
  std::vector<Arrival> arrivals;

  void setup() override
  {
    std::signal(SIGPIPE, SIG_IGN);
  }
  void teardown() override
  {
    std::signal(SIGPIPE, SIG_DFL);
  }

  /// Sends requests one after another to an entry host with this route and this upstream, and
  /// returns the answer to the last one. aScript gets the arrival.
  template<typename Script>
  CallerAnswer Send(const std::vector<std::string>& aIds, const std::string& aRoute, Script aScript)
  {
    arrivals.clear();
    const ScriptedUpstream* self = nullptr;
    ScriptedUpstream upstream(
      loop,
      [&](int, const std::string& aHead) {
        arrivals.push_back({ .id = IdOf(aHead), .connection = self->ConnectionCount() });
        return aScript(arrivals.back());
      },
      ScriptedUpstream::After::KeepOpen);
    self = &upstream;
    LoopbackEntryHost host(loop, upstream.Port(), aRoute);
    connection::upstream::HttpUpstreamTransport transport(
      { .settings = { .requestIdHeader = std::string(wire::kRequestId) }, .loop = loop });
    CallerAnswer answer;
    for (const std::string& it : aIds) {
      answer = CallerAnswer();
      const auto call = transport.Start(
        "127.0.0.1", host.CallerPort(),
        { .id = core::RequestId(it),
          .method = "GET",
          .target = "/a/b",
          .headers = { { .name = "Host", .value = "h" },
                       { .name = std::string(wire::kDeadlineMs), .value = "10000" } },
          .body = "",
          .freshConnection = false },
        answer);
      const auto poll = loop.ScheduleEvery(2ms, [&] {
        if (answer.ended || answer.failed) {
          loop.Stop();
        }
      });
      const auto limit = loop.ScheduleAfter(10s, [&] { loop.Stop(); });
      loop.Run();
    }
    return answer;
  }

  int ArrivalsOf(const std::string& aId) const
  {
    return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(),
                                          [&](const Arrival& aIt) { return aIt.id == aId; }));
  }

  /// Refuses the first arrival of request "b", and writes that refusal again before the next answer
  /// on the same connection.
  CallerAnswer RefuseAndRepeat(const std::string& aRoute, const std::string& aRefusal,
                               int aCopiesAtOnce, int aLateCopies)
  {
    int refusedOn = 0;
    return Send({ "a", "b" }, aRoute, [&, refusedOn](const Arrival& aArrival) mutable {
      if (aArrival.id == "b" && refusedOn == 0) {
        refusedOn = aArrival.connection;
        return Repeat(aRefusal, 1 + aCopiesAtOnce);
      }
      const int copies = aArrival.connection == refusedOn ? aLateCopies : 0;
      return Repeat(aRefusal, copies) + MakeAnswer("200 OK", aArrival.id);
    });
  }
};

/// Guards against a second copy of a request's own refusal that ends its next attempt, which runs.
TEST(EntryHostRefusal, SecondCopyOfARefusalIsNotTheAnswerToTheNextAttempt)
{
  for (const std::string& route : { kSafe, kUnsafe }) {
    for (const char* status : { "503 Unavailable", "429 Too Many Requests" }) {
      for (const auto& [atOnce, late] : { std::pair(0, 1), std::pair(2, 2) }) {
        const CallerAnswer answer = RefuseAndRepeat(route, MakeRefusal(status, "b"), atOnce, late);
        CHECK_EQUAL_TEXT(200, answer.status, status);
        STRCMP_EQUAL("whole", answer.body.c_str());
        CHECK_EQUAL(2, ArrivalsOf("b")); // Refused once, run once.
      }
    }
  }
}

/// The same while the connection is idle.
TEST(EntryHostRefusal, RefusalOnAnIdleConnectionIsDiscarded)
{
  for (const std::string& route : { kSafe, kUnsafe }) {
    const CallerAnswer answer = Send({ "a", "b" }, route, [](const Arrival& aArrival) {
      return MakeAnswer("200 OK", aArrival.id) +
             (aArrival.id == "a" ? MakeRefusal("503 Unavailable", "b") : std::string());
    });
    CHECK_EQUAL(200, answer.status);
    CHECK_EQUAL(1, ArrivalsOf("b"));
  }
}

/// Guards against a refusal of another request, or of none, that is taken for the answer.
TEST(EntryHostRefusal, RefusalOfAnotherRequestDoesNotSayThatThisOneHasNotRun)
{
  const std::string ofAnother = MakeRefusal("503 Unavailable", "a");
  const std::string ofNone = "HTTP/1.1 503 Unavailable\r\n" + std::string(wire::kNotExecuted) +
                             ": full\r\nContent-Length: 0\r\n\r\n";
  const std::string misdirected = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& refusal : { ofAnother, ofNone, misdirected }) {
    const auto script = [&](const Arrival& aArrival) {
      const bool isFirstOfB = aArrival.id == "b" && ArrivalsOf("b") == 1;
      return (isFirstOfB ? refusal : std::string()) + MakeAnswer("200 OK", aArrival.id);
    };
    CHECK_EQUAL(200, Send({ "a", "b" }, kSafe, script).status);
    CHECK_EQUAL(2, ArrivalsOf("b")); // It may run again.
    CHECK_EQUAL(502, Send({ "a", "b" }, kUnsafe, script).status);
    CHECK_EQUAL(1, ArrivalsOf("b"));
  }
}

/// Guards against an informational response that is taken for a refusal of a running request, or
/// for its answer.
TEST(EntryHostRefusal, InformationalResponseIsNoRefusal)
{
  for (const std::string& mark :
       { std::string(wire::kNotExecuted) + ": full\r\n", std::string() }) {
    for (const char* status : { "100 Continue", "102 Processing", "103 Early Hints" }) {
      const CallerAnswer answer = Send({ "a" }, kUnsafe, [&](const Arrival& aArrival) {
        return MakeHead(status, aArrival.id) + mark + "\r\n" + MakeAnswer("200 OK", aArrival.id);
      });
      CHECK_EQUAL_TEXT(502, answer.status, status);
      CHECK_EQUAL_TEXT(1, ArrivalsOf("a"), status);
    }
  }
}

/// Guards against a failure of a request that ran, told to its caller as one that didn't run.
TEST(EntryHostRefusal, UnmarkedRefusalStatusDoesNotSayThatTheRequestHasNotRun)
{
  for (const char* status :
       { "408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable" }) {
    const CallerAnswer answer = Send(
      { "a" }, kUnsafe, [&](const Arrival& aArrival) { return MakeAnswer(status, aArrival.id); });
    CHECK_EQUAL_TEXT(502, answer.status, status);
    CHECK(connection::FindHeader(answer.headers, "X-Cuminfield-Server-Seal").empty());
    CHECK_EQUAL(1, ArrivalsOf("a"));
  }
}

/// Guards against events that a caller gets twice: a second copy of the answer to an attempt whose
/// stream was cut is not the answer to the next attempt.
TEST(EntryHostRefusal, SecondCopyOfACutStreamIsNotItsContinuation)
{
  const auto makeStream = [](const std::string& aEvents) {
    return MakeHead("200 OK", "a") +
           "Content-Type: text/event-stream\r\nContent-Length: " + std::to_string(aEvents.size()) +
           "\r\n\r\n" + aEvents;
  };
  const std::string cut = makeStream("id: 1\ndata: x\n\nid: 2\nda");
  const std::string rest = makeStream("id: 2\ndata: y\n\n");
  int cutOn = 0;
  const CallerAnswer answer = Send({ "a" }, kResumable, [&](const Arrival& aArrival) {
    const bool isFirst = cutOn == 0;
    cutOn = isFirst ? aArrival.connection : cutOn;
    return (aArrival.connection == cutOn ? cut : "") + (isFirst ? "" : rest);
  });
  CHECK(answer.ended);
  STRCMP_EQUAL("id: 1\ndata: x\n\nid: 2\ndata: y\n\n", answer.body.c_str());
}
