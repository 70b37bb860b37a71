#include "cuminfield/request/admission/PoolQueues.h"

#include <algorithm>

namespace cuminfield::request::admission {

namespace {

constexpr double kIntervalWeight = 0.1; ///< Weight of the newest interval in the average.
/// Caps idle periods, which say nothing about the dispatch rate.
constexpr double kMaxIntervalMicros = 1e6;

} // namespace

bool PoolQueues::HasLowerTierWaiting(std::size_t aTier) const
{
  return std::any_of(tierQueues.begin() + static_cast<std::ptrdiff_t>(aTier) + 1, tierQueues.end(),
                     [](const FairQueue& aQueue) { return !aQueue.IsEmpty(); });
}

std::size_t PoolQueues::LowestWaitingTier() const
{
  std::size_t tier = kTierCount - 1;
  while (tier > 0 && tierQueues[tier].IsEmpty()) {
    --tier;
  }
  return tier;
}

void PoolQueues::RecordDispatch(std::size_t aTier, core::Instant aNow)
{
  const auto elapsed = static_cast<double>((aNow - lastDispatch[aTier]).count());
  lastDispatch[aTier] = aNow;
  dispatchInterval[aTier] +=
    kIntervalWeight * (std::min(elapsed, kMaxIntervalMicros) - dispatchInterval[aTier]);
}

core::Duration PoolQueues::EstimateDrainTime(std::size_t aTier) const
{
  const double micros = dispatchInterval[aTier] * static_cast<double>(tierQueues[aTier].Size());
  return core::Duration(static_cast<std::int64_t>(micros));
}

} // namespace cuminfield::request::admission
