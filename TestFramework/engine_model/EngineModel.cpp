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
  mReportTimer = mTimers.ScheduleEvery(mSettings.reportPeriod, [this] {
    SendReport();
    SendCacheEvent();
  });
}

void EngineModel::Start(EngineRequest aRequest)
{
  Sequence sequence;
  const core::Tokens cached = mCache.Match(aRequest.prefix);
  sequence.remaining = std::max(core::Tokens{ 0 }, aRequest.prompt - cached);
  sequence.request = std::move(aRequest);
  mWaiting.push_back(std::move(sequence));
  Admit();
  Arm();
}

void EngineModel::Cancel(std::uint32_t aKey)
{
  const auto hasKey = [aKey](const Sequence& aSequence) { return aSequence.request.key == aKey; };
  std::erase_if(mBatch, hasKey);
  std::erase_if(mWaiting, hasKey);
  Admit();
}

void EngineModel::Admit()
{
  while (!mWaiting.empty() && mBatch.size() < mSettings.maxBatch) {
    mBatch.push_back(std::move(mWaiting.front()));
    mWaiting.pop_front();
  }
}

void EngineModel::Arm()
{
  if (mStepping || mBatch.empty()) {
    return;
  }
  mStepping = true;
  const core::Tokens prefill = PrefillChunk();
  std::int64_t decoding = 0;
  for (const Sequence& it : mBatch) {
    decoding += it.answered.value > 0 ? 1 : 0;
  }
  double durationMicros = static_cast<double>(mSettings.stepBase.count());
  durationMicros += static_cast<double>(mSettings.perSequence.count() * decoding);
  durationMicros += static_cast<double>(prefill.value) * 1e6 / mSettings.prefillPerSecond;
  const auto duration = core::Duration(static_cast<std::int64_t>(durationMicros * mSlowdown));
  mStepTimer = mTimers.ScheduleAfter(duration, [this] { Step(); });
}

core::Tokens EngineModel::PrefillChunk()
{
  core::Tokens budget = mSettings.chunk;
  for (Sequence& it : mBatch) {
    if (it.answered.value == 0) {
      Prefill(it, budget);
    }
    if (budget.value == 0) {
      break;
    }
  }
  return mSettings.chunk - budget;
}

void EngineModel::Prefill(Sequence& aSequence, core::Tokens& aBudget)
{
  if (!aSequence.matched) {
    aSequence.matched = true;
    const core::Tokens cached = mCache.Match(aSequence.request.prefix);
    aSequence.remaining = std::max(core::Tokens{ 0 }, aSequence.request.prompt - cached);
  }
  const core::Tokens computed = std::min(aBudget, aSequence.remaining);
  aSequence.remaining -= computed;
  aSequence.computed += computed;
  aBudget -= computed;
  if (computed.value > 0) {
    mListener.OnPrefilled(aSequence.request.key, computed);
  }
}

void EngineModel::Step()
{
  mStepping = false;
  Decode();
  Admit();
  Arm();
}

void EngineModel::Decode()
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
    if (!it.matched || it.remaining.value > 0) {
      continue;
    }
    const bool first = it.answered.value == 0;
    if (first) {
      mCache.Store(it.request.prefix, mStored, mRemoved);
    }
    it.answered += core::Tokens{ 1 };
    sentTokens.push_back({ it.request.key, first, it.answered >= it.request.answer });
  }
  std::erase_if(mBatch, [](const Sequence& aIt) { return aIt.answered >= aIt.request.answer; });
  for (const SentToken& it : sentTokens) {
    mListener.OnToken(it.key, it.first);
    if (it.last) {
      mListener.OnFinished(it.key);
    }
  }
}

core::Tokens EngineModel::QueuedPrefill() const
{
  core::Tokens sum{ 0 };
  for (const Sequence& it : mBatch) {
    sum += it.remaining;
  }
  for (const Sequence& it : mWaiting) {
    sum += it.remaining;
  }
  return sum;
}

void EngineModel::SendReport()
{
  request::LoadReport report;
  report.id = mAnnouncement.id;
  report.incarnation = mAnnouncement.incarnation;
  report.sequence = ++mReportSequence;
  report.age = mSettings.reportLag;
  report.running = static_cast<std::uint32_t>(mBatch.size());
  report.waiting = static_cast<std::uint32_t>(mWaiting.size());
  report.queuedPrefillTokens = QueuedPrefill();
  mLate.push_back(
    mTimers.ScheduleAfter(mSettings.reportLag, [this, report] { mListener.OnReport(report); }));
  while (!mLate.empty() && !mLate.front().IsActive()) {
    mLate.pop_front();
  }
}

void EngineModel::SendCacheEvent()
{
  request::CacheEvent event;
  event.id = mAnnouncement.id;
  event.incarnation = mAnnouncement.incarnation;
  event.sequence = ++mEventSequence;
  event.stored.swap(mStored);
  event.removed.swap(mRemoved);
  if (mRandom.Chance(mSettings.eventLoss)) {
    return;
  }
  mLate.push_back(
    mTimers.ScheduleAfter(mSettings.reportLag, [this, event] { mListener.OnCacheEvent(event); }));
}

} // namespace cuminfield::test_framework::engine_model
