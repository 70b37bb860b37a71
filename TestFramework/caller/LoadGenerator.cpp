#include "TestFramework/caller/LoadGenerator.h"

#include <utility>

namespace cuminfield::test_framework::caller {

LoadGenerator::LoadGenerator(core::TimerService& aTimers, http::Client& aClient,
                             CallOptions aCallOptions, LoadOptions aOptions, Mix aMix,
                             OutcomeLog& aOutcomeLog, std::function<void()> aDoneCallback)
  : mTimers(aTimers)
  , mClient(aClient)
  , mCallOptions(std::move(aCallOptions))
  , mOptions(aOptions)
  , mMix(std::move(aMix))
  , mOutcomeLog(aOutcomeLog)
  , mDoneCallback(std::move(aDoneCallback))
  , mRandom(aOptions.seed + 2)
{
}

void LoadGenerator::Start()
{
  if (mOptions.duration > core::Duration::zero()) {
    mStopTimer = mTimers.ScheduleAfter(mOptions.duration, [this] { Stop(); });
  }
  if (mOptions.callsPerSecond > 0) {
    StartCallAtRate();
    return;
  }
  for (std::size_t i = 0; i < mOptions.maxConcurrency && CanStartCall(); ++i) {
    StartCall();
  }
}

void LoadGenerator::Stop()
{
  mStopped = true;
  mNextCallTimer.Cancel();
  ReportIfDone();
}

bool LoadGenerator::CanStartCall() const
{
  const bool countReached = mOptions.callCount > 0 && mStartedCalls >= mOptions.callCount;
  return !mStopped && !countReached && mActiveCalls.size() < mOptions.maxConcurrency;
}

void LoadGenerator::StartCall()
{
  const std::uint64_t number = mStartedCalls++;
  auto end = [this, number](const CallSpec& aSpec, const Outcome& aOutcome) {
    OnCallEnded(number, aSpec, aOutcome);
  };
  auto call =
    std::make_shared<Call>(mTimers, mClient, mCallOptions, mMix.Next(mTimers.WallNow()),
                           mRandom.UniformBelow(mCallOptions.hosts.size()), std::move(end));
  mActiveCalls[number] = call;
  call->Start();
}

void LoadGenerator::StartCallAtRate()
{
  if (CanStartCall()) {
    StartCall();
  }
  const double delayMicros = mRandom.Exponential(1e6 / mOptions.callsPerSecond);
  mNextCallTimer = mTimers.ScheduleAfter(core::Duration(static_cast<std::int64_t>(delayMicros)),
                                         [this] { StartCallAtRate(); });
}

void LoadGenerator::OnCallEnded(std::uint64_t aNumber, const CallSpec& aSpec,
                                const Outcome& aOutcome)
{
  mOutcomeLog.Add(aSpec, aOutcome, mTimers.WallNow());
  mEndedCalls.push_back(mActiveCalls.at(aNumber));
  mActiveCalls.erase(aNumber);
  mReleaseTimer = mTimers.ScheduleAfter(core::Duration::zero(), [this] { mEndedCalls.clear(); });
  if (mOptions.callsPerSecond <= 0) {
    ScheduleCall(aOutcome.kind == "answered" ? core::Duration::zero() : mCallOptions.retryDelay);
  }
  ReportIfDone();
}

void LoadGenerator::ScheduleCall(core::Duration aDelay)
{
  const std::uint64_t number = mNextDelayTimerId++;
  mDelayTimers[number] = mTimers.ScheduleAfter(aDelay, [this, number] {
    mDelayTimers.erase(number);
    if (CanStartCall()) {
      StartCall();
    }
  });
}

void LoadGenerator::ReportIfDone()
{
  const bool countReached = mOptions.callCount > 0 && mStartedCalls >= mOptions.callCount;
  if (!mDoneReported && mActiveCalls.empty() && (mStopped || countReached)) {
    mDoneReported = true;
    mDoneCallback();
  }
}

} // namespace cuminfield::test_framework::caller
