#pragma once

#include <boost/outcome.hpp>

#include <string>

namespace cuminfield::core {

/// Kind of an error, as far as the code that receives it has to distinguish.
enum class ErrorKind
{
  InvalidSettings, ///< A settings file or document is invalid; the message has file and line.
  InvalidRequest,  ///< The caller's request is invalid; retrying cannot succeed.
  NotFound,        ///< The named object does not exist.
  Conflict,        ///< Changed concurrently; read the current value before a retry.
  NotLeader,       ///< Another host leads the group; send the request to that host.
  Unavailable,     ///< No majority, upstream or capacity at present; nothing took effect.
  Timeout,         ///< No response in time; the operation may have taken effect.
  Corrupt,         ///< Stored data that was acknowledged fails its checksum.
  DiskFull,        ///< No space for a write; retry when space is available.
  Io,              ///< A file or socket operation failed in the operating system.
  Internal,        ///< A bug in the program.
};

/// Returns the name in lower case with hyphens, as used in logs and responses.
const char* ToString(ErrorKind aKind);

/// An error with a readable message that ends with the remedy.
struct Error
{
  ErrorKind kind = ErrorKind::Internal;
  std::string message;
};

/// Returns `kind: message`, for logs and standard error.
std::string Describe(const Error& aError);

/// A value or an Error. Accessing the wrong one terminates the program, so check first.
template<typename T>
using Result =
  BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Creates the Error of a Result, for `return Fail(ErrorKind::Conflict, "...")`.
inline auto Fail(ErrorKind aKind, std::string aMessage)
{
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
    Error{ .kind = aKind, .message = std::move(aMessage) });
}

/// Creates a successful Result<void>.
inline auto Success()
{
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace cuminfield::core
