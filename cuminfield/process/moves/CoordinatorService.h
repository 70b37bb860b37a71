#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/log/LogGroup.h"
#include "cuminfield/process/moves/MoveContext.h"
#include "cuminfield/process/moves/RegisterClient.h"
#include "cuminfield/version/moves/MoveController.h"
#include "cuminfield/version/moves/ObservationReport.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace cuminfield::process::moves {

/// Coordinates all moves while this host leads the documents' group: reads the state that an
/// earlier coordinator committed, passes reports to the controller of each move, commits its steps,
/// and sends shares and verdicts. Discards the state of the moves when another host leads.
class CoordinatorService
{
public:
  struct Options
  {
    core::TimerService& timers;
    log::LogGroup& group; ///< The documents' group, in which this host votes.
    MoveMessageSender send;
  };

  explicit CoordinatorService(Options aOptions);

  /// Sets the moves that the current documents define.
  void SetMoves(const std::map<MoveKey, DocumentMove>& aMoves);

  /// Handles a host's report on its environment, with the upstream counts of its data centre.
  void OnReport(const core::HostId& aFrom, const proto::MoveMessage& aMessage,
                const version::moves::ObservationReport& aReport);

  /// Handles the verdict of an evaluator.
  void OnVerdict(const core::EnvironmentId& aEnvironment,
                 const version::moves::MoveVerdict& aVerdict);

  /// Ends a round: evaluates, commits and sends.
  void EndRound();

private:
  /// One move that this host coordinates.
  struct CoordinatedMove
  {
    DocumentMove documentMove;
    std::unique_ptr<RegisterClient> registerClient;
    std::unique_ptr<version::moves::MoveController> controller; ///< Set once the register was read.
    std::optional<version::moves::MoveState> recordedState; ///< State in the environment record.
    bool recordPending = false;
  };

  bool IsLeader() const;
  void ReadRegister(CoordinatedMove& aEntry);
  void OnRegisterRead(const MoveKey& aKey);
  void CommitProposed(CoordinatedMove& aEntry);
  void UpdateRecord(CoordinatedMove& aEntry);
  void SendShares(const CoordinatedMove& aEntry);

  Options mOptions;
  std::shared_ptr<bool> mAlive;
  std::map<MoveKey, DocumentMove> mDocumentMoves;
  std::map<MoveKey, CoordinatedMove> mCoordinatedMoves;
  /// Hosts that have sent reports, by environment. Shares and verdicts are sent to them.
  std::map<core::EnvironmentId, std::map<core::HostId, core::DataCentreId>> mHosts;
};

} // namespace cuminfield::process::moves
