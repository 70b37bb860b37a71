#include "TestFramework/engine/PrefixCache.h"

#include <utility>

namespace cuminfield::test_framework::engine {

PrefixCache::PrefixCache(core::Tokens aCapacity)
  : mCapacity(static_cast<std::size_t>(aCapacity.value / request::kPrefixBlockTokens.value))
{
}

std::size_t PrefixCache::Match(const std::vector<request::PrefixHash>& aHashes)
{
  std::size_t count = 0;
  while (count < aHashes.size() && Contains(aHashes[count])) {
    Touch(aHashes[count]);
    ++count;
  }
  return count;
}

void PrefixCache::Store(const std::vector<request::PrefixHash>& aHashes)
{
  if (mCapacity == 0) {
    return;
  }
  for (const request::PrefixHash it : aHashes) {
    if (Contains(it)) {
      Touch(it);
      continue;
    }
    if (mBlocks.size() == mCapacity) {
      mChanges.removed.push_back(mRecent.back());
      mBlocks.erase(mRecent.back());
      mRecent.pop_back();
    }
    mRecent.push_front(it);
    mBlocks[it] = mRecent.begin();
    mChanges.stored.push_back(it);
  }
}

PrefixCache::Changes PrefixCache::Take()
{
  return std::exchange(mChanges, {});
}

void PrefixCache::Touch(request::PrefixHash aHash)
{
  mRecent.splice(mRecent.begin(), mRecent, mBlocks.at(aHash));
}

} // namespace cuminfield::test_framework::engine
