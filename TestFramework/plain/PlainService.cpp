#include "TestFramework/plain/PlainService.h"

#include "TestFramework/plain/PlainResponse.h"

#include <utility>

namespace cuminfield::test_framework::plain {

PlainService::PlainService(time::LoopTimerService& aTimers, upstream::UpstreamOptions aOptions,
                           core::Duration aLatency)
  : StandInUpstream(aTimers, std::move(aOptions))
  , mLatency(aLatency)
{
}

void PlainService::HandleCall(const std::shared_ptr<http::Exchange>& aExchange)
{
  const auto faults = mFaultInjector.DrawPlan(aExchange->Path(), mRunningCalls.size());
  if (faults.reject) {
    RejectRequest(*aExchange);
    return;
  }
  const std::string id = GetRequestId(*aExchange);
  RecordBegin(*aExchange, id, {});
  const double latencyMicros =
    static_cast<double>(ScaleDuration(mLatency).count()) * faults.slowdown;
  const core::Duration latency(static_cast<std::int64_t>(latencyMicros));
  const std::uint64_t number = mNextCallNumber++;
  RunningCall& call = mRunningCalls[number];
  call = { .id = id, .exchange = aExchange, .faults = faults };
  call.endTimer =
    mTimers.ScheduleAfter(latency + faults.delay, [this, number] { FinishCall(number); });
}

void PlainService::FinishCall(std::uint64_t aNumber)
{
  const RunningCall call = std::move(mRunningCalls.at(aNumber));
  mRunningCalls.erase(aNumber);
  SendResponse(call);
  mPreviousRequestId = call.id;
}

void PlainService::SendResponse(const RunningCall& aCall)
{
  http::Exchange& exchange = *aCall.exchange;
  if (aCall.faults.stall) {
    RecordEnd(aCall.id, "stalled");
    mStalledExchanges.push_back(aCall.exchange);
    return;
  }
  if (aCall.faults.fail) {
    RecordEnd(aCall.id, "failed");
    exchange.Reply(500, R"({"detail":"failed"})");
    return;
  }
  RecordEnd(aCall.id, "done");
  if (aCall.faults.close) {
    exchange.CloseConnection();
    return;
  }
  std::string body = exchange.Body();
  if (aCall.faults.swapResponse) {
    exchange.SetHeader("X-Request-Id", mPreviousRequestId);
    body = "crossed " + body;
  }
  exchange.Reply(200, MakePlainResponse(exchange.Method(), exchange.Target(), body));
}

nlohmann::json PlainService::MakeReport()
{
  return { { "load",
             { { "sequence", ++mLoadSequence },
               { "age_ms", 0 },
               { "running", mRunningCalls.size() },
               { "waiting", 0 },
               { "queued_prefill", 0 } } },
           { "cache", nlohmann::json::array() } };
}

} // namespace cuminfield::test_framework::plain
