#include "UnitTests/platform/LoopbackEntryHost.h"

#include "platform/ConfigurationText.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace cuminfield::unit_tests::platform {

namespace cluster = process::cluster;

namespace {

const core::HostId kControlHost("10.0.0.1");

} // namespace

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

LoopbackEntryHost::LoopbackEntryHost(core::EventLoop& aLoop,
                                     const std::vector<std::uint16_t>& aUpstreamPorts,
                                     const std::string& aRoute)
  : mCallerPort(FindFreePort())
{
  cluster::ClusterSettings settings;
  settings.id = core::HostId("10.0.0.9");
  settings.dataCentre = core::DataCentreId("here");
  settings.seeds = { kControlHost };
  cluster::EntryHostSettings hostSettings;
  hostSettings.transport.requestIdHeader = std::string(::platform::wire::kRequestId);
  mHost = std::make_unique<cluster::EntryHost>(
    cluster::EntryHost::Options{ .settings = hostSettings,
                                 .cluster = settings,
                                 .callerEndpoint = { .address = "127.0.0.1", .port = mCallerPort },
                                 .loop = aLoop,
                                 .links = mLinks,
                                 .random = mRandom,
                                 .codec = mCodec,
                                 .parseCatalogue = ::platform::ReadConfiguration });
  CHECK(mHost->Start().has_value());
  cluster::proto::Message message;
  cluster::proto::Feed* feed = message.mutable_feed();
  feed->set_life(1);
  feed->set_led(true);
  feed->set_document_number(1);
  feed->mutable_document()->set_number(1);
  feed->mutable_document()->set_text(
    R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/a/","service":"s",)" + aRoute +
    R"(}],"services":[{"name":"s"}]})");
  feed->set_registry_revision(1);
  feed->set_registry(true);
  for (const std::uint16_t port : aUpstreamPorts) {
    cluster::proto::Upstream* upstream = feed->add_upstreams();
    upstream->set_id("u" + std::to_string(feed->upstreams_size()));
    upstream->set_incarnation(1);
    upstream->set_service("s");
    upstream->set_version("v1");
    upstream->set_data_centre("here");
    upstream->set_address("127.0.0.1");
    upstream->set_port(port);
    upstream->set_slots(100);
  }
  mLinks.OnMessage().emit(kControlHost, { .channel = process::peer::Channel::Cluster,
                                          .payload = message.SerializeAsString() });
  CHECK(mHost->IsReady());
}

void LoopbackEntryHost::Receive(cluster::proto::Feed aFeed)
{
  aFeed.set_life(1);
  aFeed.set_led(true);
  aFeed.set_document_number(aFeed.has_document() ? aFeed.document().number() : 1);
  cluster::proto::Message message;
  *message.mutable_feed() = std::move(aFeed);
  mLinks.OnMessage().emit(kControlHost, { .channel = process::peer::Channel::Cluster,
                                          .payload = message.SerializeAsString() });
}

void LoopbackEntryHost::RecordingLinks::Send(const core::HostId&,
                                             process::peer::PeerMessage aMessage)
{
  CHECK(sent.emplace_back().ParseFromString(aMessage.payload));
}

} // namespace cuminfield::unit_tests::platform
