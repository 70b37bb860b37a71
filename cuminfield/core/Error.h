#pragma once

#include <boost/outcome.hpp>

#include <string>

namespace cuminfield::core {

/// What went wrong, as far as the receiver of the error has to tell kinds apart.
enum class ErrorKind
{
  InvalidSettings, ///< A settings file or document breaks a rule; the message has file and line.
  InvalidRequest,  ///< The caller's request breaks a rule; sending it again cannot succeed.
  NotFound,        ///< The named thing does not exist.
  Conflict,        ///< Someone else changed it first; read it again before the next try.
  NotLeader,       ///< Another host leads the group; ask that one.
  Unavailable,     ///< No majority, no upstream or no capacity now; nothing took effect.
  Timeout,         ///< No answer in time; it may or may not have taken effect.
  Corrupt,         ///< Stored bytes fail their checksum where they had been acknowledged.
  DiskFull,        ///< No room for a write; try again when there is.
  Io,              ///< The operating system refused a file or socket operation.
  Internal,        ///< A fault of the program.
};

/// The kind's name in lower case with hyphens, as it appears in logs and answers.
const char* ToString(ErrorKind aKind);

/// An error: its kind, and a message for a person that ends with the remedy.
struct Error
{
  ErrorKind kind = ErrorKind::Internal;
  std::string message;
};

/// `kind: message`, for logs and standard error.
std::string Describe(const Error& aError);

/// A value or an Error. Reading the wrong one ends the program: check first.
template<typename T>
using Result =
  BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// The Error side of a Result, for `return Fail(ErrorKind::Conflict, "...")`.
inline auto Fail(ErrorKind aKind, std::string aMessage)
{
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
    Error{ .kind = aKind, .message = std::move(aMessage) });
}

/// The success side of a Result<void>.
inline auto Done()
{
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace cuminfield::core
