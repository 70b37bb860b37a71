#pragma once

#include "TestFramework/caller/Call.h"
#include "TestFramework/caller/Mix.h"
#include "TestFramework/caller/OutcomeLog.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cuminfield::test_framework::caller {

/// How much load, and for how long.
struct LoadOptions
{
  std::size_t concurrency = 10;
  std::uint64_t count = 0;  ///< Calls to make; 0: no limit.
  core::Duration time{ 0 }; ///< No new calls after this; zero: no limit.
  double rate = 0;          ///< New calls per second at random times; 0: as soon as one ends.
  std::uint64_t seed = 1;
};

/// Many callers at once: starts calls from a mix and keeps their outcomes.
class Load
{
public:
  /// aDone is called once, after the last call has ended.
  Load(core::TimerService& aTimers, http::Client& aClient, CallOptions aCalls, LoadOptions aLoad,
       Mix aMix, OutcomeLog& aLog, std::function<void()> aDone);

  /// Begins.
  void Start();

  /// Starts no more calls; those under way end.
  void Stop();

private:
  bool MayStart() const;
  void StartOne();
  void StartNextByRate();
  void StartAfter(core::Duration aPause);
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
  std::map<std::uint64_t, core::TimerHandle> mPauses; ///< Callers that wait after a failure.
  std::uint64_t mNextPause = 0;
  std::vector<std::shared_ptr<Call>> mEndedCalls; ///< May be on the stack: released later.
  core::TimerHandle mRelease;
};

} // namespace cuminfield::test_framework::caller
