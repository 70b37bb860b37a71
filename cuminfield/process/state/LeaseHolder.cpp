#include "cuminfield/process/state/LeaseHolder.h"

#include "cuminfield/process/state/LeaseStore.h"

#include <algorithm>

namespace cuminfield::process::state {

LeaseHolder::LeaseHolder(core::Duration aDuration)
  : mDuration(aDuration)
{
}

core::Duration LeaseHolder::Term() const
{
  return mDuration - DriftOver(mDuration);
}

void LeaseHolder::Granted(core::FencingNumber aFencing, core::Duration aWait, core::Instant aSentAt,
                          core::Instant aNow)
{
  if (aFencing <= mFencing) {
    return; // A resent answer: the wait has already started.
  }
  mFencing = aFencing;
  mGranted = true;
  mSentAt = aSentAt;
  // This host's clock may run faster than that of the former holder.
  mFrom = aNow + aWait + DriftOver(aWait);
}

void LeaseHolder::Renewed(core::FencingNumber aFencing, core::Instant aSentAt)
{
  if (!mGranted || aFencing != mFencing) {
    return;
  }
  mSentAt = std::max(mSentAt, aSentAt);
}

void LeaseHolder::Lost()
{
  mGranted = false;
}

bool LeaseHolder::Holds(core::Instant aNow) const
{
  return Waited(aNow) && aNow < mSentAt + Term();
}

bool LeaseHolder::Waited(core::Instant aNow) const
{
  return mGranted && aNow >= mFrom;
}

bool LeaseHolder::RenewalDue(core::Instant aNow) const
{
  constexpr int kRenewalsPerTerm = 3;
  return mGranted && aNow >= mSentAt + Term() / kRenewalsPerTerm;
}

} // namespace cuminfield::process::state
