#pragma once

#include "cuminfield/process/command/ExitCode.h"

#include <span>
#include <string>
#include <vector>

namespace cuminfield::process::command {

/// One command of the program.
struct Command
{
  const char* name;
  const char* summary;
  ExitCode (*run)(const std::vector<std::string>&);
};

/// Runs `cuminfield COMMAND ...`; aArguments begins with the command. aFurther are commands besides
/// the program's own, such as those of a deployment's adapter.
ExitCode Run(const std::vector<std::string>& aArguments, std::span<const Command> aFurther);

} // namespace cuminfield::process::command
