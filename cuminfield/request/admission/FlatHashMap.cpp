#include "cuminfield/request/admission/FlatHashMap.h"

#include <bit>
#include <utility>

namespace cuminfield::request::admission {

FlatHashMap::FlatHashMap(std::size_t aCapacity)
  : mCells(std::bit_ceil(aCapacity * 2))
{
}

std::size_t FlatHashMap::HomeCell(std::uint64_t aKey) const
{
  const std::uint64_t mixed = aKey * 0x9e3779b97f4a7c15ULL;
  return static_cast<std::size_t>(mixed >> 20) & (mCells.size() - 1);
}

std::size_t FlatHashMap::FindCell(std::uint64_t aKey) const
{
  std::size_t at = HomeCell(aKey);
  while (mCells[at].value != kNone && mCells[at].key != aKey) {
    at = (at + 1) & (mCells.size() - 1);
  }
  return at;
}

std::uint32_t FlatHashMap::Find(std::uint64_t aKey) const
{
  return mCells[FindCell(aKey)].value;
}

void FlatHashMap::Set(std::uint64_t aKey, std::uint32_t aValue)
{
  if ((mSize + 1) * 2 > mCells.size()) {
    Grow();
  }
  Cell& cell = mCells[FindCell(aKey)];
  mSize += cell.value == kNone ? 1 : 0;
  cell = Cell{ .key = aKey, .value = aValue };
}

void FlatHashMap::Erase(std::uint64_t aKey)
{
  std::size_t hole = FindCell(aKey);
  if (mCells[hole].value == kNone) {
    return;
  }
  const std::size_t mask = mCells.size() - 1;
  std::size_t at = hole;
  while (true) {
    at = (at + 1) & mask;
    if (mCells[at].value == kNone) {
      break;
    }
    // A cell can move into the hole unless its home cell lies after the hole.
    const std::size_t distance = (at - HomeCell(mCells[at].key)) & mask;
    if (distance >= ((at - hole) & mask)) {
      mCells[hole] = mCells[at];
      hole = at;
    }
  }
  mCells[hole] = Cell{};
  --mSize;
}

void FlatHashMap::Grow()
{
  std::vector<Cell> old(mCells.size() * 2);
  std::swap(old, mCells);
  for (const Cell& it : old) {
    if (it.value != kNone) {
      mCells[FindCell(it.key)] = it;
    }
  }
}

} // namespace cuminfield::request::admission
