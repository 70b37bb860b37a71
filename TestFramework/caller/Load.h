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
  std::size_t concurrency = 10;
  std::uint64_t count = 0;  ///< Number of calls; 0: no limit.
  core::Duration time{ 0 }; ///< No call starts after this time; zero: no limit.
  double rate = 0;          ///< Poisson arrivals; 0: a call starts when another ends.
  std::uint64_t seed = 1;
};

/// Starts concurrent calls from a request mix and logs their outcomes.
class Load
{
public:
  /// aDoneCallback is called once, after the last call has ended.
  Load(core::TimerService& aTimers, http::Client& aClient, CallOptions aCallOptions,
       LoadOptions aOptions, Mix aMix, OutcomeLog& aOutcomeLog,
       std::function<void()> aDoneCallback);

  void Start();

  /// Starts no more calls; active calls run to their end.
  void Stop();

private:
  bool MayStart() const;
  void StartOne();
  void StartNextByRate();
  void StartAfter(core::Duration aDelay);
  void Ended(std::uint64_t aNumber, const CallSpec& aSpec, const Outcome& aOutcome);
  void CheckDone();

  core::TimerService& mTimers;
  http::Client& mClient;
  CallOptions mCalls;
  LoadOptions mLoad;
  Mix mMix;
  OutcomeLog& mLog;
  std::function<void()> mDone;
  core::Random mRandom;
  bool mStopped = false;
  bool mReported = false;
  std::uint64_t mStarted = 0;
  std::map<std::uint64_t, std::shared_ptr<Call>> mActive;
  core::TimerHandle mEnd;
  core::TimerHandle mNext;
  std::map<std::uint64_t, core::TimerHandle> mPauses; ///< Delays before new calls.
  std::uint64_t mNextPause = 0;
  std::vector<std::shared_ptr<Call>>
    mEndedCalls; ///< Destroyed later: they may still be on the stack.
  core::TimerHandle mRelease;
};

} // namespace cuminfield::test_framework::caller
