#include "cuminfield/request/placement/RequestQueue.h"

#include <algorithm>

namespace cuminfield::request::placement {

namespace {
/// Requests of one rank that are offered before the next rank's turn.
constexpr std::size_t kMaxOffersPerRank = 4;
} // namespace

std::size_t RequestQueue::RankIndex(std::uint32_t aRank)
{
  return std::min<std::size_t>(aRank, kRankCount - 1);
}

void RequestQueue::Add(const QueuedRequest& aWaiting)
{
  auto& line = mOnTime[RankIndex(aWaiting.rank)];
  // Mostly at the end; one that comes back from an upstream keeps its place.
  const auto place = std::upper_bound(line.begin(), line.end(), aWaiting,
                                      [](const QueuedRequest& aLeft, const QueuedRequest& aRight) {
                                        return aLeft.arrival < aRight.arrival;
                                      });
  line.insert(place, aWaiting);
}

void RequestQueue::Remove(const core::RequestId& aId)
{
  for (auto* lines : { &mOnTime, &mLate }) {
    for (auto& line : *lines) {
      const auto it = std::find_if(line.begin(), line.end(),
                                   [&](const QueuedRequest& aIt) { return aIt.id == aId; });
      if (it != line.end()) {
        line.erase(it);
        return;
      }
    }
  }
}

void RequestQueue::MoveLateRequests(core::Instant aNow)
{
  for (std::size_t n = 0; n < kRankCount; ++n) {
    auto& line = mOnTime[n];
    for (auto it = line.begin(); it != line.end();) {
      if (it->latestOnTimeDispatch > aNow) {
        ++it;
        continue;
      }
      mLate[n].push_back(*it);
      it = line.erase(it);
    }
  }
}

void RequestQueue::ServeInOrder(core::Instant aNow,
                                const std::function<bool(const QueuedRequest&)>& aServe)
{
  MoveLateRequests(aNow);
  for (auto* lines : { &mOnTime, &mLate }) {
    for (auto& line : *lines) {
      std::size_t passed = 0;
      while (passed < std::min(line.size(), kMaxOffersPerRank)) {
        // Taken out first: serving it may change the line.
        const auto place = line.begin() + static_cast<std::ptrdiff_t>(passed);
        const QueuedRequest next = *place;
        line.erase(place);
        if (!aServe(next)) {
          line.insert(line.begin() + static_cast<std::ptrdiff_t>(std::min(passed, line.size())),
                      next);
          ++passed;
        }
      }
    }
  }
}

void RequestQueue::RemoveExpired(core::Instant aNow,
                                 const std::function<void(const QueuedRequest&)>& aShed)
{
  MoveLateRequests(aNow);
  std::deque<QueuedRequest> expired;
  for (auto* lines : { &mOnTime, &mLate }) {
    for (auto& line : *lines) {
      for (auto it = line.begin(); it != line.end();) {
        if (it->expiresAt > aNow) {
          ++it;
          continue;
        }
        expired.push_back(*it);
        it = line.erase(it);
      }
    }
  }
  for (const QueuedRequest& it : expired) {
    aShed(it);
  }
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
