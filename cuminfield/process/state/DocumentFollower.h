#pragma once

#include "cuminfield/core/Ids.h"

#include <string>

namespace cuminfield::process::state {

/// Result of DocumentFollower::Update().
enum class UpdateResult
{
  Accepted,    ///< Newer than the current document, which it replaced.
  Unchanged,   ///< Equal to the current document.
  Older,       ///< Older than the current document; ignored.
  Conflicting, ///< Same revision with a different text; ignored. The group lost its state.
};

/// Tracks the current document of a host. Accepts documents from the group, from peers and from
/// disk in any order and never returns to an older revision.
class DocumentFollower
{
public:
  /// Replaces the current document if the given one is newer. Revision 0 means no document.
  UpdateResult Update(core::Revision aRevision, const std::string& aText);

  /// Returns 0 before the first document.
  core::Revision CurrentRevision() const { return mRevision; }

  const std::string& CurrentText() const { return mText; }

private:
  core::Revision mRevision;
  std::string mText;
};

} // namespace cuminfield::process::state
