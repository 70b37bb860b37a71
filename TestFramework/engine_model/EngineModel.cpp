#include "TestFramework/engine_model/EngineModel.h"

#include <algorithm>

namespace cuminfield::test_framework::engine_model {

EngineModel::EngineModel(const request::UpstreamAnnouncement& aAnnouncement,
                         const EngineSettings& aSettings, core::TimerService& aTimers,
                         core::Random& aRandom, EngineListener& aListener)
  : mAnnouncement(aAnnouncement)
  , mSettings(aSettings)
  , mTimers(aTimers)
  , mRandom(aRandom)
  , mListener(aListener)
  , mCache(aSettings.cacheCapacity)
{
  mReportTimer = mTimers.ScheduleEvery(mSettings.reportInterval, [this] {
    SendReport();
    SendCacheEvent();
  });
}

void EngineModel::Start(EngineRequest aRequest)
{
  Sequence sequence;
  const core::Tokens cached = mCache.MatchPrefix(aRequest.prefixHashes);
  sequence.remainingPromptTokens = std::max(core::Tokens{ 0 }, aRequest.promptTokens - cached);
  sequence.request = std::move(aRequest);
  mWaitingSequences.push_back(std::move(sequence));
  AdmitWaitingSequences();
  ScheduleStep();
}

void EngineModel::Cancel(std::uint32_t aKey)
{
  const auto hasKey = [aKey](const Sequence& aSequence) { return aSequence.request.key == aKey; };
  std::erase_if(mBatch, hasKey);
  std::erase_if(mWaitingSequences, hasKey);
  AdmitWaitingSequences();
}

void EngineModel::AdmitWaitingSequences()
{
  while (!mWaitingSequences.empty() && mBatch.size() < mSettings.maxBatchSize) {
    mBatch.push_back(std::move(mWaitingSequences.front()));
    mWaitingSequences.pop_front();
  }
}

void EngineModel::ScheduleStep()
{
  if (mStepping || mBatch.empty()) {
    return;
  }
  mStepping = true;
  const core::Tokens prefill = RunPrefill();
  std::int64_t decoding = 0;
  for (const Sequence& it : mBatch) {
    decoding += it.generatedTokens.value > 0 ? 1 : 0;
  }
  double durationMicros = static_cast<double>(mSettings.baseStepDuration.count());
  durationMicros += static_cast<double>(mSettings.stepDurationPerSequence.count() * decoding);
  durationMicros += static_cast<double>(prefill.value) * 1e6 / mSettings.prefillTokensPerSecond;
  const auto duration = core::Duration(static_cast<std::int64_t>(durationMicros * mSlowdownFactor));
  mStepTimer = mTimers.ScheduleAfter(duration, [this] { FinishStep(); });
}

core::Tokens EngineModel::RunPrefill()
{
  core::Tokens budget = mSettings.maxPrefillTokensPerStep;
  for (Sequence& it : mBatch) {
    if (it.generatedTokens.value == 0) {
      PrefillSequence(it, budget);
    }
    if (budget.value == 0) {
      break;
    }
  }
  return mSettings.maxPrefillTokensPerStep - budget;
}

void EngineModel::PrefillSequence(Sequence& aSequence, core::Tokens& aBudget)
{
  if (!aSequence.cacheMatched) {
    aSequence.cacheMatched = true;
    const core::Tokens cached = mCache.MatchPrefix(aSequence.request.prefixHashes);
    aSequence.remainingPromptTokens =
      std::max(core::Tokens{ 0 }, aSequence.request.promptTokens - cached);
  }
  const core::Tokens computed = std::min(aBudget, aSequence.remainingPromptTokens);
  aSequence.remainingPromptTokens -= computed;
  aSequence.computedTokens += computed;
  aBudget -= computed;
  if (computed.value > 0) {
    mListener.OnPrefilled(aSequence.request.key, computed);
  }
}

void EngineModel::FinishStep()
{
  mStepping = false;
  DecodeTokens();
  AdmitWaitingSequences();
  ScheduleStep();
}

void EngineModel::DecodeTokens()
{
  // The listener may start or cancel requests in its callbacks, so the keys are collected first.
  struct SentToken
  {
    std::uint32_t key;
    bool first;
    bool last;
  };
  std::vector<SentToken> sentTokens;
  for (Sequence& it : mBatch) {
    if (!it.cacheMatched || it.remainingPromptTokens.value > 0) {
      continue;
    }
    const bool first = it.generatedTokens.value == 0;
    if (first) {
      mCache.Store(it.request.prefixHashes, mStoredBlocks, mRemovedBlocks);
    }
    it.generatedTokens += core::Tokens{ 1 };
    sentTokens.push_back({ it.request.key, first, it.generatedTokens >= it.request.outputTokens });
  }
  std::erase_if(
    mBatch, [](const Sequence& aIt) { return aIt.generatedTokens >= aIt.request.outputTokens; });
  for (const SentToken& it : sentTokens) {
    mListener.OnToken(it.key, it.first);
    if (it.last) {
      mListener.OnFinished(it.key);
    }
  }
}

core::Tokens EngineModel::QueuedPrefillTokens() const
{
  core::Tokens sum{ 0 };
  for (const Sequence& it : mBatch) {
    sum += it.remainingPromptTokens;
  }
  for (const Sequence& it : mWaitingSequences) {
    sum += it.remainingPromptTokens;
  }
  return sum;
}

void EngineModel::SendReport()
{
  request::LoadReport report;
  report.id = mAnnouncement.id;
  report.incarnation = mAnnouncement.incarnation;
  report.sequence = ++mReportSequence;
  report.age = mSettings.reportDelay;
  report.running = static_cast<std::uint32_t>(mBatch.size());
  report.waiting = static_cast<std::uint32_t>(mWaitingSequences.size());
  report.queuedPrefillTokens = QueuedPrefillTokens();
  mDeliveryTimers.push_back(
    mTimers.ScheduleAfter(mSettings.reportDelay, [this, report] { mListener.OnReport(report); }));
  while (!mDeliveryTimers.empty() && !mDeliveryTimers.front().IsActive()) {
    mDeliveryTimers.pop_front();
  }
}

void EngineModel::SendCacheEvent()
{
  request::CacheEvent event;
  event.id = mAnnouncement.id;
  event.incarnation = mAnnouncement.incarnation;
  event.sequence = ++mCacheEventSequence;
  event.stored.swap(mStoredBlocks);
  event.removed.swap(mRemovedBlocks);
  if (mRandom.Chance(mSettings.eventLossRatio)) {
    return;
  }
  mDeliveryTimers.push_back(
    mTimers.ScheduleAfter(mSettings.reportDelay, [this, event] { mListener.OnCacheEvent(event); }));
}

} // namespace cuminfield::test_framework::engine_model
