#pragma once

#include "cuminfield/core/Units.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace cuminfield::process::peer {

/// Counts the streams that threads of gRPC may still report on, so that their owner can outlive
/// those reports. Thread-safe.
class UnfinishedStreams
{
public:
  void Add();

  /// Call last: the owner of what the caller uses may be gone afterwards.
  void Remove();

  std::size_t Count() const;

  /// Waits until there are none; returns false after aLimit.
  bool WaitUntilNone(core::Duration aLimit) const;

private:
  mutable std::mutex mMutex;
  mutable std::condition_variable mIsNone;
  std::size_t mCount = 0;
};

} // namespace cuminfield::process::peer
