#pragma once

#include "cuminfield/process/log/LogStorage.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace cuminfield::process::log {

/// How to construct a ThreadedLogStorage.
struct ThreadedLogStorageOptions
{
  LogStorage& inner; ///< Used by the thread alone after Load().

  /// Runs a function on the loop's thread, soon; callable from any thread. May drop it when the
  /// loop has ended.
  std::function<void(std::function<void()>)> post;
};

/// Runs another storage on a thread that does nothing but write and sync, so that a slow disk does
/// not hold up the loop. Completions come back on the loop.
class ThreadedLogStorage : public LogStorage
{
public:
  explicit ThreadedLogStorage(ThreadedLogStorageOptions aOptions);

  /// Finishes the batch under way, and ends the thread.
  ~ThreadedLogStorage() override;

  ThreadedLogStorage(const ThreadedLogStorage&) = delete;
  ThreadedLogStorage& operator=(const ThreadedLogStorage&) = delete;

  /// Blocks: called once, before anything is persisted.
  core::Result<LogContents> Load(core::Incarnation aNewIncarnation) override;

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
  std::optional<Job> mJob; ///< One at a time, as the interface says. Guarded by mMutex.
  bool mStopping = false;  ///< Guarded by mMutex.
  std::thread mThread;     ///< Last, so that it starts when all else is there.
};

} // namespace cuminfield::process::log
