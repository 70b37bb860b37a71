#include "UnitTests/connection/ScriptedUpstream.h"
#include "UnitTests/platform/LoopbackEntryHost.h"
#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>
#include <vector>

using namespace cuminfield;
using namespace std::chrono_literals;
using unit_tests::connection::ScriptedUpstream;
using unit_tests::platform::LoopbackEntryHost;
namespace wire = platform::wire;

namespace {

struct IgnoringListener : connection::upstream::UpstreamCallListener
{
  void OnHead(int, const connection::HttpHeaders&) override {}
  void OnBody(std::string_view) override {}
  void OnEnd() override {}
  void OnFailed(const connection::upstream::UpstreamFailure&) override {}
};

} // namespace

TEST_GROUP(EntryHostCrash)
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

  /// Sends a request whose response breaks off inside its first event, and returns the parts that
  /// the host then reports.
  std::vector<std::string> ReportedParts(ScriptedUpstream::After aAfter)
  {
    ScriptedUpstream upstream(
      loop,
      [](int, const std::string&) {
        return "HTTP/1.1 200 OK\r\n" + std::string(wire::kRequestId) +
               ": r1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\nda";
      },
      aAfter);
    LoopbackEntryHost host(loop, upstream.Port(), R"("kind":"stream","timeout_ms":3000)");
    connection::upstream::HttpUpstreamTransport transport(
      { .settings = { .requestIdHeader = std::string(wire::kRequestId) }, .loop = loop });
    IgnoringListener listener;
    const auto call = transport.Start(
      "127.0.0.1", host.CallerPort(),
      { .id = core::RequestId("r1"),
        .method = "POST",
        .target = "/a/b",
        .headers = { { .name = "Host", .value = "h" },
                     { .name = std::string(wire::kDeadlineMs), .value = "3000" },
                     { .name = std::string(wire::kPromptPrefix), .value = "a:1,b:2,own:3" } },
        .body = "x",
        .freshConnection = false },
      listener);
    const auto limit = loop.ScheduleAfter(400ms, [&] { loop.Stop(); });
    loop.Run();
    CHECK(upstream.ConnectionCount() >= 1);
    std::vector<std::string> parts;
    for (const auto& it : host.Sent().back().report().crashes()) {
      for (const auto& part : it.parts()) {
        parts.push_back(part.part());
      }
    }
    return parts;
  }
};

/// Guards against a fatal part that stays unknown because the host doesn't report the crash.
TEST(EntryHostCrash, CrashOfAnUpstreamIsReported)
{
  CHECK(ReportedParts(ScriptedUpstream::After::Crash) == (std::vector<std::string>{ "a", "b" }));
}

/// Guards against sound parts that are suspected because an upstream resets requests.
TEST(EntryHostCrash, ResetByAnUpstreamThatStillListensIsNotReported)
{
  CHECK(ReportedParts(ScriptedUpstream::After::Reset).empty());
}
