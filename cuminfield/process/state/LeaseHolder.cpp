#include "cuminfield/process/state/LeaseHolder.h"

#include "cuminfield/process/state/LeaseStore.h"

#include <algorithm>

namespace cuminfield::process::state {

LeaseHolder::LeaseHolder(core::Duration aDuration)
  : mDuration(aDuration)
{
}

core::Duration LeaseHolder::ValidDuration() const
{
  return mDuration - MaxClockDrift(mDuration);
}

void LeaseHolder::OnGranted(core::FencingNumber aFencing, core::Duration aWait,
                            core::Instant aSentAt, core::Instant aNow)
{
  if (aFencing <= mFencing) {
    return; // A resent answer: the wait has already started.
  }
  mFencing = aFencing;
  mGranted = true;
  mLastRequestSentAt = aSentAt;
  // This host's clock may run faster than that of the former holder.
  mValidFrom = aNow + aWait + MaxClockDrift(aWait);
}

void LeaseHolder::OnRenewed(core::FencingNumber aFencing, core::Instant aSentAt)
{
  if (!mGranted || aFencing != mFencing) {
    return;
  }
  mLastRequestSentAt = std::max(mLastRequestSentAt, aSentAt);
}

void LeaseHolder::OnLost()
{
  mGranted = false;
}

bool LeaseHolder::IsHeld(core::Instant aNow) const
{
  return IsWaitOver(aNow) && aNow < mLastRequestSentAt + ValidDuration();
}

bool LeaseHolder::IsWaitOver(core::Instant aNow) const
{
  return mGranted && aNow >= mValidFrom;
}

bool LeaseHolder::IsRenewalDue(core::Instant aNow) const
{
  constexpr int kRenewalsPerTerm = 3;
  return mGranted && aNow >= mLastRequestSentAt + ValidDuration() / kRenewalsPerTerm;
}

} // namespace cuminfield::process::state
