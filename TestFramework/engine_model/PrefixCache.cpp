#include "TestFramework/engine_model/PrefixCache.h"

namespace cuminfield::test_framework::engine_model {

PrefixCache::PrefixCache(core::Tokens aCapacity)
  : mCapacity(static_cast<std::size_t>(aCapacity.value / request::kPrefixBlockTokens.value))
{
}

core::Tokens PrefixCache::Match(const std::vector<request::PrefixHash>& aPrefix)
{
  core::Tokens matched{ 0 };
  for (const request::PrefixHash hash : aPrefix) {
    const auto it = mBlocks.find(hash);
    if (it == mBlocks.end()) {
      break;
    }
    mOrder.splice(mOrder.begin(), mOrder, it->second);
    matched += request::kPrefixBlockTokens;
  }
  return matched;
}

void PrefixCache::Store(const std::vector<request::PrefixHash>& aPrefix,
                        std::vector<request::PrefixHash>& aStored,
                        std::vector<request::PrefixHash>& aRemoved)
{
  if (aPrefix.size() > mCapacity) {
    return;
  }
  // Stores the last block first, so that the start of a prefix is evicted last.
  for (auto hash = aPrefix.rbegin(); hash != aPrefix.rend(); ++hash) {
    const auto it = mBlocks.find(*hash);
    if (it != mBlocks.end()) {
      mOrder.splice(mOrder.begin(), mOrder, it->second);
      continue;
    }
    mOrder.push_front(*hash);
    mBlocks[*hash] = mOrder.begin();
    aStored.push_back(*hash);
  }
  while (mBlocks.size() > mCapacity) {
    aRemoved.push_back(mOrder.back());
    mBlocks.erase(mOrder.back());
    mOrder.pop_back();
  }
}

} // namespace cuminfield::test_framework::engine_model
