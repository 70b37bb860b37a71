#pragma once

namespace cuminfield::process::command {

/// Exit codes of the program, the same for all commands (docs/OPERATIONS.md).
enum class ExitCode
{
  Ok = 0,          ///< Done.
  Failed = 1,      ///< Refused or broken; standard error says what to do.
  Usage = 2,       ///< The command line is wrong; see --help.
  Unreachable = 3, ///< No answer: a change may have been accepted; run the same command again.
  Conflict = 4,    ///< Someone else was first; standard error says who, and what to do.
};

} // namespace cuminfield::process::command
