#include "cuminfield/process/cluster/OrderWatch.h"

#include <utility>

namespace cuminfield::process::cluster {

std::uint64_t OrderWatch::Begin(Order aOrder)
{
  mOrders.emplace(mNext, std::move(aOrder));
  return mNext++;
}

OrderWatch::Order OrderWatch::End(std::uint64_t aNumber)
{
  return std::move(mOrders.extract(aNumber).mapped());
}

std::optional<OrderWatch::Report> OrderWatch::TakeReport(core::Instant aNow)
{
  if (mOrders.empty() || aNow < mReportDue) {
    return std::nullopt;
  }
  // Numbers grow with time, so the first is the oldest.
  const Order& oldest = mOrders.begin()->second;
  if (aNow - oldest.since < mSettings.slow) {
    return std::nullopt;
  }
  mReportDue = aNow + mSettings.period;
  return Report{ .waiting = mOrders.size(), .oldest = oldest, .waited = aNow - oldest.since };
}

} // namespace cuminfield::process::cluster
