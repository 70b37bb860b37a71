#pragma once

#include <cstdint>
#include <vector>

namespace cuminfield::request::admission {

/// Hash map from 64-bit keys to small integers. Uses open addressing with linear probing and
/// backward-shift deletion, so it does not allocate once it has reached its working size.
class FlatHashMap
{
public:
  static constexpr std::uint32_t kNone = 0xffffffff;

  explicit FlatHashMap(std::size_t aCapacity = 64);

  /// Returns the value of the key, or kNone.
  std::uint32_t Find(std::uint64_t aKey) const;

  /// Inserts or replaces the value of the key. The value must not be kNone.
  void Set(std::uint64_t aKey, std::uint32_t aValue);

  /// Removes the key if present.
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

  std::vector<Cell> mCells; ///< Size is a power of two.
  std::size_t mSize = 0;
};

} // namespace cuminfield::request::admission
