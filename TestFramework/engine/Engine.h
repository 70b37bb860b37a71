#pragma once

#include "TestFramework/engine/Batch.h"
#include "TestFramework/engine/CompletionStream.h"
#include "TestFramework/engine/PrefixCache.h"
#include "TestFramework/upstream/StandInUpstream.h"

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
  double speedFactor = 1;                      ///< `--speed`: 2 doubles the speed.
  std::int64_t cacheTokens = 65'536;           ///< `--cache-tokens`.
  std::int64_t reportDelayMs = 200;            ///< `--report-lag`.
  double cacheEventLossChance = 0.02;          ///< `--cache-event-loss`: probability per event.
  bool rejectsOldFencing = false;              ///< `--fences`.
  std::size_t maxFinishedCompletions = 20'000; ///< `--remembered`: retained for resumed streams.
};

/// Stand-in for a model engine. Serves completions over HTTP as described in docs/Protocols.md.
class Engine : public upstream::StandInUpstream
{
public:
  Engine(time::LoopTimerService& aTimers, upstream::UpstreamOptions aOptions,
         EngineOptions aEngineOptions);

protected:
  void HandleCall(const std::shared_ptr<http::Exchange>& aExchange) override;
  std::size_t ActiveCount() const override { return mActiveRequests.size(); }
  nlohmann::json MakeReport() override;

private:
  /// A request that is delayed by a fault, queued or running.
  struct ActiveRequest
  {
    std::shared_ptr<CompletionStream> completion;
    std::vector<request::PrefixHash> prefixHashes;
    std::int64_t outputTokens = 0;
    upstream::FaultPlan faults{};
    core::TimerHandle delayTimer{};
  };

  /// A load sample, reported after the configured delay.
  struct LoadSample
  {
    core::Instant sampledAt;
    nlohmann::json load;
  };

  void HandleCompletion(const std::shared_ptr<http::Exchange>& aExchange);
  void StartCompletion(const std::shared_ptr<http::Exchange>& aExchange,
                       const nlohmann::json& aBody, const upstream::FaultPlan& aFaults);
  void AddToBatch(const std::shared_ptr<http::Exchange>& aExchange, const Batch::Job& aJob,
                  bool aStream);
  void HandleResume(const std::shared_ptr<http::Exchange>& aExchange);
  void HandleCancel(http::Exchange& aExchange);
  void HandleControlRequest(http::Exchange& aExchange);
  void HandleCacheTransfer(http::Exchange& aExchange);
  void StartStep();
  void OnStepDone();
  void AddToken(const std::string& aId);
  void FinishRequest(const std::string& aId, const std::string& aOutcome);
  void SampleLoad();
  nlohmann::json MakeCacheEvents();

  EngineOptions mEngineOptions;
  core::Random mRandom;
  PrefixCache mCache;
  Batch mBatch;
  bool mStepping = false;
  core::TimerHandle mStepTimer;
  core::TimerHandle mSampleTimer;
  std::map<std::string, ActiveRequest> mActiveRequests;
  /// By request id; retained for resumed streams.
  std::map<std::string, std::shared_ptr<CompletionStream>> mCompletions;
  std::deque<std::string> mFinishedIds; ///< Finished requests, oldest first.
  std::deque<LoadSample> mLoadSamples;
  std::uint64_t mLoadSequence = 0;
  std::uint64_t mCacheSequence = 0;
  std::uint64_t mMaxFencingNumber = 0;
  std::set<std::string> mLoadedVersions;
  std::string mPreviousRequestId = "none"; ///< Used by swapped responses.
};

} // namespace cuminfield::test_framework::engine
