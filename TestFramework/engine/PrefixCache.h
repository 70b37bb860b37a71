#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

namespace cuminfield::test_framework::engine {

/// An engine's cache of prompt prefixes: blocks in limited memory, least recently used leave first.
class PrefixCache
{
public:
  /// Blocks that entered and left since the last Take().
  struct Changes
  {
    std::vector<request::PrefixHash> stored;
    std::vector<request::PrefixHash> removed;
  };

  explicit PrefixCache(core::Tokens aCapacity);

  /// How many leading blocks of aHashes are cached; marks them as used.
  std::size_t Match(const std::vector<request::PrefixHash>& aHashes);

  /// Stores the blocks of a prompt, evicting others for them.
  void Store(const std::vector<request::PrefixHash>& aHashes);

  /// True if the block is cached; does not mark it as used.
  bool Contains(request::PrefixHash aHash) const { return mBlocks.contains(aHash); }

  /// The changes since the last call.
  Changes Take();

private:
  void Touch(request::PrefixHash aHash);

  std::size_t mCapacity; ///< In blocks.
  std::list<request::PrefixHash> mRecent;
  std::unordered_map<request::PrefixHash, std::list<request::PrefixHash>::iterator> mBlocks;
  Changes mChanges;
};

} // namespace cuminfield::test_framework::engine
