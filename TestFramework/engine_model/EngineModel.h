#pragma once

#include "TestFramework/engine_model/EngineSettings.h"
#include "TestFramework/engine_model/PrefixCache.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Upstream.h"

#include <deque>
#include <vector>

namespace cuminfield::test_framework::engine_model {

/// One request as an engine sees it: no tier, no deadline.
struct EngineRequest
{
  std::uint32_t key = 0;                   ///< The caller's name for it.
  core::Tokens prompt{ 0 };                ///< Length of the prompt.
  core::Tokens answer{ 1 };                ///< Tokens it will answer; at least one.
  std::vector<request::PrefixHash> prefix; ///< Blocks of the prompt.
};

/// Receives what an engine sends.
class EngineListener
{
public:
  virtual ~EngineListener() = default;
  virtual void OnToken(std::uint32_t aKey, bool aFirst) = 0;
  virtual void OnFinished(std::uint32_t aKey) = 0;
  virtual void OnReport(const request::LoadReport& aReport) = 0;
  virtual void OnCacheEvent(const request::CacheEvent& aEvent) = 0;

  /// Prompt tokens that were computed for a request, cached ones left out.
  virtual void OnPrefilled(std::uint32_t aKey, core::Tokens aComputed) = 0;
};

/// A continuously batching engine in virtual time: each step decodes one token of every running
/// sequence and prefills one chunk, first come first served. Knows no priorities and admits as
/// requests come; reports its load late, and cache events late and with gaps.
class EngineModel
{
public:
  EngineModel(const request::UpstreamAnnouncement& aAnnouncement, const EngineSettings& aSettings,
              core::TimerService& aTimers, core::Random& aRandom, EngineListener& aListener);

  /// Takes a request in.
  void Start(EngineRequest aRequest);

  /// Drops a request wherever it stands.
  void Cancel(std::uint32_t aKey);

  /// Makes every step take aFactor times as long: a straggler.
  void SetSlowdown(double aFactor) { mSlowdown = aFactor; }

  /// What it announces.
  const request::UpstreamAnnouncement& Announcement() const { return mAnnouncement; }

  const EngineSettings& Settings() const { return mSettings; }

private:
  struct Sequence
  {
    EngineRequest request;
    core::Tokens computed{ 0 };  ///< Prompt tokens computed so far.
    core::Tokens remaining{ 0 }; ///< Prompt tokens left to compute.
    core::Tokens answered{ 0 };  ///< Tokens sent so far.
    bool matched = false; ///< The prefix cache has been asked again when its turn came.
  };

  void Arm();
  void Step();
  core::Tokens PrefillChunk();
  void Prefill(Sequence& aSequence, core::Tokens& aBudget);
  void Decode();
  void Admit();
  void SendReport();
  void SendCacheEvent();
  core::Tokens QueuedPrefill() const;

  request::UpstreamAnnouncement mAnnouncement;
  EngineSettings mSettings;
  core::TimerService& mTimers;
  core::Random& mRandom;
  EngineListener& mListener;
  PrefixCache mCache;
  std::vector<Sequence> mBatch;  ///< In order of admission.
  std::deque<Sequence> mWaiting; ///< Beyond maxBatch.
  double mSlowdown = 1;
  bool mStepping = false;
  std::uint64_t mReportSequence = 0;
  std::uint64_t mEventSequence = 0;
  std::vector<request::PrefixHash> mStored;  ///< Since the last cache event.
  std::vector<request::PrefixHash> mRemoved; ///< Since the last cache event.
  core::TimerHandle mStepTimer;
  core::TimerHandle mReportTimer;
  std::deque<core::TimerHandle> mLate; ///< Reports and events on their way.
};

} // namespace cuminfield::test_framework::engine_model
