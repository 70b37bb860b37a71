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

/// Checks a host settings file or an environment document and prints its faults.
ExitCode CheckFile(const std::string& aPath);

/// Runs `cuminfield COMMAND ...`. aArguments starts with the command's name. aExtraCommands are
/// available besides the built-in commands, such as those of a deployment's adapter; one with the
/// name of a built-in command replaces it.
ExitCode RunCommand(const std::vector<std::string>& aArguments,
                    std::span<const Command> aExtraCommands);

} // namespace cuminfield::process::command
