#pragma once

#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/process/settings/IniReader.h"

#include <string>

namespace cuminfield::process::settings {

/// Reads [log], which is the same in the settings of all programs.
void ReadLogSection(IniReader& aReader, std::string& aLevel, LogFormat& aFormat);

} // namespace cuminfield::process::settings
