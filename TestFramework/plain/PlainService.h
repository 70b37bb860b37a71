#pragma once

#include "TestFramework/upstream/Upstream.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace cuminfield::test_framework::plain {

/// Stand-in for a plain service such as payouts or stock lookups. Calls are not idempotent: each
/// received call counts as one run.
class PlainService : public upstream::Upstream
{
public:
  /// aLatency is the duration of a call before the time scale is applied.
  PlainService(time::LoopTimerService& aTimers, upstream::UpstreamOptions aOptions,
               core::Duration aLatency);

protected:
  void Serve(const std::shared_ptr<http::Exchange>& aExchange) override;
  std::size_t Busy() const override { return mRunning.size(); }
  nlohmann::json Report() override;

private:
  struct Running
  {
    std::string id;
    std::shared_ptr<http::Exchange> exchange;
    upstream::FaultPlan plan;
    core::TimerHandle end{};
  };

  void Finish(std::uint64_t aNumber);
  void Answer(const Running& aCall);

  core::Duration mLatency;
  std::uint64_t mNext = 0;
  std::map<std::uint64_t, Running> mRunning;
  std::vector<std::shared_ptr<http::Exchange>> mStalled; ///< Calls that get no response.
  std::string mLastId = "none";                          ///< Used by swapped responses.
  std::uint64_t mLoadSequence = 0;
};

} // namespace cuminfield::test_framework::plain
