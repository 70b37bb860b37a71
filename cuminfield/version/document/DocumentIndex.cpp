#include "cuminfield/version/document/DocumentIndex.h"

#include <algorithm>

namespace cuminfield::version::document {

namespace {

template<typename Items, typename Id>
auto FindById(const Items& aItems, const Id& aId) -> const typename Items::value_type*
{
  const auto it = std::find_if(aItems.begin(), aItems.end(),
                               [&aId](const auto& aItem) { return aItem.id == aId; });
  return it == aItems.end() ? nullptr : &*it;
}

} // namespace

DocumentIndex::DocumentIndex(Document aDocument, core::Revision aRevision)
  : mDocument(std::move(aDocument))
  , mRevision(aRevision)
{
  for (std::size_t n = 0; n < mDocument.workspaces.size(); ++n) {
    mWorkspaceIndices.emplace(mDocument.workspaces[n].id, n);
  }
}

const WorkspaceSettings* DocumentIndex::FindWorkspace(const core::WorkspaceId& aId) const
{
  const auto it = mWorkspaceIndices.find(aId);
  return it == mWorkspaceIndices.end() ? nullptr : &mDocument.workspaces[it->second];
}

const TierSettings* DocumentIndex::FindTier(const core::TierId& aId) const
{
  return FindById(mDocument.tiers, aId);
}

const ServiceSettings* DocumentIndex::FindService(const core::ServiceId& aId) const
{
  return FindById(mDocument.services, aId);
}

const RouteSettings* DocumentIndex::FindRoute(std::string_view aMethod, std::string_view aPath,
                                              std::string_view aModel) const
{
  const RouteSettings* found = nullptr;
  for (const RouteSettings& it : mDocument.routes) {
    if (!Matches(it, aMethod, aPath)) {
      continue;
    }
    if (it.service.Text() == aModel) {
      return &it;
    }
    // Without a matching model, the first route in document order is used.
    if (!found) {
      found = &it;
    }
  }
  return found;
}

bool DocumentIndex::HasRoute(std::string_view aMethod, std::string_view aPath) const
{
  return std::any_of(mDocument.routes.begin(), mDocument.routes.end(),
                     [&](const RouteSettings& aRoute) { return Matches(aRoute, aMethod, aPath); });
}

bool DocumentIndex::MayUseTier(const WorkspaceSettings& aWorkspace, const core::TierId& aTier)
{
  const auto& tiers = aWorkspace.tiers;
  return tiers.empty() || std::find(tiers.begin(), tiers.end(), aTier) != tiers.end();
}

bool DocumentIndex::Matches(const RouteSettings& aRoute, std::string_view aMethod,
                            std::string_view aPath)
{
  if (aRoute.method != aMethod) {
    return false;
  }
  if (aRoute.path.ends_with('*')) {
    return aPath.starts_with(std::string_view(aRoute.path).substr(0, aRoute.path.size() - 1));
  }
  return aRoute.path == aPath;
}

} // namespace cuminfield::version::document
