#include "cuminfield/process/state/DocumentFollower.h"

#include "cuminfield/core/Invariant.h"

namespace cuminfield::process::state {

Offer DocumentFollower::Take(core::Revision aRevision, const std::string& aText)
{
  if (aRevision < mRevision) {
    return Offer::Older;
  }
  if (aRevision == mRevision) {
    return aText == mText ? Offer::Same : Offer::Contradicts;
  }
  CUMINFIELD_INVARIANT("document.revision-never-falls", aRevision > mRevision);
  mRevision = aRevision;
  mText = aText;
  return Offer::Newer;
}

} // namespace cuminfield::process::state
