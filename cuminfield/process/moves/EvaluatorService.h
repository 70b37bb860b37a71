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
class EvaluatorService
{
public:
  struct Options
  {
    core::TimerService& timers;
    core::DataCentreId dataCentre;
    log::LogGroup& group; ///< The group of the data centre, in which this host votes.
    MoveMessageSender send;
    /// Last known leaders of all groups: the documents' and those of the data centres.
    std::function<std::vector<core::HostId>()> groupLeaders;
  };

  explicit EvaluatorService(Options aOptions);

  void SetMoves(const std::map<MoveKey, DocumentMove>& aMoves);
  void OnReport(const core::HostId& aFrom, const proto::MoveMessage& aMessage,
                const version::moves::ObservationReport& aReport);
  void OnShareUpdate(const core::EnvironmentId& aEnvironment,
                     const version::moves::ShareUpdate& aUpdate);
  void OnVerdict(const core::EnvironmentId& aEnvironment,
                 const version::moves::MoveVerdict& aVerdict);

  /// Ends a round: evaluates, commits and sends.
  void EndRound();

private:
  struct EvaluatedMove
  {
    DocumentMove documentMove;
    std::unique_ptr<RegisterClient> registerClient;
    std::unique_ptr<version::moves::MoveEvaluator> evaluator; ///< Set once the register was read.
  };

  bool IsLeader() const;
  void ReadRegister(EvaluatedMove& aEntry);
  void OnRegisterRead(const MoveKey& aKey);
  void CommitProposed(EvaluatedMove& aEntry);
  void SendVerdictAndShare(const EvaluatedMove& aEntry);

  Options mOptions;
  std::map<MoveKey, DocumentMove> mDocumentMoves;
  std::map<MoveKey, EvaluatedMove> mEvaluatedMoves;
  /// Hosts of this data centre that have sent reports, by environment.
  std::map<core::EnvironmentId, std::set<core::HostId>> mHosts;
};

} // namespace cuminfield::process::moves
