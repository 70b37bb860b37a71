#include "cuminfield/request/placement/RequestQueue.h"

#include <algorithm>

namespace cuminfield::request::placement {

namespace {
/// Requests of one rank that may be skipped before the next rank is served.
constexpr std::size_t kMaxSkippedPerRank = 4;
} // namespace

std::size_t RequestQueue::RankIndex(std::uint32_t aRank)
{
  return std::min<std::size_t>(aRank, kRankCount - 1);
}

void RequestQueue::Add(const QueuedRequest& aRequest)
{
  auto& queue = mOnTime[RankIndex(aRequest.rank)];
  // Usually appends; a request returned by an upstream regains its position by arrival.
  const auto position =
    std::upper_bound(queue.begin(), queue.end(), aRequest,
                     [](const QueuedRequest& aLeft, const QueuedRequest& aRight) {
                       return aLeft.arrival < aRight.arrival;
                     });
  queue.insert(position, aRequest);
}

void RequestQueue::Remove(const core::RequestId& aId)
{
  for (auto* queues : { &mOnTime, &mLate }) {
    for (auto& queue : *queues) {
      const auto it = std::find_if(queue.begin(), queue.end(),
                                   [&](const QueuedRequest& aIt) { return aIt.id == aId; });
      if (it != queue.end()) {
        queue.erase(it);
        return;
      }
    }
  }
}

void RequestQueue::MoveLateRequests(core::Instant aNow)
{
  for (std::size_t n = 0; n < kRankCount; ++n) {
    auto& queue = mOnTime[n];
    for (auto it = queue.begin(); it != queue.end();) {
      if (it->latestOnTimeDispatch > aNow) {
        ++it;
        continue;
      }
      mLate[n].push_back(*it);
      it = queue.erase(it);
    }
  }
}

void RequestQueue::Serve(std::deque<QueuedRequest>& aQueue,
                         const std::function<bool(const QueuedRequest&)>& aServe)
{
  std::size_t skipped = 0;
  while (skipped < std::min(aQueue.size(), kMaxSkippedPerRank)) {
    // Removed before the call, since aServe may modify the queue.
    const auto position = aQueue.begin() + static_cast<std::ptrdiff_t>(skipped);
    const QueuedRequest next = *position;
    aQueue.erase(position);
    if (!aServe(next)) {
      aQueue.insert(aQueue.begin() + static_cast<std::ptrdiff_t>(std::min(skipped, aQueue.size())),
                    next);
      ++skipped;
    }
  }
}

void RequestQueue::ServeInOrder(core::Instant aNow,
                                const std::function<bool(const QueuedRequest&)>& aServe)
{
  MoveLateRequests(aNow);
  for (auto* queues : { &mOnTime, &mLate }) {
    for (auto& queue : *queues) {
      Serve(queue, aServe);
    }
  }
}

void RequestQueue::ServeRank(std::uint32_t aRank, core::Instant aNow,
                             const std::function<bool(const QueuedRequest&)>& aServe)
{
  MoveLateRequests(aNow);
  Serve(mOnTime[RankIndex(aRank)], aServe);
}

void RequestQueue::RemoveExpired(core::Instant aNow,
                                 const std::function<void(const QueuedRequest&)>& aShed)
{
  MoveLateRequests(aNow);
  std::deque<QueuedRequest> expired;
  for (auto* queues : { &mOnTime, &mLate }) {
    for (auto& queue : *queues) {
      for (auto it = queue.begin(); it != queue.end();) {
        if (it->expiresAt > aNow) {
          ++it;
          continue;
        }
        expired.push_back(*it);
        it = queue.erase(it);
      }
    }
  }
  for (const QueuedRequest& it : expired) {
    aShed(it);
  }
}

void RequestQueue::VisitLate(core::Instant aNow,
                             const std::function<void(const QueuedRequest&)>& aVisit)
{
  MoveLateRequests(aNow);
  for (const auto& queue : mLate) {
    for (const QueuedRequest& it : queue) {
      aVisit(it);
    }
  }
}

std::size_t RequestQueue::OnTimeCount() const
{
  return CountAhead(kRankCount - 1);
}

std::size_t RequestQueue::CountAhead(std::uint32_t aRank) const
{
  std::size_t n = 0;
  for (std::size_t rank = 0; rank <= RankIndex(aRank); ++rank) {
    n += mOnTime[rank].size();
  }
  return n;
}

std::size_t RequestQueue::Size() const
{
  std::size_t n = 0;
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    n += mOnTime[rank].size() + mLate[rank].size();
  }
  return n;
}

std::size_t RequestQueue::CountOfRank(std::uint32_t aRank) const
{
  return mOnTime[RankIndex(aRank)].size() + mLate[RankIndex(aRank)].size();
}

} // namespace cuminfield::request::placement
