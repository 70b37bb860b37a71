#include "cuminfield/request/placement/CatalogueRegionPolicy.h"

namespace cuminfield::request::placement {

void CatalogueRegionPolicy::SetCatalogue(
  std::shared_ptr<const version::catalogue::CatalogueIndex> aCatalogue)
{
  mCatalogue = std::move(aCatalogue);
  mIntersections.clear();
}

const core::RegionSet* CatalogueRegionPolicy::AllowedRegions(const RequestSpec& aSpec) const
{
  const core::RegionSet* atArrival = aSpec.regionsAtArrival.get();
  if (!atArrival && mCatalogue && !mCatalogue->HasRegionRestrictions()) {
    return nullptr; // The usual case; this is asked several times for each request.
  }
  const auto* ofRoute = mCatalogue ? mCatalogue->FindRouteRegions(aSpec.route) : nullptr;
  if (!ofRoute) {
    return atArrival;
  }
  if (aSpec.workspace.IsEmpty() || mCatalogue->FindWorkspace(aSpec.workspace)) {
    return mCatalogue->AllowedRegions(aSpec.route, aSpec.workspace).get();
  }
  if (!*ofRoute || !atArrival) {
    return *ofRoute ? ofRoute->get() : atArrival;
  }
  const auto [it, isNew] = mIntersections.try_emplace({ **ofRoute, *atArrival });
  if (isNew) {
    it->second = (*ofRoute)->Intersect(*atArrival);
  }
  return &it->second;
}

} // namespace cuminfield::request::placement
