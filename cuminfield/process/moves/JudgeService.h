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

/// Judges all moves for one data centre while this host leads that data centre's group: also when
/// the data centre is cut off from the rest. Commits a bad verdict in the data centre's own group,
/// tells hosts, director and other judges, and repeats the director's share to its hosts.
class JudgeService
{
public:
  struct Options
  {
    core::TimerService& timers;
    core::DataCentreId dataCentre;
    log::LogGroup& group; ///< The data centre's; this host votes in it.
    SendMove send;
    /// Hosts that lead the documents' and the other data centres' groups, as last heard.
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

  /// Ends a round: judges, commits and sends.
  void EndRound();

private:
  struct Judged
  {
    StatedMove stated;
    std::unique_ptr<RegisterClient> store;
    std::unique_ptr<version::moves::MoveEvaluator> judge; ///< Once the register was read.
  };

  bool Leads() const;
  void Begin(Judged& aJudged);
  void OnRestored(const MoveKey& aKey);
  void Commit(Judged& aJudged);
  void Send(const Judged& aJudged);

  Options mOptions;
  std::map<MoveKey, StatedMove> mMoves;
  std::map<MoveKey, Judged> mJudged;
  std::map<core::EnvironmentId, std::set<core::HostId>> mHosts; ///< Of this data centre.
};

} // namespace cuminfield::process::moves
