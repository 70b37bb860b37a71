#pragma once

#include "cuminfield/process/command/ExitCode.h"

#include <span>
#include <string>
#include <vector>

namespace cuminfield::process::command {

/// A command of the program and the function that runs it.
struct Command
{
  const char* name;
  const char* summary;
  ExitCode (*run)(const std::vector<std::string>&);
};

/// Runs `cuminfield COMMAND ...`. aArguments starts with the command's name. aExtraCommands are
/// available besides the built-in commands, such as those of a deployment's adapter.
ExitCode RunCommand(const std::vector<std::string>& aArguments,
                    std::span<const Command> aExtraCommands);

} // namespace cuminfield::process::command
