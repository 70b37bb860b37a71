#include "cuminfield/request/routing/LoadEstimate.h"

#include <algorithm>

namespace cuminfield::request::routing {

void LoadEstimate::RecordDispatch(core::Tokens aPrefill, core::Instant aNow)
{
  if (mLocalPrefill.value == 0) {
    mLastPrefillProgress = aNow;
  }
  ++mLocalInFlight;
  mLocalPrefill += aPrefill;
  RecordSnapshot(aNow);
}

void LoadEstimate::RecordPrefillEnd(core::Tokens aPrefill, core::Instant aNow)
{
  mLocalPrefill -= aPrefill;
  mLastPrefillProgress = aNow;
  RecordSnapshot(aNow);
}

void LoadEstimate::RecordRequestEnd(core::Instant aNow)
{
  --mLocalInFlight;
  RecordSnapshot(aNow);
}

void LoadEstimate::ApplyReport(const LoadReport& aReport, core::Instant aNow)
{
  if (mHasReport && aReport.sequence <= mReportSequence) {
    return;
  }
  mHasReport = true;
  mReportSequence = aReport.sequence;
  mReportMadeAt = aNow - aReport.age;
  const Snapshot snapshot = SnapshotAt(mReportMadeAt);
  const std::uint32_t total = aReport.running + aReport.waiting;
  mRemoteInFlight = total > snapshot.inFlight ? total - snapshot.inFlight : 0;
  mRemotePrefill = std::max(core::Tokens{ 0 }, aReport.queuedPrefillTokens - snapshot.prefill);
}

void LoadEstimate::RecordSnapshot(core::Instant aNow)
{
  mSnapshots[mNextSnapshot] =
    Snapshot{ .at = aNow, .inFlight = mLocalInFlight, .prefill = mLocalPrefill };
  mNextSnapshot = (mNextSnapshot + 1) % kMaxSnapshots;
}

LoadEstimate::Snapshot LoadEstimate::SnapshotAt(core::Instant aInstant) const
{
  std::size_t index = mNextSnapshot;
  for (std::size_t n = 0; n < kMaxSnapshots; ++n) {
    index = (index + kMaxSnapshots - 1) % kMaxSnapshots;
    if (mSnapshots[index].at <= aInstant) {
      return mSnapshots[index];
    }
  }
  return mSnapshots[mNextSnapshot];
}

} // namespace cuminfield::request::routing
