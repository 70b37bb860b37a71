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

/// Directs all moves while this host leads the documents' group: reads what an earlier director
/// committed, hands reports to each move's controller, commits its steps, sends shares and
/// verdicts. Keeps nothing once another host leads.
class DirectorService
{
public:
  struct Options
  {
    core::TimerService& timers;
    log::LogGroup& group; ///< The documents' group; this host votes in it.
    SendMove send;
  };

  explicit DirectorService(Options aOptions);

  /// The moves as all documents state them now.
  void SetMoves(const std::map<MoveKey, StatedMove>& aMoves);

  /// A host's report on its environment, and the upstreams that its data centre has.
  void OnReport(const core::HostId& aFrom, const proto::MoveMessage& aMessage,
                const version::moves::ObservationReport& aReport);

  /// A judge's verdict.
  void OnVerdict(const core::EnvironmentId& aEnvironment,
                 const version::moves::MoveVerdict& aVerdict);

  /// Ends a round: judges, commits and sends.
  void EndRound();

private:
  /// One move under direction.
  struct Directed
  {
    StatedMove stated;
    std::unique_ptr<RegisterClient> store;
    std::unique_ptr<version::moves::MoveController> controller; ///< Once the register was read.
    std::optional<version::moves::MoveState> told; ///< As the documents' record has it.
    bool telling = false;
  };

  bool Leads() const;
  void Begin(Directed& aDirected);
  void OnRestored(const MoveKey& aKey);
  void Commit(Directed& aDirected);
  void Tell(Directed& aDirected);
  void SendShares(const Directed& aDirected);

  Options mOptions;
  std::shared_ptr<bool> mAlive;
  std::map<MoveKey, StatedMove> mMoves;
  std::map<MoveKey, Directed> mDirected;
  /// Hosts that have reported, by environment: those that shares are sent to.
  std::map<core::EnvironmentId, std::map<core::HostId, core::DataCentreId>> mHosts;
};

} // namespace cuminfield::process::moves
