#include "cuminfield/core/RegionSet.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminfield::core {

RegionSet::RegionSet(std::vector<RegionId> aRegions)
  : mRegions(std::move(aRegions))
{
  std::sort(mRegions.begin(), mRegions.end());
  mRegions.erase(std::unique(mRegions.begin(), mRegions.end()), mRegions.end());
}

bool RegionSet::Contains(const RegionId& aRegion) const
{
  return !aRegion.IsEmpty() &&
         std::find(mRegions.begin(), mRegions.end(), aRegion) != mRegions.end();
}

RegionSet RegionSet::Intersect(const RegionSet& aOther) const
{
  RegionSet common;
  std::set_intersection(mRegions.begin(), mRegions.end(), aOther.mRegions.begin(),
                        aOther.mRegions.end(), std::back_inserter(common.mRegions));
  return common;
}

void RegionSet::Add(const RegionSet& aOther)
{
  const bool isNew = !std::includes(mRegions.begin(), mRegions.end(), aOther.mRegions.begin(),
                                    aOther.mRegions.end());
  if (isNew) {
    std::vector<RegionId> all = mRegions;
    all.insert(all.end(), aOther.mRegions.begin(), aOther.mRegions.end());
    *this = RegionSet(std::move(all));
  }
}

} // namespace cuminfield::core
