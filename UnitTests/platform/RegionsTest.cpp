#include "TestFramework/time/ManualTimerService.h"
#include "UnitTests/request/CallFakes.h"
#include "cuminfield/core/Invariant.h"
#include "cuminfield/request/forward/ForwardTable.h"
#include "cuminfield/request/placement/CatalogueRegionPolicy.h"
#include "platform/ConfigurationText.h"
#include "platform/HeaderCodec.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::forward;
using namespace std::chrono_literals;
using unit_tests::request::FakeCaller;

namespace {

/// Keeps the upstream of each call and the listener of the last one.
class RecordingTransport : public connection::upstream::UpstreamTransport
{
public:
  struct Call : connection::upstream::UpstreamCall
  {
    void Pause(bool) override {}
  };

  std::unique_ptr<connection::upstream::UpstreamCall> Start(
    const std::string&, std::uint16_t, connection::upstream::UpstreamRequest aRequest,
    connection::upstream::UpstreamCallListener& aListener) override
  {
    started.emplace_back(connection::FindHeader(aRequest.headers, platform::wire::kExpectInstance));
    listeners.push_back(&aListener);
    return std::make_unique<Call>();
  }
  void Notify(const std::string&, std::uint16_t, connection::upstream::UpstreamRequest) override {}

  std::vector<std::string> started;
  std::vector<connection::upstream::UpstreamCallListener*> listeners;
};

class SilentObserver : public ForwardObserver
{
public:
  void OnDispatched(const ForwardRequest&, const UpstreamAnnouncement&,
                    const PlacementBasis&) override
  {
  }
  void OnAttemptEnded(const ForwardRequest&, const ForwardAttempt&) override {}
  void OnTokenInterval(const ForwardRequest&, const UpstreamAnnouncement&,
                       const TokenIntervalSample&) override
  {
  }
  void OnUpstreamNotice(const UpstreamAnnouncement&, const UpstreamNotice&) override {}
  void OnEnded(const ForwardRequest&, const ForwardSummary&) override {}
};

/// A part of the requests goes to the new version.
class CanaryVersionChooser : public VersionChooser
{
public:
  core::VersionId Choose(const core::ServiceId&, const core::RouteId&, double aPoint) const override
  {
    return aPoint < newShare ? core::VersionId("new") : core::VersionId();
  }

  double newShare = 0;
};

/// Changes its answer between the choice of an upstream and the call.
class FickleRegionPolicy : public placement::RegionPolicy
{
public:
  const core::RegionSet* AllowedRegions(const RequestSpec&) const override
  {
    return asked++ < 12 ? &before : &after;
  }

  core::RegionSet before{ { core::RegionId("east") } };
  core::RegionSet after{ { core::RegionId("west") } };
  mutable int asked = 0;
};

const connection::HttpHeaders kEventStream{ { .name = "Content-Type",
                                              .value = "text/event-stream" } };

/// `tenant` is restricted by aTenant, route `r` by aRoute; both are JSON.
std::string MakeConfiguration(const std::string& aRoute, const std::string& aTenant = "null",
                              const std::string& aRouteName = "r",
                              const std::string& aTenantName = "tenant")
{
  const std::string route =
    R"("host":"h","service":"s","kind":"stream","resumable":true,"max_attempts":3,)"
    R"("timeout_ms":5000,"target_latency_ms":1000,"public":true)";
  return R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":")" + aRouteName +
         R"(","path_prefix":"/a/",)" + route + R"(,"allowed_regions":)" + aRoute +
         R"(},{"name":"free","path_prefix":"/free/",)" + route + R"(}],"tenants":[{"name":")" +
         aTenantName + R"(","api_keys":["key"],"allowed_regions":)" + aTenant + "}]}";
}

} // namespace

/// Where requests go that may be served in some regions only. The codec and the text of the
/// configuration are the platform's; time is virtual.
TEST_GROUP(Regions)
{
  test_framework::time::ManualTimerService timers;
  core::Random random{ 3 };
  RecordingTransport transport;
  platform::HeaderCodec codec;
  SilentObserver observer;
  CanaryVersionChooser versions;
  WorkspaceQuota quota{ {}, {}, true };
  placement::CatalogueRegionPolicy policy;
  std::shared_ptr<const version::catalogue::CatalogueIndex> catalogue;
  std::unique_ptr<ForwardTable> table;
  std::unique_ptr<placement::PlacementScheduler> scheduler;
  std::shared_ptr<FakeCaller> caller;
  int requests = 0;

  void setup() override
  {
    Start(policy);
    Configure(MakeConfiguration(R"(["east"])"));
  }

  void Start(const placement::RegionPolicy& aPolicy)
  {
    table = std::make_unique<ForwardTable>(
      ForwardTable::Options{ .timers = timers,
                             .transport = transport,
                             .codec = codec,
                             .observer = observer,
                             .quota = quota,
                             .catalogue = [this] { return catalogue; },
                             .isCatalogueCurrent = [] { return true; } });
    placement::PlacementSettings settings;
    settings.retryBudget.retryRatio = 1;
    settings.upstreamTable.plainQueueFactor = 0; // An upstream with one slot is full with one.
    scheduler = std::make_unique<placement::PlacementScheduler>(
      placement::PlacementSchedulerOptions{ .settings = settings,
                                            .timers = timers,
                                            .random = random,
                                            .listener = *table,
                                            .versions = versions,
                                            .dataCentre = core::DataCentreId("here"),
                                            .regions = &aPolicy });
    table->SetScheduler(*scheduler);
  }

  void teardown() override
  {
    table.reset();
    scheduler.reset();
  }

  /// Puts a configuration in force, as a feed does.
  void Configure(const std::string& aText)
  {
    auto parsed = platform::ParseConfiguration(aText);
    CHECK_TEXT(parsed.has_value(), parsed.has_error() ? parsed.error().message.c_str() : "");
    catalogue =
      std::make_shared<const version::catalogue::CatalogueIndex>(std::move(parsed.value()));
    policy.SetCatalogue(catalogue);
    scheduler->OnRegionsChanged();
  }

  void AddUpstream(const std::string& aId, const std::string& aRegion, std::uint32_t aSlots = 100,
                   const std::string& aVersion = "old")
  {
    scheduler->AddOrUpdateUpstream({ .id = core::UpstreamId(aId),
                                     .incarnation = core::Incarnation(1),
                                     .service = core::ServiceId("s"),
                                     .version = core::VersionId(aVersion),
                                     .dataCentre = core::DataCentreId("here"),
                                     .region = core::RegionId(aRegion),
                                     .slots = aSlots });
  }

  /// Sends a request; returns the upstream that it goes to, or an empty text.
  std::string Send(const std::string& aPath = "/a/b", const std::string& aKey = "")
  {
    const std::size_t before = transport.started.size();
    caller = std::make_shared<FakeCaller>();
    connection::caller::CallerRequest request;
    request.method = "POST";
    request.target = aPath;
    request.path = aPath;
    request.headers = { { .name = "Host", .value = "h" },
                        { .name = std::string(platform::wire::kApiKey), .value = aKey },
                        { .name = std::string(platform::wire::kRequestId),
                          .value = "r" + std::to_string(++requests) } };
    table->OnRequest(std::move(request), caller);
    return transport.started.size() == before ? "" : transport.started.back();
  }

  void Answer(std::size_t aCall, int aStatus = 200)
  {
    transport.listeners.at(aCall)->OnHead(aStatus, {});
    transport.listeners.at(aCall)->OnEnd();
  }

  void CheckRejected(const char* aReason)
  {
    CHECK_EQUAL(503, caller->status);
    STRCMP_CONTAINS(aReason, caller->body.c_str());
  }

  double RetryAfterSeconds() const
  {
    return std::stod(std::string(connection::FindHeader(caller->headers, "Retry-After")));
  }
};

/// Guards against a request that leaves its regions because the upstream elsewhere is better.
TEST(Regions, FirstPlacementStaysInside)
{
  AddUpstream("east", "east");
  AddUpstream("west", "west", 800);
  AddUpstream("nowhere", "", 800);
  for (int n = 0; n < 50; ++n) {
    STRCMP_EQUAL("east", Send().c_str());
    Answer(transport.listeners.size() - 1);
  }
  std::set<std::string> used;
  for (int n = 0; n < 50; ++n) {
    used.insert(Send("/free/x"));
  }
  CHECK(used.contains("west"));
  CHECK(used.contains("nowhere"));
}

TEST(Regions, RouteAndWorkspaceBothApply)
{
  AddUpstream("east", "east");
  AddUpstream("west", "west");
  AddUpstream("south", "south");
  Configure(MakeConfiguration(R"(["east","south"])", R"(["south","west"])"));
  for (int n = 0; n < 5; ++n) {
    STRCMP_EQUAL("south", Send("/a/b", "key").c_str());
    CHECK(Send("/free/x", "key") != "east");
    CHECK(Send() != "west");
  }
  Configure(MakeConfiguration(R"(["east"])", R"(["west"])"));
  STRCMP_EQUAL("", Send("/a/b", "key").c_str());
  CheckRejected("no-upstream-in-regions");
}

TEST(Regions, AnEmptyListIsNoRestriction)
{
  AddUpstream("nowhere", "");
  for (const char* it : { "[]", "null" }) {
    Configure(MakeConfiguration(it));
    STRCMP_EQUAL("nowhere", Send().c_str());
  }
}

/// Guards against a request that waits in vain for an upstream in a region that has none, and
/// against a caller that comes back before one can have registered.
TEST(Regions, WithoutAnUpstreamInsideItIsRejectedAtOnce)
{
  AddUpstream("west", "west");
  AddUpstream("nowhere", "");
  STRCMP_EQUAL("", Send().c_str());
  CheckRejected("no-upstream-in-regions");
  CHECK(RetryAfterSeconds() >= 1.2);
  CHECK(RetryAfterSeconds() < 2);
  AddUpstream("east", "east");
  STRCMP_EQUAL("east", Send().c_str());
  scheduler->RemoveUpstream(core::UpstreamId("east"));
  STRCMP_EQUAL("", Send().c_str());
  CheckRejected("no-upstream-in-regions");
}

/// An upstream that is busy or ejected may be free soon: the request waits like any other.
TEST(Regions, BusyAndEjectedUpstreamsAreWaitedFor)
{
  AddUpstream("west", "west");
  AddUpstream("east", "east", 1);
  STRCMP_EQUAL("east", Send().c_str());
  STRCMP_EQUAL("", Send().c_str());
  CHECK_EQUAL(0, caller->status);
  Answer(0);
  CHECK_EQUAL(2, transport.started.size());
  transport.listeners.back()->OnFailed({ .mayHaveRun = false, .error = {} });
  CHECK_EQUAL(0, caller->status);
  CHECK_EQUAL(2, transport.started.size());
  timers.Advance(1s);
  CHECK_EQUAL(3, transport.started.size());
  STRCMP_EQUAL("east", transport.started.back().c_str());
}

/// Guards against a caller that is told to return while the only upstreams inside are ejected.
TEST(Regions, RetryAfterIsTheEndOfTheEjections)
{
  AddUpstream("west", "west");
  AddUpstream("east", "east");
  placement::UpstreamTable& upstreams = scheduler->Upstreams();
  placement::UpstreamEntry& entry = *upstreams.Find(core::UpstreamId("east"));
  for (int n = 0; n < 6; ++n) {
    upstreams.RecordAttemptEnd(entry, {}, AttemptOutcome::Unreachable, true, timers.Now());
  }
  const core::Instant end = entry.ejectedUntil;
  STRCMP_EQUAL("", Send().c_str());
  timers.Advance(2100ms);
  CHECK_EQUAL(503, caller->status);
  CHECK(RetryAfterSeconds() >= core::Seconds(end - timers.Now()) - 0.1);
}

/// The same for upstreams that ask for no requests.
TEST(Regions, RetryAfterIsTheEndOfTheQuietTime)
{
  AddUpstream("west", "west");
  AddUpstream("east", "east");
  scheduler->OnUpstreamNotice(
    { .id = core::UpstreamId("east"), .incarnation = core::Incarnation(1) }, { .retryAfter = 20s });
  STRCMP_EQUAL("", Send().c_str());
  CheckRejected("overload");
  CHECK(RetryAfterSeconds() >= 20);
}

/// Guards against a retry that leaves the regions because no other upstream is inside.
TEST(Regions, RetriesStayInside)
{
  AddUpstream("west", "west");
  AddUpstream("east", "east");
  STRCMP_EQUAL("east", Send().c_str());
  transport.listeners.back()->OnFailed({ .mayHaveRun = true, .error = {} });
  CHECK_EQUAL(2, transport.started.size());
  STRCMP_EQUAL("east", transport.started.back().c_str());
  transport.listeners.back()->OnHead(500, {});
  CHECK_EQUAL(3, transport.started.size());
  STRCMP_EQUAL("east", transport.started.back().c_str());
}

/// Guards against a stream that continues outside; and what may have run is not told as `not run`.
TEST(Regions, ContinuedStreamsStayInside)
{
  AddUpstream("west", "west");
  AddUpstream("east", "east");
  AddUpstream("east2", "east");
  const std::string first = Send();
  transport.listeners.back()->OnHead(200, kEventStream);
  transport.listeners.back()->OnBody("id: 1\ndata: a\n\n");
  scheduler->RemoveUpstream(core::UpstreamId(first));
  transport.listeners.back()->OnFailed({ .mayHaveRun = true, .error = {} });
  CHECK_EQUAL(2, transport.started.size());
  STRCMP_EQUAL(first == "east" ? "east2" : "east", transport.started.back().c_str());
  scheduler->RemoveUpstream(core::UpstreamId(transport.started.back()));
  transport.listeners.back()->OnFailed({ .mayHaveRun = true, .error = {} });
  CHECK_EQUAL(2, transport.started.size());
  CHECK(caller->aborted);
  Send();
  CheckRejected("no-upstream-in-regions");
}

/// Guards against the configuration of a request's arrival when a newer one is in force.
TEST(Regions, AWaitingRequestIsSubjectToTheNewestConfiguration)
{
  AddUpstream("east", "east", 1);
  AddUpstream("west", "west");
  Send();
  STRCMP_EQUAL("", Send().c_str());
  Configure(MakeConfiguration(R"(["west"])"));
  timers.Advance(50ms);
  CHECK_EQUAL(2, transport.started.size());
  STRCMP_EQUAL("west", transport.started.back().c_str());
  CHECK_EQUAL(0, caller->status); // The running requests go on.
  Configure(MakeConfiguration(R"(["east"])"));
  Send();
  Configure(MakeConfiguration(R"(["north"])"));
  CheckRejected("no-upstream-in-regions");
  CHECK_EQUAL(2, transport.started.size());
}

/// Guards against a request that is restricted no more because its route or workspace is gone.
TEST(Regions, WhatIsGoneFromTheConfigurationStillRestrictsAWaitingRequest)
{
  AddUpstream("west", "west");
  AddUpstream("east", "east", 1);
  Send();
  Send();
  Configure(MakeConfiguration("null", "null", "another"));
  timers.Advance(100ms);
  CHECK_EQUAL(1, transport.started.size());
  Answer(0);
  STRCMP_EQUAL("east", transport.started.at(1).c_str());

  Configure(MakeConfiguration("null", R"(["east"])"));
  Send("/a/b", "key");
  Configure(MakeConfiguration(R"(["east","west"])", "null", "r", "another"));
  timers.Advance(100ms);
  CHECK_EQUAL(2, transport.started.size());
  Answer(1);
  STRCMP_EQUAL("east", transport.started.at(2).c_str());
}

/// Guards against a waiting request that is not told when the last upstream inside is gone.
TEST(Regions, AWaitingRequestIsRejectedWhenTheLastUpstreamInsideIsGone)
{
  AddUpstream("west", "west");
  AddUpstream("east", "east", 1);
  Send();
  Send();
  scheduler->RemoveUpstream(core::UpstreamId("east"));
  timers.Advance(50ms);
  CheckRejected("no-upstream-in-regions");
}

/// Guards against refusals while a new version runs in other regions only.
TEST(Regions, ANewVersionElsewhereTakesNoRequestFromInside)
{
  AddUpstream("east", "east");
  AddUpstream("west", "west", 100, "new");
  versions.newShare = 0.5;
  for (int n = 0; n < 8; ++n) {
    STRCMP_EQUAL("east", Send().c_str());
  }
}

/// Guards against a fault of the placement that lets a request leave its regions.
TEST(Regions, TheHandOverToTheTransportIsChecked)
{
  FickleRegionPolicy fickle;
  Start(fickle);
  AddUpstream("east", "east");
  fickle.asked = 0;
  core::SetInvariantHandler([](const char* aName) { throw std::logic_error(aName); });
  std::string broken;
  for (int asked = 0; asked <= 12 && broken.empty(); ++asked) {
    fickle.asked = asked;
    try {
      Send();
    } catch (const std::logic_error& error) {
      broken = error.what();
    }
  }
  core::SetInvariantHandler(nullptr);
  STRCMP_EQUAL("forward.upstream-in-allowed-regions", broken.c_str());
  CHECK(transport.started.size() <= 12);
}

/// Guards against a request that leaves its regions because the data centre inside is evacuated.
TEST(Regions, AnEvacuationInsideDoesNotLetRequestsOut)
{
  AddUpstream("west", "west");
  scheduler->AddOrUpdateUpstream({ .id = core::UpstreamId("east"),
                                   .service = core::ServiceId("s"),
                                   .version = core::VersionId("old"),
                                   .dataCentre = core::DataCentreId("there"),
                                   .region = core::RegionId("east"),
                                   .slots = 8 });
  scheduler->SetEvacuated({ core::DataCentreId("there") });
  STRCMP_EQUAL("", Send().c_str());
  CheckRejected("evacuated");
  CHECK(RetryAfterSeconds() >= 1.2);
  STRCMP_EQUAL("west", Send("/free/x").c_str());
}
