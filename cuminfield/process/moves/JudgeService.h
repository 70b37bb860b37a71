#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/process/log/LogGroup.h"
#include "cuminfield/process/moves/MoveContext.h"
#include "cuminfield/process/moves/RegisterClient.h"
#include "cuminfield/version/moves/MoveEvaluator.h"

#include <map>
#include <memory>
#include <set>

namespace cuminfield::process::moves {

/// Evaluates all moves for one data centre while this host leads that data centre's group, also
/// while a network partition isolates the data centre. Commits a bad verdict in the data centre's
/// own group, sends it to the hosts, the coordinator and the other evaluators, and relays the
/// coordinator's share to its hosts.
class JudgeService
{
public:
  struct Options
  {
    core::TimerService& timers;
    core::DataCentreId dataCentre;
    log::LogGroup& group; ///< The group of the data centre, in which this host votes.
    SendMove send;
    /// Last known leaders of all groups: the documents' and those of the data centres.
    std::function<std::vector<core::HostId>()> deciders;
  };

  explicit JudgeService(Options aOptions);

  void SetMoves(const std::map<MoveKey, StatedMove>& aMoves);
  void OnReport(const core::HostId& aFrom, const proto::MoveMessage& aMessage,
                const version::moves::ObservationReport& aReport);
  void OnShares(const core::EnvironmentId& aEnvironment,
                const version::moves::ShareUpdate& aUpdate);
  void OnVerdict(const core::EnvironmentId& aEnvironment,
                 const version::moves::MoveVerdict& aVerdict);

  /// Ends a round: evaluates, commits and sends.
  void EndRound();

private:
  struct Judged
  {
    StatedMove stated;
    std::unique_ptr<RegisterClient> store;
    std::unique_ptr<version::moves::MoveEvaluator> judge; ///< Set once the register was read.
  };

  bool Leads() const;
  void Begin(Judged& aEntry);
  void OnRestored(const MoveKey& aKey);
  void Commit(Judged& aEntry);
  void Send(const Judged& aEntry);

  Options mOptions;
  std::map<MoveKey, StatedMove> mMoves;
  std::map<MoveKey, Judged> mJudged;
  /// Hosts of this data centre that have sent reports, by environment.
  std::map<core::EnvironmentId, std::set<core::HostId>> mHosts;
};

} // namespace cuminfield::process::moves
