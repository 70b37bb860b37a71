#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/version/document/Document.h"
#include "cuminfield/version/moves/MoveState.h"

#include <map>
#include <set>
#include <vector>

namespace cuminfield::version::moves {

/// Settings of MoveShares.
struct MoveSharesSettings
{
  /// Without a share update for this long, the host sends all requests to the old version.
  core::Duration maxUpdateAge = std::chrono::seconds(4);
  double maxCanaryShare = 0.05; ///< Maximum share during the canary, whatever an update says.
  double canaryBurst = 2.0;     ///< Maximum burst of requests to the new version during the canary.
};

/// Chooses the version of each new request on a host, as directed by the coordinator and the
/// evaluator of the data centre. Defaults to the old version: before the first share update, when
/// updates have stopped, and permanently once the move was rolled back. Owned by the loop's thread.
class MoveShares : public request::VersionChooser
{
public:
  MoveShares(core::DataCentreId aDataCentre, core::TimerService& aTimers,
             const MoveSharesSettings& aSettings = {});

  /// Sets the document in force. Moves that it no longer contains are dropped.
  void SetDocument(const document::Document& aDocument);

  /// Handles a share update, sent by the coordinator or relayed by the data centre's evaluator.
  /// Updates for other data centres and outdated ones are ignored.
  void OnShareUpdate(const ShareUpdate& aUpdate);

  /// Handles a verdict. A bad verdict is final and takes effect at once; good verdicts arrive as
  /// phase Done.
  void OnVerdict(const MoveVerdict& aVerdict);

  /// Makes this host leave the move on its own (HostCircuitBreaker). Ignored once the move is done.
  void Trip(const core::MoveId& aMove);

  core::VersionId Choose(const core::ServiceId& aService, const core::RouteId& aRoute,
                         double aPoint) const override;

  /// Share that applies to the next request, for operators. 0 if the move is unknown.
  double ShareOf(const core::MoveId& aMove) const;

protected:
  /// True once this host must not send any more requests to the move's new version.
  virtual bool IsStopped(const core::MoveId& aMove) const;

private:
  /// State of one move on this host.
  struct Move
  {
    document::MoveSettings settings;
    ShareUpdate update;
    core::Instant lastReceivedAt{};
    bool hasUpdate = false;
    /// Requests that may be sent to the new version now while its rate is limited. Choosing it uses
    /// them up.
    mutable double allowance = 0.0;
    mutable core::Instant refilledAt{};
  };

  double ShareOf(const Move& aMove) const;
  bool SpendAllowance(const Move& aMove) const;

  core::DataCentreId mDataCentre;
  core::TimerService& mTimers;
  MoveSharesSettings mSettings;
  std::map<core::ServiceId, core::VersionId> mVersions; ///< From the document.
  std::map<core::ServiceId, std::vector<Move>> mMoves;
  /// By verdict. Entries are only removed when the document drops the move.
  std::set<core::MoveId> mRolledBack;
  /// By this host alone. Entries are also removed when the move is done.
  std::set<core::MoveId> mTripped;
};

} // namespace cuminfield::version::moves
