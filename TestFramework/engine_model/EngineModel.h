#pragma once

#include "TestFramework/engine_model/EngineSettings.h"
#include "TestFramework/engine_model/PrefixCache.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Upstream.h"

#include <deque>
#include <vector>

namespace cuminfield::test_framework::engine_model {

/// A request as an engine receives it, without tier and deadline.
struct EngineRequest
{
  std::uint32_t key = 0; ///< Identifies the request to the listener.
  core::Tokens promptTokens{ 0 };
  core::Tokens outputTokens{ 1 }; ///< At least one.
  std::vector<request::PrefixHash> prefixHashes;
};

/// Receives the events of an EngineModel.
class EngineListener
{
public:
  virtual ~EngineListener() = default;
  virtual void OnToken(std::uint32_t aKey, bool aFirst) = 0;
  virtual void OnFinished(std::uint32_t aKey) = 0;
  virtual void OnReport(const request::LoadReport& aReport) = 0;
  virtual void OnCacheEvent(const request::CacheEvent& aEvent) = 0;

  /// aComputed prompt tokens were computed for a request. Cached tokens do not count.
  virtual void OnPrefilled(std::uint32_t aKey, core::Tokens aComputed) = 0;
};

/// Model of an engine with continuous batching, in virtual time. Each step decodes one token of
/// every running sequence and computes one chunk of prefill. Requests are admitted in FIFO order,
/// without priorities. Load reports and cache events are delayed, and some cache events are lost.
class EngineModel
{
public:
  EngineModel(const request::UpstreamAnnouncement& aAnnouncement, const EngineSettings& aSettings,
              core::TimerService& aTimers, core::Random& aRandom, EngineListener& aListener);

  /// Adds a request to the queue.
  void Start(EngineRequest aRequest);

  /// Removes a queued or running request.
  void Cancel(std::uint32_t aKey);

  /// Multiplies the duration of every step by aFactor, to simulate a straggler.
  void SetSlowdown(double aFactor) { mSlowdownFactor = aFactor; }

  const request::UpstreamAnnouncement& Announcement() const { return mAnnouncement; }

  const EngineSettings& Settings() const { return mSettings; }

private:
  struct Sequence
  {
    EngineRequest request;
    core::Tokens computedTokens{ 0 };
    core::Tokens remainingPromptTokens{ 0 }; ///< Prompt tokens not yet computed.
    core::Tokens generatedTokens{ 0 };
    bool cacheMatched = false; ///< The prefix was matched again at the start of prefill.
  };

  void ScheduleStep();
  void FinishStep();
  core::Tokens RunPrefill();
  void PrefillSequence(Sequence& aSequence, core::Tokens& aBudget);
  void DecodeTokens();
  void AdmitWaitingSequences();
  void SendReport();
  void SendCacheEvent();
  core::Tokens QueuedPrefillTokens() const;

  request::UpstreamAnnouncement mAnnouncement;
  EngineSettings mSettings;
  core::TimerService& mTimers;
  core::Random& mRandom;
  EngineListener& mListener;
  PrefixCache mCache;
  std::vector<Sequence> mBatch;           ///< In order of admission.
  std::deque<Sequence> mWaitingSequences; ///< Requests beyond maxBatchSize, in FIFO order.
  double mSlowdownFactor = 1;
  bool mStepping = false;
  std::uint64_t mReportSequence = 0;
  std::uint64_t mCacheEventSequence = 0;
  std::vector<request::PrefixHash> mStoredBlocks;  ///< Since the last cache event.
  std::vector<request::PrefixHash> mRemovedBlocks; ///< Since the last cache event.
  core::TimerHandle mStepTimer;
  core::TimerHandle mReportTimer;
  std::deque<core::TimerHandle> mDeliveryTimers; ///< Delayed reports and cache events.
};

} // namespace cuminfield::test_framework::engine_model
