#pragma once

#include "cuminfield/version/catalogue/CatalogueCheck.h"

#include <string>
#include <vector>

namespace cuminfield::version::catalogue {

enum class ChangeKind
{
  Added,
  Removed,
  Changed,
};

struct FieldChange
{
  std::string field; ///< Named as in Catalogue.h.
  std::string before;
  std::string after;
};

/// How one entry differs between two catalogues. API keys are only counted.
struct EntryChange
{
  ChangeKind change = ChangeKind::Changed;
  EntryKind kind = EntryKind::Catalogue;
  std::string entry;               ///< Name; empty for the limits.
  std::vector<FieldChange> fields; ///< Of a changed entry.
};

/// Determines what differs between two catalogues besides their numbers. Entries are the same if
/// their names are; their order doesn't matter.
std::vector<EntryChange> CompareCatalogues(const Catalogue& aBefore, const Catalogue& aAfter);

/// Finds a catalogue that differs from the one in force, but would not replace it.
std::vector<Finding> CheckNumber(const Catalogue& aInForce, const Catalogue& aCatalogue);

} // namespace cuminfield::version::catalogue
