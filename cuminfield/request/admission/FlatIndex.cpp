#include "cuminfield/request/admission/FlatIndex.h"

#include <bit>
#include <utility>

namespace cuminfield::request::admission {

FlatIndex::FlatIndex(std::size_t aCapacity)
  : mCells(std::bit_ceil(aCapacity * 2))
{
}

std::size_t FlatIndex::Home(std::uint64_t aKey) const
{
  const std::uint64_t mixed = aKey * 0x9e3779b97f4a7c15ULL;
  return static_cast<std::size_t>(mixed >> 20) & (mCells.size() - 1);
}

std::size_t FlatIndex::Locate(std::uint64_t aKey) const
{
  std::size_t at = Home(aKey);
  while (mCells[at].value != kNone && mCells[at].key != aKey) {
    at = (at + 1) & (mCells.size() - 1);
  }
  return at;
}

std::uint32_t FlatIndex::Find(std::uint64_t aKey) const
{
  return mCells[Locate(aKey)].value;
}

void FlatIndex::Set(std::uint64_t aKey, std::uint32_t aValue)
{
  if ((mSize + 1) * 2 > mCells.size()) {
    Grow();
  }
  Cell& cell = mCells[Locate(aKey)];
  mSize += cell.value == kNone ? 1 : 0;
  cell = Cell{ .key = aKey, .value = aValue };
}

void FlatIndex::Erase(std::uint64_t aKey)
{
  std::size_t hole = Locate(aKey);
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
    // A cell may fill the hole unless its home lies behind the hole.
    const std::size_t distance = (at - Home(mCells[at].key)) & mask;
    if (distance >= ((at - hole) & mask)) {
      mCells[hole] = mCells[at];
      hole = at;
    }
  }
  mCells[hole] = Cell{};
  --mSize;
}

void FlatIndex::Grow()
{
  std::vector<Cell> old(mCells.size() * 2);
  std::swap(old, mCells);
  for (const Cell& it : old) {
    if (it.value != kNone) {
      mCells[Locate(it.key)] = it;
    }
  }
}

} // namespace cuminfield::request::admission
