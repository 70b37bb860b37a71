#include "TestFramework/time/ManualTimerService.h"
#include "UnitTests/request/CallFakes.h"
#include "cuminfield/request/forward/ForwardTable.h"
#include "platform/ConfigurationText.h"
#include "platform/HeaderCodec.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::forward;
using namespace std::chrono_literals;
using unit_tests::request::AnyVersionChooser;
using unit_tests::request::FakeCaller;

namespace {

/// Keeps the live calls in the order of their start.
class LiveCalls : public connection::upstream::UpstreamTransport
{
public:
  struct LiveCall : connection::upstream::UpstreamCall
  {
    LiveCall(LiveCalls& aCalls, std::string aUpstream,
             connection::upstream::UpstreamCallListener& aListener)
      : calls(aCalls)
      , upstream(std::move(aUpstream))
      , listener(aListener)
    {
      calls.live.push_back(this);
    }
    ~LiveCall() override { std::erase(calls.live, this); }
    void Pause(bool) override {}

    LiveCalls& calls;
    std::string upstream;
    connection::upstream::UpstreamCallListener& listener;
  };

  std::unique_ptr<connection::upstream::UpstreamCall> Start(
    const std::string&, std::uint16_t, connection::upstream::UpstreamRequest aRequest,
    connection::upstream::UpstreamCallListener& aListener) override
  {
    started.emplace_back(connection::FindHeader(aRequest.headers, platform::wire::kExpectInstance));
    return std::make_unique<LiveCall>(*this, started.back(), aListener);
  }
  void Notify(const std::string&, std::uint16_t, connection::upstream::UpstreamRequest) override {}

  std::vector<LiveCall*> live;
  std::vector<std::string> started; ///< Upstreams of all calls.
};

class IgnoringObserver : public ForwardObserver
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

const connection::HttpHeaders kLeaving{ { .name = "Server-Leaving", .value = "1" } };

/// Headers of an upstream that turns a request away.
connection::HttpHeaders MakeRefusal(const std::string& aRetryAfter)
{
  return { { .name = std::string(platform::wire::kNotExecuted), .value = "full" },
           { .name = "Retry-After", .value = aRetryAfter } };
}

} // namespace

/// What an upstream says of itself in its answers, while the control hosts' list still has it as
/// ready. The codec is the platform's; time is virtual.
TEST_GROUP(UpstreamNotices)
{
  test_framework::time::ManualTimerService timers;
  core::Random random{ 3 };
  LiveCalls transport;
  platform::HeaderCodec codec;
  IgnoringObserver observer;
  AnyVersionChooser versions;
  WorkspaceQuota quota{ {}, {}, true };
  std::shared_ptr<const version::catalogue::CatalogueIndex> catalogue;
  std::unique_ptr<ForwardTable> table;
  std::unique_ptr<placement::PlacementScheduler> scheduler;
  std::shared_ptr<FakeCaller> caller;
  int requests = 0;

  void setup() override
  {
    catalogue = std::make_shared<const version::catalogue::CatalogueIndex>(
      platform::ParseConfiguration(
        R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"unsafe",)"
        R"("service":"s","timeout_ms":5000}],"services":[{"name":"s"}]})")
        .value());
    table = std::make_unique<ForwardTable>(
      ForwardTable::Options{ .timers = timers,
                             .transport = transport,
                             .codec = codec,
                             .observer = observer,
                             .quota = quota,
                             .catalogue = [this] { return catalogue; },
                             .isCatalogueCurrent = [] { return true; } });
    scheduler = std::make_unique<placement::PlacementScheduler>(
      placement::PlacementSchedulerOptions{ .settings = {},
                                            .timers = timers,
                                            .random = random,
                                            .listener = *table,
                                            .versions = versions,
                                            .dataCentre = core::DataCentreId("here") });
    table->SetScheduler(*scheduler);
  }

  void teardown() override
  {
    table.reset();
    scheduler.reset();
  }

  /// As a feed that lists the upstream as ready does.
  void Announce(const std::string& aId, std::uint64_t aIncarnation = 1)
  {
    scheduler->AddOrUpdateUpstream({ .id = core::UpstreamId(aId),
                                     .incarnation = core::Incarnation(aIncarnation),
                                     .service = core::ServiceId("s"),
                                     .dataCentre = core::DataCentreId("here"),
                                     .slots = 8 });
  }

  /// Sends a request; returns the upstream it goes to, or an empty text.
  std::string Send()
  {
    const std::size_t startedBefore = transport.started.size();
    caller = std::make_shared<FakeCaller>();
    connection::caller::CallerRequest request;
    request.method = "POST";
    request.target = "/a/b";
    request.path = "/a/b";
    request.headers = { { .name = "Host", .value = "h" },
                        { .name = std::string(platform::wire::kRequestId),
                          .value = "r" + std::to_string(++requests) } };
    table->OnRequest(std::move(request), caller);
    return transport.started.size() == startedBefore ? "" : transport.started.back();
  }

  /// The upstream of the oldest call answers.
  void Answer(int aStatus, const connection::HttpHeaders& aHeaders)
  {
    connection::upstream::UpstreamCallListener& listener = transport.live.front()->listener;
    listener.OnHead(aStatus, aHeaders);
    listener.OnEnd();
  }

  /// It turns the request away, which may then be sent to another upstream at once.
  void Refuse(const std::string& aRetryAfter)
  {
    transport.live.front()->listener.OnHead(503, MakeRefusal(aRetryAfter));
  }
};

/// Guards against requests to an upstream that has said in an answer that it leaves (DRAIN).
TEST(UpstreamNotices, UpstreamThatSaysItLeavesGetsNoFurtherRequest)
{
  Announce("u1");
  STRCMP_EQUAL("u1", Send().c_str());
  Answer(200, kLeaving);
  Announce("u2");
  for (int n = 0; n < 100; ++n) {
    timers.Advance(100ms);
    Announce("u1"); // The list is older than the answer.
    STRCMP_EQUAL("u2", Send().c_str());
    Answer(200, {});
  }
}

/// Guards against requests to an upstream that has turned one away with Retry-After (BUDGET): two
/// may reach it between half a second after its answer and the end of that time.
TEST(UpstreamNotices, UpstreamThatAsksToWaitGetsNoRequestUntilThen)
{
  Announce("u1");
  STRCMP_EQUAL("u1", Send().c_str());
  Refuse("2.5");
  const std::size_t before = transport.started.size();
  for (core::Duration elapsed{ 0 }; elapsed < 2450ms; elapsed += 50ms) {
    Send();
    timers.Advance(50ms);
  }
  CHECK_EQUAL(before, transport.started.size());
  timers.Advance(100ms);
  CHECK_EQUAL(before + 1, transport.started.size()); // One at a time until the first success.
  Answer(200, {});
  CHECK(transport.started.size() > before + 8); // Then all slots.
}

TEST(UpstreamNotices, NewIncarnationIsNotHeldToTheNotice)
{
  Announce("u1");
  Send();
  Answer(200, kLeaving);
  Announce("u1", 2);
  STRCMP_EQUAL("u1", Send().c_str());
}

/// A feed without the upstream, and one with it again, must not make the host forget.
TEST(UpstreamNotices, NoticeOutlastsTheEntryOfTheList)
{
  Announce("u1");
  Send();
  Refuse("2");
  scheduler->RemoveUpstream(core::UpstreamId("u1"));
  Announce("u1");
  timers.Advance(1s);
  STRCMP_EQUAL("", Send().c_str());
  timers.Advance(1s);
  STRCMP_EQUAL("u1", Send().c_str());
}

/// If no upstream wants requests for longer than the caller can wait, the caller is told at once
/// when to come back, and nothing is sent.
TEST(UpstreamNotices, CallersAreToldWhenTheFirstUpstreamTakesRequestsAgain)
{
  Announce("u1");
  Send();
  Refuse("9");
  CHECK_EQUAL(503, caller->status);
  Announce("u2");
  STRCMP_EQUAL("u2", Send().c_str());
  Refuse("8");
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("", Send().c_str());
  CHECK_EQUAL(503, caller->status);
  const double retryAfter =
    std::stod(std::string(connection::FindHeader(caller->headers, "Retry-After")));
  CHECK(retryAfter >= 8);
  CHECK(retryAfter <= 8.5);
}

TEST(UpstreamNotices, UnreadableRetryAfterIsPassedOver)
{
  for (const char* it : { "-1", "soon", "nan", "1e999", "2 s", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
    CHECK(codec.ParseNotice(503, MakeRefusal(it)).IsEmpty());
  }
  CHECK(codec.ParseNotice(200, MakeRefusal("5")).IsEmpty());
  CHECK(codec.ParseNotice(503, MakeRefusal("0.25")).retryAfter == core::Duration(250ms));
  CHECK(codec.ParseNotice(503, MakeRefusal("99999999")).retryAfter == core::Duration(1h));
}

/// Another upstream at the address speaks for itself only.
TEST(UpstreamNotices, NoticeOfAnotherUpstreamAtTheAddressIsNotTaken)
{
  Announce("u1");
  Send();
  transport.live.front()->listener.OnHead(421, kLeaving);
  Announce("u1");
  STRCMP_EQUAL("u1", Send().c_str());
}

/// Any sequence of answers, announcements and time keeps both rules.
TEST(UpstreamNotices, BothRulesHoldForRandomSequences)
{
  struct Upstream
  {
    std::uint64_t incarnation = 1;
    bool isLeaving = false;
    core::Instant quietFrom{};
    core::Instant quietUntil{};
    int reached = 0; ///< Within the quiet time.
  };
  core::Random sequence(11);
  std::map<std::string, Upstream> upstreams{ { "u1", {} }, { "u2", {} }, { "u3", {} } };
  int answered = 0;
  std::size_t checked = 0; ///< Calls whose start has been checked.
  for (int n = 0; n < 20'000; ++n) {
    const std::string id = "u" + std::to_string(1 + sequence.UniformBelow(3));
    Upstream& listed = upstreams[id];
    const std::uint64_t action = sequence.UniformBelow(20);
    const bool isBusy = std::any_of(transport.live.begin(), transport.live.end(),
                                    [&](const auto* aCall) { return aCall->upstream == id; });
    if (action == 0 && listed.isLeaving && !isBusy) {
      listed = { .incarnation = listed.incarnation + 1 };
    } else if (action == 1) {
      scheduler->RemoveUpstream(core::UpstreamId(id));
    }
    if (action < 6) {
      Announce(id, listed.incarnation); // Also while it leaves: the list is older.
    }
    timers.Advance(core::FromSeconds(0.2 * sequence.Uniform()));
    if (sequence.Chance(0.7)) {
      Send();
    }
    for (; checked < transport.started.size(); ++checked) {
      Upstream& reached = upstreams[transport.started[checked]];
      CHECK_FALSE(reached.isLeaving);
      if (timers.Now() >= reached.quietFrom && timers.Now() < reached.quietUntil) {
        CHECK(++reached.reached <= 2);
      }
    }
    if (transport.live.empty()) {
      continue;
    }
    ++answered;
    Upstream& reached = upstreams[transport.live.front()->upstream];
    if (sequence.Chance(0.05)) {
      reached.isLeaving = true;
      Answer(200, kLeaving);
    } else if (sequence.Chance(0.2)) {
      const double seconds = 0.2 + 4 * sequence.Uniform();
      reached.quietFrom = timers.Now() + 500ms;
      reached.quietUntil = std::max(reached.quietUntil, timers.Now() + core::FromSeconds(seconds));
      reached.reached = 0;
      Refuse(std::to_string(seconds));
    } else {
      Answer(200, {});
    }
  }
  CHECK(answered >= 5'000);
}
