#pragma once

#include "cuminfield/process/log/LogGroup.h"

#include <cstdint>

namespace cuminfield::process::cluster {

/// Returns the settings of the group that the control hosts of a cluster form.
log::LogGroupSettings MakeControlGroupSettings(std::uint32_t aVoterCount);

} // namespace cuminfield::process::cluster
