#include "cuminfield/process/state/DocumentFollower.h"

#include "cuminfield/core/Invariant.h"

namespace cuminfield::process::state {

UpdateResult DocumentFollower::Update(core::Revision aRevision, const std::string& aText)
{
  if (aRevision < mRevision) {
    return UpdateResult::Older;
  }
  if (aRevision == mRevision) {
    return aText == mText ? UpdateResult::Unchanged : UpdateResult::Conflicting;
  }
  CUMINFIELD_INVARIANT("document.revision-never-falls", aRevision > mRevision);
  mRevision = aRevision;
  mText = aText;
  return UpdateResult::Accepted;
}

} // namespace cuminfield::process::state
