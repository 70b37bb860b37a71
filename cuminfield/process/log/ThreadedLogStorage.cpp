#include "cuminfield/process/log/ThreadedLogStorage.h"

#include "cuminfield/core/Invariant.h"

#include <utility>

namespace cuminfield::process::log {

ThreadedLogStorage::ThreadedLogStorage(ThreadedLogStorageOptions aOptions)
  : mInner(aOptions.inner)
  , mPost(std::move(aOptions.post))
  , mThread([this] { Work(); })
{
}

ThreadedLogStorage::~ThreadedLogStorage()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_one();
  mThread.join();
}

core::Result<LogContents> ThreadedLogStorage::Load(core::Incarnation aNewIncarnation)
{
  return mInner.Load(aNewIncarnation);
}

void ThreadedLogStorage::Persist(PersistBatch aBatch, Completion aDone)
{
  {
    const std::lock_guard lock(mMutex);
    CUMINFIELD_INVARIANT("log.one-batch", !mJob);
    mJob.emplace(Job{ .batch = std::move(aBatch), .done = std::move(aDone) });
  }
  mWake.notify_one();
}

void ThreadedLogStorage::Work()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mWake.wait(lock, [this] { return mStopping || mJob; });
    if (!mJob) {
      return;
    }
    Job job = std::move(*mJob);
    mJob.reset();
    lock.unlock();
    Store(std::move(job));
    lock.lock();
  }
}

void ThreadedLogStorage::Store(Job aJob)
{
  mInner.Persist(std::move(aJob.batch),
                 [this, done = std::move(aJob.done)](const core::Result<void>& aResult) {
                   mPost([done, aResult] { done(aResult); });
                 });
}

} // namespace cuminfield::process::log
