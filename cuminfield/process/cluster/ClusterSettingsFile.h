#pragma once

#include "cuminfield/core/Error.h"
#include "cuminfield/process/cluster/ClusterSettings.h"
#include "cuminfield/process/settings/KeySpec.h"

#include <span>
#include <string>

namespace cuminfield::process::cluster {

/// Every key of a cluster settings file, in the order of docs/ClusterSettings.md.
std::span<const settings::KeySpec> ClusterSettingsReference();

/// Reads and checks a cluster settings file. Errors (InvalidSettings) name line, key and remedy.
core::Result<ClusterSettings> LoadClusterSettings(const std::string& aPath);

/// The same from text; aName stands for the file in messages.
core::Result<ClusterSettings> ParseClusterSettings(const std::string& aText,
                                                   const std::string& aName);

} // namespace cuminfield::process::cluster
