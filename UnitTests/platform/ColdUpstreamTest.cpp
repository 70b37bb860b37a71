#include "UnitTests/platform/LoopbackEntryHost.h"
#include "UnitTests/request/CallFakes.h"
#include "cuminfield/process/cluster/ControlHost.h"
#include "platform/ConfigurationText.h"
#include "platform/ControlApi.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <unistd.h>

using namespace cuminfield;
using namespace cuminfield::process;
using namespace std::chrono_literals;
using unit_tests::request::FakeCaller;

namespace {

const core::HostId kControlHost("10.0.0.1");
const core::HostId kEntryHost("10.0.0.9");

/// Delivers to the links of the other host.
class PairedLinks : public peer::PeerLinks
{
public:
  PairedLinks(core::EventLoop& aLoop, core::HostId aSelf)
    : mLoop(aLoop)
    , mSelf(std::move(aSelf))
  {
  }

  void Send(const core::HostId& aHost, peer::PeerMessage aMessage) override
  {
    if (other && aHost == other->mSelf) {
      mLoop.Post([this, aMessage] { other->OnMessage().emit(mSelf, aMessage); });
      bytes += aMessage.payload.size();
      cluster::proto::Message message;
      registries += message.ParseFromString(aMessage.payload) && message.feed().registry() ? 1 : 0;
    }
  }

  PairedLinks* other = nullptr;
  std::size_t bytes = 0;
  int registries = 0; ///< Feeds with the complete registry.

private:
  core::EventLoop& mLoop;
  core::HostId mSelf;
};

} // namespace

/// A control host and an entry host, from the heartbeat of an upstream to the state in which the
/// entry host has it.
TEST_GROUP(ColdUpstream)
{
  core::EventLoop loop;
  core::Random random{ 5 };
  PairedLinks controlLinks{ loop, kControlHost };
  PairedLinks entryLinks{ loop, kEntryHost };
  platform::HeaderCodec codec;
  std::string folder;
  std::unique_ptr<cluster::ControlHost> control;
  std::unique_ptr<platform::ControlApi> api;
  std::unique_ptr<cluster::EntryHost> entry;

  void setup() override
  {
    controlLinks.other = &entryLinks;
    entryLinks.other = &controlLinks;
    folder = std::filesystem::temp_directory_path() /
             ("cuminfield-cold-upstream-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    cluster::ClusterSettings settings;
    settings.id = kControlHost;
    settings.dataCentre = core::DataCentreId("here");
    settings.seeds = { kControlHost };
    settings.firstStart = true;
    settings.voterCount = 1;
    settings.dataFolder = folder;
    cluster::ControlHostSettings controlSettings;
    controlSettings.membersDelay = 0ms;
    control = std::make_unique<cluster::ControlHost>(
      cluster::ControlHost::Options{ .settings = controlSettings,
                                     .cluster = settings,
                                     .loop = loop,
                                     .links = controlLinks,
                                     .random = random,
                                     .hasPacedService = platform::HasPacedService });
    CHECK(control->Start().has_value());
    api = std::make_unique<platform::ControlApi>(*control);
    settings.id = kEntryHost;
    entry = std::make_unique<cluster::EntryHost>(cluster::EntryHost::Options{
      .settings = {},
      .cluster = settings,
      .callerEndpoint = { .address = "127.0.0.1", .port = unit_tests::platform::FindFreePort() },
      .loop = loop,
      .links = entryLinks,
      .random = random,
      .codec = codec,
      .parseCatalogue = platform::ReadConfiguration });
    CHECK(entry->Start().has_value());
  }

  void teardown() override
  {
    entry.reset();
    api.reset();
    control.reset();
    std::filesystem::remove_all(folder);
  }

  void Put(const std::string& aPath, const std::string& aBody)
  {
    auto caller = std::make_shared<FakeCaller>();
    connection::caller::CallerRequest request;
    request.method = "PUT";
    request.target = aPath;
    request.path = aPath;
    request.body = aBody;
    for (int n = 0; n < 10 && caller->status != 200; ++n) {
      api->OnRequest(request, caller);
      RunUntil([&] { return caller->status != 0; });
    }
    CHECK_EQUAL(200, caller->status);
  }

  void Announce(int aSequence, const std::string& aColdMs)
  {
    Put("/v1/instances/i-1", R"({"service":"s","address":"10.9.0.1:80","zone":"here",)"
                             R"("version":"v1","slots":4,"state":"ready","born":1700000000000,)"
                             R"("sequence":)" +
                               std::to_string(aSequence) + R"(,"cold_left_ms":)" + aColdMs + "}");
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    for (int n = 0; n < 200 && !aCondition(); ++n) {
      const core::TimerHandle end = loop.ScheduleAfter(25ms, [this] { loop.Stop(); });
      loop.Run();
    }
    return aCondition();
  }

  bool HasGauge(const std::string& aLine)
  {
    return RunUntil(
      [&] { return entry->Metrics().find("cuminfield_" + aLine + "\n") != std::string::npos; });
  }
};

TEST(ColdUpstream, EntryHostLearnsOfEachTurnWithoutANewRegistry)
{
  Put("/v1/configuration",
      R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","timeout_ms":100,)"
      R"("service":"s"}],"services":[{"name":"s","cold_per_s":11.0,"cold_start_s":3.0}]})");
  CHECK(HasGauge("hosts_listed 1"));
  Announce(1, "0");
  CHECK(HasGauge("upstreams_cold 1")); // The list may be older than the upstream's last failure.
  RunUntil([n = 0]() mutable { return ++n > 20; });
  Announce(2, "0");
  CHECK(HasGauge("upstreams_cold 0"));
  const int registries = controlLinks.registries;
  Announce(3, "400000");
  CHECK(HasGauge("upstreams_cold 1"));
  Announce(4, "390000");
  Announce(5, "0");
  CHECK(HasGauge("upstreams_cold 0"));
  Announce(6, "\"soon\"");
  CHECK(HasGauge("upstreams_cold 1")); // For cold_start_s.
  CHECK(HasGauge("upstreams_cold 0"));
  CHECK_EQUAL(registries, controlLinks.registries);
}
