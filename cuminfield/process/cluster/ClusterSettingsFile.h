#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/process/cluster/ClusterSettings.h"
#include "cuminfield/process/settings/KeySpec.h"

#include <span>
#include <string>

namespace cuminfield::process::cluster {

/// All keys of a cluster settings file, in the order of docs/ClusterSettings.md.
std::span<const settings::KeySpec> ClusterSettingsReference();

/// Reads and validates a cluster settings file. Errors (InvalidSettings) name the line, the key and
/// a remedy.
core::Result<ClusterSettings> LoadClusterSettings(const std::string& aPath);

/// Parses the text of a settings file; aName names the file in error messages.
core::Result<ClusterSettings> ParseClusterSettings(const std::string& aText,
                                                   const std::string& aName);

} // namespace cuminfield::process::cluster
