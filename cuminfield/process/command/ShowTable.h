#pragma once

#include <string>

namespace cuminfield::process::command {

/// The JSON of `GET /show` as tables for a person. Empty when the text is no such JSON.
std::string FormatShow(const std::string& aJson);

} // namespace cuminfield::process::command
