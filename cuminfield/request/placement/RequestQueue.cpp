#include "cuminfield/request/placement/RequestQueue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cuminfield::request::placement {

namespace {
/// Requests of one rank that may be skipped before the next rank is served.
constexpr std::size_t kMaxSkippedPerRank = 4;

/// Number of workspaces above which those that are no longer ahead of the others are forgotten.
constexpr std::size_t kMaxRememberedWorkspaces = 256;
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

double RequestQueue::StartOf(std::uint32_t aRank, const core::WorkspaceId& aWorkspace) const
{
  const FairOrder& order = mFairOrders[aRank];
  const auto it = order.ends.find(aWorkspace);
  return it == order.ends.end() ? order.virtualTime : std::max(order.virtualTime, it->second);
}

void RequestQueue::Sort(std::uint32_t aRank, std::deque<QueuedRequest>& aQueue) const
{
  if (!mIsFair || aQueue.size() < 2) {
    return;
  }
  std::stable_sort(aQueue.begin(), aQueue.end(),
                   [](const QueuedRequest& aLeft, const QueuedRequest& aRight) {
                     return aLeft.arrival < aRight.arrival;
                   });
  std::unordered_map<core::WorkspaceId, double> ends;
  std::vector<std::pair<double, QueuedRequest>> starts;
  starts.reserve(aQueue.size());
  for (const QueuedRequest& it : aQueue) {
    double& end = ends.try_emplace(it.workspace, StartOf(aRank, it.workspace)).first->second;
    starts.emplace_back(end, it);
    end += it.cost;
  }
  std::stable_sort(starts.begin(), starts.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  for (std::size_t n = 0; n < starts.size(); ++n) {
    aQueue[n] = starts[n].second;
  }
}

void RequestQueue::RecordService(std::uint32_t aRank, const QueuedRequest& aRequest)
{
  if (!mIsFair) {
    return;
  }
  FairOrder& order = mFairOrders[aRank];
  const double start = StartOf(aRank, aRequest.workspace);
  order.ends[aRequest.workspace] = start + aRequest.cost;
  order.virtualTime = start;
  if (order.ends.size() > kMaxRememberedWorkspaces) {
    std::erase_if(order.ends, [&](const auto& aIt) { return aIt.second <= order.virtualTime; });
  }
}

double RequestQueue::PartUpTo(std::uint32_t aRank, const core::WorkspaceId& aWorkspace) const
{
  const auto rank = static_cast<std::uint32_t>(RankIndex(aRank));
  const auto& queue = mOnTime[rank];
  if (!mIsFair || CountOfRank(rank) == 0) {
    return 1;
  }
  double start = StartOf(rank, aWorkspace);
  for (const QueuedRequest& it : queue) {
    start += it.workspace == aWorkspace ? it.cost : 0;
  }
  std::unordered_map<core::WorkspaceId, double> ends;
  std::size_t before = 0;
  for (const QueuedRequest& it : queue) {
    double& end = ends.try_emplace(it.workspace, StartOf(rank, it.workspace)).first->second;
    before += end <= start ? 1 : 0;
    end += it.cost;
  }
  return static_cast<double>(before + 1) / static_cast<double>(CountOfRank(rank) + 1);
}

void RequestQueue::Serve(std::uint32_t aRank, std::deque<QueuedRequest>& aQueue,
                         const std::function<bool(const QueuedRequest&)>& aServe)
{
  Sort(aRank, aQueue);
  std::size_t skipped = 0;
  while (skipped < std::min(aQueue.size(), kMaxSkippedPerRank)) {
    // Removed before the call, since aServe may modify the queue.
    const auto position = aQueue.begin() + static_cast<std::ptrdiff_t>(skipped);
    const QueuedRequest next = *position;
    aQueue.erase(position);
    if (aServe(next)) {
      RecordService(aRank, next);
    } else {
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
    for (std::uint32_t rank = 0; rank < kRankCount; ++rank) {
      Serve(rank, (*queues)[rank], aServe);
    }
  }
}

void RequestQueue::ServeRank(std::uint32_t aRank, core::Instant aNow,
                             const std::function<bool(const QueuedRequest&)>& aServe)
{
  MoveLateRequests(aNow);
  const auto rank = static_cast<std::uint32_t>(RankIndex(aRank));
  Serve(rank, mOnTime[rank], aServe);
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
