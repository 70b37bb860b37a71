#pragma once

#include "cuminfield/version/catalogue/Catalogue.h"

#include <string>
#include <string_view>
#include <unordered_map>
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
  /// null.
  const RouteRule* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /// Returns the workspace that owns aKey, or null.
  const WorkspaceRule* FindWorkspaceByKey(const std::string& aKey) const;

  const WorkspaceRule* FindWorkspace(const core::WorkspaceId& aId) const;
  const ServiceRule* FindService(const core::ServiceId& aId) const;

  /// Returns the form in which host names are compared: in lower case, without the port.
  static std::string NormalizeHostName(std::string_view aHost);

  /// Chooses the service for one request of a route; aPoint is uniform in [0, 1).
  static const core::ServiceId& ChooseService(const RouteRule& aRoute, double aPoint);

  const Catalogue& Content() const { return mCatalogue; }

private:
  const Catalogue mCatalogue;
  /// Longest prefix first.
  std::unordered_map<std::string, std::vector<const RouteRule*>> mRoutesByHost;
  std::unordered_map<std::string, const WorkspaceRule*> mWorkspacesByKey;
  std::unordered_map<core::WorkspaceId, const WorkspaceRule*> mWorkspacesById;
  std::unordered_map<core::ServiceId, const ServiceRule*> mServicesById;
};

} // namespace cuminfield::version::catalogue
