#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cuminfield::process::cluster {

/// Running sums by key over the parts of many senders. Replacing a part changes the sums by its
/// difference, so the cost depends on the size of the part and not on the number of senders. Values
/// must have exact += and -= (integers), since rounding errors would accumulate.
template<typename Key, typename Values>
class KeyedSums
{
  struct Sum
  {
    Values values{};
    std::uint32_t parts = 0; ///< Entries of all parts with this key.
  };
  using SumMap = std::map<Key, Sum>;

public:
  /// What one sender contributes. Must be removed from the sums before it is destroyed, unless the
  /// sums are destroyed, too.
  class Part
  {
    friend class KeyedSums;
    std::vector<std::pair<typename SumMap::iterator, Values>> mEntries;
  };

  using Entries = std::vector<std::pair<Key, Values>>;

  /// Replaces the entries of a part. Entries with the same key are added up.
  void Replace(Part& aPart, const Entries& aEntries)
  {
    // The new entries come first, so that sums in both stay in the map.
    std::vector<std::pair<typename SumMap::iterator, Values>> added;
    added.reserve(aEntries.size());
    for (const auto& [key, values] : aEntries) {
      const auto it = mSums.try_emplace(key).first;
      ++it->second.parts;
      it->second.values += values;
      added.emplace_back(it, values);
    }
    Remove(aPart);
    aPart.mEntries = std::move(added);
  }

  /// Removes all entries of a part.
  void Remove(Part& aPart)
  {
    for (const auto& [it, values] : aPart.mEntries) {
      it->second.values -= values;
      if (--it->second.parts == 0) {
        mSums.erase(it);
      }
    }
    aPart.mEntries.clear();
  }

  /// Calls aVisit(key, values) in the order of the keys, with the sums over all parts except
  /// aExcluded, which may be null. Leaves out keys that no other part has.
  template<typename Visitor>
  void Visit(const Part* aExcluded, const Visitor& aVisit)
  {
    if (aExcluded) {
      for (const auto& [it, values] : aExcluded->mEntries) {
        it->second.values -= values;
        --it->second.parts;
      }
    }
    for (const auto& [key, sum] : mSums) {
      if (sum.parts > 0) {
        aVisit(key, sum.values);
      }
    }
    if (aExcluded) {
      for (const auto& [it, values] : aExcluded->mEntries) {
        it->second.values += values;
        ++it->second.parts;
      }
    }
  }

  std::size_t Size() const { return mSums.size(); }

private:
  SumMap mSums;
};

} // namespace cuminfield::process::cluster
