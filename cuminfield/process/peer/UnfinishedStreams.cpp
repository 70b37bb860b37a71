#include "cuminfield/process/peer/UnfinishedStreams.h"

namespace cuminfield::process::peer {

void UnfinishedStreams::Add()
{
  const std::scoped_lock lock(mMutex);
  ++mCount;
}

void UnfinishedStreams::Remove()
{
  // Notified under the lock, so that a waiting owner cannot destroy this before.
  const std::scoped_lock lock(mMutex);
  --mCount;
  if (mCount == 0) {
    mIsNone.notify_all();
  }
}

std::size_t UnfinishedStreams::Count() const
{
  const std::scoped_lock lock(mMutex);
  return mCount;
}

bool UnfinishedStreams::WaitUntilNone(core::Duration aLimit) const
{
  std::unique_lock lock(mMutex);
  return mIsNone.wait_for(lock, aLimit, [this] { return mCount == 0; });
}

} // namespace cuminfield::process::peer
