#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/version/document/Document.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace cuminfield::version::document {

/// A document in force, made ready for one look-up a request. Never changes; a new revision gets
/// an index of its own, so a request keeps the one that it began with.
class DocumentIndex
{
public:
  DocumentIndex(Document aDocument, core::Revision aRevision);

  const Document& Content() const { return mDocument; }
  core::Revision Revision() const { return mRevision; }

  /// The workspace, or null.
  const WorkspaceSettings* FindWorkspace(const core::WorkspaceId& aId) const;

  /// The tier, or null.
  const TierSettings* FindTier(const core::TierId& aId) const;

  /// The service, or null.
  const ServiceSettings* FindService(const core::ServiceId& aId) const;

  /// The route for a request, or null. Where several share the path, aModel names the service.
  const RouteSettings* FindRoute(std::string_view aMethod, std::string_view aPath,
                                 std::string_view aModel) const;

  /// Whether any route has this method and path, whatever the service.
  bool HasRoute(std::string_view aMethod, std::string_view aPath) const;

  /// Whether the workspace may use the tier.
  static bool MayUseTier(const WorkspaceSettings& aWorkspace, const core::TierId& aTier);

private:
  static bool Matches(const RouteSettings& aRoute, std::string_view aMethod,
                      std::string_view aPath);

  Document mDocument;
  core::Revision mRevision;
  std::unordered_map<core::WorkspaceId, std::size_t> mWorkspaceIndices;
};

} // namespace cuminfield::version::document
