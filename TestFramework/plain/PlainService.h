#pragma once

#include "TestFramework/upstream/StandInUpstream.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace cuminfield::test_framework::plain {

/// Stand-in for a plain service such as payouts or stock lookups. Calls are not idempotent: each
/// received call counts as one run.
class PlainService : public upstream::StandInUpstream
{
public:
  /// aLatency is the duration of a call before the time scale is applied.
  PlainService(time::LoopTimerService& aTimers, upstream::UpstreamOptions aOptions,
               core::Duration aLatency);

protected:
  void HandleCall(const std::shared_ptr<http::Exchange>& aExchange) override;
  std::size_t ActiveCount() const override { return mRunningCalls.size(); }
  nlohmann::json MakeReport() override;

private:
  struct RunningCall
  {
    std::string id;
    std::shared_ptr<http::Exchange> exchange;
    upstream::FaultPlan faults;
    core::TimerHandle endTimer{};
  };

  void FinishCall(std::uint64_t aNumber);
  void SendResponse(const RunningCall& aCall);

  core::Duration mLatency;
  std::uint64_t mNextCallNumber = 0;
  std::map<std::uint64_t, RunningCall> mRunningCalls;
  std::vector<std::shared_ptr<http::Exchange>> mStalledExchanges; ///< Calls that get no response.
  std::string mPreviousRequestId = "none";                        ///< Used by swapped responses.
  std::uint64_t mLoadSequence = 0;
};

} // namespace cuminfield::test_framework::plain
