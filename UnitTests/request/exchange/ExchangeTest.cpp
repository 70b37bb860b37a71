#include "cuminfield/request/exchange/Exchange.h"
#include "TestFramework/time/ManualTimerService.h"
#include "UnitTests/request/CallFakes.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::exchange;
using claims::ClaimReply;
using claims::ClaimState;
using claims::ClaimVerdict;
using unit_tests::request::FakeCaller;
using unit_tests::request::FakeTransport;

namespace {

/// Records the calls that the exchange makes to its scheduler.
class FakeScheduler : public Scheduler
{
public:
  void Submit(RequestSpec) override { ++submitted; }
  void Withdraw(const core::RequestId&) override { ++withdrawn; }
  void OnFirstToken(const core::RequestId&) override { ++firstTokens; }
  void OnToken(const core::RequestId&) override {}
  void OnAttemptEnded(const core::RequestId&, AttemptOutcome aOutcome) override
  {
    outcomes.push_back(aOutcome);
  }
  void AddOrUpdateUpstream(const UpstreamAnnouncement&) override {}
  void RemoveUpstream(const core::UpstreamId&) override {}
  void OnLoadReport(const LoadReport&) override {}
  void OnCacheEvent(const CacheEvent&) override {}

  int submitted = 0;
  int withdrawn = 0;
  int firstTokens = 0;
  std::vector<AttemptOutcome> outcomes;
};

/// Holds the callback of each claim operation until the test replies.
class FakeClaimStorage : public claims::ClaimStorage
{
public:
  void Claim(const claims::ClaimKey&, std::uint64_t, const core::RequestId&,
             Callback aCallback) override
  {
    Hold("claim", std::move(aCallback));
  }
  void Dispatch(const claims::ClaimKey&, const core::RequestId&, std::uint64_t,
                const claims::ClaimTarget&, Callback aCallback) override
  {
    Hold("dispatch", std::move(aCallback));
  }
  void Release(const claims::ClaimKey&, const core::RequestId&, std::uint64_t,
               Callback aCallback) override
  {
    Hold("release", std::move(aCallback));
  }
  void Complete(const claims::ClaimKey&, const core::RequestId&, std::uint64_t,
                const claims::ClaimOutcome& aOutcome, Callback aCallback) override
  {
    outcome = aOutcome;
    Hold("complete", std::move(aCallback));
  }
  void LookUp(const claims::ClaimKey&, Callback aCallback) override
  {
    Hold("look", std::move(aCallback));
  }

  void Reply(ClaimVerdict aVerdict, const claims::ClaimRecord& aRecord = {})
  {
    const Callback done = std::move(mPending);
    done(ClaimReply{ .verdict = aVerdict, .record = aRecord });
  }
  void Fail(core::ErrorKind aKind)
  {
    const Callback done = std::move(mPending);
    done(core::Result<ClaimReply>(core::Error{ .kind = aKind, .message = "no majority" }));
  }

  std::string last;
  std::optional<claims::ClaimOutcome> outcome;

private:
  void Hold(const char* aOperation, Callback aCallback)
  {
    last = aOperation;
    mPending = std::move(aCallback);
  }

  Callback mPending;
};

class FakeObserver : public ExchangeObserver
{
public:
  void OnEnded(const IncomingRequest&, const ExchangeSummary& aSummary) override
  {
    ++ended;
    last = aSummary;
  }

  int ended = 0;
  ExchangeSummary last;
};

constexpr connection::upstream::UpstreamFailure FailureAfterSending()
{
  return { .mayHaveRun = true, .error = {} };
}

} // namespace

TEST_GROUP(Exchange)
{
  test_framework::time::ManualTimerService timers;
  FakeScheduler scheduler;
  FakeClaimStorage claimStorage;
  FakeTransport transport;
  FakeObserver observer;
  std::shared_ptr<FakeCaller> caller = std::make_shared<FakeCaller>();
  std::unique_ptr<Exchange> exchange;

  void StartRequest(bool aHasKey, bool aStream = false)
  {
    IncomingRequest request;
    request.spec.id = core::RequestId("r1");
    request.spec.arrival = timers.Now();
    request.raw.method = "POST";
    request.raw.target = "/x";
    request.engine = aStream;
    request.stream = aStream;
    if (aHasKey) {
      request.claim = claims::ClaimKey{ .home = core::DataCentreId("a"),
                                        .workspace = core::WorkspaceId("w"),
                                        .key = core::IdempotencyKey("k") };
    }
    exchange = std::make_unique<Exchange>(Exchange::Options{ .host = core::HostId("h"),
                                                             .timers = timers,
                                                             .scheduler = scheduler,
                                                             .claims = claimStorage,
                                                             .transport = transport,
                                                             .observer = observer,
                                                             .caller = caller,
                                                             .request = std::move(request),
                                                             .onFinished = [] {} });
    exchange->Start();
  }

  void Dispatch()
  {
    exchange->Dispatch(
      { .id = core::UpstreamId("u"), .address = "127.0.0.1", .port = 1, .supportsResume = true });
  }

  void StartCallWithKey(bool aStream = false)
  {
    StartRequest(true, aStream);
    claimStorage.Reply(ClaimVerdict::Granted);
    Dispatch();
    claimStorage.Reply(ClaimVerdict::Granted);
  }

  static connection::HttpHeaders EventStreamHeaders()
  {
    return { { .name = "Content-Type", .value = "text/event-stream" } };
  }

  void teardown() override
  {
    exchange.reset();
  }
};

TEST(Exchange, ForwardsTheCompleteResponse)
{
  StartRequest(false);
  LONGS_EQUAL(1, scheduler.submitted);
  Dispatch();
  transport.listener->OnHead(200, {});
  transport.listener->OnBody("abc");
  transport.listener->OnEnd();
  STRCMP_EQUAL("abc", caller->body.c_str());
  CHECK(caller->ended);
  CHECK(scheduler.outcomes == std::vector{ AttemptOutcome::Succeeded });
  LONGS_EQUAL(1, observer.ended);
}

TEST(Exchange, ForwardsTheFirstEventBeforeTheUpstreamHasFinished)
{
  StartRequest(false, true);
  Dispatch();
  transport.listener->OnHead(200, EventStreamHeaders());
  transport.listener->OnBody("id: 0\ndata: a\n\n");
  STRCMP_EQUAL("id: 0\ndata: a\n\n", caller->body.c_str());
  CHECK(!caller->ended);
}

TEST(Exchange, DiscardsTheBodyOfAFailedResponse)
{
  StartRequest(false);
  Dispatch();
  transport.listener->OnHead(500, {});
  LONGS_EQUAL(0, transport.liveCalls);
  CHECK(caller->HasOutcome("unknown"));
  LONGS_EQUAL(1, observer.ended);
}

TEST(Exchange, DiscardsTheBodyOfARejectionAndReschedulesTheRequest)
{
  StartRequest(false);
  Dispatch();
  transport.listener->OnHead(503, { { .name = "X-Outcome", .value = "not-run" } });
  LONGS_EQUAL(0, transport.liveCalls);
  CHECK(scheduler.outcomes == std::vector{ AttemptOutcome::Refused });
  Dispatch();
  LONGS_EQUAL(2, transport.startedCalls);
}

TEST(Exchange, ConnectionLostAfterSendingIsUnknownAndNeverResent)
{
  StartRequest(false);
  Dispatch();
  transport.listener->OnFailed(FailureAfterSending());
  CHECK(caller->HasOutcome("unknown"));
  LONGS_EQUAL(1, transport.startedCalls);
  CHECK(scheduler.outcomes == std::vector{ AttemptOutcome::Failed });
}

TEST(Exchange, FailedConnectBeforeSendingIsRescheduled)
{
  StartRequest(false);
  Dispatch();
  transport.listener->OnFailed({ .mayHaveRun = false, .error = {} });
  CHECK(scheduler.outcomes == std::vector{ AttemptOutcome::Refused });
  exchange->Shed(ShedReason::NoUpstream, std::chrono::seconds(1));
  CHECK(caller->HasOutcome("not-run"));
}

TEST(Exchange, NothingIsSentBeforeTheDispatchIsCommitted)
{
  StartRequest(true);
  LONGS_EQUAL(0, scheduler.submitted);
  claimStorage.Reply(ClaimVerdict::Granted);
  Dispatch();
  LONGS_EQUAL(0, transport.startedCalls);
  claimStorage.Reply(ClaimVerdict::Granted);
  LONGS_EQUAL(1, transport.startedCalls);
}

TEST(Exchange, NoDispatchWithoutACommit)
{
  StartRequest(true);
  claimStorage.Reply(ClaimVerdict::Granted);
  Dispatch();
  claimStorage.Fail(core::ErrorKind::Timeout);
  STRCMP_EQUAL("release", claimStorage.last.c_str());
  claimStorage.Reply(ClaimVerdict::Granted);
  LONGS_EQUAL(0, transport.startedCalls);
  CHECK(caller->HasOutcome("not-run"));
}

TEST(Exchange, UnreachableClaimsAreUnknownSinceAnEarlierArrivalMayHaveRun)
{
  StartRequest(true);
  claimStorage.Fail(core::ErrorKind::Unavailable);
  CHECK(caller->HasOutcome("unknown"));
}

TEST(Exchange, ShedRequestWithAKeyIsNotRunOnlyOnceReleased)
{
  StartRequest(true);
  claimStorage.Reply(ClaimVerdict::Granted);
  exchange->Shed(ShedReason::Overload, std::chrono::seconds(1));
  CHECK(!caller->ended);
  claimStorage.Reply(ClaimVerdict::Held);
  CHECK(caller->HasOutcome("unknown"));
}

TEST(Exchange, SecondArrivalGetsTheStoredOutcome)
{
  StartRequest(true);
  claimStorage.Reply(
    ClaimVerdict::Held,
    { .state = ClaimState::Done, .outcome = { .status = 201, .body = "done", .complete = true } });
  LONGS_EQUAL(201, caller->status);
  STRCMP_EQUAL("done", caller->body.c_str());
  LONGS_EQUAL(0, scheduler.submitted);
}

TEST(Exchange, SecondArrivalWithoutAStoredOutcomeIsUnknown)
{
  StartRequest(true);
  claimStorage.Reply(ClaimVerdict::Held, { .state = ClaimState::Dispatched });
  // The caller must get the outcome within 3 s, before it gives up.
  for (int n = 0; n < 30 && !caller->ended; ++n) {
    timers.Advance(std::chrono::milliseconds(100));
    if (!caller->ended) {
      claimStorage.Reply(ClaimVerdict::Held, { .state = ClaimState::Dispatched });
    }
  }
  CHECK(caller->HasOutcome("unknown"));
  LONGS_EQUAL(0, transport.startedCalls);
}

TEST(Exchange, UnknownOutcomeOfAPlainCallIsStoredForRetries)
{
  StartCallWithKey();
  transport.listener->OnFailed(FailureAfterSending());
  CHECK(caller->HasOutcome("unknown"));
  CHECK(claimStorage.outcome.has_value());
  LONGS_EQUAL(502, claimStorage.outcome->status);
  STRCMP_EQUAL(caller->body.c_str(), claimStorage.outcome->body.c_str());
}

TEST(Exchange, UnknownOutcomeOfAStreamIsNotStoredSinceItMayBeResumed)
{
  StartCallWithKey(true);
  transport.listener->OnHead(500, {});
  CHECK(caller->HasOutcome("unknown"));
  CHECK(!claimStorage.outcome.has_value());
}

TEST(Exchange, InterruptedStreamIsResumedAfterTheLastCompleteEvent)
{
  StartCallWithKey(true);
  transport.listener->OnHead(200, EventStreamHeaders());
  transport.listener->OnBody("id: 0\ndata: a\n\nid: 1\nda");
  transport.listener->OnFailed(FailureAfterSending());
  timers.Advance(std::chrono::seconds(1));
  STRCMP_EQUAL("/v1/requests/r1/stream?offset=1", transport.lastRequest.target.c_str());
  transport.listener->OnHead(200, EventStreamHeaders());
  transport.listener->OnBody("id: 1\ndata: b\n\ndata: [DONE]\n\n");
  transport.listener->OnEnd();
  STRCMP_EQUAL("id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n", caller->body.c_str());
  CHECK(caller->ended);
  LONGS_EQUAL(1, scheduler.firstTokens);
}

/// Guards against a second copy of a cut stream that is taken for its continuation: both answers
/// have the same id, and the first one's connection may be in use again.
TEST(Exchange, StreamIsResumedOnAFreshConnection)
{
  StartCallWithKey(true);
  transport.listener->OnHead(200, EventStreamHeaders());
  transport.listener->OnBody("id: 0\ndata: a\n\nid: 1\nda");
  transport.listener->OnEnd();
  timers.Advance(std::chrono::seconds(1));
  LONGS_EQUAL(2, transport.startedCalls);
  CHECK(transport.lastRequest.freshConnection);
}

/// Guards against an error's text, another stream or an early end after events of a stream.
TEST(Exchange, ResponseThatDoesNotContinueTheStreamIsNotForwarded)
{
  const connection::HttpHeaders json{ { .name = "Content-Type", .value = "application/json" } };
  const std::vector<std::pair<connection::HttpHeaders, const char*>> responses{
    { json, "{\"error\":1}" },
    { {}, "<html>\n\n</html>\n\n" },
    { EventStreamHeaders(), "Internal error\n\n" },
    { EventStreamHeaders(), "HTTP/1.1 500 X\r\n\r\nerror\n\n" },
    { EventStreamHeaders(), "id: 0\ndata: a\n\n" },
    { EventStreamHeaders(), "id: 2\ndata: c\n\n" },
    { EventStreamHeaders(), "event: error\ndata: overload\n\n" },
  };
  for (const auto& [headers, body] : responses) {
    caller = std::make_shared<FakeCaller>();
    StartCallWithKey(true);
    transport.listener->OnHead(200, EventStreamHeaders());
    transport.listener->OnBody("id: 0\ndata: a\n\nid: 1\nda");
    transport.listener->OnFailed(FailureAfterSending());
    for (int n = 0; n < 10 && !caller->aborted; ++n) {
      timers.Advance(std::chrono::seconds(1));
      transport.listener->OnHead(200, headers);
      if (transport.liveCalls > 0) {
        transport.listener->OnBody(body);
      }
      if (transport.liveCalls > 0) {
        transport.listener->OnEnd();
      }
    }
    STRCMP_EQUAL_TEXT("id: 0\ndata: a\n\n", caller->body.c_str(), body);
    CHECK_TEXT(caller->aborted, body);
    CHECK_FALSE_TEXT(caller->ended, body);
    LONGS_EQUAL_TEXT(0, transport.liveCalls, body);
  }
}

TEST(Exchange, DisconnectOfTheCallerCancelsACallWithoutAKey)
{
  StartRequest(false, true);
  Dispatch();
  caller->onDisconnected();
  LONGS_EQUAL(0, transport.liveCalls);
  STRCMP_EQUAL("DELETE /v1/requests/r1", transport.lastNotification.c_str());
  CHECK(scheduler.outcomes == std::vector{ AttemptOutcome::Cancelled });
}

TEST(Exchange, CallWithAKeyContinuesWithoutItsCallerAndStoresTheOutcome)
{
  StartCallWithKey();
  caller->onDisconnected();
  LONGS_EQUAL(1, transport.liveCalls);
  transport.listener->OnHead(200, {});
  transport.listener->OnBody("paid");
  transport.listener->OnEnd();
  CHECK(claimStorage.outcome.has_value());
  STRCMP_EQUAL("paid", claimStorage.outcome->body.c_str());
}
