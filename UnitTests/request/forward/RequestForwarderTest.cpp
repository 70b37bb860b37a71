#include "cuminfield/request/forward/ForwardTable.h"

#include "TestFramework/time/ManualTimerService.h"
#include "UnitTests/request/CallFakes.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::forward;
using namespace std::chrono_literals;
using unit_tests::request::AnyVersionChooser;
using unit_tests::request::FakeCaller;
using unit_tests::request::FakeTransport;

namespace {

/// Parses every request as nextRequest with the target as its id. Upstreams refuse requests with a
/// `Refused` header.
class FakeCodec : public ForwardCodec
{
public:
  std::variant<ForwardRequest, ForwardFailure> ParseRequest(
    connection::caller::CallerRequest aRequest, const version::catalogue::CatalogueIndex&,
    core::Instant aNow) const override
  {
    if (parseFailure) {
      return *parseFailure;
    }
    ForwardRequest request = nextRequest;
    request.spec.id = core::RequestId(aRequest.target);
    request.spec.service = core::ServiceId("s");
    request.spec.arrival = aNow;
    request.spec.deadline = aNow + 2s;
    request.spec.firstTokenTarget = 200ms;
    request.spec.tokenGapTarget = 200ms;
    request.callerDeadline = aNow + 2s;
    request.timeout = aNow + 1s;
    request.callerRequest = std::move(aRequest);
    return request;
  }
  connection::HttpHeaders MakeUpstreamHeaders(const ForwardRequest&, const UpstreamAnnouncement&,
                                              core::Duration aRemaining,
                                              const std::string& aLastEventId) const override
  {
    remaining = aRemaining;
    lastEventId = aLastEventId;
    return {};
  }
  connection::HttpHeaders MakeCallerHeaders(const connection::HttpHeaders& aHeaders) const override
  {
    return aHeaders;
  }
  bool IsNotRunResponse(int, const connection::HttpHeaders& aHeaders) const override
  {
    return !connection::FindHeader(aHeaders, "Refused").empty();
  }
  bool IsNotRunStatus(int aStatus) const override
  {
    return aStatus == connection::kStatusUnavailable || aStatus == connection::kStatusTooMany;
  }
  bool IsWrongUpstreamResponse(int aStatus, const connection::HttpHeaders&) const override
  {
    return aStatus == connection::kStatusMisdirected;
  }
  bool IsSealed(const connection::HttpHeaders& aHeaders) const override
  {
    return !connection::FindHeader(aHeaders, "Seal").empty();
  }
  UpstreamNotice ParseNotice(int, const connection::HttpHeaders&) const override { return {}; }
  std::optional<ReportedLoad> ParseLoad(const connection::HttpHeaders&) const override
  {
    return {};
  }
  connection::HttpHeaders MakeFailureHeaders(const core::RequestId&,
                                             const ForwardFailure& aFailure) const override
  {
    failure = aFailure;
    return {};
  }

  ForwardRequest nextRequest;
  std::optional<ForwardFailure> parseFailure;
  mutable core::Duration remaining{ 0 };
  mutable std::string lastEventId;
  mutable ForwardFailure failure;
};

class RecordingObserver : public ForwardObserver
{
public:
  void OnDispatched(const ForwardRequest&, const UpstreamAnnouncement&,
                    const PlacementBasis&) override
  {
  }
  void OnAttemptEnded(const ForwardRequest&, const ForwardAttempt& aAttempt) override
  {
    outcomes.push_back(aAttempt.outcome);
  }
  void OnTokenInterval(const ForwardRequest&, const UpstreamAnnouncement&,
                       const TokenIntervalSample& aSample) override
  {
    tokenIntervals.push_back(aSample);
  }
  void OnUpstreamNotice(const UpstreamAnnouncement&, const UpstreamNotice&) override {}
  void OnEnded(const ForwardRequest&, const ForwardSummary& aSummary) override
  {
    summaries.push_back(aSummary);
  }

  std::vector<AttemptOutcome> outcomes;
  std::vector<ForwardSummary> summaries;
  std::vector<TokenIntervalSample> tokenIntervals;
};

const connection::HttpHeaders kEventStreamHeaders{ { .name = "Content-Type",
                                                     .value = "text/event-stream" } };
const connection::HttpHeaders kRefusedHeaders{ { .name = "Refused", .value = "yes" } };
const connection::HttpHeaders kSealedStreamHeaders{ { .name = "Content-Type",
                                                      .value = "text/event-stream" },
                                                    { .name = "Seal", .value = "x" } };
const connection::HttpHeaders kSealedJsonHeaders{ { .name = "Content-Type",
                                                    .value = "application/json" },
                                                  { .name = "Seal", .value = "x" } };

constexpr const char* kTwoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr const char* kThirdEvent = "id: 3\ndata: c\n\n";
constexpr const char* kFailureHead =
  "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\nerror\n\n";

/// Response to the request to resume a stream after kTwoEvents.
struct ResumedResponse
{
  const char* name;
  int status;
  connection::HttpHeaders headers;
  std::string body;
  std::string forwarded; ///< The part of the body that continues the stream.
};

const std::vector<ResumedResponse> kFailedResumptions{
  { "500", 500, {}, "error\n\n", "" },
  { "502", 502, kSealedJsonHeaders, "error\n\n", "" },
  { "503", 503, kSealedStreamHeaders, kThirdEvent, "" },
  { "504", 504, {}, "", "" },
  { "429", 429, kSealedJsonHeaders, "error\n\n", "" },
  { "404", 404, {}, "error\n\n", "" },
  { "400", 400, {}, "error\n\n", "" },
  { "204", 204, kSealedStreamHeaders, "", "" },
  { "206", 206, kSealedStreamHeaders, kThirdEvent, "" },
  { "JSON", 200, kSealedJsonHeaders, "{\"error\":1}\n\n", "" },
  { "JSON with an event", 200, kSealedJsonHeaders, kThirdEvent, "" },
  { "empty JSON", 200, kSealedJsonHeaders, "", "" },
  { "no type", 200, { { .name = "Seal", .value = "x" } }, "<html>\n\n</html>\n\n", "" },
  { "no seal", 200, kEventStreamHeaders, kThirdEvent, "" },
  { "no event", 200, kSealedStreamHeaders, "", "" },
  { "no event but a comment", 200, kSealedStreamHeaders, ": ok\n\n", ": ok\n\n" },
  { "part of an event", 200, kSealedStreamHeaders, "id: 3\nda", "" },
  { "from the start", 200, kSealedStreamHeaders, kTwoEvents, "" },
  { "last event again", 200, kSealedStreamHeaders, "id: 2\ndata: b\n\n", "" },
  { "gap", 200, kSealedStreamHeaders, "id: 4\ndata: d\n\n", "" },
  { "gap later", 200, kSealedStreamHeaders, "id: 3\ndata: c\n\nid: 5\ndata: e\n\n", kThirdEvent },
  { "event twice", 200, kSealedStreamHeaders, "id: 3\ndata: c\n\nid: 3\ndata: c\n\n", kThirdEvent },
  { "back", 200, kSealedStreamHeaders, "id: 3\ndata: c\n\nid: 1\ndata: a\n\n", kThirdEvent },
  { "other ids", 200, kSealedStreamHeaders, "id: x\ndata: c\n\n", "" },
  { "no id", 200, kSealedStreamHeaders, "data: c\n\n", "" },
  { "empty id", 200, kSealedStreamHeaders, "id:\ndata: c\n\n", "" },
  { "error event", 200, kSealedStreamHeaders, "event: error\ndata: overload\n\n", "" },
  { "text", 200, kSealedStreamHeaders, "Internal error\n\n", "" },
  { "head", 200, kSealedStreamHeaders, kFailureHead, "" },
  { "head after an event", 200, kSealedStreamHeaders, std::string(kThirdEvent) + kFailureHead,
    kThirdEvent },
  { "head in an event", 200, kSealedStreamHeaders, std::string("id: 3\ndata: c") + kFailureHead,
    "" },
};

} // namespace

TEST_GROUP(RequestForwarder)
{
  test_framework::time::ManualTimerService timers;
  core::Random random{ 3 };
  FakeTransport transport;
  FakeCodec codec;
  RecordingObserver observer;
  AnyVersionChooser versions;
  WorkspaceQuota quota{ {}, {}, true };
  std::shared_ptr<const version::catalogue::CatalogueIndex> catalogue;
  bool isCatalogueCurrent = true;
  std::unique_ptr<ForwardTable> table;
  std::unique_ptr<placement::PlacementScheduler> scheduler;
  std::shared_ptr<FakeCaller> caller;

  void setup() override
  {
    catalogue =
      std::make_shared<const version::catalogue::CatalogueIndex>(version::catalogue::Catalogue());
    CreateTable({});
  }

  void CreateTable(const placement::PlacementSettings& aSettings)
  {
    scheduler.reset();
    table = std::make_unique<ForwardTable>(
      ForwardTable::Options{ .timers = timers,
                             .transport = transport,
                             .codec = codec,
                             .observer = observer,
                             .quota = quota,
                             .catalogue = [this] { return catalogue; },
                             .isCatalogueCurrent = [this] { return isCatalogueCurrent; } });
    scheduler = std::make_unique<placement::PlacementScheduler>(
      placement::PlacementSchedulerOptions{ .settings = aSettings,
                                            .timers = timers,
                                            .random = random,
                                            .listener = *table,
                                            .versions = versions,
                                            .dataCentre = core::DataCentreId("here") });
    table->SetScheduler(*scheduler);
    // An upstream where a request breaks off no longer accepts connections.
    scheduler->Quarantine().OnBreakOff().connect([this](const quarantine::Crash& aCrash) {
      scheduler->Quarantine().RecordCheck(aCrash, false);
    });
    AddUpstream("u1");
    AddUpstream("u2");
  }

  void teardown() override
  {
    table.reset();
    scheduler.reset();
  }

  void AddUpstream(const std::string& aId)
  {
    UpstreamAnnouncement upstream;
    upstream.id = core::UpstreamId(aId);
    upstream.service = core::ServiceId("s");
    upstream.dataCentre = core::DataCentreId("here");
    upstream.slots = 8;
    scheduler->AddOrUpdateUpstream(upstream);
  }

  void Send(const std::string& aId = "id")
  {
    caller = std::make_shared<FakeCaller>();
    connection::caller::CallerRequest request;
    request.method = "POST";
    request.target = aId;
    request.body = "body";
    table->OnRequest(std::move(request), caller);
  }

  void MakeRetryable(std::uint32_t aMaxAttempts)
  {
    codec.nextRequest.spec.retryable = true;
    codec.nextRequest.maxAttempts = aMaxAttempts;
  }

  void MakeNonRetryable()
  {
    codec.nextRequest.spec.retryable = false;
    codec.nextRequest.maxAttempts = 1;
  }

  static connection::upstream::UpstreamFailure Failure(bool aMayHaveRun)
  {
    return { .mayHaveRun = aMayHaveRun, .error = { .kind = {}, .message = "broke" } };
  }

  /// Requests of this host that it counts as in flight at any upstream.
  std::uint32_t InFlight() const
  {
    std::uint32_t inFlight = 0;
    for (const auto& [id, entry] : scheduler->Upstreams().Entries()) {
      inFlight += entry.localInFlight;
    }
    return inFlight;
  }

  /// Sends a stream that breaks off; the upstream where it is resumed answers with this status.
  void ResumeAndAnswer(int aStatus)
  {
    MakeRetryable(2);
    codec.nextRequest.resumable = true;
    Send();
    transport.listener->OnHead(200, kEventStreamHeaders);
    transport.listener->OnBody("id: 1\ndata: a\n\n");
    transport.listener->OnFailed(Failure(true));
    CHECK_EQUAL(2, transport.startedCalls);
    transport.listener->OnHead(aStatus, {});
  }

  /// Never short of retries.
  void CreateTableWithRetries()
  {
    placement::PlacementSettings settings;
    settings.retryBudget.retryRatio = 4;
    settings.retryBudget.maxAttempts = 4;
    CreateTable(settings);
  }

  /// Sends a stream that breaks off inside its third event.
  void BreakStreamOff(std::uint32_t aMaxAttempts)
  {
    MakeRetryable(aMaxAttempts);
    codec.nextRequest.stream = true;
    codec.nextRequest.resumable = true;
    Send();
    transport.listener->OnHead(200, kSealedStreamHeaders);
    transport.listener->OnBody(std::string(kTwoEvents) + "id: 3\nda");
    transport.listener->OnFailed(Failure(true));
  }

  /// Lets the upstream respond as far as its response is read, in parts of this size.
  void Respond(const ResumedResponse& aResponse, std::size_t aPartBytes)
  {
    const int call = transport.startedCalls;
    const auto isRead = [&] { return transport.liveCalls > 0 && transport.startedCalls == call; };
    transport.listener->OnHead(aResponse.status, aResponse.headers);
    for (std::size_t n = 0; n < aResponse.body.size() && isRead(); n += aPartBytes) {
      transport.listener->OnBody(std::string_view(aResponse.body).substr(n, aPartBytes));
    }
    if (isRead()) {
      transport.listener->OnEnd();
    }
  }

  /// Expects that the caller received kTwoEvents, then aMore, and an end that is not a complete
  /// one.
  void CheckAborted(const char* aName, const std::string& aMore = {})
  {
    STRCMP_EQUAL_TEXT((kTwoEvents + aMore).c_str(), caller->body.c_str(), aName);
    CHECK_TEXT(caller->aborted, aName);
    CHECK_FALSE_TEXT(caller->ended, aName);
    CHECK_EQUAL_TEXT(200, caller->status, aName); // Nothing after the head, no `not-run` either.
    CHECK_EQUAL_TEXT(0, transport.liveCalls, aName);
    CHECK_EQUAL_TEXT(0, table->Size(), aName);
    CHECK_EQUAL_TEXT(0, InFlight(), aName);
  }

  /// Lets the upstream of the current call, the caller or the clock act. aHasHead: the call has
  /// received its head.
  void ApplyRandomEvent(core::Random & aRandom, bool& aHasHead)
  {
    const std::uint64_t action = aRandom.UniformBelow(16);
    if (transport.liveCalls == 0 || action == 0) {
      timers.Advance(200ms);
    } else if (action == 1 && aRandom.Chance(0.2)) {
      caller->onDisconnected();
    } else if (action < 4) {
      transport.listener->OnFailed(Failure(aHasHead || aRandom.Chance(0.5)));
    } else if (!aHasHead) {
      aHasHead = true;
      const int status = std::array{ 200, 200, 200, 400, 500, 503 }[aRandom.UniformBelow(6)];
      const bool refuses = status == 503 && aRandom.Chance(0.5);
      transport.listener->OnHead(status, refuses ? kRefusedHeaders : kEventStreamHeaders);
    } else if (action < 6) {
      transport.listener->OnEnd();
    } else {
      transport.listener->OnBody(
        std::array{ "id: 1\ndata: a\n\n", "id: 2\nda", "x" }[aRandom.UniformBelow(3)]);
    }
  }
};

TEST(RequestForwarder, StreamWithOversizedEventIsAborted)
{
  MakeNonRetryable();
  Send();
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\n");
  const std::string piece(16 * 1024, 'x');
  for (int n = 0; n < 1000 && transport.liveCalls > 0; ++n) {
    transport.listener->OnBody(piece);
  }
  CHECK_EQUAL(0, transport.liveCalls);
  CHECK(caller->aborted);
  CHECK_FALSE(caller->ended);
  STRCMP_EQUAL("id: 1\ndata: a\n\n", caller->body.c_str());
}

TEST(RequestForwarder, ResponseIsForwardedUnchanged)
{
  MakeNonRetryable();
  Send();
  STRCMP_EQUAL("POST", transport.lastRequest.method.c_str());
  STRCMP_EQUAL("body", transport.lastRequest.body.c_str());
  CHECK(transport.lastRequest.freshConnection);
  transport.listener->OnHead(201, { { .name = "Seal", .value = "x" } });
  transport.listener->OnBody("ans");
  transport.listener->OnBody("wer");
  CHECK_EQUAL(0, caller->status); // Buffered until complete.
  transport.listener->OnEnd();
  CHECK_EQUAL(201, caller->status);
  STRCMP_EQUAL("answer", caller->body.c_str());
  STRCMP_EQUAL("x", std::string(connection::FindHeader(caller->headers, "Seal")).c_str());
  CHECK_EQUAL(0, table->Size());
}

TEST(RequestForwarder, NonRetryableRequestIsNotResentAfterItWasSent)
{
  MakeNonRetryable();
  Send();
  transport.listener->OnFailed(Failure(true));
  CHECK_EQUAL(1, transport.startedCalls);
  CHECK_EQUAL(502, caller->status); // Not 503: it may have run.
}

TEST(RequestForwarder, UnsentRequestIsRetriedAtAnotherUpstream)
{
  MakeNonRetryable();
  Send();
  transport.listener->OnFailed(Failure(false));
  CHECK_EQUAL(2, transport.startedCalls);
  transport.listener->OnHead(200, {});
  transport.listener->OnEnd();
  CHECK_EQUAL(200, caller->status);
}

TEST(RequestForwarder, RefusedRequestIsRetriedAtAnotherUpstream)
{
  MakeNonRetryable();
  Send();
  transport.listener->OnHead(503, kRefusedHeaders);
  CHECK_EQUAL(2, transport.startedCalls);
}

TEST(RequestForwarder, ReportsNotRunIfNothingRan)
{
  MakeNonRetryable();
  Send();
  // Until the retry budget is exhausted.
  for (int n = 0; n < 10 && caller->status == 0; ++n) {
    transport.listener->OnHead(503, kRefusedHeaders);
    timers.Advance(200ms);
  }
  CHECK_EQUAL(503, caller->status);
  CHECK(codec.failure.retryAfter.has_value());
}

TEST(RequestForwarder, DoesNotReportNotRunIfAnEarlierAttemptMayHaveRun)
{
  MakeRetryable(2);
  Send();
  transport.listener->OnFailed(Failure(true));
  for (int n = 0; n < 10 && caller->status == 0; ++n) {
    transport.listener->OnHead(503, kRefusedHeaders);
    timers.Advance(200ms);
  }
  CHECK(caller->status == 502 || caller->status == 504);
}

/// Guards against a failure of a request that ran, told to its caller as one that didn't run.
TEST(RequestForwarder, UnmarkedRefusalOfANonRetryableRequestIsNotForwarded)
{
  for (const int status : { 429, 503 }) {
    MakeNonRetryable();
    Send();
    const int started = transport.startedCalls;
    transport.listener->OnHead(status, {});
    CHECK_EQUAL(started, transport.startedCalls);
    CHECK_EQUAL(0, transport.liveCalls);
    CHECK_EQUAL(0, InFlight());
    CHECK_EQUAL(502, caller->status);
  }
}

/// Running a retryable request again does no harm, so its caller gets the upstream's own response.
TEST(RequestForwarder, UnmarkedRefusalOfARetryableRequestIsForwarded)
{
  MakeRetryable(1);
  Send();
  transport.listener->OnHead(503, {});
  transport.listener->OnBody("fault");
  transport.listener->OnEnd();
  CHECK_EQUAL(503, caller->status);
  STRCMP_EQUAL("fault", caller->body.c_str());
}

TEST(RequestForwarder, IdempotentRequestIsRetriedAtAnotherUpstreamOnFailure)
{
  MakeRetryable(2);
  Send();
  transport.listener->OnHead(500, {});
  CHECK_EQUAL(2, transport.startedCalls);
  transport.listener->OnHead(500, {});
  transport.listener->OnBody("fault");
  transport.listener->OnEnd();
  CHECK_EQUAL(500, caller->status); // The last upstream's response.
  STRCMP_EQUAL("fault", caller->body.c_str());
}

TEST(RequestForwarder, AbortedPlainResponseIsRetriedAtAnotherUpstream)
{
  MakeRetryable(2);
  Send();
  transport.listener->OnHead(200, {});
  transport.listener->OnBody("ha");
  transport.listener->OnFailed(Failure(true));
  CHECK_EQUAL(2, transport.startedCalls);
  transport.listener->OnHead(200, {});
  transport.listener->OnBody("whole");
  transport.listener->OnEnd();
  STRCMP_EQUAL("whole", caller->body.c_str());
}

TEST(RequestForwarder, RequestAtSilentUpstreamIsRetriedAtAnother)
{
  MakeRetryable(2);
  Send();
  timers.Advance(500ms);
  CHECK_EQUAL(2, transport.startedCalls);
  CHECK_EQUAL(1, transport.liveCalls);
}

/// A slow upstream must not cost the caller its answer. Before, a silent attempt was given up with
/// 502 when the retry budget was empty.
TEST(RequestForwarder, RequestAtSilentUpstreamIsKeptWithoutRetryBudget)
{
  MakeRetryable(2);
  for (int n = 0; n < 100 && scheduler->TryTakeRetry(core::ServiceId("s"), 1); ++n) {
  }
  Send();
  timers.Advance(700ms);
  CHECK_EQUAL(1, transport.startedCalls);
  CHECK_EQUAL(1, transport.liveCalls);
  CHECK_EQUAL(0, caller->status);
  transport.listener->OnHead(200, {});
  transport.listener->OnBody("late");
  transport.listener->OnEnd();
  CHECK_EQUAL(200, caller->status);
  STRCMP_EQUAL("late", caller->body.c_str());
}

TEST(RequestForwarder, StreamResumesAtAnotherUpstreamAfterItsLastCompleteEvent)
{
  MakeRetryable(2);
  codec.nextRequest.stream = true;
  codec.nextRequest.resumable = true;
  Send();
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\nid: 2\nda");
  STRCMP_EQUAL("id: 1\ndata: a\n\n", caller->body.c_str());
  transport.listener->OnFailed(Failure(true));
  CHECK_EQUAL(2, transport.startedCalls);
  STRCMP_EQUAL("1", codec.lastEventId.c_str());
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 2\ndata: b\n\n");
  transport.listener->OnEnd();
  STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", caller->body.c_str());
  CHECK(caller->ended);
}

TEST(RequestForwarder, NonResumableStreamIsAborted)
{
  MakeNonRetryable();
  codec.nextRequest.stream = true;
  codec.nextRequest.resumable = false;
  Send();
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\nid: 2\nda");
  transport.listener->OnEnd(); // Closed within an event.
  CHECK(caller->aborted);
  CHECK_FALSE(caller->ended);
}

TEST(RequestForwarder, DisconnectedCallerCancelsTheCall)
{
  MakeNonRetryable();
  Send();
  caller->onDisconnected();
  CHECK_EQUAL(0, transport.liveCalls);
  CHECK(observer.summaries.front().callerDisconnected);
}

TEST(RequestForwarder, FinalResponseIsSentByTheTimeout)
{
  MakeNonRetryable();
  Send();
  timers.Advance(1s);
  CHECK_EQUAL(504, caller->status);
  CHECK_EQUAL(0, transport.liveCalls);
}

/// A sound stream may pause for long; only its timeout ends it.
TEST(RequestForwarder, SlowStreamIsNotCut)
{
  MakeNonRetryable();
  codec.nextRequest.stream = true;
  Send();
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\n");
  timers.Advance(950ms);
  CHECK_EQUAL(1, transport.liveCalls);
  transport.listener->OnBody("id: 2\ndata: b\n\n");
  transport.listener->OnEnd();
  STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", caller->body.c_str());
  CHECK(caller->ended);
  CHECK_FALSE(caller->aborted);
}

/// An upstream that sends a byte now and then, but no event, must not hold its caller for ever.
TEST(RequestForwarder, DrippingStreamEndsByTheTimeout)
{
  MakeNonRetryable();
  codec.nextRequest.stream = true;
  Send();
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\n");
  for (int n = 0; n < 30 && transport.liveCalls > 0; ++n) {
    transport.listener->OnBody("x");
    timers.Advance(50ms);
  }
  CHECK_EQUAL(0, transport.liveCalls);
  CHECK(caller->aborted);
  CHECK_FALSE(caller->ended);
  CHECK(observer.summaries.front().totalTime <= 1s);
}

TEST(RequestForwarder, UpstreamReceivesTheRemainingTime)
{
  MakeNonRetryable();
  Send();
  CHECK(codec.remaining == 1s); // The timeout is earlier than the caller's deadline.
}

TEST(RequestForwarder, RequestWithIdInUseIsRejected)
{
  MakeNonRetryable();
  Send("same");
  const auto first = caller;
  Send("same");
  CHECK_EQUAL(400, caller->status);
  CHECK_EQUAL(0, first->status);
  CHECK_EQUAL(1, transport.startedCalls);
}

TEST(RequestForwarder, RequestBeforeTheFirstCatalogueIsHeldAndThenServed)
{
  const auto first = std::move(catalogue);
  Send();
  CHECK_EQUAL(0, caller->status);
  CHECK_EQUAL(0, transport.startedCalls);
  timers.Advance(800ms);
  catalogue = first;
  table->OnCatalogueAvailable();
  CHECK_EQUAL(1, transport.startedCalls);
  CHECK(codec.remaining == 200ms); // Measured from the arrival.
}

/// Guards against callers that are told for good what only an outdated catalogue says.
TEST(RequestForwarder, OutdatedCatalogueIsNoReasonForAFinalRefusal)
{
  for (const int status : { 401, 403, 404 }) {
    codec.parseFailure = ForwardFailure{ .status = status, .reason = "no", .retryAfter = {} };
    isCatalogueCurrent = true;
    Send();
    CHECK_EQUAL(status, caller->status);
    isCatalogueCurrent = false;
    Send();
    CHECK_EQUAL(503, caller->status);
    CHECK(codec.failure.retryAfter.has_value());
  }
  codec.parseFailure = ForwardFailure{ .status = 400, .reason = "no", .retryAfter = {} };
  Send();
  CHECK_EQUAL(400, caller->status);
}

TEST(RequestForwarder, HeldRequestIsRejectedWithRetryAfterWithoutCatalogue)
{
  catalogue.reset();
  Send();
  timers.Advance(1200ms);
  CHECK_EQUAL(503, caller->status);
  CHECK(codec.failure.retryAfter.has_value());
}

TEST(RequestForwarder, HeldRequestOfDisconnectedCallerIsDropped)
{
  const auto first = std::move(catalogue);
  Send();
  caller->onDisconnected();
  catalogue = first;
  table->OnCatalogueAvailable();
  CHECK_EQUAL(0, transport.startedCalls);
}

TEST(RequestForwarder, StoppingHostRejectsNewRequestsAsNotRun)
{
  MakeNonRetryable();
  Send("first");
  table->BeginShutdown();
  table->RejectNewRequests();
  const auto first = caller;
  Send("second");
  CHECK_EQUAL(503, caller->status);
  transport.listener->OnHead(200, {});
  transport.listener->OnEnd();
  CHECK_EQUAL(200, first->status);
  STRCMP_EQUAL("close", std::string(connection::FindHeader(first->headers, "Connection")).c_str());
}

/// Guards against a retry that takes a fatal part to another upstream.
TEST(RequestForwarder, QuarantinedRequestIsNotRetried)
{
  MakeRetryable(3);
  codec.nextRequest.spec.sharedParts = { core::PromptPartId("fatal") };
  Send();
  scheduler->UpdateQuarantine(
    { .revision = 1, .suspects = {}, .quarantined = { { core::PromptPartId("fatal") } } });
  transport.listener->OnFailed(Failure(true));
  CHECK_EQUAL(1, transport.startedCalls);
  CHECK_EQUAL(502, caller->status); // Not 503: it has run.
  CHECK_EQUAL(1, scheduler->Quarantine().PendingReports().size());
  Send("next");
  CHECK_EQUAL(1, transport.startedCalls);
  CHECK_EQUAL(503, caller->status);
}

/// Guards against an upstream that crashes although its request was known to be fatal.
TEST(RequestForwarder, QuarantinedRequestThatHasNotBegunIsTakenBack)
{
  MakeNonRetryable();
  codec.nextRequest.spec.sharedParts = { core::PromptPartId("fatal") };
  Send("begun");
  const std::shared_ptr<FakeCaller> begun = caller;
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\n");
  Send("waiting");
  transport.listener->OnHead(200, kEventStreamHeaders);
  scheduler->UpdateQuarantine(
    { .revision = 1, .suspects = {}, .quarantined = { { core::PromptPartId("fatal") } } });
  table->AbortQuarantined(scheduler->Quarantine());
  CHECK_EQUAL(1, transport.liveCalls);
  CHECK_EQUAL(502, caller->status); // Not 503: it may have run.
  CHECK(observer.outcomes == std::vector{ AttemptOutcome::Cancelled });
  CHECK(scheduler->Quarantine().PendingReports().empty());
  CHECK_FALSE(begun->aborted);
}

/// Guards against a crash that goes unnoticed because the stream's end looks like a regular one.
TEST(RequestForwarder, StreamWithoutLengthThatEndsBeforeItsFirstEventIsACrash)
{
  MakeNonRetryable();
  codec.nextRequest.spec.sharedParts = { core::PromptPartId("fatal") };
  for (const char* it : { "", "id: 1\nda" }) {
    Send();
    transport.listener->OnHead(200, kEventStreamHeaders);
    transport.listener->OnBody(it);
    transport.listener->OnEnd(); // The connection was closed without an error.
    CHECK_EQUAL(502, caller->status);
    CHECK(observer.outcomes.back() == AttemptOutcome::BrokenOff);
  }
  CHECK_EQUAL(2, scheduler->Quarantine().PendingReports().size());
}

/// Guards against an answer that looks complete although it broke off.
TEST(RequestForwarder, StreamWithoutLengthThatEndsInsideAnEventIsBrokenOff)
{
  MakeNonRetryable();
  Send();
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\nid: 2\ndata: b\n");
  transport.listener->OnEnd();
  CHECK(caller->aborted);
  CHECK_FALSE(caller->ended);
  STRCMP_EQUAL("id: 1\ndata: a\n\n", caller->body.c_str());
  CHECK(observer.outcomes.back() == AttemptOutcome::BrokenOff);
}

TEST(RequestForwarder, ResumableStreamWithoutLengthGoesOnAfterItEndedInsideAnEvent)
{
  MakeRetryable(2);
  codec.nextRequest.resumable = true;
  Send();
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\nid: 2\nda");
  transport.listener->OnEnd();
  CHECK_EQUAL(2, transport.startedCalls);
  STRCMP_EQUAL("1", codec.lastEventId.c_str());
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 2\ndata: b\n\n");
  transport.listener->OnEnd();
  CHECK(caller->ended);
  STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", caller->body.c_str());
}

/// Guards against a second copy of a cut stream that is taken for its continuation: the first
/// answer was read to its end, so its connection may be in use again, and both attempts have the
/// same id.
TEST(RequestForwarder, AttemptAfterACutStreamUsesAFreshConnection)
{
  MakeRetryable(2);
  codec.nextRequest.resumable = true;
  Send();
  CHECK_FALSE(transport.lastRequest.freshConnection);
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\nid: 2\nda");
  transport.listener->OnEnd();
  CHECK_EQUAL(2, transport.startedCalls);
  CHECK(transport.lastRequest.freshConnection);
}

/// New connections are priced: a call that was given up has closed its connection.
TEST(RequestForwarder, AttemptAfterARefusalMayUseAKeptConnection)
{
  MakeRetryable(3);
  Send();
  transport.listener->OnHead(503, kRefusedHeaders);
  CHECK_EQUAL(1, transport.liveCalls); // The refused call was given up.
  CHECK_EQUAL(2, transport.startedCalls);
  CHECK_FALSE(transport.lastRequest.freshConnection);
}

TEST(RequestForwarder, StreamWithoutLengthThatEndsAfterAnEventIsComplete)
{
  MakeNonRetryable();
  Send();
  transport.listener->OnHead(200, kEventStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\n");
  transport.listener->OnEnd();
  CHECK(caller->ended);
  CHECK(observer.outcomes.back() == AttemptOutcome::Succeeded);
}

/// Guards against a slot that stays taken for ever, after which the upstream looks silent.
TEST(RequestForwarder, ResumedStreamThatGetsAFailureLeavesItsSlot)
{
  ResumeAndAnswer(500);
  CHECK(caller->aborted);
  CHECK(observer.outcomes.back() == AttemptOutcome::Failed);
  CHECK_EQUAL(0, InFlight());
}

TEST(RequestForwarder, ResumedStreamThatIsRejectedLeavesItsSlot)
{
  ResumeAndAnswer(400);
  CHECK(caller->aborted);
  CHECK(observer.outcomes.back() == AttemptOutcome::RejectedInput);
  CHECK_EQUAL(0, InFlight());
}

/// Guards against an error's text, another stream or an early end after events of a stream.
TEST(RequestForwarder, ResponseThatDoesNotContinueTheStreamIsNotForwarded)
{
  for (const ResumedResponse& it : kFailedResumptions) {
    for (const std::size_t partBytes : { std::size_t{ 1 }, std::size_t{ 1000 } }) {
      CreateTableWithRetries();
      BreakStreamOff(2);
      Respond(it, partBytes);
      CheckAborted(it.name, it.forwarded);
    }
  }
}

TEST(RequestForwarder, StreamThatWasNotContinuedGoesOnAtAThirdUpstream)
{
  for (const ResumedResponse& it : kFailedResumptions) {
    if (it.status >= connection::kStatusBadRequest &&
        it.status < connection::kStatusInternalError) {
      continue; // The upstream blames the request.
    }
    CreateTableWithRetries();
    AddUpstream("u3");
    BreakStreamOff(3);
    const int calls = transport.startedCalls;
    Respond(it, 1000);
    CHECK_EQUAL_TEXT(calls + 1, transport.startedCalls, it.name);
    const bool hasThird = it.forwarded == kThirdEvent;
    STRCMP_EQUAL_TEXT(hasThird ? "3" : "2", codec.lastEventId.c_str(), it.name);
    const std::string rest =
      hasThird ? "id: 4\ndata: d\n\n" : std::string(kThirdEvent) + "id: 4\ndata: d\n\n";
    Respond({ it.name, 200, kSealedStreamHeaders, rest, rest }, 1000);
    STRCMP_EQUAL_TEXT((kTwoEvents + it.forwarded + rest).c_str(), caller->body.c_str(), it.name);
    CHECK_TEXT(caller->ended, it.name);
    CHECK_FALSE_TEXT(caller->aborted, it.name);
    CHECK_EQUAL_TEXT(0, InFlight(), it.name);
  }
}

/// Guards against streams that are no longer resumed because their ids are not 1, 2, 3.
TEST(RequestForwarder, StreamsWithOtherIdsAreResumed)
{
  const std::vector<std::array<const char*, 2>> streams{
    { "id: 6\ndata: a\n\nid: 12\ndata: b\n\n", "id: 16\ndata: c\n\n" },
    { "id: x\ndata: a\n\nid: y\ndata: b\n\n", "id: z\ndata: c\n\n" },
    { "id:1\ndata:a\n\nid:2\ndata:b\n\n", "id:3\ndata:c\n\nid:4\ndata:d\n\n" },
    { "id: 1\ndata: a\n\n", ": ok\n\nretry: 9\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" },
    { "id: 1\ndata: a\n\n", "weights: 2\nid: 2\ndata: b\n\ndata: [DONE]\n\n" },
    { "id: 1\ndata: a\n\n", "data: [DONE]\n\n" },
  };
  for (const auto& [first, rest] : streams) {
    CreateTableWithRetries();
    MakeRetryable(2);
    codec.nextRequest.resumable = true;
    Send();
    transport.listener->OnHead(200, kSealedStreamHeaders);
    transport.listener->OnBody(first);
    transport.listener->OnFailed(Failure(true));
    Respond({ first, 200, kSealedStreamHeaders, rest, rest }, 1000);
    STRCMP_EQUAL((std::string(first) + rest).c_str(), caller->body.c_str());
    CHECK_TEXT(caller->ended, first);
  }
}

/// Guards against another response's head, or text, that is passed on as events of a stream.
TEST(RequestForwarder, BytesThatAreNoEventsEndTheStream)
{
  MakeNonRetryable();
  codec.nextRequest.stream = true;
  for (const std::string& it :
       { std::string("Internal error\n\n"), std::string(kFailureHead),
         std::string("id: 3\ndata: c") + kFailureHead, std::string("\r\n\r\n\n") }) {
    CreateTable({});
    Send();
    transport.listener->OnHead(200, kSealedStreamHeaders);
    transport.listener->OnBody(kTwoEvents);
    transport.listener->OnBody(it);
    if (transport.liveCalls > 0) {
      transport.listener->OnEnd();
    }
    CheckAborted(it.c_str());
  }
}

/// What an upstream writes is its answer as long as it consists of events.
TEST(RequestForwarder, UnusualEventsAreForwardedUnchanged)
{
  MakeNonRetryable();
  codec.nextRequest.stream = true;
  for (const char* it : { ": comment\n\ndata: a\n\n", "retry: 9\n\nid: 1\ndata: a\n\n",
                          "weights: 2\nid: 1\ndata: a\n\n", "id: 4\ndata: a\n\nid: 2\ndata: b\n\n",
                          "data: a\n\n\n\ndata: b\n\n", "data\n\nevent: error\ndata: b\n\n" }) {
    Send();
    transport.listener->OnHead(200, kSealedStreamHeaders);
    transport.listener->OnBody(it);
    transport.listener->OnEnd();
    STRCMP_EQUAL(it, caller->body.c_str());
    CHECK_TEXT(caller->ended, it);
  }
}

/// Guards against an event that the caller gets twice or in the midst of its stream, since an
/// upstream can't be asked to go on after it.
TEST(RequestForwarder, StreamIsNotResumedAfterAnEventWithoutId)
{
  MakeRetryable(2);
  codec.nextRequest.resumable = true;
  Send();
  transport.listener->OnHead(200, kSealedStreamHeaders);
  transport.listener->OnBody("id: 1\ndata: a\n\nevent: error\ndata: overload\n\n");
  transport.listener->OnFailed(Failure(true));
  CHECK_EQUAL(1, transport.startedCalls);
  CHECK(caller->aborted);
  CHECK_FALSE(caller->ended);
  CHECK_EQUAL(0, InFlight());
}

/// Guards against an end that looks complete, or `not-run`, where a broken stream isn't resumed.
TEST(RequestForwarder, BrokenStreamIsAbortedIfNoUpstreamTakesIt)
{
  CreateTableWithRetries();
  BreakStreamOff(1);
  CheckAborted("attempts used up");

  CreateTableWithRetries();
  BreakStreamOff(2);
  timers.Advance(1s);
  CheckAborted("silence until the timeout");

  CreateTableWithRetries();
  BreakStreamOff(2);
  transport.listener->OnFailed(Failure(true));
  CheckAborted("second upstream broke off");

  CreateTableWithRetries();
  BreakStreamOff(2);
  for (int n = 0; n < 30 && !caller->aborted; ++n) {
    if (transport.liveCalls > 0) {
      transport.listener->OnHead(503, kRefusedHeaders);
    }
    timers.Advance(50ms);
  }
  CheckAborted("refused");

  CreateTable({});
  for (int n = 0; n < 100 && scheduler->TryTakeRetry(core::ServiceId("s"), 1); ++n) {
  }
  BreakStreamOff(2);
  CheckAborted("no retry budget");

  CreateTableWithRetries();
  scheduler->RemoveUpstream(core::UpstreamId("u2"));
  BreakStreamOff(2);
  timers.Advance(1s);
  CheckAborted("no other upstream");
}

/// Guards against a resumed stream that is refused, or blamed for a crash, like a new request.
TEST(RequestForwarder, StreamIsStillAResumedOneAfterAFailure)
{
  CreateTableWithRetries();
  AddUpstream("u3");
  codec.nextRequest.spec.sharedParts = { core::PromptPartId("part") };
  BreakStreamOff(3);
  transport.listener->OnHead(500, {});
  transport.listener->OnFailed(Failure(true));
  CheckAborted("third upstream broke off");
  CHECK(scheduler->Quarantine().PendingReports().empty());
}

/// A response whose head was sent because of its size can't be retried.
TEST(RequestForwarder, LargeResponseThatBreaksOffIsAborted)
{
  CreateTableWithRetries();
  MakeRetryable(2);
  Send();
  transport.listener->OnHead(200, kSealedJsonHeaders);
  const std::string part(300 * 1024, 'x');
  transport.listener->OnBody(part);
  CHECK_EQUAL(200, caller->status);
  transport.listener->OnFailed(Failure(true));
  CHECK_EQUAL(1, transport.startedCalls);
  CHECK(caller->aborted);
  CHECK_FALSE(caller->ended);
  CHECK_EQUAL(part.size(), caller->body.size());
  CHECK_EQUAL(0, InFlight());
}

/// The same for any sequence of what an upstream, the caller and the clock can do.
TEST(RequestForwarder, EndedRequestHoldsNoSlot)
{
  CreateTableWithRetries();
  core::Random sequence(7);
  for (int n = 0; n < 2'000; ++n) {
    MakeRetryable(1 + static_cast<std::uint32_t>(sequence.UniformBelow(3)));
    codec.nextRequest.spec.retryable = sequence.Chance(0.7);
    codec.nextRequest.resumable = sequence.Chance(0.7);
    Send(std::to_string(n));
    int call = transport.startedCalls;
    bool hasHead = false;
    for (int step = 0; step < 30 && table->Size() > 0; ++step) {
      ApplyRandomEvent(sequence, hasHead);
      hasHead = hasHead && call == transport.startedCalls;
      call = transport.startedCalls;
      timers.Advance(1ms);
    }
    timers.Advance(5s); // Past the timeout and all ejections.
    CHECK_EQUAL(0, table->Size());
    CHECK_EQUAL(0, InFlight());
  }
  const auto notResumed =
    std::count_if(observer.summaries.begin(), observer.summaries.end(),
                  [](const ForwardSummary& aIt) { return aIt.reason == "not-resumed"; });
  CHECK(notResumed >= 5); // The sequences get as far as a failure after a stream was resumed.
}
