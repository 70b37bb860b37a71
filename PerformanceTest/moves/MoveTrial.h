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

/// Outcome of one move.
struct TrialResult
{
  std::string label; ///< `good` or the label of the fault.
  bool isBad = false;
  bool isTakenBack = false;
  bool isFinished = false; ///< Done on every host by finish-by.
  /// Share of all requests up to finish-by that ran on the new version while its fault was active.
  double metShare = 0.0;
  /// Share of all requests up to finish-by that ran on the new version.
  double sentShare = 0.0;
  bool hasShown = false; ///< The evidence of all connected hosts passed the test.
  double lag = 0.0;      ///< Seconds from detectability to the last request to the version.
  /// As rollBackLag, but from when the evidence reached the level at which the coordinator and the
  /// evaluators act.
  double earlyLag = 0.0;
  std::uint32_t directorDeaths = 0;
  std::uint32_t judgeDeaths = 0;
  bool isCutOff = false;            ///< The network of a data centre was partitioned for some time.
  bool isJudgedWhileCutOff = false; ///< By the evaluator of the partitioned data centre.
  double phaseAtEnd = 0.0; ///< When the move ended, as a share of the time up to finish-by.
  std::string reason;      ///< As committed by the coordinator.
};

/// Simulates one move in virtual time: hosts, three evaluators and a coordinator run the production
/// code, with delayed and lost messages, leader failures and network partitions.
class MoveTrial
{
public:
  /// aRate: requests per second outside bursts; 0 draws a rate.
  MoveTrial(std::uint64_t aSeed, const std::optional<Fault>& aFault, double aRate);

  TrialResult Run();

private:
  struct Host
  {
    std::uint32_t dataCentre = 0;
    std::unique_ptr<version::moves::MoveShares> shares;
    std::unique_ptr<version::moves::ObservationRecorder> log;
    version::moves::HostCircuitBreaker trip;
    double nextArrival = 0.0; ///< Seconds since the start.
  };

  /// A request in flight; its outcome is drawn when it arrives.
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
  void Send(std::uint32_t aFrom, std::uint32_t aTo, std::function<void()> aDeliver);
  core::Duration Elapsed() const;
  TrialResult Collect();
  /// Times at which the evidence reached a given level.
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
  core::Duration mLength; ///< From the start to finish-by.
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

  /// Evidence without message delay or loss: of all hosts that are connected to the coordinator,
  /// and of the partitioned data centre alone.
  std::unique_ptr<version::moves::MoveEvidence> mOracle;
  std::array<std::unique_ptr<version::moves::MoveEvidence>, kDataCentres> mLocalOracles;
  Showing mShown; ///< At a tenth of the error rate at which the coordinator and evaluators act.
  Showing mShownEarly; ///< At the error rate at which they act.
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
