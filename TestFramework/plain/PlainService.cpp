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
  const auto plan = mFaults.Draw(aExchange->Path(), mRunning.size());
  if (plan.refuse) {
    Refuse(*aExchange);
    return;
  }
  const std::string id = IdOf(*aExchange);
  RecordBegin(*aExchange, id, {});
  const double slowed = static_cast<double>(Scaled(mLatency).count()) * plan.slow;
  const core::Duration latency(static_cast<std::int64_t>(slowed));
  const std::uint64_t number = mNext++;
  Running& running = mRunning[number];
  running = { .id = id, .exchange = aExchange, .plan = plan };
  running.end = mTimers.After(latency + plan.lateBy, [this, number] { Finish(number); });
}

void PlainService::Finish(std::uint64_t aNumber)
{
  const Running running = std::move(mRunning.at(aNumber));
  mRunning.erase(aNumber);
  Answer(running);
  mLastId = running.id;
}

void PlainService::Answer(const Running& aRunning)
{
  http::Exchange& exchange = *aRunning.exchange;
  if (aRunning.plan.stall) {
    RecordEnd(aRunning.id, "stalled");
    mStalled.push_back(aRunning.exchange);
    return;
  }
  if (aRunning.plan.fail) {
    RecordEnd(aRunning.id, "failed");
    exchange.Reply(500, R"({"detail":"failed"})");
    return;
  }
  RecordEnd(aRunning.id, "done");
  if (aRunning.plan.close) {
    exchange.Break();
    return;
  }
  std::string body = exchange.Body();
  if (aRunning.plan.crossed) {
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
