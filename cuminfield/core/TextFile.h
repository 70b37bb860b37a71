#pragma once

#include "cuminfield/core/Error.h"

#include <string>

namespace cuminfield::core {

/// Reads a whole file.
Result<std::string> ReadTextFile(const std::string& aPath);

} // namespace cuminfield::core
