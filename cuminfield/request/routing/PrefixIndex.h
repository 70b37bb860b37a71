#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminfield::request::routing {

/// Tunables of PrefixIndex.
struct PrefixIndexSettings
{
  std::uint32_t sets = 16'384;           ///< Sets of four blocks; a power of two.
  std::uint32_t maxBlocksPerPrompt = 96; ///< Blocks of a prompt that are looked at, from its start.
};

/// An upstream that holds the start of a prompt.
struct PrefixHolder
{
  std::uint16_t upstream = 0;     ///< Index of the upstream.
  core::Tokens cachedTokens{ 0 }; ///< Tokens it holds, from the start on.
};

/// The holders of one prompt, at most kMax; the rest is forgotten.
struct PrefixHolders
{
  static constexpr std::size_t kMaxHolders = 8;
  std::array<PrefixHolder, kMaxHolders> holders{};
  std::size_t count = 0;

  /// Tokens that this upstream holds.
  core::Tokens CachedTokens(std::uint16_t aUpstream) const;
};

/// Which upstreams hold which prefix blocks, as far as dispatches and cache events tell: a set
/// associative table of fixed size that forgets the least recently used block of a set.
class PrefixIndex
{
public:
  explicit PrefixIndex(const PrefixIndexSettings& aSettings);

  /// Finds the holders of the prompt's start.
  PrefixHolders FindHolders(const std::vector<PrefixHash>& aPrefix) const;

  /// The upstream holds, or will soon hold, the whole prefix.
  void AddPrefix(const std::vector<PrefixHash>& aPrefix, std::uint16_t aUpstream);

  /// The upstream holds this block.
  void AddBlock(PrefixHash aHash, std::uint16_t aUpstream);

  /// The upstream has evicted this block.
  void RemoveBlock(PrefixHash aHash, std::uint16_t aUpstream);

  /// Nothing is known any more of what this upstream holds.
  void RemoveUpstream(std::uint16_t aUpstream);

private:
  static constexpr std::uint16_t kNone = 0xffff;
  static constexpr std::size_t kWays = 4;
  static constexpr std::size_t kHoldersPerBlock = 6;

  struct Block
  {
    PrefixHash hash = 0;
    std::uint32_t lastAdded = 0; ///< When it was last added; zero when empty.
    std::array<std::uint16_t, kHoldersPerBlock> holders{};
  };

  const Block* FindBlock(PrefixHash aHash) const;
  Block& FindOrReplaceBlock(PrefixHash aHash);
  std::size_t SetStart(PrefixHash aHash) const;

  PrefixIndexSettings mSettings;
  std::vector<Block> mBlocks;
  std::uint32_t mAddCount = 0;
};

} // namespace cuminfield::request::routing
