#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <list>
#include <unordered_map>
#include <vector>

namespace cuminfield::test_framework::engine_model {

/// Cache of prefix blocks with a limited capacity and LRU eviction.
class PrefixCache
{
public:
  explicit PrefixCache(core::Tokens aCapacity);

  /// Returns the number of leading prefix tokens that are cached and marks their blocks as used.
  core::Tokens MatchPrefix(const std::vector<request::PrefixHash>& aPrefix);

  /// Stores the complete prefix. Added and evicted blocks are appended to the lists. A prefix
  /// larger than the cache is not stored.
  void Store(const std::vector<request::PrefixHash>& aPrefix,
             std::vector<request::PrefixHash>& aStored, std::vector<request::PrefixHash>& aRemoved);

private:
  using LruList = std::list<request::PrefixHash>;

  std::size_t mCapacityBlocks;
  LruList mLruList; ///< Most recently used first.
  std::unordered_map<request::PrefixHash, LruList::iterator> mBlocks;
};

} // namespace cuminfield::test_framework::engine_model
