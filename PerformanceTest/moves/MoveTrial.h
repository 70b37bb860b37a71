#pragma once

#include "PerformanceTest/moves/Fault.h"
#include "PerformanceTest/moves/Traffic.h"
#include "TestFramework/time/ManualTimerService.h"
#include "cuminfield/version/moves/HostCircuitBreaker.h"
#include "cuminfield/version/moves/MoveController.h"
#include "cuminfield/version/moves/MoveEvaluator.h"
#include "cuminfield/version/moves/MoveShares.h"
#include "cuminfield/version/moves/ObservationRecorder.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminfield::performance_test::moves {

/// What one move came to.
struct TrialResult
{
  std::string label; ///< `good`, or the fault's label.
  bool isBad = false;
  bool isTakenBack = false;
  bool isFinished = false; ///< Done by finish-by, on every host.
  /// Part of all requests up to finish-by that met the bad version while it was at fault.
  double metShare = 0.0;
  /// Part of all requests up to finish-by that met the bad version, at fault or not yet.
  double sentShare = 0.0;
  bool hasShown = false; ///< The evidence of all hosts together passed the test.
  double lag = 0.0;      ///< Seconds from then to the last request to the version.
  /// The same from the moment that the evidence reached what the deciders act on.
  double earlyLag = 0.0;
  std::uint32_t directorDeaths = 0;
  std::uint32_t judgeDeaths = 0;
  bool isCutOff = false;            ///< A data centre was cut off for a while.
  bool isJudgedWhileCutOff = false; ///< And its own judge took the version back.
  double phaseAtEnd = 0.0;          ///< Part of the time up to finish-by when the move ended.
  std::string reason;               ///< The director's.
};

/// One move in virtual time: hosts, three judges and a director running the product's decisions,
/// with messages that are late and lost, leaders that die and data centres that are cut off.
class MoveTrial
{
public:
  /// aRate: requests a second outside bursts; 0: drawn.
  MoveTrial(std::uint64_t aSeed, const std::optional<Fault>& aFault, double aRate);

  TrialResult Run();

private:
  struct Host
  {
    std::uint32_t dataCentre = 0;
    std::unique_ptr<version::moves::MoveShares> shares;
    std::unique_ptr<version::moves::ObservationRecorder> log;
    version::moves::HostCircuitBreaker trip;
    double nextArrival = 0.0; ///< Seconds from the beginning.
  };

  /// A request on its way, by the tick in which it ends.
  struct Running
  {
    std::uint32_t host = 0;
    std::uint32_t route = 0;
    bool isNew = false;
    bool fails = false;
    double firstToken = 0.0;
    double predictedFirstToken = 0.0;
    double tokenGap = 0.0;
    bool hasGap = false;
  };

  void MakeHosts();
  void MakeOracles();
  std::unique_ptr<version::moves::MoveController> MakeDirector(
    const std::optional<version::moves::MoveState>& aCommitted);
  std::unique_ptr<version::moves::MoveEvaluator> MakeJudge(
    std::uint32_t aDataCentre, const std::optional<version::moves::EvaluatorState>& aCommitted);

  void Tick();
  void Deliver();
  void FinishRequests();
  void Arrivals();
  void Arrive(std::uint32_t aHost);
  void Round();
  void SendReports();
  void DirectorRound();
  void JudgeRound(std::uint32_t aDataCentre);
  void OracleRound();
  void TellHosts(std::uint32_t aFrom, const version::moves::ShareUpdate& aUpdate);
  void TellHosts(std::uint32_t aFrom, const version::moves::MoveVerdict& aVerdict);
  void Failures();
  bool IsAtFault(std::uint32_t aRoute) const;
  bool IsCut(std::uint32_t aDataCentre) const;
  bool EveryHostDone() const;
  void Send(std::uint32_t aFrom, std::uint32_t aTo, std::function<void()> aArrival);
  core::Duration Elapsed() const;
  TrialResult Collect();
  /// When the evidence of the hosts that matter to a data centre reached some level.
  struct Showing
  {
    std::optional<core::Duration> everywhere;
    std::array<std::optional<core::Duration>, kDataCentres> locally;
  };

  double Lag(const Showing& aShowing, std::uint32_t aDataCentre) const;
  void Note(Showing& aShowing, double aLevel) const;
  double ExpectedRest() const;

  core::Random mRandom;
  std::optional<Fault> mFault;
  core::Duration mLength; ///< From the beginning to finish-by.
  Traffic mTraffic;
  test_framework::time::ManualTimerService mTimers;
  core::Instant mBegin;
  version::document::Document mDocument;
  version::moves::MoveSubject mSubject;
  std::vector<Host> mHosts;
  std::unique_ptr<version::moves::MoveController> mDirector;
  version::moves::MoveState mCommitted;
  std::array<std::unique_ptr<version::moves::MoveEvaluator>, kDataCentres> mJudges;
  std::array<std::optional<version::moves::EvaluatorState>, kDataCentres> mJudgeStates;
  std::array<std::uint32_t, kDataCentres> mNewReady{};
  core::Duration mNextLoaded{ 0 };
  std::multimap<core::Instant, std::function<void()>> mMessages;
  std::vector<std::vector<Running>> mEnding;
  std::uint64_t mTicks = 0;

  /// What is known the moment it happens: to all hosts that reach the director, and to those of
  /// one data centre.
  std::unique_ptr<version::moves::MoveEvidence> mOracle;
  std::array<std::unique_ptr<version::moves::MoveEvidence>, kDataCentres> mLocalOracles;
  Showing mShown;      ///< At the stated error rate.
  Showing mShownEarly; ///< At the error rate that deciders act on.
  std::array<std::optional<core::Duration>, kDataCentres> mLastSent;

  std::optional<core::Duration> mDirectorDeath;
  std::optional<core::Duration> mDirectorReturn;
  std::optional<core::Duration> mJudgeDeath;
  std::optional<std::uint32_t> mCutOff;
  core::Duration mCutBegin{ 0 };
  core::Duration mCutEnd{ 0 };
  std::optional<core::Duration> mEnded;
  std::uint64_t mRequests = 0;
  std::uint64_t mMet = 0;
  std::uint64_t mSent = 0;
  TrialResult mResult;
};

} // namespace cuminfield::performance_test::moves
