#include "cuminfield/request/exchange/ExchangeTable.h"
#include "TestFramework/time/ManualTimerService.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::exchange;

namespace {

class NullClaimStorage : public claims::ClaimStorage
{
public:
  void Claim(const claims::ClaimKey&, std::uint64_t, const core::RequestId&, Callback) override {}
  void Dispatch(const claims::ClaimKey&, const core::RequestId&, std::uint64_t,
                const claims::ClaimTarget&, Callback) override
  {
  }
  void Release(const claims::ClaimKey&, const core::RequestId&, std::uint64_t, Callback) override {}
  void Complete(const claims::ClaimKey&, const core::RequestId&, std::uint64_t,
                const claims::ClaimOutcome&, Callback) override
  {
  }
  void LookUp(const claims::ClaimKey&, Callback) override {}
};

class NullTransport : public connection::upstream::UpstreamTransport
{
public:
  std::unique_ptr<connection::upstream::UpstreamCall> Start(
    const std::string&, std::uint16_t, connection::upstream::UpstreamRequest,
    connection::upstream::UpstreamCallListener&) override
  {
    return nullptr;
  }
  void Notify(const std::string&, std::uint16_t, connection::upstream::UpstreamRequest) override {}
};

class NullObserver : public ExchangeObserver
{
public:
  void OnEnded(const IncomingRequest&, const ExchangeSummary&) override {}
};

class FakeCaller : public connection::caller::CallerChannel
{
public:
  void SendHead(int, const connection::HttpHeaders&) override {}
  void SendBody(std::string_view) override {}
  void End() override {}
  void Abort() override {}
  void SendResponse(int aStatus, const connection::HttpHeaders&, std::string_view aBody) override
  {
    status = aStatus;
    body = aBody;
  }

  int status = 0;
  std::string body;
};

} // namespace

TEST_GROUP(ExchangeTable)
{
  test_framework::time::ManualTimerService timers;
  NullClaimStorage claimStorage;
  NullTransport transport;
  NullObserver observer;
  std::shared_ptr<const version::document::DocumentIndex> document;
  ExchangeTable table{ { .host = core::HostId("h"),
                         .timers = timers,
                         .claims = claimStorage,
                         .transport = transport,
                         .observer = observer,
                         .document = [this] { return document; } } };

  void CheckOutcome(const char* aOutcome, const connection::HttpHeaders& aHeaders)
  {
    const auto caller = std::make_shared<FakeCaller>();
    table.OnRequest(
      { .method = "POST", .target = "/x", .path = "/x", .headers = aHeaders, .body = {} }, caller);
    STRCMP_CONTAINS((std::string("\"outcome\":\"") + aOutcome + "\"").c_str(),
                    caller->body.c_str());
  }
};

TEST(ExchangeTable, RejectionWithoutAKeyIsNotRun)
{
  CheckOutcome("not-run", {});
}

TEST(ExchangeTable, RejectionWithAKeyIsUnknownSinceAnEarlierArrivalMayHaveRun)
{
  CheckOutcome("unknown", { { .name = "Idempotency-Key", .value = "k" } });
}

TEST(ExchangeTable, RejectionWithAKeyWhileStoppingIsUnknown)
{
  table.BeginShutdown();
  CheckOutcome("unknown", { { .name = "idempotency-key", .value = "k" } });
}

TEST(ExchangeTable, RejectionOfAnInvalidRequestWithAKeyIsUnknown)
{
  document = std::make_shared<const version::document::DocumentIndex>(version::document::Document{},
                                                                      core::Revision(1));
  CheckOutcome("unknown", { { .name = "Idempotency-Key", .value = "k" } });
}
