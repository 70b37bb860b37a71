#pragma once

#include "cuminfield/core/Units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cuminfield::request::placement {

/// Counts the events of the last second, to a tenth of a second.
class RecentCounter
{
public:
  void Record(core::Instant aNow);

  /// Events per second.
  double PerSecond(core::Instant aNow) const;

private:
  static constexpr std::size_t kBuckets = 10;
  static constexpr core::Duration kBucketLength = std::chrono::milliseconds(100);

  static std::int64_t BucketNumber(core::Instant aTime);

  struct Bucket
  {
    std::int64_t number = -1; ///< Of the interval that it counts, from the start of time.
    std::uint32_t count = 0;
  };
  std::array<Bucket, kBuckets> mBuckets;
};

} // namespace cuminfield::request::placement
