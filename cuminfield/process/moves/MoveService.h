#pragma once

#include "cuminfield/process/host/Groups.h"
#include "cuminfield/process/membership/UpstreamDirectory.h"
#include "cuminfield/process/moves/CoordinatorService.h"
#include "cuminfield/process/moves/EvaluatorService.h"
#include "cuminfield/process/peer/PeerLinks.h"
#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/process/state/state.pb.h"
#include "cuminfield/version/moves/HostCircuitBreaker.h"
#include "cuminfield/version/moves/MoveShares.h"
#include "cuminfield/version/moves/ObservationRecorder.h"

#include <sigc++/sigc++.h>

#include <map>
#include <memory>

namespace cuminfield::process::moves {

/// Timing of the service.
struct MoveServiceSettings
{
  /// Interval between two rounds of reports, evaluation and shares.
  core::Duration roundPeriod = std::chrono::milliseconds(250);
};

/// Runs the version moves on a host: reports local observations, leaves a clearly bad version
/// without waiting for a verdict, applies shares and verdicts, and acts as coordinator or evaluator
/// while the host leads a group.
class MoveService : public sigc::trackable
{
public:
  struct Options
  {
    MoveServiceSettings settings{};
    const settings::HostSettings& host;
    core::TimerService& timers;
    host::Groups& groups;
    peer::PeerLinks& links;
    membership::UpstreamDirectory& directory;
    version::moves::MoveShares& shares;
    version::moves::ObservationRecorder& observations;
  };

  explicit MoveService(Options aOptions);

  /// Handles an environment record with a newer document or a newer step of a move.
  void OnEnvironmentRecord(const state::proto::EnvironmentRecord& aRecord);

  /// Handles a finished attempt of this host that was already recorded.
  void OnSample(const version::moves::RequestSample& aSample);

private:
  void CreateLeaderServices();
  void RunRound();
  void SendReport();
  void AddUpstreamCounts(proto::MoveMessage& aMessage) const;
  std::vector<core::HostId> GroupLeaders() const;
  void Send(const core::HostId& aTo, const proto::MoveMessage& aMessage);
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void HandleMessage(const core::HostId& aFrom, const proto::MoveMessage& aMessage);

  Options mOptions;
  std::map<MoveKey, DocumentMove> mDocumentMoves;          ///< Moves of all environments.
  std::map<core::EnvironmentId, std::uint64_t> mRevisions; ///< Of the documents last read.
  std::unique_ptr<CoordinatorService> mCoordinator;
  std::map<core::GroupId, std::unique_ptr<EvaluatorService>> mEvaluators;
  std::map<core::MoveId, version::moves::HostCircuitBreaker> mCircuitBreakers;
  core::TimerHandle mRoundTimer;
  std::vector<core::TimerHandle> mLocalDeliveries; ///< Pending messages to this host itself.
};

} // namespace cuminfield::process::moves
