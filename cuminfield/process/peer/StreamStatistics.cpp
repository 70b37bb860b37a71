#include "cuminfield/process/peer/StreamStatistics.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::peer {

void StreamStatistics::OnOpened(core::Duration aOpeningTime)
{
  ++mCurrent.opened;
  ++mOpenedCount;
  mCurrent.longestOpening = std::max(mCurrent.longestOpening, aOpeningTime);
}

void StreamStatistics::OnGivenUp()
{
  ++mCurrent.givenUp;
  ++mGivenUpCount;
}

void StreamStatistics::OnUrgentSent(core::Duration aWait)
{
  mCurrent.longestUrgentWait = std::max(mCurrent.longestUrgentWait, aWait);
}

std::optional<StreamStatistics::Report> StreamStatistics::TakeReport(core::Instant aNow)
{
  if (mReportedAt && aNow - *mReportedAt < mSettings.reportInterval) {
    return std::nullopt;
  }
  mReportedAt = aNow;
  const Report report = std::exchange(mCurrent, {});
  const bool isWorthIt = report.givenUp > 0 || report.longestOpening > mSettings.slowAfter ||
                         report.longestUrgentWait > mSettings.slowAfter;
  return isWorthIt ? std::optional(report) : std::nullopt;
}

} // namespace cuminfield::process::peer
