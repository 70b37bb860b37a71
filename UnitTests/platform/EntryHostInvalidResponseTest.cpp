#include "UnitTests/connection/EarlyReplyUpstream.h"
#include "UnitTests/connection/ReplyingUpstream.h"
#include "UnitTests/platform/LoopbackEntryHost.h"
#include "UnitTests/platform/RawCaller.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <spdlog/spdlog.h>

#include <csignal>
#include <string>
#include <utility>
#include <vector>

using namespace cuminfield;
using namespace std::chrono_literals;
using unit_tests::connection::EarlyEnding;
using unit_tests::connection::EarlyReply;
using unit_tests::connection::EarlyReplyUpstream;
using unit_tests::connection::ReplyingUpstream;
using unit_tests::platform::LoopbackEntryHost;
using unit_tests::platform::RawCaller;
namespace wire = platform::wire;

namespace {

/// Just below the default limit of a request's body.
constexpr std::size_t kLongUpload = std::size_t{ 4'000 } * 1024;

const std::string kId = std::string(wire::kRequestId) + ": r1\r\n";

std::string MakeHead(const std::string& aStatus, const std::string& aHeaders)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + kId + aHeaders + "\r\n";
}

const std::string kWhole = MakeHead("200 OK", "Content-Length: 5\r\n") + "whole";

constexpr const char* kUnsafeRoute = R"("kind":"unsafe","timeout_ms":9000)";
constexpr const char* kStreamRoute = R"("kind":"stream","timeout_ms":9000)";
constexpr const char* kSafeRoute = R"("kind":"safe","max_attempts":2,"timeout_ms":9000)";

struct Result
{
  std::string text;
  bool reset = false;

  bool IsBadGateway() const { return text.starts_with("HTTP/1.1 502 "); }
  bool SaysNotRun() const { return text.find(wire::kNotExecuted) != std::string::npos; }

  /// True if the response has no orderly end by its own framing.
  bool IsBrokenOff() const
  {
    const bool hasChunks = text.find("\r\nTransfer-Encoding: chunked\r\n") != std::string::npos;
    return hasChunks ? !text.ends_with("0\r\n\r\n") : reset;
  }
};

} // namespace

TEST_GROUP(EntryHostInvalidResponse)
{
  core::EventLoop loop;

  void setup() override
  {
    std::signal(SIGPIPE, SIG_IGN);
    spdlog::set_level(spdlog::level::off); // Many hosts start.
  }
  void teardown() override
  {
    spdlog::set_level(spdlog::level::info);
    std::signal(SIGPIPE, SIG_DFL);
  }

  /// Sends a request through an entry host in front of the upstream at this port.
  Result Call(std::uint16_t aUpstreamPort, const char* aRoute, std::size_t aUploadBytes)
  {
    LoopbackEntryHost host(loop, aUpstreamPort, aRoute);
    const RawCaller caller(
      { .loop = loop,
        .port = host.CallerPort(),
        .request = "POST /a/b HTTP/1.1\r\nHost: h\r\n" + kId + std::string(wire::kDeadlineMs) +
                   ": 9000\r\nConnection: close\r\nContent-Length: " +
                   std::to_string(aUploadBytes) + "\r\n\r\n" + std::string(aUploadBytes, 'x') });
    const auto limit = loop.ScheduleAfter(10s, [&] { loop.Stop(); });
    loop.Run();
    CHECK_TEXT(caller.closed, caller.received.c_str());
    return { .text = caller.received, .reset = caller.reset };
  }
};

/// Guards against a caller that takes a part for the whole response, when its upstream answered
/// without a length during the upload and ended the connection.
TEST(EntryHostInvalidResponse, EndDuringAnUploadIsNotTheEndOfTheResponse)
{
  const std::string events = "id: 1\ndata: x\n\n";
  for (const std::string headers : { "", "Content-Type: text/event-stream\r\n" }) {
    const std::string part = MakeHead("200 OK", headers) + events;
    for (const EarlyEnding ending :
         { EarlyEnding::Reset, EarlyEnding::Close, EarlyEnding::CloseThenReset }) {
      for (const std::size_t bytes : { kLongUpload, std::size_t{ 256 * 1024 } }) {
        for (const int turnsBeforeEnding : { 0, 3 }) {
          const EarlyReply reply{ .parts = { part },
                                  .ending = ending,
                                  .turnsBefore = 2,
                                  .turnsBeforeEnding = turnsBeforeEnding };
          for (const char* route : { kUnsafeRoute, kStreamRoute }) {
            const EarlyReplyUpstream upstream(loop, { reply });
            const Result result = Call(upstream.Port(), route, bytes);
            CHECK_TEXT(result.IsBadGateway() || result.IsBrokenOff(), result.text.c_str());
            CHECK_FALSE(result.SaysNotRun());
            CHECK_EQUAL(1, upstream.ConnectionCount());
          }
          // A request that may run twice gets the response of its next attempt.
          const EarlyReplyUpstream upstream(loop, { reply, { .parts = { kWhole } } });
          const Result result = Call(upstream.Port(), kSafeRoute, bytes);
          const bool isWhole = result.text.ends_with("\r\n\r\nwhole");
          CHECK_TEXT(isWhole || result.IsBrokenOff(), result.text.c_str());
        }
      }
    }
  }
}

/// Guards against a complete response that is lost since the upstream does not read the upload.
TEST(EntryHostInvalidResponse, CompleteResponseDuringAnUploadIsDelivered)
{
  const EarlyReplyUpstream upstream(loop, { { .parts = { kWhole }, .turnsBefore = 2 } });
  const Result result = Call(upstream.Port(), kUnsafeRoute, kLongUpload);
  CHECK_TEXT(result.text.ends_with("\r\n\r\nwhole"), result.text.c_str());
}

/// Guards against an invalid status, or an informational one, that is passed on as a response, or
/// as word that the request has not run.
TEST(EntryHostInvalidResponse, InvalidStatusIsABadGateway)
{
  ReplyingUpstream upstream(loop);
  const std::string refusal = std::string(wire::kNotExecuted) + ": 1\r\n";
  for (const char* status : { "000", "001", "099", "100", "103", "199", "600", "777", "999", "0200",
                              "+200", "-200", "2OO", "99", "1000" }) {
    const std::string plain = MakeHead(std::string(status) + " Text", "");
    std::string several = plain;
    several.append(plain).append(kWhole);
    for (const std::string& response :
         { MakeHead(std::string(status) + " Text", refusal + "Content-Length: 5\r\n") + "whole",
           plain + kWhole, several }) {
      upstream.Prepare({ { .parts = { response } } });
      const Result result = Call(upstream.Port(), kUnsafeRoute, 0);
      CHECK_TEXT(result.IsBadGateway(), (response + result.text).c_str());
      CHECK_FALSE_TEXT(result.SaysNotRun(), response.c_str());
      upstream.Prepare({ { .parts = { response } }, { .parts = { kWhole } } });
      const Result retried = Call(upstream.Port(), kSafeRoute, 0);
      CHECK_TEXT(retried.text.ends_with("\r\n\r\nwhole"), (response + retried.text).c_str());
    }
  }
}
