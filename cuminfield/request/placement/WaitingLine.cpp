#include "cuminfield/request/placement/WaitingLine.h"

#include <algorithm>

namespace cuminfield::request::placement {

namespace {
/// Requests of one rank that are offered before the next rank's turn.
constexpr std::size_t kOfferedBehind = 4;
} // namespace

std::size_t WaitingLine::Index(std::uint32_t aRank)
{
  return std::min<std::size_t>(aRank, kRanks - 1);
}

void WaitingLine::Add(const Waiting& aWaiting)
{
  auto& line = mOnTime[Index(aWaiting.rank)];
  // Mostly at the end; one that comes back from an upstream keeps its place.
  const auto place = std::upper_bound(
    line.begin(), line.end(), aWaiting,
    [](const Waiting& aLeft, const Waiting& aRight) { return aLeft.arrival < aRight.arrival; });
  line.insert(place, aWaiting);
}

void WaitingLine::Remove(const core::RequestId& aId)
{
  for (auto* lines : { &mOnTime, &mLate }) {
    for (auto& line : *lines) {
      const auto it =
        std::find_if(line.begin(), line.end(), [&](const Waiting& aIt) { return aIt.id == aId; });
      if (it != line.end()) {
        line.erase(it);
        return;
      }
    }
  }
}

void WaitingLine::MoveLate(core::Instant aNow)
{
  for (std::size_t n = 0; n < kRanks; ++n) {
    auto& line = mOnTime[n];
    for (auto it = line.begin(); it != line.end();) {
      if (it->onTimeUntil > aNow) {
        ++it;
        continue;
      }
      mLate[n].push_back(*it);
      it = line.erase(it);
    }
  }
}

void WaitingLine::ForEach(core::Instant aNow, const std::function<bool(const Waiting&)>& aServe)
{
  MoveLate(aNow);
  for (auto* lines : { &mOnTime, &mLate }) {
    for (auto& line : *lines) {
      std::size_t passed = 0;
      while (passed < std::min(line.size(), kOfferedBehind)) {
        // Taken out first: serving it may change the line.
        const auto place = line.begin() + static_cast<std::ptrdiff_t>(passed);
        const Waiting next = *place;
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

void WaitingLine::RemoveExpired(core::Instant aNow,
                                const std::function<void(const Waiting&)>& aShed)
{
  MoveLate(aNow);
  std::deque<Waiting> expired;
  for (auto* lines : { &mOnTime, &mLate }) {
    for (auto& line : *lines) {
      for (auto it = line.begin(); it != line.end();) {
        if (it->waitsUntil > aNow) {
          ++it;
          continue;
        }
        expired.push_back(*it);
        it = line.erase(it);
      }
    }
  }
  for (const Waiting& it : expired) {
    aShed(it);
  }
}

std::size_t WaitingLine::Ahead(std::uint32_t aRank) const
{
  std::size_t n = 0;
  for (std::size_t rank = 0; rank <= Index(aRank); ++rank) {
    n += mOnTime[rank].size();
  }
  return n;
}

std::size_t WaitingLine::Size() const
{
  std::size_t n = 0;
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    n += mOnTime[rank].size() + mLate[rank].size();
  }
  return n;
}

std::size_t WaitingLine::SizeOf(std::uint32_t aRank) const
{
  return mOnTime[Index(aRank)].size() + mLate[Index(aRank)].size();
}

} // namespace cuminfield::request::placement
