#include "platform/ControlApi.h"

#include "TestFramework/time/ManualTimerService.h"
#include "UnitTests/request/CallFakes.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <filesystem>
#include <unistd.h>

using namespace cuminfield;
using namespace cuminfield::process;
using namespace std::chrono_literals;
using unit_tests::request::FakeCaller;

namespace {

class CheckingPeerLinks : public peer::PeerLinks
{
public:
  void Send(const core::HostId&, peer::PeerMessage aMessage) override
  {
    cluster::proto::Message message;
    if (aMessage.channel == peer::Channel::Cluster && !message.ParseFromString(aMessage.payload)) {
      ++unreadable;
    } else if (message.has_feed() && message.feed().registry()) {
      upstreams = message.feed().upstreams_size();
    }
    if (message.has_feed()) {
      feed = message.feed();
    }
    largest = std::max(largest, aMessage.payload.size());
  }

  int unreadable = 0;        ///< Messages that no host can read.
  std::size_t largest = 0;   ///< Message in bytes.
  int upstreams = 0;         ///< In the last registry sent.
  cluster::proto::Feed feed; ///< The last one sent.
};

} // namespace

/// Calls of upstreams and operators to a control host that is the only member of its group.
TEST_GROUP(ControlApi)
{
  core::EventLoop loop;
  CheckingPeerLinks links;
  core::Random random{ 5 };
  std::string folder;
  std::unique_ptr<cluster::ControlHost> control;
  std::unique_ptr<platform::ControlApi> api;

  void setup() override
  {
    folder = std::filesystem::temp_directory_path() /
             ("cuminfield-control-api-" + std::to_string(::getpid()));
    StartControlHost({ core::HostId("10.0.0.1") });
    RunFor(1s);
  }

  /// The group has these members, of which only the first one exists.
  void StartControlHost(const std::vector<core::HostId>& aMembers, bool aKeepDisk = false)
  {
    api.reset();
    control.reset();
    if (!aKeepDisk) {
      std::filesystem::remove_all(folder);
    }
    cluster::ClusterSettings settings;
    settings.id = aMembers.front();
    settings.dataCentre = core::DataCentreId("here");
    settings.seeds = aMembers;
    settings.firstStart = true;
    settings.voterCount = static_cast<std::uint32_t>(aMembers.size());
    settings.dataFolder = folder;
    cluster::ControlHostSettings hostSettings;
    hostSettings.warmUpDuration = 200ms;
    control = std::make_unique<cluster::ControlHost>(
      cluster::ControlHost::Options{ .settings = hostSettings,
                                     .cluster = settings,
                                     .loop = loop,
                                     .links = links,
                                     .random = random });
    CHECK(control->Start().has_value());
    api = std::make_unique<platform::ControlApi>(*control);
  }

  /// Returns the feed that a host gets half a second after it has reported.
  cluster::proto::Feed FeedOfANewFollower()
  {
    cluster::proto::Message message;
    message.mutable_report()->set_life(1);
    links.OnMessage().emit(core::HostId("10.0.0.9"), { .channel = peer::Channel::Cluster,
                                                       .payload = message.SerializeAsString() });
    RunFor(500ms);
    return links.feed;
  }

  void teardown() override
  {
    api.reset();
    control.reset();
    std::filesystem::remove_all(folder);
  }

  void RunFor(core::Duration aDuration)
  {
    const core::TimerHandle end = loop.ScheduleAfter(aDuration, [this] { loop.Stop(); });
    loop.Run();
  }

  std::shared_ptr<FakeCaller> Call(const std::string& aMethod, const std::string& aPath,
                                   const std::string& aBody = "")
  {
    auto caller = std::make_shared<FakeCaller>();
    connection::caller::CallerRequest request;
    request.method = aMethod;
    request.target = aPath;
    request.path = aPath;
    request.body = aBody;
    api->OnRequest(std::move(request), caller);
    for (int n = 0; n < 40 && caller->status == 0; ++n) {
      RunFor(50ms);
    }
    return caller;
  }

  static std::string Configuration(int aVersion, const std::string& aName)
  {
    return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[{"name":")" + aName +
           R"(","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":100,"service":"s"}],)" +
           R"("services":[{"name":"s"}]})";
  }

  static std::string Heartbeat(const std::string& aState)
  {
    return R"({"service":"s","address":"10.9.0.1:80","zone":"here","version":"v1","slots":4,)"
           R"("state":")" +
           aState + R"(","sequence":1,"born":1700000000000})";
  }
};

/// Guards against hosts that believe a control host that was never current, about the leader or
/// about which upstreams are gone.
TEST(ControlApi, OnlyACurrentControlHostClaimsToKnowLeaderAndUpstreams)
{
  cluster::proto::Feed feed = FeedOfANewFollower();
  CHECK(feed.led());
  CHECK(feed.complete());
  CHECK(feed.state_age_ms() < 500);
  StartControlHost(
    { core::HostId("10.0.0.1"), core::HostId("10.0.0.2"), core::HostId("10.0.0.3") });
  feed = FeedOfANewFollower();
  CHECK_FALSE(feed.led());
  CHECK_FALSE(feed.complete());
}

/// A control host had no metrics at all.
TEST(ControlApi, ServesMetrics)
{
  CHECK_EQUAL(200, Call("PUT", "/v1/instances/i-1", Heartbeat("ready"))->status);
  std::string body = Call("GET", "/metrics")->body;
  for (const char* it :
       { "cuminfield_group_has_leader 1\n", "cuminfield_group_voters 1\n",
         "cuminfield_group_voters_silent 0\n", "cuminfield_group_learners_ready 0\n",
         "cuminfield_group_losses_tolerated 0\n", "cuminfield_disk_full 0\n",
         "cuminfield_followers 0\n", "cuminfield_upstreams_known 1\n" }) {
    STRCMP_CONTAINS(it, body.c_str());
  }
  StartControlHost(
    { core::HostId("10.0.0.1"), core::HostId("10.0.0.2"), core::HostId("10.0.0.3") });
  RunFor(500ms);
  body = Call("GET", "/metrics")->body;
  STRCMP_CONTAINS("cuminfield_group_has_leader 0\n", body.c_str());
  STRCMP_CONTAINS("cuminfield_group_hosts_asked 2\n", body.c_str());
  STRCMP_CONTAINS("cuminfield_group_hosts_answering 0\n", body.c_str());
  STRCMP_CONTAINS("cuminfield_state_age_ms -1\n", body.c_str());
  CHECK(body.find("losses_tolerated") == std::string::npos);
  CHECK_EQUAL(404, Call("POST", "/metrics")->status);
}

TEST(ControlApi, ReturnsHighestConfigurationUnchanged)
{
  CHECK_EQUAL(503, Call("GET", "/v1/configuration")->status);
  CHECK_EQUAL(200, Call("PUT", "/v1/configuration", Configuration(7, "seven"))->status);
  CHECK_EQUAL(200, Call("PUT", "/v1/configuration", Configuration(5, "five"))->status);
  CHECK_EQUAL(200, Call("PUT", "/v1/configuration", Configuration(7, "other"))->status);
  const auto response = Call("GET", "/v1/configuration");
  CHECK_EQUAL(200, response->status);
  STRCMP_EQUAL(Configuration(7, "seven").c_str(), response->body.c_str());
}

TEST(ControlApi, RejectsInvalidConfiguration)
{
  CHECK_EQUAL(400, Call("PUT", "/v1/configuration", "{\"version\":3")->status);
}

TEST(ControlApi, ReturnsRollout)
{
  CHECK_EQUAL(404, Call("GET", "/v1/rollouts/s")->status);
  const std::string rollout = R"({"service":"s","target":"v2","duration_s":12})";
  CHECK_EQUAL(200, Call("POST", "/v1/rollouts", rollout)->status);
  CHECK_EQUAL(200, Call("POST", "/v1/rollouts", rollout)->status); // A retry after a lost response.
  const auto response = Call("GET", "/v1/rollouts/s");
  STRCMP_CONTAINS("running", response->body.c_str());
  CHECK_EQUAL(400, Call("POST", "/v1/rollouts", "{}")->status);
}

TEST(ControlApi, AcknowledgesHeartbeatsAndLeaves)
{
  CHECK_EQUAL(200, Call("PUT", "/v1/instances/i-1", Heartbeat("ready"))->status);
  CHECK_EQUAL(1, control->UpstreamCount());
  CHECK_EQUAL(200, Call("PUT", "/v1/instances/i-1", Heartbeat("draining"))->status);
  CHECK_EQUAL(200, Call("DELETE", "/v1/instances/i-1")->status);
  CHECK_EQUAL(200, Call("DELETE", "/v1/instances/nobody")->status);
}

/// One heartbeat with an id that is no text must not cost all hosts their feeds. Before, it was
/// registered, and no host could read a registry that contained it.
TEST(ControlApi, HeartbeatWithUnreadableIdLeavesFeedsReadable)
{
  cluster::proto::Message follower;
  follower.mutable_report()->set_life(1);
  const auto report = [&] {
    links.OnMessage().emit(core::HostId("10.0.0.9"), { .channel = peer::Channel::Cluster,
                                                       .payload = follower.SerializeAsString() });
    RunFor(300ms);
  };
  CHECK_EQUAL(200, Call("PUT", "/v1/instances/i-1", Heartbeat("ready"))->status);
  CHECK_EQUAL(400, Call("PUT", "/v1/instances/i-\xff\xfe", Heartbeat("ready"))->status);
  CHECK_EQUAL(400, Call("DELETE", "/v1/instances/i-\xff\xfe")->status);
  report();
  CHECK_EQUAL(1, links.upstreams);
  CHECK_EQUAL(0, links.unreadable);
}

TEST(ControlApi, RejectsHeartbeatWithImpossibleFields)
{
  const auto replaced = [](const std::string& aFrom, const std::string& aTo) {
    std::string body = Heartbeat("ready");
    return body.replace(body.find(aFrom), aFrom.size(), aTo);
  };
  for (const std::string& body :
       { replaced("10.9.0.1:80", "host.example:80"), replaced("10.9.0.1:80", "10.9.0.1:0"),
         replaced("\"slots\":4", "\"slots\":4294967296"),
         replaced("\"slots\":4", "\"slots\":1e300"), replaced("\"sequence\":1", "\"sequence\":-1"),
         replaced("\"sequence\":1", "\"sequence\":1.5") }) {
    CHECK_EQUAL(400, Call("PUT", "/v1/instances/i-1", body)->status);
  }
  CHECK_EQUAL(0, control->UpstreamCount());
}

TEST(ControlApi, RejectsInvalidHeartbeat)
{
  CHECK_EQUAL(400, Call("PUT", "/v1/instances/i-1", "\xff\xfe")->status);
  CHECK_EQUAL(400, Call("PUT", "/v1/instances/i-1", Heartbeat("sleeping"))->status);
  CHECK_EQUAL(400, Call("PUT", "/v1/instances/i-1", R"({"service":"s"})")->status);
  CHECK_EQUAL(0, control->UpstreamCount());
}

/// Guards against one odd entry of another writer that ends control hosts, or that keeps the other
/// upstreams' entries from the hosts. Each of these was registered, or built a value of many times
/// its size.
TEST(ControlApi, OddHeartbeatsLeaveTheOthersInTheRegistry)
{
  cluster::proto::Message follower;
  follower.mutable_report()->set_life(1);
  CHECK_EQUAL(200, Call("PUT", "/v1/instances/i-1", Heartbeat("ready"))->status);
  const auto withField = [](const std::string& aField) {
    const std::string body = Heartbeat("ready");
    return body.substr(0, body.size() - 1) + "," + aField + "}";
  };
  const auto replaced = [](const std::string& aFrom, const std::string& aTo) {
    std::string body = Heartbeat("ready");
    return body.replace(body.find(aFrom), aFrom.size(), aTo);
  };
  const std::string nested = std::string(1'000, '[') + std::string(1'000, ']');
  const std::string huge = std::string(400, '9');
  const std::vector<std::string> bodies{
    withField(R"("models":)" + nested),
    std::string(8'000'000, '['),
    withField(R"("models":[)" + std::string(100'000, ' ') + "]"),
    replaced(R"("zone":"here")", R"("zone":")" + std::string(60'000, 'z') + '"'),
    replaced("10.9.0.1:80", "10.9.0.1:65536"),
    replaced("10.9.0.1:80", "10.9.0.1:-1"),
    replaced("10.9.0.1:80", "10.9.0.1:99999999999999999999"),
    replaced("\"slots\":4", "\"slots\":" + huge),
    replaced("\"slots\":4", "\"slots\":1e999"),
    replaced("\"sequence\":1", "\"sequence\":" + huge),
    replaced("\"sequence\":1", "\"sequence\":18446744073709551615"),
    replaced("1700000000000", "18446744073709551615"),
    replaced("1700000000000", "1e15"),
    replaced("1700000000000", "\"yesterday\""),
  };
  for (const std::string& it : bodies) {
    CHECK_EQUAL(400, Call("PUT", "/v1/instances/i-odd", it)->status);
  }
  CHECK_EQUAL(400,
              Call("PUT", "/v1/instances/" + std::string(1'000, 'i'), Heartbeat("ready"))->status);
  CHECK_EQUAL(400, Call("DELETE", "/v1/instances/" + std::string(1'000, 'i'))->status);
  CHECK_EQUAL(1, control->UpstreamCount());
  links.OnMessage().emit(core::HostId("10.0.0.9"), { .channel = peer::Channel::Cluster,
                                                     .payload = follower.SerializeAsString() });
  RunFor(300ms);
  CHECK_EQUAL(1, links.upstreams);
  CHECK_EQUAL(0, links.unreadable);
  CHECK(links.largest < 10'000);
}

TEST(ControlApi, DeeplyNestedConfigurationIsInvalid)
{
  std::string body = Configuration(7, "seven");
  body = body.substr(0, body.size() - 1) + R"(,"note":)" + std::string(40, '[') +
         std::string(40, ']') + "}";
  CHECK_EQUAL(400, Call("PUT", "/v1/configuration", body)->status);
  CHECK_EQUAL(400, Call("PUT", "/v1/configuration", std::string(8'000'000, '['))->status);
}

TEST(ControlApi, EvacuationIsOrderedAndRevoked)
{
  CHECK_EQUAL(404, Call("POST", "/v1/evacuation/nowhere")->status);
  CHECK_EQUAL(404, Call("POST", "/v1/evacuation/")->status);
  CHECK_EQUAL(404, Call("DELETE", "/v1/evacuation/\xff")->status);
  CHECK_EQUAL(404, Call("GET", "/v1/evacuation/here")->status);
  CHECK_EQUAL(200, Call("DELETE", "/v1/evacuation/here")->status); // Not evacuated already.
  std::string body = Heartbeat("ready");
  body.replace(body.find("here"), 4, "there");
  CHECK_EQUAL(200, Call("PUT", "/v1/instances/i-1", body)->status);
  for (int n = 0; n < 3; ++n) {
    CHECK_EQUAL(200, Call("POST", "/v1/evacuation/there")->status);
  }
  cluster::proto::Feed feed = FeedOfANewFollower();
  CHECK_EQUAL(1, feed.evacuations_size());
  STRCMP_EQUAL("there", feed.evacuations(0).data_centre().c_str());
  STRCMP_CONTAINS("cuminfield_evacuated_data_centres 1\n", Call("GET", "/metrics")->body.c_str());
  CHECK_EQUAL(200, Call("DELETE", "/v1/evacuation/there")->status);
  feed = FeedOfANewFollower();
  CHECK_EQUAL(0, feed.evacuations_size());
  CHECK(feed.state_applied() > 0);
}

/// Orders are sent again, up to eight at once, until one is acknowledged.
TEST(ControlApi, AllCopiesOfAnEvacuationOrderAreAnswered)
{
  std::vector<std::shared_ptr<FakeCaller>> callers;
  for (int n = 0; n < 8; ++n) {
    callers.push_back(std::make_shared<FakeCaller>());
    connection::caller::CallerRequest request;
    request.method = "POST";
    request.path = "/v1/evacuation/here";
    api->OnRequest(std::move(request), callers.back());
  }
  RunFor(500ms);
  for (const auto& it : callers) {
    CHECK_EQUAL(200, it->status);
  }
}

/// Guards against an evacuation that a restart or a loss of power ends.
TEST(ControlApi, EvacuationOutlivesARestart)
{
  CHECK_EQUAL(200, Call("POST", "/v1/evacuation/here")->status);
  StartControlHost({ core::HostId("10.0.0.1") }, true);
  RunFor(1s);
  CHECK_EQUAL(1, FeedOfANewFollower().evacuations_size());
  CHECK_EQUAL(200, Call("DELETE", "/v1/evacuation/here")->status);
  StartControlHost({ core::HostId("10.0.0.1") }, true);
  RunFor(1s);
  CHECK_EQUAL(0, FeedOfANewFollower().evacuations_size());
}

/// Guards against an order of a caller that has gone on to another control host, where it may have
/// revoked the order.
TEST(ControlApi, OrderOfACallerThatHasGoneIsNotProposed)
{
  bool isWanted = true;
  int answers = 0;
  control->OrderEvacuation(
    core::DataCentreId("here"), true, [&] { return isWanted = false; },
    [&](const auto& aAnswer) { answers += aAnswer.has_error() ? 1 : 100; });
  RunFor(500ms);
  CHECK_EQUAL(1, answers);
  CHECK_FALSE(isWanted);
  CHECK_EQUAL(0, FeedOfANewFollower().evacuations_size());
}

/// Without a majority an order is not acknowledged, and its caller is told in time to try
/// elsewhere.
TEST(ControlApi, EvacuationIsNotAcknowledgedWithoutAMajority)
{
  StartControlHost(
    { core::HostId("10.0.0.1"), core::HostId("10.0.0.2"), core::HostId("10.0.0.3") });
  CHECK_EQUAL(503, Call("POST", "/v1/evacuation/here")->status);
}
