#include "TestFramework/caller/Load.h"

#include <utility>

namespace cuminfield::test_framework::caller {

Load::Load(core::TimerService& aTimers, http::Client& aClient, CallOptions aCallOptions,
           LoadOptions aOptions, Mix aMix, OutcomeLog& aOutcomeLog,
           std::function<void()> aDoneCallback)
  : mTimers(aTimers)
  , mClient(aClient)
  , mCalls(std::move(aCallOptions))
  , mLoad(aOptions)
  , mMix(std::move(aMix))
  , mLog(aOutcomeLog)
  , mDone(std::move(aDoneCallback))
  , mRandom(aOptions.seed + 2)
{
}

void Load::Start()
{
  if (mLoad.time > core::Duration::zero()) {
    mEnd = mTimers.ScheduleAfter(mLoad.time, [this] { Stop(); });
  }
  if (mLoad.rate > 0) {
    StartNextByRate();
    return;
  }
  for (std::size_t i = 0; i < mLoad.concurrency && MayStart(); ++i) {
    StartOne();
  }
}

void Load::Stop()
{
  mStopped = true;
  mNext.Cancel();
  CheckDone();
}

bool Load::MayStart() const
{
  const bool countReached = mLoad.count > 0 && mStarted >= mLoad.count;
  return !mStopped && !countReached && mActive.size() < mLoad.concurrency;
}

void Load::StartOne()
{
  const std::uint64_t number = mStarted++;
  auto end = [this, number](const CallSpec& aSpec, const Outcome& aOutcome) {
    Ended(number, aSpec, aOutcome);
  };
  auto call = std::make_shared<Call>(mTimers, mClient, mCalls, mMix.Next(mTimers.WallNow()),
                                     mRandom.UniformBelow(mCalls.hosts.size()), std::move(end));
  mActive[number] = call;
  call->Start();
}

void Load::StartNextByRate()
{
  if (MayStart()) {
    StartOne();
  }
  const double delayMicros = mRandom.Exponential(1e6 / mLoad.rate);
  mNext = mTimers.ScheduleAfter(core::Duration(static_cast<std::int64_t>(delayMicros)),
                                [this] { StartNextByRate(); });
}

void Load::Ended(std::uint64_t aNumber, const CallSpec& aSpec, const Outcome& aOutcome)
{
  mLog.Add(aSpec, aOutcome, mTimers.WallNow());
  mEndedCalls.push_back(mActive.at(aNumber));
  mActive.erase(aNumber);
  mRelease = mTimers.ScheduleAfter(core::Duration::zero(), [this] { mEndedCalls.clear(); });
  if (mLoad.rate <= 0) {
    StartAfter(aOutcome.kind == "answered" ? core::Duration::zero() : mCalls.pause);
  }
  CheckDone();
}

void Load::StartAfter(core::Duration aDelay)
{
  const std::uint64_t number = mNextPause++;
  mPauses[number] = mTimers.ScheduleAfter(aDelay, [this, number] {
    mPauses.erase(number);
    if (MayStart()) {
      StartOne();
    }
  });
}

void Load::CheckDone()
{
  const bool countReached = mLoad.count > 0 && mStarted >= mLoad.count;
  if (!mReported && mActive.empty() && (mStopped || countReached)) {
    mReported = true;
    mDone();
  }
}

} // namespace cuminfield::test_framework::caller
