#include "cuminfield/version/catalogue/CatalogueIndex.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace cuminfield::version::catalogue {

namespace {

template<typename Map, typename Key>
auto FindOrNull(const Map& aMap, const Key& aKey) -> typename Map::mapped_type
{
  const auto it = aMap.find(aKey);
  return it == aMap.end() ? nullptr : it->second;
}

} // namespace

CatalogueIndex::CatalogueIndex(Catalogue aCatalogue)
  : mCatalogue(std::move(aCatalogue))
{
  for (const RouteRule& it : mCatalogue.routes) {
    mRoutesByHost[NormalizeHostName(it.host)].push_back(&it);
  }
  for (auto& [host, routes] : mRoutesByHost) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RouteRule* aLeft, const RouteRule* aRight) {
                       return aLeft->pathPrefix.size() > aRight->pathPrefix.size();
                     });
  }
  for (const WorkspaceRule& it : mCatalogue.workspaces) {
    mWorkspacesById[it.id] = &it;
    for (const std::string& key : it.keys) {
      mWorkspacesByKey[key] = &it;
    }
  }
  for (const ServiceRule& it : mCatalogue.services) {
    mServicesById[it.id] = &it;
  }
  IndexRegions();
}

CatalogueIndex::RegionRestriction CatalogueIndex::Intern(const core::RegionSet& aRegions)
{
  RegionRestriction& restriction = mRegionSets[aRegions];
  if (!restriction) {
    restriction = std::make_shared<const core::RegionSet>(aRegions);
  }
  return restriction;
}

void CatalogueIndex::IndexRegions()
{
  for (const RouteRule& it : mCatalogue.routes) {
    RegionRestriction& restriction = mRouteRegions[it.id];
    if (it.allowedRegions) {
      restriction =
        Intern(restriction ? restriction->Intersect(*it.allowedRegions) : *it.allowedRegions);
    }
  }
  for (const WorkspaceRule& it : mCatalogue.workspaces) {
    if (it.allowedRegions) {
      mWorkspaceRegions[it.id] = Intern(*it.allowedRegions);
    }
  }
  for (const auto& [route, ofRoute] : mRouteRegions) {
    for (const auto& [workspace, ofWorkspace] : mWorkspaceRegions) {
      const std::pair key(ofRoute.get(), ofWorkspace.get());
      if (ofRoute && !mIntersections.contains(key)) {
        mIntersections.emplace(key, Intern(ofRoute->Intersect(*ofWorkspace)));
      }
    }
  }
}

const CatalogueIndex::RegionRestriction* CatalogueIndex::FindRouteRegions(
  const core::RouteId& aRoute) const
{
  const auto it = mRouteRegions.find(aRoute);
  return it == mRouteRegions.end() ? nullptr : &it->second;
}

const CatalogueIndex::RegionRestriction& CatalogueIndex::AllowedRegions(
  const core::RouteId& aRoute, const core::WorkspaceId& aWorkspace) const
{
  static const RegionRestriction sUnrestricted;
  const RegionRestriction* ofRoute = FindRouteRegions(aRoute);
  const auto ofWorkspace = mWorkspaceRegions.find(aWorkspace);
  if (ofWorkspace == mWorkspaceRegions.end()) {
    return ofRoute ? *ofRoute : sUnrestricted;
  }
  if (!ofRoute || !*ofRoute) {
    return ofWorkspace->second;
  }
  return mIntersections.find({ ofRoute->get(), ofWorkspace->second.get() })->second;
}

const RouteRule* CatalogueIndex::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto it = mRoutesByHost.find(NormalizeHostName(aHost));
  if (it == mRoutesByHost.end()) {
    return nullptr;
  }
  for (const RouteRule* route : it->second) {
    if (aPath.starts_with(route->pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

const WorkspaceRule* CatalogueIndex::FindWorkspaceByKey(const std::string& aKey) const
{
  return aKey.empty() ? nullptr : FindOrNull(mWorkspacesByKey, aKey);
}

const WorkspaceRule* CatalogueIndex::FindWorkspace(const core::WorkspaceId& aId) const
{
  return FindOrNull(mWorkspacesById, aId);
}

const ServiceRule* CatalogueIndex::FindService(const core::ServiceId& aId) const
{
  return FindOrNull(mServicesById, aId);
}

std::set<core::ServiceId> CatalogueIndex::ServicesWithTightTargets() const
{
  std::set<core::ServiceId> tight;
  for (const RouteRule& route : mCatalogue.routes) {
    if (route.latencyTarget * 2 < route.timeout || route.latencyTarget >= route.timeout) {
      continue;
    }
    for (const ServiceShare& it : route.services) {
      if (it.weight > 0) {
        tight.insert(it.service);
      }
    }
  }
  return tight;
}

std::string CatalogueIndex::NormalizeHostName(std::string_view aHost)
{
  // The colons of an IPv6 address are between brackets; that of the port follows them.
  const std::size_t addressEnd = aHost.starts_with('[') ? aHost.find(']') : 0;
  std::string key(aHost.substr(0, aHost.find(':', addressEnd)));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return key;
}

const core::ServiceId& CatalogueIndex::ChooseService(const RouteRule& aRoute, double aPoint)
{
  double total = 0;
  for (const ServiceShare& it : aRoute.services) {
    total += it.weight;
  }
  double remaining = aPoint * total;
  const core::ServiceId* chosen = &aRoute.services.back().service;
  for (const ServiceShare& it : aRoute.services) {
    if (it.weight <= 0) {
      continue;
    }
    chosen = &it.service;
    remaining -= it.weight;
    if (remaining < 0) {
      break;
    }
  }
  // By rounding, something may remain after the last one.
  return *chosen;
}

} // namespace cuminfield::version::catalogue
