#include "cuminfield/request/routing/LoadEstimate.h"

#include <algorithm>

namespace cuminfield::request::routing {

void LoadEstimate::Dispatched(core::Tokens aPrefill, core::Instant aNow)
{
  if (mOwnPrefill.value == 0) {
    mLastProgress = aNow;
  }
  ++mOwn;
  mOwnPrefill += aPrefill;
  Remember(aNow);
}

void LoadEstimate::Prefilled(core::Tokens aPrefill, core::Instant aNow)
{
  mOwnPrefill -= aPrefill;
  mLastProgress = aNow;
  Remember(aNow);
}

void LoadEstimate::Ended(core::Instant aNow)
{
  --mOwn;
  Remember(aNow);
}

void LoadEstimate::Reported(const LoadReport& aReport, core::Instant aNow)
{
  if (mHasReport && aReport.sequence <= mReportSequence) {
    return;
  }
  mHasReport = true;
  mReportSequence = aReport.sequence;
  mReportMade = aNow - aReport.age;
  const Mark then = At(mReportMade);
  const std::uint32_t total = aReport.running + aReport.waiting;
  mOthers = total > then.own ? total - then.own : 0;
  mOthersPrefill = std::max(core::Tokens{ 0 }, aReport.queuedPrefillTokens - then.prefill);
}

void LoadEstimate::Remember(core::Instant aNow)
{
  mMarks[mNextMark] = Mark{ .at = aNow, .own = mOwn, .prefill = mOwnPrefill };
  mNextMark = (mNextMark + 1) % kMarks;
}

LoadEstimate::Mark LoadEstimate::At(core::Instant aInstant) const
{
  std::size_t index = mNextMark;
  for (std::size_t n = 0; n < kMarks; ++n) {
    index = (index + kMarks - 1) % kMarks;
    if (mMarks[index].at <= aInstant) {
      return mMarks[index];
    }
  }
  return mMarks[mNextMark];
}

} // namespace cuminfield::request::routing
