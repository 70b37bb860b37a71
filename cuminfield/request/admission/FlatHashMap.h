#pragma once

#include <cstdint>
#include <vector>

namespace cuminfield::request::admission {

/// Hash index from a 64-bit key to a small integer: open addressing with linear probing, and
/// deletion by shifting back, so that it never allocates once it has grown to its working size.
class FlatHashMap
{
public:
  static constexpr std::uint32_t kNone = 0xffffffff;

  explicit FlatHashMap(std::size_t aCapacity = 64);

  /// The value under the key, or kNone.
  std::uint32_t Find(std::uint64_t aKey) const;

  /// Sets the value under the key; kNone is not a value.
  void Set(std::uint64_t aKey, std::uint32_t aValue);

  /// Removes the key if it is there.
  void Erase(std::uint64_t aKey);

  std::size_t Size() const { return mSize; }

private:
  struct Cell
  {
    std::uint64_t key = 0;
    std::uint32_t value = kNone;
  };

  std::size_t HomeCell(std::uint64_t aKey) const;
  std::size_t FindCell(std::uint64_t aKey) const;
  void Grow();

  std::vector<Cell> mCells; ///< A power of two of them.
  std::size_t mSize = 0;
};

} // namespace cuminfield::request::admission
