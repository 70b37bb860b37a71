#pragma once

namespace cuminfield::process::command {

/// Exit codes of the program, shared by all commands (docs/OPERATIONS.md).
enum class ExitCode
{
  Ok = 0,
  Failed = 1,      ///< Rejected or failed; standard error names the remedy.
  Usage = 2,       ///< Invalid command line; see --help.
  Unreachable = 3, ///< No response; a change may have been accepted: run the command again.
  Conflict = 4,    ///< Another change came first; standard error names it and the remedy.
};

} // namespace cuminfield::process::command
