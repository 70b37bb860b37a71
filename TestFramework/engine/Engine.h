#pragma once

#include "TestFramework/engine/AnswerStream.h"
#include "TestFramework/engine/Batch.h"
#include "TestFramework/engine/PrefixCache.h"
#include "TestFramework/upstream/Upstream.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminfield::test_framework::engine {

/// Command line options of an engine, in addition to upstream::UpstreamOptions.
struct EngineOptions
{
  double speed = 1;                  ///< `--speed`: 2 doubles the speed.
  std::int64_t cacheTokens = 65'536; ///< `--cache-tokens`.
  std::int64_t reportLagMs = 200;    ///< `--report-lag`.
  double cacheEventLoss = 0.02;      ///< `--cache-event-loss`: probability per event.
  bool fences = false;               ///< `--fences`.
  std::size_t remembered = 20'000;   ///< `--remembered`: retained for resumed streams.
};

/// Stand-in for a model engine. Serves completions over HTTP as described in docs/Protocols.md.
class Engine : public upstream::Upstream
{
public:
  Engine(time::LoopTimerService& aTimers, upstream::UpstreamOptions aOptions,
         EngineOptions aEngineOptions);

protected:
  void Serve(const std::shared_ptr<http::Exchange>& aExchange) override;
  std::size_t Busy() const override { return mActive.size(); }
  nlohmann::json Report() override;

private:
  /// A request that is delayed by a fault, queued or running.
  struct Active
  {
    std::shared_ptr<AnswerStream> answer;
    std::vector<request::PrefixHash> prefix;
    std::int64_t tokens = 0;
    upstream::FaultPlan plan{};
    core::TimerHandle late{};
  };

  /// A load sample, reported after the configured delay.
  struct Lagging
  {
    core::Instant made;
    nlohmann::json load;
  };

  void Complete(const std::shared_ptr<http::Exchange>& aExchange);
  void Start(const std::shared_ptr<http::Exchange>& aExchange, const nlohmann::json& aBody,
             const upstream::FaultPlan& aFaults);
  void Enter(const std::shared_ptr<http::Exchange>& aExchange, const Batch::Job& aJob,
             bool aStream);
  void Resume(const std::shared_ptr<http::Exchange>& aExchange);
  void Cancel(http::Exchange& aExchange);
  void Order(http::Exchange& aExchange);
  void TransferCache(http::Exchange& aExchange);
  void Step();
  void StepDone();
  void Grow(const std::string& aId);
  void Finish(const std::string& aId, const std::string& aOutcome);
  void SampleLoad();
  nlohmann::json CacheEvents();

  EngineOptions mEngine;
  core::Random mRandom;
  PrefixCache mCache;
  Batch mBatch;
  bool mStepping = false;
  core::TimerHandle mStep;
  core::TimerHandle mSampler;
  std::map<std::string, Active> mActive;
  /// By request id; retained for resumed streams.
  std::map<std::string, std::shared_ptr<AnswerStream>> mAnswers;
  std::deque<std::string> mFinished; ///< Finished requests, oldest first.
  std::deque<Lagging> mLoads;
  std::uint64_t mLoadSequence = 0;
  std::uint64_t mCacheSequence = 0;
  std::uint64_t mFencing = 0;
  std::set<std::string> mVersions;
  std::string mLastId = "none"; ///< Used by swapped responses.
};

} // namespace cuminfield::test_framework::engine
