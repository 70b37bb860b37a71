#pragma once

#include "cuminfield/core/Units.h"
#include "cuminfield/request/RequestSpec.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminfield::request::routing {

struct PrefixIndexSettings
{
  std::uint32_t sets = 16'384;           ///< Sets of four blocks. Must be a power of two.
  std::uint32_t maxBlocksPerPrompt = 96; ///< Blocks examined from the start of a prompt.
};

/// An upstream that holds the start of a prompt.
struct PrefixHolder
{
  std::uint16_t upstream = 0;
  core::Tokens cachedTokens{ 0 }; ///< Tokens held, counted from the start of the prompt.
};

/// Holders of one prompt, at most kMaxHolders; further ones are dropped.
struct PrefixHolders
{
  static constexpr std::size_t kMaxHolders = 8;
  std::array<PrefixHolder, kMaxHolders> holders{};
  std::size_t count = 0;

  /// Tokens held by this upstream.
  core::Tokens CachedTokens(std::uint16_t aUpstream) const;
};

/// Index of the upstreams that hold each prefix block, as known from dispatches and cache events. A
/// set-associative table of fixed size that evicts the least recently added block of a set.
class PrefixIndex
{
public:
  explicit PrefixIndex(const PrefixIndexSettings& aSettings);

  /// Finds the upstreams that hold the start of the prompt.
  PrefixHolders FindHolders(const std::vector<PrefixHash>& aPrefix) const;

  /// Records that the upstream holds, or will soon hold, the complete prefix.
  void AddPrefix(const std::vector<PrefixHash>& aPrefix, std::uint16_t aUpstream);

  /// Records that the upstream holds this block.
  void AddBlock(PrefixHash aHash, std::uint16_t aUpstream);

  /// Records that the upstream has evicted this block.
  void RemoveBlock(PrefixHash aHash, std::uint16_t aUpstream);

  /// Removes the upstream from all blocks.
  void RemoveUpstream(std::uint16_t aUpstream);

private:
  static constexpr std::uint16_t kNone = 0xffff;
  static constexpr std::size_t kWays = 4;
  static constexpr std::size_t kHoldersPerBlock = 6;

  struct Block
  {
    PrefixHash hash = 0;
    std::uint32_t lastAdded = 0; ///< Value of mAddCount when last added; zero if unused.
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
