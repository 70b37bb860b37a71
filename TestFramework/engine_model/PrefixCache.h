#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <list>
#include <unordered_map>
#include <vector>

namespace cuminfield::test_framework::engine_model {

/// Least recently used cache of prefix blocks in limited memory.
class PrefixCache
{
public:
  explicit PrefixCache(core::Tokens aCapacity);

  /// Tokens of the prefix that are cached from its start on; makes them recently used.
  core::Tokens Match(const std::vector<request::PrefixHash>& aPrefix);

  /// Adds the whole prefix; what entered and left is appended to the lists.
  void Store(const std::vector<request::PrefixHash>& aPrefix,
             std::vector<request::PrefixHash>& aStored, std::vector<request::PrefixHash>& aRemoved);

private:
  using Order = std::list<request::PrefixHash>;

  std::size_t mCapacity; ///< In blocks.
  Order mOrder;          ///< Most recently used first.
  std::unordered_map<request::PrefixHash, Order::iterator> mBlocks;
};

} // namespace cuminfield::test_framework::engine_model
