#include "TestFramework/engine/PrefixCache.h"

#include <utility>

namespace cuminfield::test_framework::engine {

PrefixCache::PrefixCache(core::Tokens aCapacity)
  : mCapacityBlocks(static_cast<std::size_t>(aCapacity.value / request::kPrefixBlockTokens.value))
{
}

std::size_t PrefixCache::MatchPrefix(const std::vector<request::PrefixHash>& aHashes)
{
  std::size_t count = 0;
  while (count < aHashes.size() && Contains(aHashes[count])) {
    MarkUsed(aHashes[count]);
    ++count;
  }
  return count;
}

void PrefixCache::Store(const std::vector<request::PrefixHash>& aHashes)
{
  if (mCapacityBlocks == 0) {
    return;
  }
  for (const request::PrefixHash it : aHashes) {
    if (Contains(it)) {
      MarkUsed(it);
      continue;
    }
    if (mBlocks.size() == mCapacityBlocks) {
      mChanges.removed.push_back(mLruList.back());
      mBlocks.erase(mLruList.back());
      mLruList.pop_back();
    }
    mLruList.push_front(it);
    mBlocks[it] = mLruList.begin();
    mChanges.stored.push_back(it);
  }
}

PrefixCache::Changes PrefixCache::TakeChanges()
{
  return std::exchange(mChanges, {});
}

void PrefixCache::MarkUsed(request::PrefixHash aHash)
{
  mLruList.splice(mLruList.begin(), mLruList, mBlocks.at(aHash));
}

} // namespace cuminfield::test_framework::engine
