#include "TestFramework/plain/PlainService.h"

#include "TestFramework/plain/PlainAnswer.h"

#include <utility>

namespace cuminfield::test_framework::plain {

PlainService::PlainService(time::LoopTimerService& aTimers, upstream::UpstreamOptions aOptions,
                           core::Duration aLatency)
  : Upstream(aTimers, std::move(aOptions))
  , mLatency(aLatency)
{
}

void PlainService::Serve(const std::shared_ptr<http::Exchange>& aExchange)
{
  const auto faults = mFaults.Draw(aExchange->Path(), mRunning.size());
  if (faults.refuse) {
    Refuse(*aExchange);
    return;
  }
  const std::string id = IdOf(*aExchange);
  RecordBegin(*aExchange, id, {});
  const double latencyMicros = static_cast<double>(Scaled(mLatency).count()) * faults.slow;
  const core::Duration latency(static_cast<std::int64_t>(latencyMicros));
  const std::uint64_t number = mNext++;
  Running& call = mRunning[number];
  call = { .id = id, .exchange = aExchange, .plan = faults };
  call.end = mTimers.ScheduleAfter(latency + faults.lateBy, [this, number] { Finish(number); });
}

void PlainService::Finish(std::uint64_t aNumber)
{
  const Running call = std::move(mRunning.at(aNumber));
  mRunning.erase(aNumber);
  Answer(call);
  mLastId = call.id;
}

void PlainService::Answer(const Running& aCall)
{
  http::Exchange& exchange = *aCall.exchange;
  if (aCall.plan.stall) {
    RecordEnd(aCall.id, "stalled");
    mStalled.push_back(aCall.exchange);
    return;
  }
  if (aCall.plan.fail) {
    RecordEnd(aCall.id, "failed");
    exchange.Reply(500, R"({"detail":"failed"})");
    return;
  }
  RecordEnd(aCall.id, "done");
  if (aCall.plan.close) {
    exchange.Break();
    return;
  }
  std::string body = exchange.Body();
  if (aCall.plan.crossed) {
    exchange.SetHeader("X-Request-Id", mLastId);
    body = "crossed " + body;
  }
  exchange.Reply(200, PlainAnswer(exchange.Method(), exchange.Target(), body));
}

nlohmann::json PlainService::Report()
{
  return { { "load",
             { { "sequence", ++mLoadSequence },
               { "age_ms", 0 },
               { "running", mRunning.size() },
               { "waiting", 0 },
               { "queued_prefill", 0 } } },
           { "cache", nlohmann::json::array() } };
}

} // namespace cuminfield::test_framework::plain
