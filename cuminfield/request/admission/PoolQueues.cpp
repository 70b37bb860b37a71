#include "cuminfield/request/admission/PoolQueues.h"

#include <algorithm>

namespace cuminfield::request::admission {

namespace {

constexpr double kIntervalWeight = 0.1;  ///< Of the newest interval in the average.
constexpr double kLongestInterval = 1e6; ///< Microseconds; idle times say nothing of the pace.

} // namespace

bool PoolQueues::AnyBelow(std::size_t aTier) const
{
  return std::any_of(tiers.begin() + static_cast<std::ptrdiff_t>(aTier) + 1, tiers.end(),
                     [](const FairQueue& aQueue) { return !aQueue.Empty(); });
}

std::size_t PoolQueues::Lowest() const
{
  std::size_t tier = kTierCount - 1;
  while (tier > 0 && tiers[tier].Empty()) {
    --tier;
  }
  return tier;
}

void PoolQueues::NoteDispatch(std::size_t aTier, core::Instant aNow)
{
  const auto elapsed = static_cast<double>((aNow - lastDispatch[aTier]).count());
  lastDispatch[aTier] = aNow;
  interval[aTier] += kIntervalWeight * (std::min(elapsed, kLongestInterval) - interval[aTier]);
}

core::Duration PoolQueues::Drain(std::size_t aTier) const
{
  const double time = interval[aTier] * static_cast<double>(tiers[aTier].Size());
  return core::Duration(static_cast<std::int64_t>(time));
}

} // namespace cuminfield::request::admission
