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
  const std::uint64_t hash = aKey * 0x9e3779b97f4a7c15ULL;
  return static_cast<std::size_t>(hash >> 20) & (mCells.size() - 1);
}

std::size_t FlatHashMap::FindCell(std::uint64_t aKey) const
{
  std::size_t cell = HomeCell(aKey);
  while (mCells[cell].value != kNone && mCells[cell].key != aKey) {
    cell = (cell + 1) & (mCells.size() - 1);
  }
  return cell;
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
  std::size_t cell = hole;
  while (true) {
    cell = (cell + 1) & mask;
    if (mCells[cell].value == kNone) {
      break;
    }
    // A cell can move into the hole unless its home cell lies after the hole.
    const std::size_t distance = (cell - HomeCell(mCells[cell].key)) & mask;
    if (distance >= ((cell - hole) & mask)) {
      mCells[hole] = mCells[cell];
      hole = cell;
    }
  }
  mCells[hole] = Cell{};
  --mSize;
}

void FlatHashMap::Grow()
{
  std::vector<Cell> oldCells(mCells.size() * 2);
  std::swap(oldCells, mCells);
  for (const Cell& cell : oldCells) {
    if (cell.value != kNone) {
      mCells[FindCell(cell.key)] = cell;
    }
  }
}

} // namespace cuminfield::request::admission
