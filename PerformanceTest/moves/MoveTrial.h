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
  bool isRolledBack = false;
  bool isFinished = false; ///< Done on every host by finish-by.
  /// Share of all requests up to finish-by that ran on the new version while its fault was active.
  double faultyShare = 0.0;
  /// Share of all requests up to finish-by that ran on the new version.
  double newVersionShare = 0.0;
  bool isFaultDetectable = false; ///< The evidence of all connected hosts passed the test.
  double rollBackLag = 0.0; ///< Seconds from detectability to the last request to the version.
  /// As rollBackLag, but from when the evidence reached the level at which the coordinator and the
  /// evaluators act.
  double earlyRollBackLag = 0.0;
  std::uint32_t coordinatorFailures = 0;
  std::uint32_t evaluatorFailures = 0;
  bool hasPartition = false; ///< The network of a data centre was partitioned for some time.
  bool isRolledBackWhilePartitioned = false; ///< By the evaluator of the partitioned data centre.
  double endTimeShare = 0.0; ///< When the move ended, as a share of the time up to finish-by.
  std::string reason;        ///< As committed by the coordinator.
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
    std::unique_ptr<version::moves::ObservationRecorder> recorder;
    version::moves::HostCircuitBreaker circuitBreaker;
    double nextArrival = 0.0; ///< Seconds since the start.
  };

  /// A request in flight; its outcome is drawn when it arrives.
  struct RunningRequest
  {
    std::uint32_t host = 0;
    std::uint32_t route = 0;
    bool usesNewVersion = false;
    bool fails = false;
    double firstToken = 0.0;
    double predictedFirstToken = 0.0;
    double tokenGap = 0.0;
    bool hasTokenGap = false;
  };

  void MakeHosts();
  void MakeOracles();
  std::unique_ptr<version::moves::MoveController> MakeCoordinator(
    const std::optional<version::moves::MoveState>& aCommitted);
  std::unique_ptr<version::moves::MoveEvaluator> MakeEvaluator(
    std::uint32_t aDataCentre, const std::optional<version::moves::EvaluatorState>& aCommitted);

  void Tick();
  void DeliverMessages();
  void FinishRequests();
  void ProcessArrivals();
  void StartRequest(std::uint32_t aHost);
  void RunRound();
  void SendReports();
  void RunCoordinator();
  void RunEvaluator(std::uint32_t aDataCentre);
  void RunOracles();
  void SendToHosts(std::uint32_t aFrom, const version::moves::ShareUpdate& aUpdate);
  void SendToHosts(std::uint32_t aFrom, const version::moves::MoveVerdict& aVerdict);
  void InjectFailures();
  bool IsFaultActive(std::uint32_t aRoute) const;
  bool IsPartitioned(std::uint32_t aDataCentre) const;
  bool AreAllHostsDone() const;
  void Send(std::uint32_t aFrom, std::uint32_t aTo, std::function<void()> aDeliver);
  core::Duration Elapsed() const;
  TrialResult CollectResult();
  /// Times at which the evidence reached a given level.
  struct DetectionTimes
  {
    std::optional<core::Duration> global;
    std::array<std::optional<core::Duration>, kDataCentreCount> byDataCentre;
  };

  double RollBackLag(const DetectionTimes& aShowing, std::uint32_t aDataCentre) const;
  void RecordDetection(DetectionTimes& aShowing, double aLevel) const;
  double ExpectedRemainingRequests() const;

  core::Random mRandom;
  std::optional<Fault> mFault;
  core::Duration mMoveDuration; ///< From the start to finish-by.
  Traffic mTraffic;
  test_framework::time::ManualTimerService mTimers;
  core::Instant mStartTime;
  version::document::Document mDocument;
  version::moves::MoveSubject mSubject;
  std::vector<Host> mHosts;
  std::unique_ptr<version::moves::MoveController> mCoordinator;
  version::moves::MoveState mCommitted;
  std::array<std::unique_ptr<version::moves::MoveEvaluator>, kDataCentreCount> mEvaluators;
  std::array<std::optional<version::moves::EvaluatorState>, kDataCentreCount> mEvaluatorStates;
  std::array<std::uint32_t, kDataCentreCount> mReadyNewUpstreams{};
  core::Duration mLastNewUpstreamLoadedAt{ 0 };
  std::multimap<core::Instant, std::function<void()>> mMessages;
  std::vector<std::vector<RunningRequest>> mRequestsByEndTick;
  std::uint64_t mTickCount = 0;

  /// Evidence without message delay or loss: of all hosts that are connected to the coordinator,
  /// and of the partitioned data centre alone.
  std::unique_ptr<version::moves::MoveEvidence> mOracle;
  std::array<std::unique_ptr<version::moves::MoveEvidence>, kDataCentreCount> mLocalOracles;
  DetectionTimes
    mDetectedAt; ///< At a tenth of the error rate at which the coordinator and evaluators act.
  DetectionTimes mDetectedEarlyAt; ///< At the error rate at which they act.
  std::array<std::optional<core::Duration>, kDataCentreCount> mLastNewVersionRequestAt;

  std::optional<core::Duration> mCoordinatorFailureAt;
  std::optional<core::Duration> mCoordinatorRestartAt;
  std::optional<core::Duration> mEvaluatorFailureAt;
  std::optional<std::uint32_t> mPartitionedDataCentre;
  core::Duration mPartitionBegin{ 0 };
  core::Duration mPartitionEnd{ 0 };
  std::optional<core::Duration> mEndedAt;
  std::uint64_t mRequestCount = 0;
  std::uint64_t mFaultyRequestCount = 0;
  std::uint64_t mNewVersionRequestCount = 0;
  TrialResult mResult;
};

} // namespace cuminfield::performance_test::moves
