#include "cuminfield/process/cluster/ControlRequestTracker.h"

#include <utility>

namespace cuminfield::process::cluster {

std::uint64_t ControlRequestTracker::Begin(Request aRequest)
{
  mPending.emplace(mNextNumber, std::move(aRequest));
  return mNextNumber++;
}

ControlRequestTracker::Request ControlRequestTracker::End(std::uint64_t aNumber)
{
  return std::move(mPending.extract(aNumber).mapped());
}

std::optional<ControlRequestTracker::Report> ControlRequestTracker::TakeReport(core::Instant aNow)
{
  if (mPending.empty() || aNow < mNextReportAt) {
    return std::nullopt;
  }
  // Numbers are assigned in order of arrival, so the first request is the oldest.
  const Request& oldest = mPending.begin()->second;
  if (aNow - oldest.receivedAt < mSettings.slowThreshold) {
    return std::nullopt;
  }
  mNextReportAt = aNow + mSettings.reportInterval;
  return Report{ .pending = mPending.size(),
                 .oldest = oldest,
                 .oldestWait = aNow - oldest.receivedAt };
}

} // namespace cuminfield::process::cluster
