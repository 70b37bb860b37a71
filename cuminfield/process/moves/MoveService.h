#pragma once

#include "cuminfield/process/host/Groups.h"
#include "cuminfield/process/membership/UpstreamDirectory.h"
#include "cuminfield/process/moves/DirectorService.h"
#include "cuminfield/process/moves/JudgeService.h"
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

/// Tunables of the service.
struct MoveServiceSettings
{
  /// Between two rounds of reports, judgements and shares.
  core::Duration round = std::chrono::milliseconds(250);
};

/// All that a host does for version moves: reports what it sees, leaves a glaringly bad version by
/// itself, follows shares and verdicts, and is director or judge while it leads a group.
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

  /// A newer document or step of a move is known.
  void OnRecord(const state::proto::EnvironmentRecord& aRecord);

  /// A try of this host has ended and was counted.
  void OnSample(const version::moves::RequestSample& aSample);

private:
  void MakeDeciders();
  void Round();
  void Report();
  void AddCounts(proto::MoveMessage& aMessage) const;
  std::vector<core::HostId> Deciders() const;
  void Send(const core::HostId& aTo, const proto::MoveMessage& aMessage);
  void OnMessage(const core::HostId& aFrom, const peer::PeerMessage& aMessage);
  void Take(const core::HostId& aFrom, const proto::MoveMessage& aMessage);

  Options mOptions;
  std::map<MoveKey, StatedMove> mMoves;                    ///< Of all environments.
  std::map<core::EnvironmentId, std::uint64_t> mRevisions; ///< Of the documents they stand in.
  std::unique_ptr<DirectorService> mDirector;
  std::map<core::GroupId, std::unique_ptr<JudgeService>> mJudges;
  std::map<core::MoveId, version::moves::HostCircuitBreaker> mTrips;
  core::TimerHandle mTimer;
  std::vector<core::TimerHandle> mLocal; ///< Messages to this host itself, under way.
};

} // namespace cuminfield::process::moves
