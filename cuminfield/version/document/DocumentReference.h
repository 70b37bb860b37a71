#pragma once

#include "cuminfield/process/settings/KeySpec.h"

#include <span>

namespace cuminfield::version::document {

/// All keys of an environment's document, in the order of docs/Settings.md.
std::span<const process::settings::KeySpec> DocumentReference();

} // namespace cuminfield::version::document
