#pragma once

#include "TestFramework/caller/Call.h"
#include "TestFramework/caller/Mix.h"
#include "TestFramework/caller/OutcomeLog.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cuminfield::test_framework::caller {

/// Amount and duration of the generated load.
struct LoadOptions
{
  std::size_t maxConcurrency = 10;
  std::uint64_t callCount = 0;  ///< Number of calls; 0: no limit.
  core::Duration duration{ 0 }; ///< No call starts after this time; zero: no limit.
  double callsPerSecond = 0;    ///< Poisson arrivals; 0: a call starts when another ends.
  std::uint64_t seed = 1;
};

/// Starts concurrent calls from a request mix and logs their outcomes.
class LoadGenerator
{
public:
  /// aDoneCallback is called once, after the last call has ended.
  LoadGenerator(core::TimerService& aTimers, http::Client& aClient, CallOptions aCallOptions,
                LoadOptions aOptions, Mix aMix, OutcomeLog& aOutcomeLog,
                std::function<void()> aDoneCallback);

  void Start();

  /// Starts no more calls; active calls run to their end.
  void Stop();

private:
  bool CanStartCall() const;
  void StartCall();
  void StartCallAtRate();
  void ScheduleCall(core::Duration aDelay);
  void OnCallEnded(std::uint64_t aNumber, const CallSpec& aSpec, const Outcome& aOutcome);
  void ReportIfDone();

  core::TimerService& mTimers;
  http::Client& mClient;
  CallOptions mCallOptions;
  LoadOptions mOptions;
  Mix mMix;
  OutcomeLog& mOutcomeLog;
  std::function<void()> mDoneCallback;
  core::Random mRandom;
  bool mStopped = false;
  bool mDoneReported = false;
  std::uint64_t mStartedCalls = 0;
  std::map<std::uint64_t, std::shared_ptr<Call>> mActiveCalls;
  core::TimerHandle mStopTimer;
  core::TimerHandle mNextCallTimer;
  std::map<std::uint64_t, core::TimerHandle> mDelayTimers; ///< Delays before new calls.
  std::uint64_t mNextDelayTimerId = 0;
  std::vector<std::shared_ptr<Call>>
    mEndedCalls; ///< Destroyed later: they may still be on the stack.
  core::TimerHandle mReleaseTimer;
};

} // namespace cuminfield::test_framework::caller
