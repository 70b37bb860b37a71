#pragma once

#include "cuminfield/version/catalogue/Catalogue.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cuminfield::version::catalogue {

/// Index of a catalogue for lookups per request. Immutable; returned pointers are valid for the
/// lifetime of the index.
class CatalogueIndex
{
public:
  explicit CatalogueIndex(Catalogue aCatalogue);
  CatalogueIndex(const CatalogueIndex&) = delete;
  CatalogueIndex& operator=(const CatalogueIndex&) = delete;

  /// Returns the route of host name aHost (case-insensitive) with the longest prefix of aPath, or
  /// null. Of several such routes the first in the catalogue is returned.
  const RouteRule* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /// Returns the workspace that owns aKey, or null. Nobody owns an empty key: it is that of a
  /// request without one.
  const WorkspaceRule* FindWorkspaceByKey(const std::string& aKey) const;

  const WorkspaceRule* FindWorkspace(const core::WorkspaceId& aId) const;
  const ServiceRule* FindService(const core::ServiceId& aId) const;

  /// A restriction of requests to regions; null if there is none.
  using RegionRestriction = std::shared_ptr<const core::RegionSet>;

  /// True if any route or workspace is restricted to regions.
  bool HasRegionRestrictions() const { return !mRegionSets.empty(); }

  /// Returns the restriction of a route alone, or nullptr if no route has this id. If several
  /// routes have it, the restrictions of all of them apply.
  const RegionRestriction* FindRouteRegions(const core::RouteId& aRoute) const;

  /// Returns the restriction of the requests of a workspace on a route: the regions that both
  /// allow. An unknown route or workspace allows any region. The intersections are kept, so this
  /// only looks them up.
  const RegionRestriction& AllowedRegions(const core::RouteId& aRoute,
                                          const core::WorkspaceId& aWorkspace) const;

  /// Returns the form in which host names are compared: in lower case, without the port.
  static std::string NormalizeHostName(std::string_view aHost);

  /// Chooses the service for one request of a route; aPoint is uniform in [0, 1).
  static const core::ServiceId& ChooseService(const RouteRule& aRoute, double aPoint);

  /// Returns the services of routes whose latency target is half of their timeout or more: a
  /// request that waits for twice its target leaves its caller no time. A target equal to the
  /// timeout doesn't count, since a route without a target has this one.
  std::set<core::ServiceId> ServicesWithTightTargets() const;

  const Catalogue& Content() const { return mCatalogue; }

private:
  /// Returns the one object that stands for all equal sets.
  RegionRestriction Intern(const core::RegionSet& aRegions);
  void IndexRegions();

  const Catalogue mCatalogue;
  /// Longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteRule*>> mRoutesByHost;
  std::unordered_map<std::string, const WorkspaceRule*> mWorkspacesByKey;
  std::unordered_map<core::WorkspaceId, const WorkspaceRule*> mWorkspacesById;
  std::unordered_map<core::ServiceId, const ServiceRule*> mServicesById;
  std::map<core::RegionSet, RegionRestriction> mRegionSets; ///< Each distinct restriction once.
  std::unordered_map<core::RouteId, RegionRestriction> mRouteRegions;
  /// Only the workspaces that have a restriction.
  std::unordered_map<core::WorkspaceId, RegionRestriction> mWorkspaceRegions;
  /// By the objects of mRegionSets. There are few, however many routes and workspaces share them.
  std::map<std::pair<const core::RegionSet*, const core::RegionSet*>, RegionRestriction>
    mIntersections;
};

} // namespace cuminfield::version::catalogue
