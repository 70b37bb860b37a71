#pragma once

#include "cuminfield/process/settings/KeySpec.h"

#include <span>

namespace cuminfield::process::settings {

/// All keys of a host settings file, in the order of docs/Settings.md.
std::span<const KeySpec> SettingsReference();

} // namespace cuminfield::process::settings
