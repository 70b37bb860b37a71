#pragma once

#include "cuminfield/process/log/LogStorage.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace cuminfield::process::log {

/// Construction parameters of ThreadedLogStorage.
struct ThreadedLogStorageOptions
{
  LogStorage& inner; ///< Used only by the storage thread after Load().

  /// Schedules a function on the event loop's thread; callable from any thread. May drop it when
  /// the loop has ended.
  std::function<void(std::function<void()>)> post;
};

/// Runs another storage on a thread of its own, so that a slow disk does not block the event loop.
/// Completions are called on the event loop.
class ThreadedLogStorage : public LogStorage
{
public:
  explicit ThreadedLogStorage(ThreadedLogStorageOptions aOptions);

  /// Finishes the batch in progress and ends the thread.
  ~ThreadedLogStorage() override;

  ThreadedLogStorage(const ThreadedLogStorage&) = delete;
  ThreadedLogStorage& operator=(const ThreadedLogStorage&) = delete;

  /// Blocking; called once, before anything is persisted.
  core::Result<LogContents> Load(LogContents aInitial) override;

  void Persist(PersistBatch aBatch, Completion aDone) override;

private:
  struct Job
  {
    PersistBatch batch;
    Completion done;
  };

  void RunThread();
  void PersistJob(Job aJob);

  LogStorage& mInner;
  const std::function<void(std::function<void()>)> mPost;
  std::mutex mMutex;
  std::condition_variable mJobReady;
  std::optional<Job> mJob; ///< At most one, as LogStorage requires. Guarded by mMutex.
  bool mStopping = false;  ///< Guarded by mMutex.
  std::thread mThread; ///< Last member, so that the thread starts after all others are initialized.
};

} // namespace cuminfield::process::log
