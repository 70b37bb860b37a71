#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

namespace cuminfield::test_framework::engine {

/// An engine's cache of prompt prefixes: a fixed number of blocks with LRU eviction.
class PrefixCache
{
public:
  /// Blocks added and evicted since the last TakeChanges().
  struct Changes
  {
    std::vector<request::PrefixHash> stored;
    std::vector<request::PrefixHash> removed;
  };

  explicit PrefixCache(core::Tokens aCapacity);

  /// Counts the leading blocks of aHashes that are cached and marks them as used.
  std::size_t MatchPrefix(const std::vector<request::PrefixHash>& aHashes);

  /// Stores the blocks of a prompt and evicts others if necessary.
  void Store(const std::vector<request::PrefixHash>& aHashes);

  /// Whether the block is cached. Does not mark it as used.
  bool Contains(request::PrefixHash aHash) const { return mBlocks.contains(aHash); }

  /// Returns the changes since the last call.
  Changes TakeChanges();

private:
  void MarkUsed(request::PrefixHash aHash);

  std::size_t mCapacityBlocks;
  std::list<request::PrefixHash> mLruList; ///< Most recently used first.
  std::unordered_map<request::PrefixHash, std::list<request::PrefixHash>::iterator> mBlocks;
  Changes mChanges;
};

} // namespace cuminfield::test_framework::engine
