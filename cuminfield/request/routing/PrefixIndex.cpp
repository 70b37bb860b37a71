#include "cuminfield/request/routing/PrefixIndex.h"

#include <algorithm>

namespace cuminfield::request::routing {

core::Tokens PrefixHolders::CachedTokens(std::uint16_t aUpstream) const
{
  for (std::size_t n = 0; n < count; ++n) {
    if (holders[n].upstream == aUpstream) {
      return holders[n].cachedTokens;
    }
  }
  return core::Tokens{ 0 };
}

PrefixIndex::PrefixIndex(const PrefixIndexSettings& aSettings)
  : mSettings(aSettings)
  , mBlocks(static_cast<std::size_t>(aSettings.sets) * kWays)
{
  for (Block& it : mBlocks) {
    it.holders.fill(kNone);
  }
}

std::size_t PrefixIndex::SetStart(PrefixHash aHash) const
{
  // Hashes computed elsewhere may have weak low bits: multiply by the golden ratio, use the high
  // bits.
  const std::uint64_t mixed = aHash * 0x9e3779b97f4a7c15ULL;
  return static_cast<std::size_t>((mixed >> 32) & (mSettings.sets - 1)) * kWays;
}

const PrefixIndex::Block* PrefixIndex::FindBlock(PrefixHash aHash) const
{
  const std::size_t first = SetStart(aHash);
  for (std::size_t n = first; n < first + kWays; ++n) {
    if (mBlocks[n].lastAdded != 0 && mBlocks[n].hash == aHash) {
      return &mBlocks[n];
    }
  }
  return nullptr;
}

PrefixIndex::Block& PrefixIndex::FindOrReplaceBlock(PrefixHash aHash)
{
  const std::size_t first = SetStart(aHash);
  std::size_t oldest = first;
  for (std::size_t n = first; n < first + kWays; ++n) {
    if (mBlocks[n].lastAdded != 0 && mBlocks[n].hash == aHash) {
      return mBlocks[n];
    }
    if (mBlocks[n].lastAdded < mBlocks[oldest].lastAdded) {
      oldest = n;
    }
  }
  Block& block = mBlocks[oldest];
  block.hash = aHash;
  block.holders.fill(kNone);
  return block;
}

PrefixHolders PrefixIndex::FindHolders(const std::vector<PrefixHash>& aPrefix) const
{
  PrefixHolders found;
  core::Tokens matched{ 0 };
  const std::size_t blocks = std::min<std::size_t>(aPrefix.size(), mSettings.maxBlocksPerPrompt);
  for (std::size_t n = 0; n < blocks; ++n) {
    const Block* block = FindBlock(aPrefix[n]);
    if (block == nullptr) {
      break;
    }
    bool hasHolder = false;
    for (const std::uint16_t upstream : block->holders) {
      if (upstream == kNone) {
        continue;
      }
      hasHolder = true;
      // A holder counts only while it has held all blocks since the start.
      std::size_t holder = 0;
      while (holder < found.count && found.holders[holder].upstream != upstream) {
        ++holder;
      }
      if (holder == found.count && matched.value == 0 && found.count < PrefixHolders::kMaxHolders) {
        found.holders[found.count++] = PrefixHolder{ .upstream = upstream };
      }
      if (holder < found.count && found.holders[holder].cachedTokens == matched) {
        found.holders[holder].cachedTokens += kPrefixBlockTokens;
      }
    }
    if (!hasHolder) {
      break;
    }
    matched += kPrefixBlockTokens;
  }
  return found;
}

void PrefixIndex::AddPrefix(const std::vector<PrefixHash>& aPrefix, std::uint16_t aUpstream)
{
  const std::size_t blocks = std::min<std::size_t>(aPrefix.size(), mSettings.maxBlocksPerPrompt);
  for (std::size_t n = 0; n < blocks; ++n) {
    AddBlock(aPrefix[n], aUpstream);
  }
}

void PrefixIndex::AddBlock(PrefixHash aHash, std::uint16_t aUpstream)
{
  Block& block = FindOrReplaceBlock(aHash);
  block.lastAdded = ++mAddCount;
  const auto existing = std::find(block.holders.begin(), block.holders.end(), aUpstream);
  if (existing != block.holders.end()) {
    std::rotate(block.holders.begin(), existing, existing + 1);
    return;
  }
  // The newest holder is in front; the oldest one is dropped if the block is full.
  std::rotate(block.holders.begin(), block.holders.end() - 1, block.holders.end());
  block.holders.front() = aUpstream;
}

void PrefixIndex::RemoveBlock(PrefixHash aHash, std::uint16_t aUpstream)
{
  const std::size_t first = SetStart(aHash);
  for (std::size_t n = first; n < first + kWays; ++n) {
    Block& block = mBlocks[n];
    if (block.lastAdded != 0 && block.hash == aHash) {
      std::replace(block.holders.begin(), block.holders.end(), aUpstream, kNone);
    }
  }
}

void PrefixIndex::RemoveUpstream(std::uint16_t aUpstream)
{
  for (Block& it : mBlocks) {
    std::replace(it.holders.begin(), it.holders.end(), aUpstream, kNone);
  }
}

} // namespace cuminfield::request::routing
