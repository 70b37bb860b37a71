#include "cuminfield/process/cluster/EntryHost.h"
#include "platform/ConfigurationText.h"
#include "platform/HeaderCodec.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <list>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace cuminfield;
using namespace cuminfield::process;
using namespace std::chrono_literals;
using connection::caller::CallerChannel;
using connection::caller::CallerRequest;

namespace {

const core::HostId kControlHost("10.0.0.1");

class NullPeerLinks : public peer::PeerLinks
{
public:
  void Send(const core::HostId&, peer::PeerMessage) override {}
};

/// Returns a port of the loopback address that is free now.
std::uint16_t FindFreePort()
{
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  CHECK_EQUAL(0, ::bind(fd, reinterpret_cast<const sockaddr*>(&address), size));
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

/// Answers each request after 300 ms.
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
    mTimers.push_back(mLoop.ScheduleAfter(300ms, [id, channel = std::move(aChannel)] {
      channel->SendResponse(
        200, { { .name = std::string(platform::wire::kRequestId), .value = id } }, "done");
    }));
  }

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

} // namespace

TEST_GROUP(EntryHostShutdown)
{
  core::EventLoop loop;
  NullPeerLinks links;
  core::Random random{ 5 };
  platform::HeaderCodec codec;
  SlowService service{ loop };
  std::uint16_t servicePort = FindFreePort();
  std::uint16_t callerPort = FindFreePort();
  connection::caller::HttpServer serviceServer{
    { .listen = { .address = "127.0.0.1", .port = servicePort }, .loop = loop, .handler = service }
  };
  std::unique_ptr<cluster::EntryHost> host;
  std::list<Caller> callers;

  void setup() override
  {
    CHECK(serviceServer.Start().has_value());
    cluster::ClusterSettings settings;
    settings.id = core::HostId("10.0.0.9");
    settings.dataCentre = core::DataCentreId("here");
    settings.seeds = { kControlHost };
    cluster::EntryHostSettings hostSettings;
    hostSettings.transport.requestIdHeader = std::string(platform::wire::kRequestId);
    host = std::make_unique<cluster::EntryHost>(
      cluster::EntryHost::Options{ .settings = hostSettings,
                                   .cluster = settings,
                                   .callerEndpoint = { .address = "127.0.0.1", .port = callerPort },
                                   .loop = loop,
                                   .links = links,
                                   .random = random,
                                   .codec = codec,
                                   .parseCatalogue = platform::ParseConfiguration });
    CHECK(host->Start().has_value());
    cluster::proto::Message message;
    cluster::proto::Feed* feed = message.mutable_feed();
    feed->set_life(1);
    feed->set_led(true);
    feed->set_document_number(1);
    feed->mutable_document()->set_number(1);
    feed->mutable_document()->set_text(
      R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"unsafe",)"
      R"("timeout_ms":3000,"service":"s"}],"services":[{"name":"s"}]})");
    feed->set_registry_revision(1);
    feed->set_registry(true);
    cluster::proto::Upstream* upstream = feed->add_upstreams();
    upstream->set_id("u");
    upstream->set_incarnation(1);
    upstream->set_service("s");
    upstream->set_version("v1");
    upstream->set_data_centre("here");
    upstream->set_address("127.0.0.1");
    upstream->set_port(servicePort);
    upstream->set_slots(100);
    links.OnMessage().emit(
      kControlHost, { .channel = peer::Channel::Cluster, .payload = message.SerializeAsString() });
    CHECK(host->IsReady());
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
      "127.0.0.1", callerPort,
      { .id = core::RequestId(id),
        .method = "POST",
        .target = "/a/b",
        .headers = { { .name = "Host", .value = "h" },
                     { .name = std::string(platform::wire::kDeadlineMs), .value = "3000" } },
        .body = "x",
        .freshConnection = callers.size() % 4 == 0 },
      caller);
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
  const auto stop = loop.ScheduleAfter(200ms, [&] { host->Shutdown(); });
  bool timedOut = false;
  const auto limit = loop.ScheduleAfter(9s, [&] {
    timedOut = true;
    loop.Stop();
  });
  loop.Run(); // Until the host has ended.
  CHECK_FALSE(timedOut);
  // The process is gone: its connections are closed, and callers notice it.
  load.Cancel();
  host.reset();
  const auto settled = loop.ScheduleAfter(200ms, [&] { loop.Stop(); });
  loop.Run();
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
