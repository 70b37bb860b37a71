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
class DirectorService
{
public:
  struct Options
  {
    core::TimerService& timers;
    log::LogGroup& group; ///< The documents' group, in which this host votes.
    SendMove send;
  };

  explicit DirectorService(Options aOptions);

  /// Sets the moves that the current documents define.
  void SetMoves(const std::map<MoveKey, StatedMove>& aMoves);

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
  struct Directed
  {
    StatedMove stated;
    std::unique_ptr<RegisterClient> store;
    std::unique_ptr<version::moves::MoveController> controller; ///< Set once the register was read.
    std::optional<version::moves::MoveState> told; ///< State in the environment record.
    bool telling = false;
  };

  bool Leads() const;
  void Begin(Directed& aEntry);
  void OnRestored(const MoveKey& aKey);
  void Commit(Directed& aEntry);
  void Tell(Directed& aEntry);
  void SendShares(const Directed& aEntry);

  Options mOptions;
  std::shared_ptr<bool> mAlive;
  std::map<MoveKey, StatedMove> mMoves;
  std::map<MoveKey, Directed> mDirected;
  /// Hosts that have sent reports, by environment. Shares and verdicts are sent to them.
  std::map<core::EnvironmentId, std::map<core::HostId, core::DataCentreId>> mHosts;
};

} // namespace cuminfield::process::moves
