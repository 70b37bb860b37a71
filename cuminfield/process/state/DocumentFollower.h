#pragma once

#include "cuminfield/core/Ids.h"

#include <string>

namespace cuminfield::process::state {

/// Result of DocumentFollower::Update().
enum class Offer
{
  Newer,       ///< Newer than the current document, which it replaced.
  Same,        ///< Equal to the current document.
  Older,       ///< Older than the current document; ignored.
  Contradicts, ///< Same revision with a different text; ignored. The group lost its state.
};

/// Tracks the current document of a host. Accepts documents from the group, from peers and from
/// disk in any order and never returns to an older revision.
class DocumentFollower
{
public:
  /// Replaces the current document if the given one is newer. Revision 0 means no document.
  Offer Take(core::Revision aRevision, const std::string& aText);

  /// Returns 0 before the first document.
  core::Revision InForce() const { return mRevision; }

  const std::string& Text() const { return mText; }

private:
  core::Revision mRevision;
  std::string mText;
};

} // namespace cuminfield::process::state
