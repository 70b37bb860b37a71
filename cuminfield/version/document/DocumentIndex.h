#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/version/document/Document.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace cuminfield::version::document {

/// Index of a document in force for lookups per request. Immutable; each new revision gets its own
/// index, and a request uses the same index throughout.
class DocumentIndex
{
public:
  DocumentIndex(Document aDocument, core::Revision aRevision);

  const Document& Content() const { return mDocument; }
  core::Revision Revision() const { return mRevision; }

  /// Returns the workspace, or null.
  const WorkspaceSettings* FindWorkspace(const core::WorkspaceId& aId) const;

  /// Returns the tier, or null.
  const TierSettings* FindTier(const core::TierId& aId) const;

  /// Returns the service, or null.
  const ServiceSettings* FindService(const core::ServiceId& aId) const;

  /// Returns the route for a request, or null. If several routes match, aModel selects the service.
  const RouteSettings* FindRoute(std::string_view aMethod, std::string_view aPath,
                                 std::string_view aModel) const;

  /// Returns whether any route has this method and path, regardless of its service.
  bool HasRoute(std::string_view aMethod, std::string_view aPath) const;

  /// Returns whether the workspace may use the tier.
  static bool MayUseTier(const WorkspaceSettings& aWorkspace, const core::TierId& aTier);

private:
  static bool Matches(const RouteSettings& aRoute, std::string_view aMethod,
                      std::string_view aPath);

  Document mDocument;
  core::Revision mRevision;
  std::unordered_map<core::WorkspaceId, std::size_t> mWorkspaceIndices;
};

} // namespace cuminfield::version::document
