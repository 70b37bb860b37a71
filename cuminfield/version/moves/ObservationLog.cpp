#include "cuminfield/version/moves/ObservationLog.h"

#include <algorithm>

namespace cuminfield::version::moves {

using request::AttemptOutcome;

ObservationLog::ObservationLog(core::HostId aHost, core::DataCentreId aDataCentre,
                               core::Incarnation aIncarnation)
{
  mReport.host = std::move(aHost);
  mReport.dataCentre = std::move(aDataCentre);
  mReport.incarnation = aIncarnation;
}

void ObservationLog::Record(const RequestSample& aSample)
{
  if (aSample.outcome != TryOutcome::Succeeded && aSample.outcome != TryOutcome::Failed) {
    return;
  }
  Observation& counts = Find(aSample);
  if (aSample.outcome == TryOutcome::Failed) {
    // How fast it failed is no pace: a version that fails at once must not look quick.
    ++counts.failed;
    return;
  }
  ++counts.succeeded;
  if (aSample.firstToken) {
    const auto scaled = ScaleFirstToken(*aSample.firstToken, aSample.predictedFirstToken);
    ++counts.firstToken[LatencyClass(scaled)];
  }
  if (aSample.tokenGap) {
    ++counts.tokenGap[LatencyClass(*aSample.tokenGap)];
  }
}

void ObservationLog::NoteTrip(const core::MoveId& aMove)
{
  auto& tripped = mReport.tripped;
  if (std::find(tripped.begin(), tripped.end(), aMove) == tripped.end()) {
    tripped.push_back(aMove);
  }
}

ObservationReport ObservationLog::NextReport()
{
  ++mReport.sequence;
  return mReport;
}

std::vector<Observation> ObservationLog::TakeDelta()
{
  std::vector<Observation> delta;
  for (std::size_t it = 0; it < mReport.totals.size(); ++it) {
    const Observation& total = mReport.totals[it];
    Observation news = it < mTakenBefore.size() ? total.Since(mTakenBefore[it]) : total;
    if (news.Requests() > 0) {
      delta.push_back(std::move(news));
    }
  }
  mTakenBefore = mReport.totals;
  return delta;
}

Observation& ObservationLog::Find(const RequestSample& aSample)
{
  // Few keys: services times versions times routes that this host serves.
  for (Observation& it : mReport.totals) {
    if (it.version == aSample.version && it.route == aSample.route &&
        it.service == aSample.service) {
      return it;
    }
  }
  Observation fresh;
  fresh.service = aSample.service;
  fresh.version = aSample.version;
  fresh.route = aSample.route;
  return mReport.totals.emplace_back(std::move(fresh));
}

} // namespace cuminfield::version::moves
