#pragma once

#include "cuminfield/version/catalogue/Catalogue.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cuminfield::version::catalogue {

/// A catalogue prepared for look-ups by requests. Immutable; the pointers it gives live as long.
class CatalogueIndex
{
public:
  explicit CatalogueIndex(Catalogue aCatalogue);
  CatalogueIndex(const CatalogueIndex&) = delete;
  CatalogueIndex& operator=(const CatalogueIndex&) = delete;

  /// The route with the longest prefix of aPath among those of aHost (any case); null: none.
  const RouteRule* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /// The workspace that holds a key; null: none.
  const WorkspaceRule* FindWorkspaceByKey(const std::string& aKey) const;

  const WorkspaceRule* FindWorkspace(const core::WorkspaceId& aId) const;
  const ServiceRule* FindService(const core::ServiceId& aId) const;

  /// The service for one request of a route; aPoint is uniform in [0, 1).
  static const core::ServiceId& ChooseService(const RouteRule& aRoute, double aPoint);

  const Catalogue& Content() const { return mCatalogue; }

private:
  const Catalogue mCatalogue;
  std::unordered_map<std::string, std::vector<const RouteRule*>>
    mRoutesByHost; ///< Longest prefix first.
  std::unordered_map<std::string, const WorkspaceRule*> mWorkspacesByKey;
  std::unordered_map<core::WorkspaceId, const WorkspaceRule*> mWorkspacesById;
  std::unordered_map<core::ServiceId, const ServiceRule*> mServicesById;
};

} // namespace cuminfield::version::catalogue
