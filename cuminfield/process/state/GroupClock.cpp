#include "cuminfield/process/state/GroupClock.h"

#include <algorithm>

namespace cuminfield::process::state {

void GroupClock::Advance(core::WallTime aTime)
{
  if (!mFounded) {
    mFounded = true;
    mFoundedAt = aTime;
    mNow = aTime;
    return;
  }
  mNow = std::max(mNow, aTime);
}

proto::ClockSnapshot GroupClock::Snapshot() const
{
  proto::ClockSnapshot snapshot;
  snapshot.set_founded(mFounded);
  snapshot.set_founded_at(ToMicros(mFoundedAt));
  snapshot.set_now(ToMicros(mNow));
  return snapshot;
}

void GroupClock::Restore(const proto::ClockSnapshot& aSnapshot)
{
  mFounded = aSnapshot.founded();
  mFoundedAt = FromMicros(aSnapshot.founded_at());
  mNow = FromMicros(aSnapshot.now());
}

} // namespace cuminfield::process::state
