#pragma once

#include "TestFramework/upstream/Upstream.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace cuminfield::test_framework::plain {

/// A stand-in for a plain service, such as payouts and stock lookups. Its calls are not
/// idempotent: each one that arrives is one run.
class PlainService : public upstream::Upstream
{
public:
  /// aLatency is how long a call takes, before the time scale.
  PlainService(time::LoopTimerService& aTimers, upstream::UpstreamOptions aOptions,
               core::Duration aLatency);

protected:
  void Serve(const std::shared_ptr<http::Exchange>& aExchange) override;
  std::size_t Busy() const override { return mRunning.size(); }
  nlohmann::json Report() override;

private:
  /// A call that runs.
  struct Running
  {
    std::string id;
    std::shared_ptr<http::Exchange> exchange;
    upstream::FaultPlan plan;
    core::TimerHandle end{};
  };

  void Finish(std::uint64_t aNumber);
  void Answer(const Running& aRunning);

  core::Duration mLatency;
  std::uint64_t mNext = 0;
  std::map<std::uint64_t, Running> mRunning;
  std::vector<std::shared_ptr<http::Exchange>> mStalled; ///< Never answered.
  std::string mLastId = "none"; ///< The request before, for crossed answers.
  std::uint64_t mLoadSequence = 0;
};

} // namespace cuminfield::test_framework::plain
