#include "cuminfield/request/placement/RecentCounter.h"

namespace cuminfield::request::placement {

std::int64_t RecentCounter::BucketNumber(core::Instant aTime)
{
  return aTime.time_since_epoch() / kBucketLength;
}

void RecentCounter::Record(core::Instant aNow)
{
  const std::int64_t number = BucketNumber(aNow);
  Bucket& bucket = mBuckets[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.number != number) {
    bucket = { .number = number, .count = 0 };
  }
  ++bucket.count;
}

double RecentCounter::PerSecond(core::Instant aNow) const
{
  const std::int64_t newest = BucketNumber(aNow);
  double n = 0;
  for (const Bucket& it : mBuckets) {
    n += it.number > newest - static_cast<std::int64_t>(kBuckets) ? it.count : 0;
  }
  return n / core::Seconds(kBucketLength * kBuckets);
}

} // namespace cuminfield::request::placement
