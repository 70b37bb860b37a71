#pragma once

#include <string>

namespace cuminfield::process::command {

/// Formats the JSON of `GET /show` as readable tables. Returns an empty string when aJson is not a
/// JSON object.
std::string FormatShowTables(const std::string& aJson);

} // namespace cuminfield::process::command
