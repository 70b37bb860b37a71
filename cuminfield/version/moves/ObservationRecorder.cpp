#include "cuminfield/version/moves/ObservationRecorder.h"

#include <algorithm>

namespace cuminfield::version::moves {

using request::AttemptOutcome;

ObservationRecorder::ObservationRecorder(core::HostId aHost, core::DataCentreId aDataCentre,
                                         core::Incarnation aIncarnation)
{
  mReport.host = std::move(aHost);
  mReport.dataCentre = std::move(aDataCentre);
  mReport.incarnation = aIncarnation;
}

void ObservationRecorder::Record(const RequestSample& aSample)
{
  if (aSample.outcome != AttemptOutcome::Succeeded && aSample.outcome != AttemptOutcome::Failed) {
    return;
  }
  Observation& counts = FindOrAddCounters(aSample);
  if (aSample.outcome == AttemptOutcome::Failed) {
    // The latency of a failed request is not counted: a version that fails immediately must not
    // look fast.
    ++counts.failed;
    return;
  }
  ++counts.succeeded;
  if (aSample.firstToken) {
    const auto scaled = NormalizeFirstToken(*aSample.firstToken, aSample.predictedFirstToken);
    ++counts.firstToken[LatencyClass(scaled)];
  }
  if (aSample.tokenGap) {
    ++counts.tokenGap[LatencyClass(*aSample.tokenGap)];
  }
}

void ObservationRecorder::RecordTrip(const core::MoveId& aMove)
{
  auto& trippedMoves = mReport.trippedMoves;
  if (std::find(trippedMoves.begin(), trippedMoves.end(), aMove) == trippedMoves.end()) {
    trippedMoves.push_back(aMove);
  }
}

ObservationReport ObservationRecorder::NextReport()
{
  ++mReport.sequence;
  return mReport;
}

std::vector<Observation> ObservationRecorder::TakeDelta()
{
  std::vector<Observation> delta;
  for (std::size_t it = 0; it < mReport.totals.size(); ++it) {
    const Observation& total = mReport.totals[it];
    Observation change =
      it < mTotalsAtLastDelta.size() ? total.DeltaSince(mTotalsAtLastDelta[it]) : total;
    if (change.RequestCount() > 0) {
      delta.push_back(std::move(change));
    }
  }
  mTotalsAtLastDelta = mReport.totals;
  return delta;
}

Observation& ObservationRecorder::FindOrAddCounters(const RequestSample& aSample)
{
  // The list is short: one entry per service, version and route served by this host.
  for (Observation& it : mReport.totals) {
    if (it.version == aSample.version && it.route == aSample.route &&
        it.service == aSample.service) {
      return it;
    }
  }
  Observation added;
  added.service = aSample.service;
  added.version = aSample.version;
  added.route = aSample.route;
  return mReport.totals.emplace_back(std::move(added));
}

} // namespace cuminfield::version::moves
