#pragma once

#include "cuminfield/process/settings/HostSettings.h"
#include "cuminfield/process/settings/IniReader.h"

#include <string>

namespace cuminfield::process::settings {

/// Reads section `[log]`, which the settings of all programs share.
void ReadLogSection(IniReader& aReader, std::string& aLevel, LogFormat& aFormat);

} // namespace cuminfield::process::settings
