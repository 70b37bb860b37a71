#pragma once

#include "cuminfield/request/Scheduler.h"
#include "cuminfield/version/moves/ObservationReport.h"

#include <optional>
#include <vector>

namespace cuminfield::version::moves {

/// One finished attempt, with the data that version moves need.
struct RequestSample
{
  core::ServiceId service;
  core::VersionId version;
  core::RouteId route;
  request::AttemptOutcome outcome = request::AttemptOutcome::Succeeded;
  std::optional<core::Duration> firstToken; ///< From dispatch; absent if no token arrived.
  /// Time to first token predicted from the request's length, independent of the version.
  core::Duration predictedFirstToken{ 0 };
  std::optional<core::Duration> tokenGap; ///< Mean gap; absent for responses of one token.
};

/// Counts outcomes and latencies of each version on each route on one host. Owned by the loop's
/// thread.
class ObservationRecorder
{
public:
  ObservationRecorder(core::HostId aHost, core::DataCentreId aDataCentre,
                      core::Incarnation aIncarnation);

  /// Counts a finished attempt. Outcomes that do not depend on the version's health are skipped.
  void Record(const RequestSample& aSample);

  /// Records that this host left the move on its own. All later reports include it.
  void RecordTrip(const core::MoveId& aMove);

  /// Returns the next report: all counters of this incarnation with the next sequence number.
  ObservationReport NextReport();

  /// Returns what was counted since the last call, for decisions made on the host itself.
  std::vector<Observation> TakeDelta();

private:
  Observation& FindOrAddCounters(const RequestSample& aSample);

  ObservationReport mReport;                   ///< Running totals and last sequence number.
  std::vector<Observation> mTotalsAtLastDelta; ///< Totals at the last TakeDelta, in the same order.
};

} // namespace cuminfield::version::moves
