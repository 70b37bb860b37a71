#pragma once

#include "cuminfield/core/Ids.h"

#include <string>

namespace cuminfield::process::state {

/// What came of an offered document.
enum class Offer
{
  Newer,       ///< Taken: it is in force now.
  Same,        ///< In force already.
  Older,       ///< Dropped.
  Contradicts, ///< Dropped: the same revision with another text. The group lost its state.
};

/// The document that a host has in force. Takes offers from the group, from peers and from disk in
/// any order, and never goes back to an older revision.
class DocumentFollower
{
public:
  /// Takes the offer if it is newer; revision 0 is no document.
  Offer Take(core::Revision aRevision, const std::string& aText);

  /// Revision in force; 0 before the first.
  core::Revision InForce() const { return mRevision; }

  /// Text in force.
  const std::string& Text() const { return mText; }

private:
  core::Revision mRevision;
  std::string mText;
};

} // namespace cuminfield::process::state
