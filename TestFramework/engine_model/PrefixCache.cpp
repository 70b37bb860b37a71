#include "TestFramework/engine_model/PrefixCache.h"

namespace cuminfield::test_framework::engine_model {

PrefixCache::PrefixCache(core::Tokens aCapacity)
  : mCapacityBlocks(static_cast<std::size_t>(aCapacity.value / request::kPrefixBlockTokens.value))
{
}

core::Tokens PrefixCache::MatchPrefix(const std::vector<request::PrefixHash>& aPrefix)
{
  core::Tokens matched{ 0 };
  for (const request::PrefixHash hash : aPrefix) {
    const auto it = mBlocks.find(hash);
    if (it == mBlocks.end()) {
      break;
    }
    mLruList.splice(mLruList.begin(), mLruList, it->second);
    matched += request::kPrefixBlockTokens;
  }
  return matched;
}

void PrefixCache::Store(const std::vector<request::PrefixHash>& aPrefix,
                        std::vector<request::PrefixHash>& aStored,
                        std::vector<request::PrefixHash>& aRemoved)
{
  if (aPrefix.size() > mCapacityBlocks) {
    return;
  }
  // Stores the last block first, so that the start of a prefix is evicted last.
  for (auto hash = aPrefix.rbegin(); hash != aPrefix.rend(); ++hash) {
    const auto it = mBlocks.find(*hash);
    if (it != mBlocks.end()) {
      mLruList.splice(mLruList.begin(), mLruList, it->second);
      continue;
    }
    mLruList.push_front(*hash);
    mBlocks[*hash] = mLruList.begin();
    aStored.push_back(*hash);
  }
  while (mBlocks.size() > mCapacityBlocks) {
    aRemoved.push_back(mLruList.back());
    mBlocks.erase(mLruList.back());
    mLruList.pop_back();
  }
}

} // namespace cuminfield::test_framework::engine_model
