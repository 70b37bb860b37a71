#include "UnitTests/platform/LoopbackEntryHost.h"
#include "cuminfield/connection/caller/HttpServer.h"
#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <list>
#include <memory>
#include <string>

using namespace cuminfield;
using namespace std::chrono_literals;
using connection::caller::CallerChannel;
using connection::caller::CallerRequest;
using unit_tests::platform::FindFreePort;
using unit_tests::platform::LoopbackEntryHost;

namespace {

/// Answers each request after a while.
class SlowService : public connection::caller::CallerHandler
{
public:
  explicit SlowService(core::EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  void OnRequest(CallerRequest aRequest, std::shared_ptr<CallerChannel> aChannel) override
  {
    const std::string id(connection::FindHeader(aRequest.headers, platform::wire::kRequestId));
    mTimers.push_back(mLoop.ScheduleAfter(latency, [this, id, channel = std::move(aChannel)] {
      channel->SendResponse(
        200, { { .name = std::string(platform::wire::kRequestId), .value = id } }, body);
    }));
  }

  core::Duration latency = 300ms;
  std::string body = "done";

private:
  core::EventLoop& mLoop;
  std::list<core::TimerHandle> mTimers;
};

/// Outcome of one request at the caller.
struct Caller : connection::upstream::UpstreamCallListener
{
  void OnHead(int aStatus, const connection::HttpHeaders&) override { status = aStatus; }
  void OnBody(std::string_view) override {}
  void OnEnd() override { ended = true; }
  void OnFailed(const connection::upstream::UpstreamFailure& aFailure) override
  {
    failed = true;
    sent = aFailure.mayHaveRun;
  }

  std::unique_ptr<connection::upstream::UpstreamCall> call;
  int status = 0;
  bool ended = false;
  bool failed = false;
  bool sent = false; ///< The request was sent before the failure.
};

/// Caller that sends one request and reads the response slowly, over a connection with a small
/// window.
class SlowReader
{
public:
  SlowReader(core::EventLoop& aLoop, std::uint16_t aPort, std::size_t aBytesPerSecond)
  {
    constexpr int kWindowBytes = 16 * 1024;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kWindowBytes, sizeof(kWindowBytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_EQUAL(0, ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    evutil_make_socket_nonblocking(fd);
    mChannel = bufferevent_socket_new(aLoop.EventBase(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(mChannel, OnRead, nullptr, OnEvent, this);
    const timeval tick{ .tv_sec = 0, .tv_usec = 100'000 };
    const std::size_t perTick = aBytesPerSecond / 10;
    mRate = ev_token_bucket_cfg_new(perTick, perTick, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
    bufferevent_set_rate_limit(mChannel, mRate);
    bufferevent_enable(mChannel, EV_READ | EV_WRITE);
    const std::string request = "POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" +
                                std::string(platform::wire::kRequestId) + ": slow\r\n" +
                                std::string(platform::wire::kDeadlineMs) + ": 20000\r\n\r\n";
    bufferevent_write(mChannel, request.data(), request.size());
  }
  SlowReader(const SlowReader&) = delete;
  SlowReader& operator=(const SlowReader&) = delete;

  ~SlowReader()
  {
    bufferevent_free(mChannel);
    ev_token_bucket_cfg_free(mRate);
  }

  bool IsClosed() const { return mClosed; }

  /// Bytes of the response, with its head.
  std::size_t ReceivedBytes() const { return mReceived.size(); }

private:
  static void OnRead(bufferevent* aChannel, void* aSelf)
  {
    evbuffer* input = bufferevent_get_input(aChannel);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    static_cast<SlowReader*>(aSelf)->mReceived += bytes;
  }

  static void OnEvent(bufferevent*, short aWhat, void* aSelf)
  {
    if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<SlowReader*>(aSelf)->mClosed = true;
    }
  }

  bufferevent* mChannel = nullptr;
  ev_token_bucket_cfg* mRate = nullptr;
  std::string mReceived;
  bool mClosed = false;
};

} // namespace

TEST_GROUP(EntryHostShutdown)
{
  core::EventLoop loop;
  SlowService service{ loop };
  std::uint16_t servicePort = FindFreePort();
  connection::caller::HttpServer serviceServer{
    { .listen = { .address = "127.0.0.1", .port = servicePort }, .loop = loop, .handler = service }
  };
  std::unique_ptr<LoopbackEntryHost> host;
  std::string deadlineMs = "3000";
  std::list<Caller> callers;

  void setup() override
  {
    CHECK(serviceServer.Start().has_value());
    host = std::make_unique<LoopbackEntryHost>(loop, servicePort,
                                               R"("kind":"unsafe","timeout_ms":20000)");
  }

  void teardown() override
  {
    callers.clear();
    host.reset();
  }

  void Send(connection::upstream::HttpUpstreamTransport & aTransport)
  {
    const std::string id = "r" + std::to_string(callers.size());
    Caller& caller = callers.emplace_back();
    caller.call = aTransport.Start(
      "127.0.0.1", host->CallerPort(),
      { .id = core::RequestId(id),
        .method = "POST",
        .target = "/a/b",
        .headers = { { .name = "Host", .value = "h" },
                     { .name = std::string(platform::wire::kDeadlineMs), .value = deadlineMs } },
        .body = "x",
        .freshConnection = callers.size() % 4 == 0 },
      caller);
  }

  /// Begins a shutdown after 200 ms and runs until the host has ended.
  void RunUntilStopped()
  {
    const auto stop = loop.ScheduleAfter(200ms, [&] { host->Host().Shutdown(); });
    bool timedOut = false;
    const auto limit = loop.ScheduleAfter(9s, [&] {
      timedOut = true;
      loop.Stop();
    });
    loop.Run();
    CHECK_FALSE(timedOut);
  }

  /// Ends the process: its connections are closed, and callers notice it.
  void EndProcess()
  {
    host->Destroy();
    const auto settled = loop.ScheduleAfter(200ms, [&] { loop.Stop(); });
    loop.Run();
  }
};

/// Requests keep coming on open and new connections until the process is gone, also those that the
/// host takes in just before it stops to accept. Each gets a whole answer, or was never sent.
TEST(EntryHostShutdown, PlannedStopUnderLoadCutsNoRequest)
{
  connection::upstream::HttpUpstreamTransport transport(
    { .settings = { .maxIdlePerUpstream = 8,
                    .requestIdHeader = std::string(platform::wire::kRequestId) },
      .loop = loop });
  auto load = loop.ScheduleEvery(10ms, [&] { Send(transport); });
  RunUntilStopped();
  load.Cancel();
  EndProcess();
  std::size_t answered = 0;
  std::size_t cut = 0;
  std::size_t pending = 0;
  for (const Caller& it : callers) {
    answered += it.ended && it.status == 200 ? 1 : 0;
    cut += it.failed && it.sent ? 1 : 0;
    pending += it.ended || it.failed ? 0 : 1;
  }
  CHECK(answered >= 200); // Those of the first 2.5 s after the stop began, and those before it.
  CHECK_EQUAL(0, cut);
  CHECK_EQUAL(0, pending);
}

/// Guards against requests that are taken in late, passed on, and cut at the end of the grace time
/// without an answer.
TEST(EntryHostShutdown, RequestsThatOutlastTheStopAreAnswered)
{
  service.latency = 30s;
  deadlineMs = "20000";
  connection::upstream::HttpUpstreamTransport transport(
    { .settings = { .maxIdlePerUpstream = 8,
                    .requestIdHeader = std::string(platform::wire::kRequestId) },
      .loop = loop });
  auto load = loop.ScheduleEvery(50ms, [&] { Send(transport); });
  RunUntilStopped();
  load.Cancel();
  EndProcess();
  std::size_t passedOn = 0;
  for (const Caller& it : callers) {
    CHECK(it.ended || !it.sent);
    passedOn += it.status == 502 ? 1 : 0;
  }
  CHECK(passedOn >= 10);
}

/// Guards against a response that is cut because its caller reads slowly.
TEST(EntryHostShutdown, SlowReaderGetsTheWholeResponse)
{
  service.body = std::string(std::size_t{ 8 } * 1024 * 1024, 'x');
  SlowReader reader(loop, host->CallerPort(), std::size_t{ 1536 } * 1024);
  RunUntilStopped();
  host->Destroy();
  const auto poll = loop.ScheduleEvery(50ms, [&] {
    if (reader.IsClosed()) {
      loop.Stop();
    }
  });
  const auto limit = loop.ScheduleAfter(8s, [&] { loop.Stop(); });
  loop.Run();
  CHECK(reader.ReceivedBytes() > service.body.size());
}
