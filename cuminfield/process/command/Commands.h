#pragma once

#include "cuminfield/process/command/ExitCode.h"

#include <string>
#include <vector>

namespace cuminfield::process::command {

/// Runs `cuminfield COMMAND ...`; aArguments begins with the command.
ExitCode Run(const std::vector<std::string>& aArguments);

} // namespace cuminfield::process::command
