#pragma once

#include "cuminfield/core/Error.h"

#include <string>

namespace cuminfield::core {

/// Reads a file into a string.
Result<std::string> ReadTextFile(const std::string& aPath);

} // namespace cuminfield::core
