#pragma once

#include "cuminfield/request/placement/RegionPolicy.h"
#include "cuminfield/version/catalogue/CatalogueIndex.h"

#include <map>
#include <memory>
#include <utility>

namespace cuminfield::request::placement {

/// The restrictions of the catalogue in force. A request whose route is gone keeps the restriction
/// that was in force when it arrived. One whose workspace is gone keeps it, too, and is subject to
/// the restriction of its route as it is now.
class CatalogueRegionPolicy : public RegionPolicy
{
public:
  /// Sets the catalogue in force.
  void SetCatalogue(std::shared_ptr<const version::catalogue::CatalogueIndex> aCatalogue);

  const core::RegionSet* AllowedRegions(const RequestSpec& aSpec) const override;

private:
  std::shared_ptr<const version::catalogue::CatalogueIndex> mCatalogue;
  /// Intersections for the requests whose workspace is gone; there are few such requests.
  mutable std::map<std::pair<core::RegionSet, core::RegionSet>, core::RegionSet> mIntersections;
};

} // namespace cuminfield::request::placement
