#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/Scheduler.h"
#include "cuminfield/version/document/Document.h"
#include "cuminfield/version/moves/MoveState.h"

#include <map>
#include <set>
#include <vector>

namespace cuminfield::version::moves {

/// Tunables of MoveShares.
struct MoveSharesSettings
{
  /// Without a share update for this long, a host sends everything to the old version.
  core::Duration maxUpdateAge = std::chrono::seconds(4);
  double maxCanaryShare = 0.05; ///< Largest share of an unproved version, whatever is asked for.
  double canaryBurst = 2.0;     ///< Requests to an unproved version that may come at once.
};

/// On every host: chooses the version of each new request, as the director and the judge of the
/// data centre tell. When in doubt it is the old version: before the first share update, when
/// updates have stopped, and for ever once the move has been taken back.
/// Owned by the loop's thread.
class MoveShares : public request::VersionChooser
{
public:
  MoveShares(core::DataCentreId aDataCentre, core::TimerService& aTimers,
             const MoveSharesSettings& aSettings = {});

  /// The document in force. A move that it no longer has is forgotten.
  void SetDocument(const document::Document& aDocument);

  /// The share that the director wants, direct or relayed by the data centre's judge. Updates for
  /// other data centres and older ones are ignored.
  void OnShareUpdate(const ShareUpdate& aUpdate);

  /// A verdict. Bad ones take effect at once and for good; good ones come as phase Done.
  void OnVerdict(const MoveVerdict& aVerdict);

  /// This host leaves the move by itself (HostTrip). Ignored once the move is done.
  void Trip(const core::MoveId& aMove);

  core::VersionId Choose(const core::ServiceId& aService, const core::RouteId& aRoute,
                         double aPoint) const override;

  /// Share that the next request would be chosen by, for operators. 0 when nothing is known.
  double ShareOf(const core::MoveId& aMove) const;

protected:
  /// True once the move must get nothing any more on this host.
  virtual bool IsStopped(const core::MoveId& aMove) const;

private:
  /// What this host knows of one move.
  struct Move
  {
    document::MoveSettings settings;
    ShareUpdate update;
    core::Instant lastReceivedAt{};
    bool hasUpdate = false;
    /// Requests to an unproved version that may be sent now. Choosing spends them.
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
  std::set<core::MoveId> mRolledBack; ///< By verdict. Never shrinks but with the document.
  std::set<core::MoveId> mTripped;    ///< By this host alone; ends when the move is done.
};

} // namespace cuminfield::version::moves
