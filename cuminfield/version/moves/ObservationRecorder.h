#pragma once

#include "cuminfield/request/Scheduler.h"
#include "cuminfield/version/moves/ObservationReport.h"

#include <optional>
#include <vector>

namespace cuminfield::version::moves {

/// One finished try, as far as version moves look at it.
struct RequestSample
{
  core::ServiceId service;
  core::VersionId version;
  core::RouteId route;
  request::AttemptOutcome outcome = request::AttemptOutcome::Succeeded;
  std::optional<core::Duration> firstToken; ///< From dispatch; absent when none arrived.
  /// What the request's length predicts for firstToken, whichever version serves it.
  core::Duration predictedFirstToken{ 0 };
  std::optional<core::Duration> tokenGap; ///< Mean gap; absent for answers of one token.
};

/// Counts on one host what it sees of each version on each route.
/// Owned by the loop's thread.
class ObservationRecorder
{
public:
  ObservationRecorder(core::HostId aHost, core::DataCentreId aDataCentre,
                      core::Incarnation aIncarnation);

  /// Counts a finished try. Outcomes that say nothing of the version's health are left out.
  void Record(const RequestSample& aSample);

  /// Notes that this host has left the move by itself; every later report says so.
  void RecordTrip(const core::MoveId& aMove);

  /// The next report: all counters of this incarnation, under the next sequence number.
  ObservationReport NextReport();

  /// What was counted since the last call, for decisions of the host itself.
  std::vector<Observation> TakeDelta();

private:
  Observation& FindOrAddCounters(const RequestSample& aSample);

  ObservationReport mReport;                   ///< Running totals and the last sequence number.
  std::vector<Observation> mTotalsAtLastDelta; ///< Totals at the last TakeDelta, in the same order.
};

} // namespace cuminfield::version::moves
