#pragma once

#include "cuminfield/core/Ids.h"

#include <compare>
#include <vector>

namespace cuminfield::core {

/// A set of regions, in which requests may be served. Holds a few names in one sorted block, since
/// it is searched for each upstream that is considered for a request.
class RegionSet
{
public:
  RegionSet() = default;
  explicit RegionSet(std::vector<RegionId> aRegions);

  /// True if the region is in the set. The empty region, of an upstream whose data centre has none,
  /// never is.
  bool Contains(const RegionId& aRegion) const;

  /// Returns the regions that both sets have.
  RegionSet Intersect(const RegionSet& aOther) const;

  /// Adds the regions of the other set.
  void Add(const RegionSet& aOther);

  bool IsEmpty() const { return mRegions.empty(); }

  /// Sorted, each region once.
  const std::vector<RegionId>& Regions() const { return mRegions; }

  auto operator<=>(const RegionSet&) const = default;

private:
  std::vector<RegionId> mRegions;
};

} // namespace cuminfield::core
