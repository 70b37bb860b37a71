#pragma once

#include "cuminfield/version/catalogue/Catalogue.h"

#include <string>
#include <vector>

namespace cuminfield::version::catalogue {

enum class EntryKind
{
  Catalogue, ///< The catalogue as a whole.
  Route,
  Service,
  Workspace,
  Limits,
};

enum class Severity
{
  Error,   ///< Hosts reject the catalogue.
  Warning, ///< Hosts accept it, but a part has no effect or contradicts another.
};

/// What is wrong with an entry of a catalogue. Contains no API keys.
struct Finding
{
  Severity severity = Severity::Warning;
  std::string code; ///< Stable, for scripts.
  EntryKind kind = EntryKind::Catalogue;
  std::string entry{}; ///< Name of the entry; empty for the catalogue itself.
  std::string field{}; ///< Named as in Catalogue.h; empty for the whole entry.
  std::string problem;
  std::string remedy;
};

/// Finds what hosts would reject, entries that can never match, and limits that contradict each
/// other. All findings are listed: errors first, those of one kind in the order of the catalogue.
std::vector<Finding> CheckCatalogue(const Catalogue& aCatalogue);

/// Finds the errors alone: hosts accept a catalogue if there are none.
std::vector<Finding> FindErrors(const Catalogue& aCatalogue);

} // namespace cuminfield::version::catalogue
