#include "UnitTests/connection/ScriptedUpstream.h"
#include "UnitTests/platform/LoopbackEntryHost.h"
#include "UnitTests/platform/RawCaller.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

using namespace cuminfield;
using namespace std::chrono_literals;
using unit_tests::connection::ScriptedUpstream;
using unit_tests::platform::LoopbackEntryHost;
using unit_tests::platform::RawCaller;
namespace wire = platform::wire;

namespace {

/// The response as a caller reads it.
struct ReceivedResponse
{
  std::string head;
  std::string body;          ///< Without the framing in chunks.
  bool isComplete = false;   ///< Its last chunk was received.
  bool isWellFormed = false; ///< One head, and nothing but chunks after it.
};

ReceivedResponse Parse(const std::string& aBytes)
{
  ReceivedResponse response;
  const std::size_t end = aBytes.find("\r\n\r\n");
  response.isWellFormed = end != std::string::npos;
  response.head = aBytes.substr(0, end);
  for (std::size_t at = end + 4; response.isWellFormed && at < aBytes.size();) {
    const std::size_t sizeEnd = aBytes.find("\r\n", at);
    if (sizeEnd == std::string::npos) {
      response.isWellFormed = false;
      break;
    }
    const std::size_t size = std::stoul(aBytes.substr(at, sizeEnd - at), nullptr, 16);
    response.body += aBytes.substr(sizeEnd + 2, size);
    at = sizeEnd + 2 + size + 2;
    response.isComplete = size == 0;
    response.isWellFormed = at <= aBytes.size() && (!response.isComplete || at == aBytes.size());
  }
  return response;
}

std::string MakeHead(const std::string& aStatus, const std::string& aHeaders)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + std::string(wire::kRequestId) + ": r1\r\n" + aHeaders +
         "\r\n";
}

std::string MakeChunk(const std::string& aBytes)
{
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  return size.data() + aBytes + "\r\n";
}

const std::string kSeal = "X-Cuminfield-Server-Seal: x\r\n";
const std::string kChunkedStream =
  kSeal + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
const std::string kLastChunk = "0\r\n\r\n";
const std::string kTwoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string kThirdEvent = "id: 3\ndata: c\n\n";
const std::string kBegun = MakeHead("200 OK", kChunkedStream) + MakeChunk(kTwoEvents);
const std::string kErrorHead = MakeHead("500 Error", kSeal + "Content-Length: 7\r\n");
const std::string kRest = MakeHead("200 OK", kChunkedStream) + MakeChunk(kThirdEvent) + kLastChunk;

/// What two upstreams send, each of which then closes or resets its connection.
struct BrokenStream
{
  const char* name;
  std::string first;
  std::string second; ///< To the request with the id of the last event.
};

} // namespace

TEST_GROUP(EntryHostStream)
{
  core::EventLoop loop;

  void setup() override
  {
    std::signal(SIGPIPE, SIG_IGN);
  }
  void teardown() override
  {
    std::signal(SIGPIPE, SIG_DFL);
  }

  /// Sends a request to an entry host, and returns the bytes of its response. aRequests: heads that
  /// the upstreams received.
  std::string Call(const BrokenStream& aStream, ScriptedUpstream::After aAfter, bool aResumable,
                   std::vector<std::string>& aRequests)
  {
    bool isReset = false;
    return Call("HTTP/1.1", aStream, aAfter, aResumable, aRequests, isReset);
  }

  std::string Call(const std::string& aVersion, const BrokenStream& aStream,
                   ScriptedUpstream::After aAfter, bool aResumable,
                   std::vector<std::string>& aRequests, bool& aReset)
  {
    const auto script = [&](int, const std::string& aHead) {
      aRequests.push_back(aHead);
      return aHead.find("Last-Event-Id: 2\r\n") == std::string::npos ? aStream.first
                                                                     : aStream.second;
    };
    ScriptedUpstream one(loop, script, aAfter);
    ScriptedUpstream other(loop, script, aAfter);
    LoopbackEntryHost host(loop, { one.Port(), other.Port() },
                           std::string(R"("kind":"stream","timeout_ms":4000,"max_attempts":2,)") +
                             R"("target_latency_ms":1000,"gap_goal_ms":500,"resumable":)" +
                             (aResumable ? "true" : "false"));
    RawCaller caller({ .loop = loop,
                       .port = host.CallerPort(),
                       .request = "POST /a/b " + aVersion + "\r\nHost: h\r\nContent-Length: 0\r\n" +
                                  std::string(wire::kRequestId) + ": r1\r\n\r\n",
                       .lastBytes = "\r\n" + kLastChunk });
    const auto limit = loop.ScheduleAfter(10s, [&] { loop.Stop(); });
    loop.Run();
    CHECK_TEXT(caller.closed || caller.received.ends_with(kLastChunk), aStream.name);
    aReset = caller.reset;
    return caller.received;
  }

  /// Expects a response that holds the first two events and is not complete, or no byte of it: what
  /// was not yet written at the abort is dropped.
  static void CheckBroken(const std::string& aBytes, const char* aName)
  {
    if (aBytes.empty()) {
      return;
    }
    const ReceivedResponse response = Parse(aBytes);
    CHECK_TEXT(response.head.starts_with("HTTP/1.1 200 "), aName);
    CHECK_TEXT(response.isWellFormed, aName);
    STRCMP_EQUAL_TEXT(kTwoEvents.c_str(), response.body.c_str(), aName);
    CHECK_FALSE_TEXT(response.isComplete, aName);
  }
};

TEST(EntryHostStream, BrokenStreamGoesOnAtAnotherUpstream)
{
  const std::string unframed = MakeHead("200 OK", kSeal + "Content-Type: text/event-stream\r\n");
  const std::vector<BrokenStream> streams{
    { "after a chunk", kBegun, kRest },
    { "inside a chunk", kBegun + "ff\r\nid: 3\nda", kRest },
    { "another head inside a chunk", kBegun + "ff\r\nid: 3\nda" + kErrorHead + "error\n\n", kRest },
    { "another head after a chunk", kBegun + kErrorHead + "error\n\n", kRest },
    { "inside an event", kBegun + MakeChunk("id: 3\nda") + kLastChunk, kRest },
    { "another head inside an event", kBegun + MakeChunk("id: 3\ndata: c" + kErrorHead + "x\n\n"),
      kRest },
    { "without a length", unframed + kTwoEvents + kErrorHead + "error\n\n", kRest },
  };
  for (const BrokenStream& it : streams) {
    std::vector<std::string> requests;
    const ReceivedResponse response =
      Parse(Call(it, ScriptedUpstream::After::Close, true, requests));
    CHECK_EQUAL_TEXT(2, requests.size(), it.name);
    CHECK_TEXT(response.head.starts_with("HTTP/1.1 200 "), it.name);
    CHECK_TEXT(response.isWellFormed, it.name);
    STRCMP_EQUAL_TEXT((kTwoEvents + kThirdEvent).c_str(), response.body.c_str(), it.name);
    CHECK_TEXT(response.isComplete, it.name);
  }
}

/// Guards against an error's text or head in a stream, or an end that looks like a complete one.
TEST(EntryHostStream, FailureOfTheSecondUpstreamAbortsTheStream)
{
  const std::string error = "Content-Length: 7\r\n\r\nerror\n\n";
  const std::string notRun = std::string(wire::kNotExecuted) + ": busy\r\n";
  const std::string json = kSeal + "Content-Type: application/json\r\n";
  const std::string stream = kSeal + "Content-Type: text/event-stream\r\n";
  std::vector<BrokenStream> streams;
  for (const char* status : { "500 E", "502 E", "503 E", "504 E", "429 E", "421 E", "404 E",
                              "400 E", "206 E", "200 E" }) {
    streams.push_back({ status, kBegun, MakeHead(status, json + error) });
  }
  for (const char* status : { "503 not run", "429 not run" }) {
    streams.push_back({ status, kBegun, MakeHead(status, notRun + error) });
  }
  const std::vector<std::pair<const char*, std::string>> others{
    { "204", MakeHead("204 None", kSeal) },
    { "no body", MakeHead("200 OK", json + "Content-Length: 0\r\n") },
    { "no event", MakeHead("200 OK", kChunkedStream) + kLastChunk },
    { "closed without an event", MakeHead("200 OK", stream) },
    { "head cut off", "HTTP/1.1 500 Err" },
    { "header cut off", MakeHead("200 OK", kChunkedStream).substr(0, 70) },
    { "no HTTP", "error\n\n" },
    { "from the start", MakeHead("200 OK", kChunkedStream) + MakeChunk(kTwoEvents) + kLastChunk },
    { "gap", MakeHead("200 OK", kChunkedStream) + MakeChunk("id: 4\ndata: d\n\n") + kLastChunk },
    { "no seal", MakeHead("200 OK", kChunkedStream.substr(kSeal.size())) + MakeChunk(kThirdEvent) +
                   kLastChunk },
    { "head as an event", MakeHead("200 OK", stream) + kErrorHead + "error\n\n" },
    { "error event", MakeHead("200 OK", stream) + "event: error\ndata: x\n\n" },
    { "another request's", "HTTP/1.1 200 OK\r\n" + std::string(wire::kRequestId) + ": r2\r\n" +
                             kChunkedStream + "\r\n" + MakeChunk(kThirdEvent) + kLastChunk },
    { "nothing", "" },
  };
  for (const auto& [name, second] : others) {
    streams.push_back({ name, kBegun, second });
  }
  for (const BrokenStream& it : streams) {
    std::vector<std::string> requests;
    CheckBroken(Call(it, ScriptedUpstream::After::Close, true, requests), it.name);
    CHECK_TEXT(requests.size() >= 2, it.name);
  }
}

TEST(EntryHostStream, BrokenStreamThatCannotBeResumedIsAborted)
{
  const std::vector<BrokenStream> streams{
    { "after a chunk", kBegun, "" },
    { "inside a chunk", kBegun + "ff\r\nid: 3\nda", "" },
    { "another head inside a chunk", kBegun + "2f\r\nid: 3\nda" + kErrorHead + "error\n\n", "" },
    { "another head after a chunk", kBegun + kErrorHead + "error\n\n", "" },
    { "another head as an event", kBegun + MakeChunk(kErrorHead + "error\n\n") + kLastChunk, "" },
  };
  for (const BrokenStream& it : streams) {
    for (const auto after : { ScriptedUpstream::After::Close, ScriptedUpstream::After::Reset }) {
      std::vector<std::string> requests;
      CheckBroken(Call(it, after, false, requests), it.name);
      CHECK_EQUAL_TEXT(1, requests.size(), it.name);
    }
  }
}

/// Without chunks, the end of the connection is the end of the response; only a reset tells that it
/// broke off.
TEST(EntryHostStream, BrokenStreamWithoutChunksIsReset)
{
  for (const bool isWhole : { false, true }) {
    std::vector<std::string> requests;
    bool isReset = false;
    const BrokenStream stream{ "HTTP/1.0", kBegun + (isWhole ? kLastChunk : ""), "" };
    Call("HTTP/1.0", stream, ScriptedUpstream::After::Close, false, requests, isReset);
    CHECK_EQUAL(!isWhole, isReset);
  }
}
