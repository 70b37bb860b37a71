#include "cuminfield/process/log/ThreadedLogStorage.h"

#include "cuminfield/core/Invariant.h"

#include <utility>

namespace cuminfield::process::log {

ThreadedLogStorage::ThreadedLogStorage(ThreadedLogStorageOptions aOptions)
  : mInner(aOptions.inner)
  , mPost(std::move(aOptions.post))
  , mThread([this] { RunThread(); })
{
}

ThreadedLogStorage::~ThreadedLogStorage()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mJobReady.notify_one();
  mThread.join();
}

core::Result<LogContents> ThreadedLogStorage::Load(LogContents aInitial)
{
  return mInner.Load(std::move(aInitial));
}

void ThreadedLogStorage::Persist(PersistBatch aBatch, Completion aDone)
{
  {
    const std::lock_guard lock(mMutex);
    CUMINFIELD_INVARIANT("log.one-batch", !mJob);
    mJob.emplace(Job{ .batch = std::move(aBatch), .done = std::move(aDone) });
  }
  mJobReady.notify_one();
}

void ThreadedLogStorage::RunThread()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mJobReady.wait(lock, [this] { return mStopping || mJob; });
    if (!mJob) {
      return;
    }
    Job job = std::move(*mJob);
    mJob.reset();
    lock.unlock();
    PersistJob(std::move(job));
    lock.lock();
  }
}

void ThreadedLogStorage::PersistJob(Job aJob)
{
  mInner.Persist(std::move(aJob.batch),
                 [this, done = std::move(aJob.done)](const core::Result<void>& aResult) {
                   mPost([done, aResult] { done(aResult); });
                 });
}

} // namespace cuminfield::process::log
